// Package concurrency limits how many requests may be open at the same time so that they meet their latency objectives.
// The limit adapts to how requests end, and is divided among tenants.
//
// The limit grows while it is in use and requests are in time, and is cut when too many miss their objective or are
// rejected after admission: additive increase and multiplicative decrease (Chiu and Jain, 1989). A part of the increase
// is proportional to the limit, so that a large limit is reached again soon after a cut. A limiter that follows the
// gradient of latencies would need the latency without load, which differs by class and size; whether a request was in
// time is always known.
//
// Invariants: Config.Min <= Value <= Config.Max. A tenant whose open requests are below its portion of Value is
// admitted; any other only while the number of all open requests is below Value.
//
// Bounds: a Limit has constant size and each operation takes constant time. It does no I/O; the caller passes the time.
package concurrency

import "time"

const (
	defaultWindow           = 100 * time.Millisecond
	defaultMaxOverloadShare = 0.04
	defaultDecreaseFactor   = 0.85

	// additiveIncrease, in requests, and proportionalIncrease, as a share of the limit, are added to the limit after a
	// window in which it was in use.
	additiveIncrease     = 1.0
	proportionalIncrease = 0.02
	// inUseShare is the share of the limit that must be open for the limit to count as in use.
	inUseShare = 0.8
	// minCompleted is the number of completed requests that a window needs to be conclusive. With fewer, the window is
	// extended to at most maxWindowFactor times its length.
	minCompleted    = 8
	maxWindowFactor = 20
	// minDecreaseFactor is the factor of the deepest cut. overloadPenalty times the overload share above
	// Config.MaxOverloadShare is subtracted from Config.DecreaseFactor.
	minDecreaseFactor = 0.5
	overloadPenalty   = 0.5

	// durationSmoothing is the weight of the newest duration in the moving average.
	durationSmoothing = 0.05
	// defaultDurationSeconds replaces the average before the first request has ended.
	defaultDurationSeconds = 0.1
	// minRetryAfter and maxRetryAfter bound the Retry-After of a request that is not admitted.
	minRetryAfter = 5 * time.Millisecond
	maxRetryAfter = 5 * time.Second

	nanosPerSecond = 1e9
)

// Config holds the settings of a Limit.
type Config struct {
	Min, Max, Start  float64       // bounds and initial value of the limit, in open requests
	Window           time.Duration // interval at which the limit is adjusted; 0: 100 ms
	MaxOverloadShare float64       // share of late or rejected requests in a window above which it is cut; 0: 0.04
	DecreaseFactor   float64       // factor of the smallest cut; 0: 0.85
}

// Limit is a limit on open requests that adapts to how they end. It is not safe for concurrent use.
type Limit struct {
	config Config
	value  float64
	open   float64

	// State of the current window.
	windowStart time.Duration
	completed   int
	overloaded  int     // completed requests that were late or rejected
	peakOpen    float64 // largest value of open
	rejected    bool    // whether Admit rejected a request

	noDecreaseBefore time.Duration // lets the requests that were open at the last cut end first
	meanDuration     float64       // moving average, in seconds
}

// New returns a limit that starts at config.Start, moved within the bounds.
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

// Admit admits a request of a tenant, or returns how long it is likely to take until another request fits. open is the
// number of the tenant's open requests, portion the tenant's share of the limit, from 0 to 1. Each admitted request
// must be released once.
func (l *Limit) Admit(now time.Duration, open int, portion float64) (retryAfter time.Duration, ok bool) {
	l.adjust(now)
	if l.open >= l.value && float64(open)+1 > l.GuaranteedFor(portion) {
		l.rejected = true
		return l.retryAfter(), false
	}
	l.open++
	l.peakOpen = max(l.peakOpen, l.open)
	return 0, true
}

// Outcome is what the end of a request says about the load.
type Outcome uint8

// The outcomes.
const (
	InTime          Outcome = iota
	ObjectiveMissed         // later than its latency objective
	Rejected                // by an endpoint, for lack of an endpoint, or by its deadline
	NoSignal                // nothing about the load: canceled, or over a budget
)

// Release ends an admitted request, given how it ended and how long it took.
func (l *Limit) Release(now time.Duration, outcome Outcome, took time.Duration) {
	l.open--
	if outcome == NoSignal {
		return
	}
	l.completed++
	if outcome != InTime {
		l.overloaded++
	}
	l.meanDuration += durationSmoothing * (took.Seconds() - l.meanDuration)
	l.meanDuration = max(0, l.meanDuration)
	l.adjust(now)
}

// Value returns the current limit.
func (l *Limit) Value() float64 { return l.value }

// Open returns the number of open requests.
func (l *Limit) Open() int { return int(l.open) }

// GuaranteedFor returns how many requests a tenant with a portion of the limit, from 0 to 1, may always have open.
func (l *Limit) GuaranteedFor(portion float64) float64 { return l.value * portion }

// retryAfter returns how long it is likely to take until another request fits: the time in which the requests in excess
// of the limit end at the average rate.
func (l *Limit) retryAfter() time.Duration {
	duration := l.meanDuration
	if duration == 0 {
		duration = defaultDurationSeconds
	}
	excess := l.open - l.value + 1
	wait := time.Duration(duration * excess / max(1, l.open) * nanosPerSecond)
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// adjust ends the window if it is over, and adjusts the limit by how its requests ended.
func (l *Limit) adjust(now time.Duration) {
	if l.windowStart == 0 || now < l.windowStart {
		l.windowStart = now
	}
	elapsed := now - l.windowStart
	if elapsed < l.config.Window || l.completed < minCompleted && elapsed < maxWindowFactor*l.config.Window {
		return
	}
	overloadShare := 0.0
	if l.completed > 0 {
		overloadShare = float64(l.overloaded) / float64(l.completed)
	}
	inUse := l.peakOpen >= inUseShare*l.value || l.rejected
	switch {
	case overloadShare > l.config.MaxOverloadShare && now >= l.noDecreaseBefore:
		l.decrease(now, overloadShare)
	case overloadShare <= l.config.MaxOverloadShare/2 && inUse:
		l.value += additiveIncrease + proportionalIncrease*l.value
	}
	l.value = min(max(l.value, l.config.Min), l.config.Max)
	l.windowStart = now
	l.completed, l.overloaded = 0, 0
	l.peakOpen = l.open
	l.rejected = false
}

// decrease cuts the limit by more for a higher overload share. The cut starts from the largest number of open requests
// in the window if that is below the limit, because a limit far above that number has no effect.
func (l *Limit) decrease(now time.Duration, overloadShare float64) {
	penalty := overloadPenalty * (overloadShare - l.config.MaxOverloadShare)
	factor := max(minDecreaseFactor, l.config.DecreaseFactor-penalty)
	l.value = min(l.value, max(l.peakOpen, l.config.Min)) * factor
	l.noDecreaseBefore = now + max(l.config.Window, time.Duration(l.meanDuration*nanosPerSecond))
}
