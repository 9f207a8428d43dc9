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
	// maxDialLateness is how late after its limit the timeout of a dial may be reported. A later report shows that this
	// machine stood still during the dial.
	maxDialLateness = 100 * time.Millisecond
	// Pauses before redials while this machine lacks a resource or a route, until DialTimeout.
	minRedialPause = 10 * time.Millisecond
	maxRedialPause = 100 * time.Millisecond
)

// redialPolicy says whether a failed dial is repeated.
type redialPolicy int

const (
	neverRedial      redialPolicy = iota
	redialOnce                    // immediately
	redialUntilLimit              // after pauses, until DialTimeout
)

// dialFailure is the interpretation of a failed dial: whether it is repeated, and how the attempts that wait for it end
// once it is not. broker.ConnectFailed counts against the endpoint, broker.NotSent does not.
type dialFailure struct {
	redial redialPolicy
	end    broker.End
}

// classifyDial interprets the error of a dial that failed after the elapsed time and had the timeout limit.
func classifyDial(err error, elapsed, limit time.Duration) dialFailure {
	var netErr net.Error
	switch {
	case errors.Is(err, syscall.ECONNRESET): // while connecting: says nothing about the endpoint
		return dialFailure{redialOnce, broker.NotSent}
	case socket.IsLocalError(err):
		return dialFailure{redialUntilLimit, broker.NotSent}
	case errors.Is(err, syscall.ENETUNREACH): // temporary, or the address is wrong
		return dialFailure{redialUntilLimit, broker.ConnectFailed}
	case errors.As(err, &netErr) && netErr.Timeout() && elapsed > limit+maxDialLateness:
		return dialFailure{redialOnce, broker.NotSent}
	}
	return dialFailure{neverRedial, broker.ConnectFailed}
}

// dialProgress tracks the dials of one connection.
//
// Invariants: redials with a pause start within the limit after the first dial. Their pauses double from minRedialPause
// to maxRedialPause. Only the first redialOnce leads to a redial.
type dialProgress struct {
	startedAt       time.Duration // of the first dial
	lastStartedAt   time.Duration // of the latest dial
	hasRedialedOnce bool          // whether a redialOnce has led to a redial
	pause           time.Duration // of the last redialUntilLimit
}

// next reports whether to dial again after a failure, and returns the pause before that dial.
func (d *dialProgress) next(
	now time.Duration, redial redialPolicy, limit time.Duration,
) (pause time.Duration, ok bool) {
	switch redial {
	case redialUntilLimit:
		d.pause = min(max(minRedialPause, 2*d.pause), maxRedialPause)
		return d.pause, now-d.startedAt+d.pause <= limit
	case redialOnce:
		ok = !d.hasRedialedOnce
		d.hasRedialedOnce = true
		return 0, ok
	default:
		return 0, false
	}
}
