package upstream

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestIDHistory compares the history with a reference that keeps the last entry of each id forever: after expire, an id
// is remembered exactly while its last entry is within its lifetime, and no earlier entry counts.
func TestIDHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := newIDHistory()
		last := map[string]idEntry{}
		now := time.Second
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			digest := fmt.Sprint("EIO - ", rapid.IntRange(0, 1).Draw(t, "digest"))
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				history.addCanceled(now, id)
				last[id] = idEntry{at: now}
			case 1:
				history.addAnswered(now, id, digest)
				last[id] = idEntry{at: now, digest: digest}
			}
			history.expire(now)
			entry, known := last[id]
			age := now - entry.at
			wasCanceled := known && entry.digest == "" && age <= 10*time.Second
			wasAnswered := known && entry.digest != "" && age <= time.Second
			if got := history.contains(id); got != (wasCanceled || wasAnswered) {
				t.Fatalf("contains: got %v with the last entry %+v, made %v ago", got, entry, age)
			}
			if got := history.isAmbiguous(id, true); got != wasCanceled {
				t.Fatalf("isAmbiguous(true): got %v with the last entry %+v, made %v ago", got, entry, age)
			}
			if got := history.isAmbiguous(id, false); got != (wasCanceled || wasAnswered) {
				t.Fatalf("isAmbiguous(false): got %v with the last entry %+v, made %v ago", got, entry, age)
			}
			if got := history.isRepeated(id, digest); got != (wasAnswered && entry.digest == digest) {
				t.Fatalf("isRepeated: got %v with the last entry %+v, made %v ago", got, entry, age)
			}
		}
	})
}
