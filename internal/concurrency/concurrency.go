// Package concurrency learns how many requests may be open together so that they still come in time, from how those end, and
// divides that among contracts. It does no I/O and asks no clock.
//
// The limit grows while it is in use and requests come in time, and is cut when too many come late or are turned away further
// on: additive increase and multiplicative decrease (Chiu and Jain, 1989), with a part of growth that goes with its size so that a
// large one is found again soon. A gradient on answer times would need to know what an unloaded time is, and that is
// another for each class and size; whether a request was in time is known.
package concurrency

import "time"

// Config is the settings of a Limit.
type Config struct {
	Min, Max, Start  float64       // bounds of the limit in open requests, and what it begins with
	Window           time.Duration // after which the limit is looked at; 0: 100 ms
	MaxOverloadShare float64       // share of ends in a window, late or turned away, above which it is cut; 0: 0.04
	DecreaseFactor   float64       // what it is cut to at most in a window; 0: 0.85
}

// growth of the limit in a window in which it was in use.
const (
	growBy   = 1.0
	growPart = 0.02
	inUse    = 0.8 // of the limit, from which it counts as in use
	fewest   = 8   // ends of a window that say something; with fewer the window goes on
	longest  = 20  // windows that one may go on for
)

// Outcome is how a request ended, as far as it tells of the load.
type Outcome uint8

// The outcomes.
const (
	InTime          Outcome = iota
	ObjectiveMissed         // later than it was wanted
	Rejected                // a box or the module turned it away, or its time ran out
	NoSignal                // it says nothing: taken back, or over a budget
)

// Limit is the state. It is not safe for concurrent use.
//
// Invariants: Least <= Value <= Most; a tenant whose open requests are below its part of Value is admitted; any other only while
// all that is open is below Value.
type Limit struct {
	cfg        Config
	value      float64
	open       float64
	peak       float64 // of open in the window
	began      time.Duration
	ends, bad  int
	quiet      time.Duration // a cut is not followed by another before what was open then has ended
	meanTook   float64       // seconds
	refusedNow bool
}

// New makes a limit.
func New(cfg Config) *Limit {
	if cfg.Window <= 0 {
		cfg.Window = 100 * time.Millisecond
	}
	if cfg.MaxOverloadShare <= 0 {
		cfg.MaxOverloadShare = 0.04
	}
	if cfg.DecreaseFactor <= 0 {
		cfg.DecreaseFactor = 0.85
	}
	cfg.Min = max(1, cfg.Min)
	cfg.Max = max(cfg.Min, cfg.Max)
	return &Limit{cfg: cfg, value: min(max(cfg.Start, cfg.Min), cfg.Max)}
}

// Value is the limit as it stands, and Open what is open.
func (l *Limit) Value() float64 { return l.value }

// Open is the number of requests open.
func (l *Limit) Open() int { return int(l.open) }

// GuaranteedFor is what a tenant with a portion of the whole, from 0 to 1, may always have open.
func (l *Limit) GuaranteedFor(portion float64) float64 { return l.value * portion }

// Admit takes a request in, of a tenant with so many open and a portion of the whole, or says when a place is likely. What is
// admitted must be Done.
func (l *Limit) Admit(now time.Duration, open int, portion float64) (wait time.Duration, ok bool) {
	l.roll(now)
	if l.open >= l.value && float64(open)+1 > max(l.GuaranteedFor(portion), 0) {
		l.refusedNow = true
		return l.wait(), false
	}
	l.open++
	l.peak = max(l.peak, l.open)
	return 0, true
}

// wait is when a place is likely: the excess ends at the pace of late.
func (l *Limit) wait() time.Duration {
	took := l.meanTook
	if took == 0 {
		took = 0.1
	}
	excess := l.open - l.value + 1
	wait := time.Duration(took * excess / max(1, l.open) * 1e9)
	return min(max(wait, 5*time.Millisecond), 5*time.Second)
}

// Release takes the end of a request that was admitted, and how long it took.
func (l *Limit) Release(now time.Duration, o Outcome, took time.Duration) {
	l.open--
	if o == NoSignal {
		return
	}
	l.ends++
	if o != InTime {
		l.bad++
	}
	const part = 0.05
	if l.meanTook += part * (took.Seconds() - l.meanTook); l.meanTook < 0 {
		l.meanTook = 0
	}
	l.roll(now)
}

// roll ends a window when its time has come.
func (l *Limit) roll(now time.Duration) {
	if l.began == 0 || now < l.began {
		l.began = now
	}
	passed := now - l.began
	if passed < l.cfg.Window || l.ends < fewest && passed < longest*l.cfg.Window {
		return
	}
	bad := 0.0
	if l.ends > 0 {
		bad = float64(l.bad) / float64(l.ends)
	}
	switch {
	case bad > l.cfg.MaxOverloadShare && now >= l.quiet:
		// The worse it is the deeper the cut, down to a half; from what was in use, since a limit far above that binds nothing.
		cut := max(0.5, l.cfg.DecreaseFactor-0.5*(bad-l.cfg.MaxOverloadShare))
		l.value = min(l.value, max(l.peak, l.cfg.Min)) * cut
		l.quiet = now + max(l.cfg.Window, time.Duration(l.meanTook*1e9))
	case bad <= l.cfg.MaxOverloadShare/2 && (l.peak >= inUse*l.value || l.refusedNow):
		l.value += growBy + growPart*l.value
	}
	l.value = min(max(l.value, l.cfg.Min), l.cfg.Max)
	l.began, l.ends, l.bad, l.peak, l.refusedNow = now, 0, 0, l.open, false
}
