package main

import (
	"fmt"
	"sync/atomic"

	"sloequay/internal/emulator"
)

// tally counts how requests ended.
type tally struct{ served, refused, failed, unanswered atomic.Int64 }

func (t *tally) count(reply emulator.Reply, err error) {
	switch {
	case err != nil:
		t.unanswered.Add(1)
	case reply.Error == "":
		t.served.Add(1)
	case reply.Error == "Overloaded":
		t.refused.Add(1)
	default:
		t.failed.Add(1)
	}
}

func (t *tally) text() string {
	return fmt.Sprintf("served %d, refused %d, failed %d, connections that ended without an answer %d",
		t.served.Load(), t.refused.Load(), t.failed.Load(), t.unanswered.Load())
}
