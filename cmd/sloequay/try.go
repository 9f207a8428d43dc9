package main

import "io"

type tryOptions struct{ keep bool }

func runTry(out io.Writer, o tryOptions) error { return nil }
