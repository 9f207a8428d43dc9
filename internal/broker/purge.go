package broker

import (
	"cmp"
	"time"

	"sloequay/internal/policy"
)

// purgeSlack is beyond the time in which endpoints drop older copies by themselves; the policy takes less, since
// MaySend looks again when an attempt that waited is written.
const purgeSlack = 2 * time.Second

// stampLogInterval is the least time between two log entries on stamps.
const stampLogInterval = time.Minute

// purge records a purge, for attempts that wait for their connections, and notifies the policy. It counts as issued
// when it is taken, whatever its stamp says: by a clock that is off, the issuer's or this machine's, copies from before
// it would do. A copy from between is fetched once more than it has to be.
func (b *Broker) purge(event Purge) {
	b.checkStamp(event)
	b.purges.Record(b.now, event.Object, event.Group, b.now)
	b.notify(policy.PurgeEvent{Object: event.Object, Group: event.Group})
}

// checkStamp logs where a purge is stamped for a time at which it can't have been issued, unless it came very late:
// endpoints would have dropped the older copies by now, or it lies in the future.
func (b *Broker) checkStamp(event Purge) {
	age := b.now - b.offsets.LatestMonotonic(event.Issued)
	isPlausible := age <= b.config.PurgePropagation+purgeSlack && age >= -purgeSlack
	isLogged := b.stampLoggedAt > 0 && b.now-b.stampLoggedAt < stampLogInterval
	if isPlausible || isLogged {
		return
	}
	b.stampLoggedAt = b.now
	b.log("purge-stamp-implausible", "age", age)
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
