// Package invalidation keeps the purges that cached copies may still be older than, and says in constant time how old a
// copy may be.
//
// Invariants: Newest is never before the newest live purge of the object or of its group, so no copy that was purged is
// served; after Expire no purge is left that is past its time. Caches drop their older copies by themselves within
// Propagation of a purge, so that one is live until Propagation and Slack after it was issued.
//
// Bounds: at most MaxPurges are kept, some 6 MB for the default. Where there is no place for a live purge, the newest
// such one counts for all objects until it is past its time: that asks for younger copies than needed, never for older
// ones. Expire looks only at purges that may be past their time. Nothing here does I/O; the caller passes the time.
package invalidation

import (
	"container/heap"
	"time"
)

const (
	// DefaultMaxPurges is some 6 MB of purges.
	DefaultMaxPurges = 100_000
	// AnyGroup is the group of a request that doesn't name one: it may be in any.
	AnyGroup = -1
)

// Config bounds a Ledger.
type Config struct {
	Propagation time.Duration // in which caches drop older copies by themselves
	Slack       time.Duration // added to it, for purges that come late and for clocks
	MaxPurges   int           // 0: DefaultMaxPurges
}

// Ledger is the live purges. Times are on the Unix clock. It is not safe for concurrent use.
type Ledger struct {
	config      Config
	issued      map[key]time.Duration
	expiry      expiryHeap
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
	return &Ledger{config: config, issued: map[key]time.Duration{}}
}

// Record takes a purge of an object, or of a group where object is 0. An older one of the same changes nothing, and
// neither does one that is past its time already.
func (l *Ledger) Record(now time.Duration, object uint64, group int, issued time.Duration) {
	purged := key{object: object}
	if object == 0 {
		purged.group = group
	}
	old, known := l.issued[purged]
	switch {
	case issued <= old, issued < l.liveSince(now):
		return
	case !known && len(l.issued) >= l.config.MaxPurges:
		l.overflow = max(l.overflow, issued)
		return
	}
	l.issued[purged] = issued
	if !known { // a known key keeps its place in the heap; Expire moves it
		heap.Push(&l.expiry, expiry{issued, purged})
	}
	if object == 0 {
		l.newestGroup = max(l.newestGroup, issued)
	}
}

// Newest returns when the newest purge was issued that concerns an object of a group, and whether there is one.
func (l *Ledger) Newest(object uint64, group int) (issued time.Duration, ok bool) {
	if object != 0 {
		issued = l.issued[key{object: object}]
	}
	if group == AnyGroup {
		issued = max(issued, l.newestGroup)
	} else {
		issued = max(issued, l.issued[key{group: group}])
	}
	issued = max(issued, l.overflow)
	return issued, issued > 0
}

// Expire drops what no copy can be older than any more.
func (l *Ledger) Expire(now time.Duration) {
	liveSince := l.liveSince(now)
	for len(l.expiry) > 0 && l.expiry[0].issued < liveSince {
		first := &l.expiry[0]
		if issued := l.issued[first.key]; issued > first.issued { // purged again meanwhile
			first.issued = issued
			heap.Fix(&l.expiry, 0)
			continue
		}
		delete(l.issued, first.key)
		heap.Pop(&l.expiry)
	}
	if l.newestGroup < liveSince {
		l.newestGroup = 0
	}
	if l.overflow < liveSince {
		l.overflow = 0
	}
}

// Len returns the number of purges.
func (l *Ledger) Len() int { return len(l.issued) }

// liveSince returns when the oldest purge that is still live may have been issued.
func (l *Ledger) liveSince(now time.Duration) time.Duration {
	return now - l.config.Propagation - l.config.Slack
}

// expiry is a purge in the order in which they expire.
type expiry struct {
	issued time.Duration
	key    key
}

// expiryHeap has the purge that may expire first at its root.
type expiryHeap []expiry

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].issued < h[j].issued }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *expiryHeap) Push(x any)        { *h = append(*h, x.(expiry)) }
func (h *expiryHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
