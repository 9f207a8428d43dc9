// Package invalidation keeps the purges that copies may still be older than, and says in constant time how old a copy may be.
//
// The rule for dropping one: boxes drop their older copies by themselves within Takes of a purge, so once it was issued
// Takes and Slack ago no copy can be older than it and be served. Until then it must be kept, however many there are:
// Most bounds them, and beyond it the ledger falls back on the newest of what it could not keep, for all objects alike,
// which asks for younger copies than needed and never for older ones.
//
// Invariants: Newest is never before the newest live purge that fits the object or its group; after Expire nothing is
// held that is past its time. It is not safe for concurrent use.
package invalidation

import (
	"container/heap"
	"time"
)

// Config bounds a Ledger.
type Config struct {
	Propagation time.Duration // in which boxes drop older copies by themselves
	Slack       time.Duration // added to it, for what is told late and for clocks
	MaxPurges   int           // purges held; 0: DefaultMost
}

// DefaultMaxPurges is some 6 MB of purges.
const DefaultMaxPurges = 100_000

// AnyGroup stands for a request that does not tell its group: it may be in any.
const AnyGroup = -1

// key is an object, or a group where object is 0.
type key struct {
	object uint64
	group  int
}

// Ledger is the live purges. Times are on the Unix clock.
type Ledger struct {
	cfg    Config
	issued map[key]time.Duration
	expiry expiries
	group  time.Duration // the newest of any group: the last of them to expire, so one time does
	rest   time.Duration // the newest purge that there was no place for
}

// New makes an empty ledger.
func New(cfg Config) *Ledger {
	if cfg.MaxPurges <= 0 {
		cfg.MaxPurges = DefaultMaxPurges
	}
	return &Ledger{cfg: cfg, issued: map[key]time.Duration{}}
}

// Len is the number of purges held.
func (l *Ledger) Len() int { return len(l.issued) }

// Record takes a purge of an object, or of a group where object is 0. An older one of the same changes nothing, and so
// does one that is past its time already.
func (l *Ledger) Record(now time.Duration, object uint64, group int, issued time.Duration) {
	k := key{object, group}
	if object != 0 {
		k.group = 0
	}
	old, held := l.issued[k]
	switch {
	case issued <= old, now-issued > l.cfg.Propagation+l.cfg.Slack:
		return
	case !held && len(l.issued) >= l.cfg.MaxPurges:
		l.rest = max(l.rest, issued)
		return
	}
	l.issued[k] = issued
	if !held { // a key that is held stays where it is; Expire puts it off
		heap.Push(&l.expiry, expiry{issued, k})
	}
	if object == 0 {
		l.group = max(l.group, issued)
	}
}

// Newest is when the newest purge was issued that concerns an object of a group, and whether there is one.
func (l *Ledger) Newest(object uint64, group int) (time.Duration, bool) {
	at, ok := l.issued[key{object, 0}]
	if object == 0 {
		at, ok = 0, false
	}
	if group == AnyGroup {
		if l.group > 0 {
			at, ok = max(at, l.group), true
		}
	} else if g, any := l.issued[key{0, group}]; any {
		at, ok = max(at, g), true
	}
	if l.rest > 0 {
		at, ok = max(at, l.rest), true
	}
	return at, ok
}

// Expire drops what no copy can be older than any more. It looks only at what has fallen due.
func (l *Ledger) Expire(now time.Duration) {
	over := now - l.cfg.Propagation - l.cfg.Slack
	for len(l.expiry) > 0 && l.expiry[0].issued < over {
		first := &l.expiry[0]
		if at := l.issued[first.key]; at > first.issued { // purged again meanwhile
			first.issued = at
			heap.Fix(&l.expiry, 0)
			continue
		}
		delete(l.issued, first.key)
		heap.Pop(&l.expiry)
	}
	if l.group < over {
		l.group = 0
	}
	if l.rest < over {
		l.rest = 0
	}
}

// expiry is a purge in the order in which they fall due.
type expiry struct {
	issued time.Duration
	key    key
}

type expiries []expiry

func (e expiries) Len() int           { return len(e) }
func (e expiries) Less(i, j int) bool { return e[i].issued < e[j].issued }
func (e expiries) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *expiries) Push(x any)        { *e = append(*e, x.(expiry)) }
func (e *expiries) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
