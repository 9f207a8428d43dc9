package upstream

import (
	"errors"
	"net"
	"syscall"
	"time"

	"sloequay/internal/broker"
	"sloequay/internal/eventloop/socket"
)

const (
	// maxDialLateness is by how much a dial may be told to have timed out too late. Where it is later, this machine
	// stood still while it dialed.
	maxDialLateness = 100 * time.Millisecond
	// A dial that fails for want of something on this machine is tried again after these pauses, until DialTimeout.
	minRedialPause = 10 * time.Millisecond
	maxRedialPause = 100 * time.Millisecond
)

// redialing is whether a dial that failed is tried again.
type redialing int

const (
	neverRedial      redialing = iota
	redialOnce                 // at once
	redialUntilLimit           // after pauses, until DialTimeout
)

// dialFailure is what a failed dial means: whether it is tried again, and how the attempts that wait for it end if
// it is not, or not any more. broker.ConnectFailed counts against the endpoint, broker.NotSent does not.
type dialFailure struct {
	redial redialing
	end    broker.End
}

// classifyDial says what a dial means that failed after a time, of a limit.
func classifyDial(err error, took, limit time.Duration) dialFailure {
	var timeout net.Error
	switch {
	case errors.Is(err, syscall.ECONNRESET): // while it came up, which says nothing of the endpoint
		return dialFailure{redialOnce, broker.NotSent}
	case socket.IsLocalError(err):
		return dialFailure{redialUntilLimit, broker.NotSent}
	case errors.Is(err, syscall.ENETUNREACH): // for a moment, or the address is wrong
		return dialFailure{redialUntilLimit, broker.ConnectFailed}
	case errors.As(err, &timeout) && timeout.Timeout() && took > limit+maxDialLateness:
		return dialFailure{redialOnce, broker.NotSent}
	}
	return dialFailure{neverRedial, broker.ConnectFailed}
}

// dialProgress is how far the dial of a connection is.
//
// Invariants: a dial begins at the latest by the limit after the first one. The pauses before them double from
// minRedialPause to maxRedialPause. A redialOnce is followed once in the whole dial.
type dialProgress struct {
	startedAt     time.Duration // the first one
	lastStartedAt time.Duration
	isRedialed    bool          // for a redialOnce
	pause         time.Duration // before the last redialUntilLimit
}

// next reports whether to dial again after a failure, and after what pause.
func (d *dialProgress) next(now time.Duration, how redialing, limit time.Duration) (pause time.Duration, redials bool) {
	switch how {
	case redialUntilLimit:
		d.pause = min(max(minRedialPause, 2*d.pause), maxRedialPause)
		return d.pause, now-d.startedAt+d.pause <= limit
	case redialOnce:
		redials = !d.isRedialed
		d.isRedialed = true
		return 0, redials
	default:
		return 0, false
	}
}
