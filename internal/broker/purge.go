package broker

import (
	"time"

	"sloequay/internal/policy"
)

const (
	// purgeMargin is the clock ticks of both sides.
	purgeMargin = 5 * time.Millisecond
	// purgeSlack is beyond the time in which endpoints drop older copies by themselves; the policy takes less, since
	// MaySend looks again when an attempt that waited is written.
	purgeSlack = 2 * time.Second
	// minMaxAge is the least age that can be asked for: 0 would mean any.
	minMaxAge = time.Millisecond
)

// purge records a purge, for attempts that wait for their connections, and notifies the policy.
func (b *Broker) purge(event Purge) {
	issued := min(b.now, max(b.offsets.Latest(event.Issued), event.IssuedAfter))
	b.purges.Record(b.now, event.Object, event.Group, issued)
	b.notify(policy.PurgeEvent{Object: event.Object, Group: event.Group, Age: b.now - issued})
}

// maxAge is the age of the oldest copy that will do for an attempt that is written now; 0: the class's own limit.
func (b *Broker) maxAge(attempt *Attempt, now time.Duration) time.Duration {
	request := attempt.Request
	maxAge := attempt.MaxAge // since the decision, so it asks for a younger copy by now than it has to
	issued, purged := b.purges.Newest(request.Object, request.Group)
	if !purged {
		return maxAge
	}
	sincePurge := max(minMaxAge, now-issued-purgeMargin)
	if maxAge != 0 && maxAge <= sincePurge {
		return maxAge
	}
	if fresh := b.class(request).FreshFor; fresh > 0 {
		return min(sincePurge, fresh)
	}
	return sincePurge
}
