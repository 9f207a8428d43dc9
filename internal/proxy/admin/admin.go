// Package admin is the operators' socket: a line is asked, the answer is text up to the end of the connection. It is a file of
// its owner's alone, so that who may read the doorman's settings may ask, and nobody on the network.
package admin

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"time"
)

const (
	most  = 4    // connections at once
	word  = 1024 // bytes of a question
	limit = 2 * time.Second
)

// Listen opens the socket and answers beside the caller, until the program ends. answer gets a question's words on a goroutine of its
// own, and puts the answer on the channel in its own time.
func Listen(path string, answer func(words []string, to chan<- string)) error {
	// What a killed doorman left is in the way; one that answers is in use.
	if conn, err := net.DialTimeout("unix", path, limit); err == nil {
		_ = conn.Close()
		return errors.New("another process answers there")
	} else if info, err2 := os.Lstat(path); err2 == nil && info.Mode()&os.ModeSocket != 0 && errors.Is(err, syscall.ECONNREFUSED) {
		_ = os.Remove(path)
	}
	old := syscall.Umask(0o177)
	ln, err := net.Listen("unix", path)
	syscall.Umask(old)
	if err != nil {
		return err
	}
	places := make(chan struct{}, most)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			select {
			case places <- struct{}{}:
				go func() {
					defer func() { <-places }()
					serve(conn, answer)
				}()
			default:
				_ = conn.Close()
			}
		}
	}()
	return nil
}

func serve(conn net.Conn, answer func([]string, chan<- string)) {
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(limit))
	line, err := bufio.NewReader(io.LimitReader(conn, word)).ReadString('\n')
	if err != nil {
		return
	}
	to := make(chan string, 1)
	answer(strings.Fields(line), to)
	select {
	case text := <-to:
		_, _ = io.WriteString(conn, text)
	case <-time.After(limit):
	}
}

// Ask puts a question to a running doorman, and writes its answer.
func Ask(out io.Writer, path, question string) error {
	conn, err := net.DialTimeout("unix", path, limit)
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(2 * limit))
	if _, err := io.WriteString(conn, question+"\n"); err != nil {
		return err
	}
	text, err := io.ReadAll(conn)
	if message, failed := strings.CutPrefix(string(text), "error: "); failed {
		return errors.New(strings.TrimSpace(message))
	}
	_, _ = out.Write(text)
	return err
}
