package upstream

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sloequay/internal/broker"
)

// TestClassifyDial checks that only errors from the endpoint or the route to it count against the endpoint. Errors due
// to a lack of local resources or a standstill of this machine say nothing about it.
func TestClassifyDial(t *testing.T) {
	const limit = 400 * time.Millisecond
	sysErr := func(name string, errno syscall.Errno) error {
		return &net.OpError{Op: "dial", Err: os.NewSyscallError(name, errno)}
	}
	timeout := &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
	for _, c := range []struct {
		name string
		err  error
		took time.Duration
		want dialFailure
	}{
		{"refused", sysErr("connect", syscall.ECONNREFUSED), 0, dialFailure{neverRedial, broker.ConnectFailed}},
		{"reset", sysErr("connect", syscall.ECONNRESET), 0, dialFailure{redialOnce, broker.NotSent}},
		{"no descriptors", sysErr("socket", syscall.ENFILE), 0, dialFailure{redialUntilLimit, broker.NotSent}},
		{"no buffers", sysErr("connect", syscall.ENOBUFS), 0, dialFailure{redialUntilLimit, broker.NotSent}},
		{"no ports", sysErr("connect", syscall.EADDRNOTAVAIL), 0, dialFailure{redialUntilLimit, broker.NotSent}},
		{"no route", sysErr("connect", syscall.ENETUNREACH), 0, dialFailure{redialUntilLimit, broker.ConnectFailed}},
		{"no host", sysErr("connect", syscall.EHOSTUNREACH), 0, dialFailure{neverRedial, broker.ConnectFailed}},
		{"system timeout", sysErr("connect", syscall.ETIMEDOUT), limit, dialFailure{neverRedial, broker.ConnectFailed}},
		{"timed out", timeout, limit + time.Millisecond, dialFailure{neverRedial, broker.ConnectFailed}},
		{"timed out during a standstill", timeout, limit + time.Second, dialFailure{redialOnce, broker.NotSent}},
	} {
		if got := classifyDial(c.err, c.took, limit); got != c.want {
			t.Errorf("%s: got %+v, want %+v", c.name, got, c.want)
		}
	}
}

// TestDialProgress checks for random failures that redials with a pause start within the limit, that pauses double up
// to their maximum, and that only the first redialOnce leads to a redial.
func TestDialProgress(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const start = time.Minute
		limit := time.Duration(rapid.IntRange(1, 1000).Draw(t, "limit")) * time.Millisecond
		progress := dialProgress{startedAt: start}
		now := start
		wantPause := minRedialPause
		redialedOnce := false
		for {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "dial duration")) * time.Millisecond
			redial := rapid.SampledFrom([]redialPolicy{neverRedial, redialOnce, redialUntilLimit}).Draw(t, "redial")
			pause, ok := progress.next(now, redial, limit)
			switch {
			case redial == redialOnce && (pause != 0 || ok == redialedOnce):
				t.Fatalf("redialOnce: got redial %v, pause %v; redialed before: %v", ok, pause, redialedOnce)
			case redial == redialUntilLimit && (pause != wantPause || ok != (now+pause <= start+limit)):
				t.Fatalf("redialUntilLimit: got redial %v after %v, pause %v, want pause %v within %v",
					ok, now-start, pause, wantPause, limit)
			case redial == neverRedial && ok:
				t.Fatal("neverRedial: got a redial, want none")
			}
			if !ok {
				return
			}
			redialedOnce = redialedOnce || redial == redialOnce
			if redial == redialUntilLimit {
				wantPause = min(2*wantPause, maxRedialPause)
			}
			now += pause
		}
	})
}
