package liveness

import "time"

const (
	// maxUnflushed is how long bytes may wait for an endpoint that does not read, until its connection is ended.
	// What waits goes out at a time of its own: after a drain, a purge, or after its client has left, of which the
	// shortest limit is 0.1 s. Connections are looked at every StepInterval.
	maxUnflushed = 70 * time.Millisecond
	// unflushedStep is how far apart the times are that are remembered: what is queued within it counts as queued
	// with the first.
	unflushedStep = 10 * time.Millisecond
)

// queuedBytes is an offset in what was queued on a connection, with the time of the earliest bytes that it stands
// for.
type queuedBytes struct {
	end uint64
	at  time.Duration
}

// unflushed knows since when the oldest byte waits that the system has not taken. Its zero value has nothing queued.
//
// Invariant: the times are those of queueing or earlier by less than unflushedStep, never later.
// Bounds: one entry for each unflushedStep in which something was queued that was not flushed yet.
type unflushed struct {
	queue []queuedBytes // the oldest first
}

// queued notes that the connection's bytes up to an offset were queued by now.
func (u *unflushed) queued(now time.Duration, end uint64) {
	if last := len(u.queue) - 1; last >= 0 && now-u.queue[last].at < unflushedStep {
		u.queue[last].end = end
		return
	}
	u.queue = append(u.queue, queuedBytes{end: end, at: now})
}

// isStuck reports whether bytes have waited for too long, now that all up to an offset were flushed.
func (u *unflushed) isStuck(now time.Duration, flushed uint64) bool {
	done := 0
	for done < len(u.queue) && u.queue[done].end <= flushed {
		done++
	}
	u.queue = u.queue[:copy(u.queue, u.queue[done:])]
	return len(u.queue) > 0 && now-u.queue[0].at > maxUnflushed
}
