package upstream

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"sloequay/internal/broker"
)

// TestClassifyDial: what fails for want of something on this machine, or while it stood still, says nothing of the
// endpoint; what the endpoint or the way to it says does.
func TestClassifyDial(t *testing.T) {
	const limit = 400 * time.Millisecond
	call := func(name string, errno syscall.Errno) error {
		return &net.OpError{Op: "dial", Err: os.NewSyscallError(name, errno)}
	}
	timeout := &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
	for _, c := range []struct {
		name string
		err  error
		took time.Duration
		want dialFailure
	}{
		{"refused", call("connect", syscall.ECONNREFUSED), 0, dialFailure{neverRedial, broker.ConnectFailed}},
		{"reset", call("connect", syscall.ECONNRESET), 0, dialFailure{redialOnce, broker.NotSent}},
		{"no descriptors", call("socket", syscall.ENFILE), 0, dialFailure{redialUntilLimit, broker.NotSent}},
		{"no buffers", call("connect", syscall.ENOBUFS), 0, dialFailure{redialUntilLimit, broker.NotSent}},
		{"no ports", call("connect", syscall.EADDRNOTAVAIL), 0, dialFailure{redialUntilLimit, broker.NotSent}},
		{"no route", call("connect", syscall.ENETUNREACH), 0, dialFailure{redialUntilLimit, broker.ConnectFailed}},
		{"no host", call("connect", syscall.EHOSTUNREACH), 0, dialFailure{neverRedial, broker.ConnectFailed}},
		{"system time-out", call("connect", syscall.ETIMEDOUT), limit, dialFailure{neverRedial, broker.ConnectFailed}},
		{"timed out", timeout, limit + time.Millisecond, dialFailure{neverRedial, broker.ConnectFailed}},
		{"timed out in a standstill", timeout, limit + time.Second, dialFailure{redialOnce, broker.NotSent}},
	} {
		if got := classifyDial(c.err, c.took, limit); got != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
}
