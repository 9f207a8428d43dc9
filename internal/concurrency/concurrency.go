// Package concurrency learns how many requests may be open together so that they still meet their latency objectives,
// from how they end, and divides that among tenants.
//
// The limit grows while it is in use and requests are in time, and is cut when too many miss their objective or are
// rejected further on: additive increase and multiplicative decrease (Chiu and Jain, 1989), with a part of the increase
// that goes with the limit's size, so that a large one is found again soon. A gradient of latencies would need the
// latency without load, which differs by class and size; whether a request was in time is known.
//
// Invariants: Config.Min <= Value <= Config.Max; a tenant whose open requests are below its portion of Value is
// admitted; any other only while all that is open is below Value.
//
// Bounds: a Limit has constant size and each operation takes constant time. It does no I/O; the caller passes the time.
package concurrency

import "time"

const (
	defaultWindow           = 100 * time.Millisecond
	defaultMaxOverloadShare = 0.04
	defaultDecreaseFactor   = 0.85

	// increase and increaseShare, of the limit, are added after a window in which the limit was in use.
	increase      = 1.0
	increaseShare = 0.02
	// usedShare is the share of the limit from which it counts as in use.
	usedShare = 0.8
	// minEnds is the number of ended requests that a window needs to say something; with fewer it goes on, for
	// maxWindows times its length at most.
	minEnds    = 8
	maxWindows = 20
	// minDecreaseFactor is the deepest cut, and overloadPenalty what each unit of overload share above the bound takes
	// from the factor.
	minDecreaseFactor = 0.5
	overloadPenalty   = 0.5

	// durationSmoothing is the part that the newest duration has in the moving average.
	durationSmoothing = 0.05
	// defaultDurationSeconds stands for the average before the first request has ended.
	defaultDurationSeconds = 0.1
	// minRetryAfter and maxRetryAfter bound the wait of a request that is not admitted.
	minRetryAfter = 5 * time.Millisecond
	maxRetryAfter = 5 * time.Second

	nanosPerSecond = 1e9
)

// Config is the settings of a Limit.
type Config struct {
	Min, Max, Start  float64       // bounds of the limit in open requests, and what it begins with
	Window           time.Duration // after which the limit is adjusted; 0: 100 ms
	MaxOverloadShare float64       // share of ends in a window, not in time or rejected, above which it is cut; 0: 0.04
	DecreaseFactor   float64       // of the lightest cut in a window; 0: 0.85
}

// Limit is a limit on open requests that adapts to how they end. It is not safe for concurrent use.
type Limit struct {
	config Config
	value  float64
	open   float64

	// The window.
	began    time.Duration
	ends     int
	overload int     // of ends, those not in time or rejected
	peak     float64 // of open
	rejected bool    // some request was

	quietUntil   time.Duration // no cut before what was open at the last one has ended
	meanDuration float64       // moving average, in seconds
}

// New returns a limit.
func New(config Config) *Limit {
	if config.Window <= 0 {
		config.Window = defaultWindow
	}
	if config.MaxOverloadShare <= 0 {
		config.MaxOverloadShare = defaultMaxOverloadShare
	}
	if config.DecreaseFactor <= 0 {
		config.DecreaseFactor = defaultDecreaseFactor
	}
	config.Min = max(1, config.Min)
	config.Max = max(config.Min, config.Max)
	return &Limit{config: config, value: min(max(config.Start, config.Min), config.Max)}
}

// Admit takes a request of a tenant in, or returns when a place is likely to be free. open is how many requests the
// tenant has open, portion its part of the limit. Each admission must be released once.
func (l *Limit) Admit(now time.Duration, open int, portion float64) (retryAfter time.Duration, ok bool) {
	l.adjust(now)
	if l.open >= l.value && float64(open)+1 > l.GuaranteedFor(portion) {
		l.rejected = true
		return l.retryAfter(), false
	}
	l.open++
	l.peak = max(l.peak, l.open)
	return 0, true
}

// Outcome is how a request ended, as far as it says something about the load.
type Outcome uint8

// The outcomes.
const (
	InTime          Outcome = iota
	ObjectiveMissed         // later than its latency objective
	Rejected                // by an endpoint or for lack of one, or its time ran out
	NoSignal                // it says nothing: canceled, or over a budget
)

// Release ends a request that was admitted, with how it ended and how long it took.
func (l *Limit) Release(now time.Duration, outcome Outcome, took time.Duration) {
	l.open--
	if outcome == NoSignal {
		return
	}
	l.ends++
	if outcome != InTime {
		l.overload++
	}
	l.meanDuration += durationSmoothing * (took.Seconds() - l.meanDuration)
	l.meanDuration = max(0, l.meanDuration)
	l.adjust(now)
}

// Value returns the limit as it stands.
func (l *Limit) Value() float64 { return l.value }

// Open returns the number of open requests.
func (l *Limit) Open() int { return int(l.open) }

// GuaranteedFor returns how many requests a tenant may always have open, by its portion of the limit from 0 to 1.
func (l *Limit) GuaranteedFor(portion float64) float64 { return l.value * portion }

// retryAfter returns when a place is likely to be free: when the excess has ended at the average pace.
func (l *Limit) retryAfter() time.Duration {
	duration := l.meanDuration
	if duration == 0 {
		duration = defaultDurationSeconds
	}
	excess := l.open - l.value + 1
	wait := time.Duration(duration * excess / max(1, l.open) * nanosPerSecond)
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// adjust ends the window when its time has come.
func (l *Limit) adjust(now time.Duration) {
	if l.began == 0 || now < l.began {
		l.began = now
	}
	passed := now - l.began
	if passed < l.config.Window || l.ends < minEnds && passed < maxWindows*l.config.Window {
		return
	}
	overloadShare := 0.0
	if l.ends > 0 {
		overloadShare = float64(l.overload) / float64(l.ends)
	}
	inUse := l.peak >= usedShare*l.value || l.rejected
	switch {
	case overloadShare > l.config.MaxOverloadShare && now >= l.quietUntil:
		l.decrease(now, overloadShare)
	case overloadShare <= l.config.MaxOverloadShare/2 && inUse:
		l.value += increase + increaseShare*l.value
	}
	l.value = min(max(l.value, l.config.Min), l.config.Max)
	l.began = now
	l.ends, l.overload = 0, 0
	l.peak = l.open
	l.rejected = false
}

// decrease cuts the limit, the deeper the more overload there was. It cuts what was in use, since a limit far above
// that bounds nothing.
func (l *Limit) decrease(now time.Duration, overloadShare float64) {
	penalty := overloadPenalty * (overloadShare - l.config.MaxOverloadShare)
	factor := max(minDecreaseFactor, l.config.DecreaseFactor-penalty)
	l.value = min(l.value, max(l.peak, l.config.Min)) * factor
	l.quietUntil = now + max(l.config.Window, time.Duration(l.meanDuration*nanosPerSecond))
}
