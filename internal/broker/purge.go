package broker

import (
	"cmp"
	"time"

	"sloequay/internal/policy"
)

// purgeSlack is beyond the time in which endpoints drop older copies by themselves; the policy takes less, since
// MaySend looks again when an attempt that waited is written.
const purgeSlack = 2 * time.Second

// purge records a purge, for attempts that wait for their connections, and notifies the policy.
func (b *Broker) purge(event Purge) {
	issued := min(b.now, max(b.offsets.Latest(event.Issued), event.IssuedAfter))
	b.purges.Record(b.now, event.Object, event.Group, issued)
	b.notify(policy.PurgeEvent{Object: event.Object, Group: event.Group, Age: b.now - issued})
}

// maxAge is the age of the oldest copy that will do for an attempt that is written now; 0: the class's own limit.
func (b *Broker) maxAge(attempt *Attempt, now time.Duration) time.Duration {
	request := attempt.Request
	sincePurge := b.purges.MaxAge(now, request.Object, request.Group, b.class(request).FreshFor)
	if sincePurge == 0 {
		return attempt.MaxAge
	}
	// What the policy asked for is as old as the decision, and so asks for a younger copy by now than it has to.
	return min(cmp.Or(attempt.MaxAge, sincePurge), sincePurge)
}
