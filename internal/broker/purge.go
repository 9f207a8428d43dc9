package broker

import (
	"cmp"
	"time"

	"sloequay/internal/policy"
)

// purgeSlack is how long the broker keeps a purge beyond the time in which endpoints drop older copies by themselves.
// It is longer than the policy's: an attempt may wait for its connection after the policy's decision, and MaySend
// checks it against the purges again when it is written.
const purgeSlack = 2 * time.Second

// stampLogInterval is the minimum time between two log entries on implausible stamps.
const stampLogInterval = time.Minute

// purge records a purge for attempts that wait for their connections, and notifies the policy. The purge counts as
// issued now, whatever its stamp says: if the issuer's clock or this machine's is wrong, the stamp could allow copies
// from before the purge. The cost is that a copy made between the issue and now is fetched once more than necessary.
func (b *Broker) purge(event Purge) {
	b.checkStamp(event)
	b.purges.Record(b.now, event.Object, event.Group, b.now)
	b.notify(policy.PurgeEvent{Object: event.Object, Group: event.Group})
}

// checkStamp logs an implausible stamp of a purge: one in the future, or one so old that endpoints would have dropped
// the older copies by now. Unless the purge was badly delayed, a clock is wrong.
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

// maxAge returns the maximum age of a copy that may serve an attempt written now; 0: the limit of the class.
func (b *Broker) maxAge(attempt *Attempt, now time.Duration) time.Duration {
	request := attempt.Request
	sincePurge := b.purges.MaxAge(now, request.Object, request.Group, b.class(request).FreshFor)
	if sincePurge == 0 {
		return attempt.MaxAge
	}
	// The policy's limit dates from its decision, so by now it is stricter than necessary.
	return min(cmp.Or(attempt.MaxAge, sincePurge), sincePurge)
}
