package liveness

import "time"

const (
	// maxUnflushed is how long bytes may wait for an endpoint that does not read before its connection is closed.
	// The operating system decides when waiting bytes go out: that may be after a drain or a purge, or after the
	// client has left. The shortest time limit for these is 0.1 s, and a Step runs only every StepInterval.
	maxUnflushed = 70 * time.Millisecond
	// unflushedResolution is the resolution of the recorded times: bytes queued within it of the first bytes of an
	// entry count as queued with them.
	unflushedResolution = 10 * time.Millisecond
)

// queuedBytes is a range of the bytes queued on a connection.
type queuedBytes struct {
	end uint64        // the offset behind the last byte
	at  time.Duration // when the first byte was queued
}

// unflushedBytes tracks how long the oldest byte has waited that the operating system has not accepted. Its zero value
// has nothing queued.
//
// Invariant: a byte's recorded time is when it was queued or less than unflushedResolution earlier, never later.
// Bounds: one entry for each unflushedResolution in which bytes were queued that are not flushed yet.
type unflushedBytes struct {
	queue []queuedBytes // oldest first
}

// add records that the connection's bytes up to the offset end were queued by now.
func (u *unflushedBytes) add(now time.Duration, end uint64) {
	if last := len(u.queue) - 1; last >= 0 && now-u.queue[last].at < unflushedResolution {
		u.queue[last].end = end
		return
	}
	u.queue = append(u.queue, queuedBytes{end: end, at: now})
}

// isStuck reports whether a byte has waited too long. The bytes up to the offset flushed were flushed.
func (u *unflushedBytes) isStuck(now time.Duration, flushed uint64) bool {
	flushedEntries := 0
	for flushedEntries < len(u.queue) && u.queue[flushedEntries].end <= flushed {
		flushedEntries++
	}
	u.queue = u.queue[:copy(u.queue, u.queue[flushedEntries:])]
	return len(u.queue) > 0 && now-u.queue[0].at > maxUnflushed
}
