// Package invalidation keeps the recent purges, since caches may still hold copies from before them, and computes in
// constant time how old a copy may be.
//
// Caches drop the purged copies by themselves within Propagation of a purge. A purge is live, and must be observed
// here, until Propagation plus Slack after it was issued.
//
// Invariants: Newest is never before the newest live purge of the object or of its group, so that no purged copy is
// served. After Expire, no expired purge is left.
//
// Bounds: at most MaxPurges are kept, about 6 MB for the default. If there is no space for a live purge, the newest
// such purge applies to all objects until it expires: copies must then be younger than necessary, but are never too
// old. Expire visits only purges that may have expired. Nothing here does I/O; the caller passes the time.
package invalidation

import (
	"time"

	"sloequay/internal/expiry"
)

const (
	// DefaultMaxPurges purges take about 6 MB.
	DefaultMaxPurges = 100_000
	// AnyGroup is the group of a request that does not name one: the purges of all groups apply to it.
	AnyGroup = -1

	clockMargin = 5 * time.Millisecond // for the clock resolution of both sides
	minMaxAge   = time.Millisecond     // 0 would mean any age
)

// Config holds the settings of a Ledger.
type Config struct {
	Propagation time.Duration // time in which caches drop purged copies by themselves
	Slack       time.Duration // added to Propagation, for delayed purges and clock differences
	MaxPurges   int           // 0: DefaultMaxPurges
}

// Ledger holds the live purges. Times are Unix times. It is not safe for concurrent use.
type Ledger struct {
	config         Config
	purges         *expiry.Set[key]
	newestGroup    time.Duration // newest purge of any group; no other group purge expires later
	newestOverflow time.Duration // newest purge for which there was no space
}

// key names an object, or a group if object is 0.
type key struct {
	object uint64
	group  int
}

// New returns an empty ledger.
func New(config Config) *Ledger {
	if config.MaxPurges <= 0 {
		config.MaxPurges = DefaultMaxPurges
	}
	return &Ledger{config: config, purges: expiry.New[key](config.MaxPurges)}
}

// Record records a purge of an object, or of a group if object is 0. It ignores a purge that is older than a recorded
// one of the same object or group, and one that has expired already.
func (l *Ledger) Record(now time.Duration, object uint64, group int, issued time.Duration) {
	if issued <= 0 || issued < l.liveSince(now) {
		return
	}
	target := key{object: object}
	if object == 0 {
		target.group = group
	}
	switch {
	case !l.purges.Put(target, issued):
		l.newestOverflow = max(l.newestOverflow, issued)
	case object == 0:
		l.newestGroup = max(l.newestGroup, issued)
	}
}

// Newest returns when the newest purge that applies to an object of a group was issued, and whether there is one.
func (l *Ledger) Newest(object uint64, group int) (issued time.Duration, ok bool) {
	if object != 0 {
		issued, _ = l.purges.Until(key{object: object})
	}
	groupIssued := l.newestGroup
	if group != AnyGroup {
		groupIssued, _ = l.purges.Until(key{group: group})
	}
	issued = max(issued, groupIssued, l.newestOverflow)
	return issued, issued > 0
}

// MaxAge returns the maximum age, at least 1 ms, of a copy of an object that may be served now. It returns 0 if the
// object was not purged, so that only the limit of its class applies. freshFor is that limit: how long copies are fresh
// in the class of the object; 0: no limit.
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

// Expire drops the expired purges, since caches have dropped all copies from before them.
func (l *Ledger) Expire(now time.Duration) {
	liveSince := l.liveSince(now)
	l.purges.DropBefore(liveSince)
	if l.newestGroup < liveSince {
		l.newestGroup = 0
	}
	if l.newestOverflow < liveSince {
		l.newestOverflow = 0
	}
}

// Len returns the number of purges.
func (l *Ledger) Len() int { return l.purges.Len() }

// liveSince returns the earliest issue time of a purge that is still live.
func (l *Ledger) liveSince(now time.Duration) time.Duration {
	return now - l.config.Propagation - l.config.Slack
}
