package upstream

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestIDHistory compares with the plainest model, which remembers all that ever happened under an id: after expire an
// id is remembered if the last of it is within its lifetime, and that alone counts.
func TestIDHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := newIDHistory()
		last := map[string]idEntry{}
		now := time.Second
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			digest := fmt.Sprint("EIO - ", rapid.IntRange(0, 1).Draw(t, "digest"))
			switch rapid.IntRange(0, 3).Draw(t, "act") {
			case 0:
				history.canceled(now, id)
				last[id] = idEntry{at: now}
			case 1:
				history.answered(now, id, digest)
				last[id] = idEntry{at: now, digest: digest}
			}
			history.expire(now)
			entry, known := last[id]
			age := now - entry.at
			wasCanceled := known && entry.digest == "" && age <= 10*time.Second
			wasAnswered := known && entry.digest != "" && age <= time.Second
			if got := history.contains(id); got != (wasCanceled || wasAnswered) {
				t.Fatalf("contains is %v with %+v %v ago", got, entry, age)
			}
			if got := history.isAmbiguous(id, true); got != wasCanceled {
				t.Fatalf("ambiguous is %v where it can be confirmed, with %+v %v ago", got, entry, age)
			}
			if got := history.isAmbiguous(id, false); got != (wasCanceled || wasAnswered) {
				t.Fatalf("ambiguous is %v where it can't be confirmed, with %+v %v ago", got, entry, age)
			}
			if got := history.isRepeated(id, digest); got != (wasAnswered && entry.digest == digest) {
				t.Fatalf("repeated is %v with %+v %v ago", got, entry, age)
			}
		}
	})
}
