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

// TestDialProgress: however dials fail, the last one begins within the limit, pauses double up to their maximum, and a
// redialOnce is followed once.
func TestDialProgress(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const start = time.Minute
		limit := time.Duration(rapid.IntRange(1, 1000).Draw(t, "limit")) * time.Millisecond
		progress := dialProgress{startedAt: start}
		now := start
		wantPause := minRedialPause
		redialedOnce := false
		for {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "dialed for")) * time.Millisecond
			how := rapid.SampledFrom([]redialing{neverRedial, redialOnce, redialUntilLimit}).Draw(t, "how")
			pause, redials := progress.next(now, how, limit)
			switch {
			case how == redialOnce && (pause != 0 || redials == redialedOnce):
				t.Fatalf("redials is %v after a pause of %v, redialed before is %v", redials, pause, redialedOnce)
			case how == redialUntilLimit && (pause != wantPause || redials != (now+pause <= start+limit)):
				t.Fatalf("redials is %v after %v and a pause of %v, want a pause of %v within %v",
					redials, now-start, pause, wantPause, limit)
			case how == neverRedial && redials:
				t.Fatal("redials where nothing is to be had from it")
			}
			if !redials {
				return
			}
			redialedOnce = redialedOnce || how == redialOnce
			if how == redialUntilLimit {
				wantPause = min(2*wantPause, maxRedialPause)
			}
			now += pause
		}
	})
}
