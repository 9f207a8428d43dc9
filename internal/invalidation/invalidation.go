// Package invalidation keeps the purges that cached copies may still be older than, and says in constant time how old a
// copy may be.
//
// Invariants: Newest is never before the newest live purge of the object or of its group, so no copy that was purged is
// served; after Expire no purge is left that is past its time. Caches drop their older copies by themselves within
// Propagation of a purge, so that one is live until Propagation and Slack after it was issued.
//
// Bounds: at most MaxPurges are kept, some 6 MB for the default. Where there is no place for a live purge, the newest
// such one counts for all objects until it is past its time: copies must then be younger than needed, never older.
// Expire looks only at purges that may be past their time. Nothing here does I/O; the caller passes the time.
package invalidation

import (
	"time"

	"sloequay/internal/expiry"
)

const (
	// DefaultMaxPurges is some 6 MB of purges.
	DefaultMaxPurges = 100_000
	// AnyGroup is the group of a request that doesn't name one: it may be in any.
	AnyGroup = -1

	clockMargin = 5 * time.Millisecond // for the clock ticks of both sides
	minMaxAge   = time.Millisecond     // 0 would mean "any age"
)

// Config bounds a Ledger.
type Config struct {
	Propagation time.Duration // in which caches drop older copies by themselves
	Slack       time.Duration // added to it, for delayed purges and for clocks that differ
	MaxPurges   int           // 0: DefaultMaxPurges
}

// Ledger is the live purges. Times are on the Unix clock. It is not safe for concurrent use.
type Ledger struct {
	config      Config
	issued      *expiry.Set[key]
	newestGroup time.Duration // the newest purge of any group: it is the last of them to expire
	overflow    time.Duration // the newest purge that there was no place for
}

// key is an object, or a group where object is 0.
type key struct {
	object uint64
	group  int
}

// New returns an empty ledger.
func New(config Config) *Ledger {
	if config.MaxPurges <= 0 {
		config.MaxPurges = DefaultMaxPurges
	}
	return &Ledger{config: config, issued: expiry.New[key](config.MaxPurges)}
}

// Record takes a purge of an object, or of a group where object is 0. An older one of the same changes nothing, and
// neither does one that is past its time already.
func (l *Ledger) Record(now time.Duration, object uint64, group int, issued time.Duration) {
	if issued <= 0 || issued < l.liveSince(now) {
		return
	}
	purged := key{object: object}
	if object == 0 {
		purged.group = group
	}
	switch {
	case !l.issued.Put(purged, issued):
		l.overflow = max(l.overflow, issued)
	case object == 0:
		l.newestGroup = max(l.newestGroup, issued)
	}
}

// Newest returns when the newest purge was issued that concerns an object of a group, and whether there is one.
func (l *Ledger) Newest(object uint64, group int) (issued time.Duration, ok bool) {
	if object != 0 {
		issued, _ = l.issued.Until(key{object: object})
	}
	ofGroup := l.newestGroup
	if group != AnyGroup {
		ofGroup, _ = l.issued.Until(key{group: group})
	}
	issued = max(issued, ofGroup, l.overflow)
	return issued, issued > 0
}

// MaxAge returns the age of the oldest copy of an object that may be served now, at least 1 ms; 0: the object was not
// purged, and the limit of its class is the only one. A class in which copies are fresh for freshFor asks for none that
// is older; 0: it has no such limit.
func (l *Ledger) MaxAge(now time.Duration, object uint64, group int, freshFor time.Duration) time.Duration {
	issued, purged := l.Newest(object, group)
	if !purged {
		return 0
	}
	age := max(minMaxAge, now-issued-clockMargin)
	if freshFor > 0 {
		age = min(age, freshFor)
	}
	return age
}

// Expire drops what no copy can be older than any more.
func (l *Ledger) Expire(now time.Duration) {
	liveSince := l.liveSince(now)
	l.issued.DropBefore(liveSince)
	if l.newestGroup < liveSince {
		l.newestGroup = 0
	}
	if l.overflow < liveSince {
		l.overflow = 0
	}
}

// Len returns the number of purges.
func (l *Ledger) Len() int { return l.issued.Len() }

// liveSince returns when the oldest purge that is still live may have been issued.
func (l *Ledger) liveSince(now time.Duration) time.Duration {
	return now - l.config.Propagation - l.config.Slack
}
