// Package retry bounds repeated attempts to a share of first ones, so that a failing box or an impatient team can't multiply
// load: each first try deposits a part of a token, each repeat takes a whole one, and what lies unused melts away. It asks no
// clock and does no I/O.
package retry

import (
	"container/list"
	"math"
	"time"
)

// Config is the settings of budgets. Its zero value allows every repeat.
type Config struct {
	Share  float64       // repeats to first tries; 0: repeats are not limited
	Floor  float64       // repeats a second that are allowed whatever the first tries, for who sends little
	Window time.Duration // in which what lies unused melts to a third; 0: a second
}

// Budget is what is left for repeats. Its zero value is that of somebody new.
//
// Invariant: in any time the repeats allowed are at most Share of the first tries in it, Floor of it, and what was left at its
// beginning, which is at most Share of the first tries of a Window before, as melted, or one.
type Budget struct {
	tokens float64
	at     time.Duration
}

// roll brings the budget up to now: tokens melt, and the floor drips in.
func (b *Budget) roll(now time.Duration, c Config) {
	if b.at == 0 {
		if b.at = max(now, 1); c.Floor > 0 {
			b.tokens = 1
		}
		return
	}
	passed := (now - b.at).Seconds()
	if passed <= 0 {
		return
	}
	window := 1.0
	if c.Window > 0 {
		window = c.Window.Seconds()
	}
	melt := math.Exp(-passed / window)
	// The floor drips in evenly, melting too; where it is slow it still comes to a whole token.
	floor := b.tokens*melt + c.Floor*window*(1-melt)
	if c.Floor > 0 && c.Floor*window < 1 {
		floor = max(floor, min(1, b.tokens+c.Floor*passed))
	}
	b.tokens, b.at = floor, now
}

// Deposit counts a first try.
func (b *Budget) Deposit(now time.Duration, c Config) {
	if c.Share > 0 {
		b.roll(now, c)
		b.tokens += c.Share
	}
}

// Available is how many repeats there are now.
func (b *Budget) Available(now time.Duration, c Config) float64 {
	if c.Share <= 0 {
		return math.Inf(1)
	}
	b.roll(now, c)
	return b.tokens
}

// Withdraw takes a repeat that Left has room for.
func (b *Budget) Withdraw() { b.tokens-- }

// Set is the budgets of many: of boxes, or of teams. It holds at most the number it was made for; whose last attempt is the
// longest ago makes way, and begins anew, with one repeat if there is a floor.
type Set[K comparable] struct {
	cfg    Config
	most   int
	by     map[K]*list.Element
	recent *list.List // of *entry[K], the newest first
}

type entry[K comparable] struct {
	key K
	b   Budget
}

// NewSet makes an empty one.
func NewSet[K comparable](cfg Config, most int) *Set[K] {
	return &Set[K]{cfg: cfg, most: max(1, most), by: map[K]*list.Element{}, recent: list.New()}
}

// Configure takes other settings; what is left stays.
func (s *Set[K]) Configure(cfg Config) { s.cfg = cfg }

// Config is the settings in force.
func (s *Set[K]) Config() Config { return s.cfg }

// Of gives the budget of a key.
func (s *Set[K]) Of(key K) *Budget {
	if e := s.by[key]; e != nil {
		s.recent.MoveToFront(e)
		return &e.Value.(*entry[K]).b
	}
	if len(s.by) >= s.most {
		last := s.recent.Back()
		delete(s.by, last.Value.(*entry[K]).key)
		s.recent.Remove(last)
	}
	e := &entry[K]{key: key}
	s.by[key] = s.recent.PushFront(e)
	return &e.b
}

// Len is the number of budgets held.
func (s *Set[K]) Len() int { return len(s.by) }
