package liveness

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestUnflushedBytesFindsStuckBytes compares isStuck with a reference that keeps the time of each byte: a byte that has
// waited longer than maxUnflushed is stuck, one that has waited up to unflushedResolution less than that is not.
func TestUnflushedBytesFindsStuckBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var queued unflushedBytes
		var queuedAt []time.Duration // time of each byte
		now, flushed := time.Duration(0), 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond
			for range rapid.IntRange(0, 3).Draw(t, "bytes") {
				queuedAt = append(queuedAt, now)
				queued.add(now, uint64(len(queuedAt)))
			}
			flushed = rapid.IntRange(flushed, len(queuedAt)).Draw(t, "flushed")
			stuck := queued.isStuck(now, uint64(flushed))
			waited := time.Duration(0)
			if flushed < len(queuedAt) {
				waited = now - queuedAt[flushed]
			}
			if stuck && waited+unflushedResolution <= maxUnflushed || !stuck && waited > maxUnflushed {
				t.Fatalf("isStuck: got %v after the oldest byte had waited %v", stuck, waited)
			}
			if bound := int(maxUnflushed/unflushedResolution) + 30; len(queued.queue) > bound && !stuck {
				t.Fatalf("got %d entries, want fewer", len(queued.queue))
			}
		}
	})
}
