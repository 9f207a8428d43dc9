package expiry

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestSetAgainstMap compares a set with a plain map under random operations, and checks its capacity.
func TestSetAgainstMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacity = 5
		set := New[int](capacity)
		model := map[int]time.Duration{}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			if rapid.IntRange(0, 3).Draw(t, "drop") == 0 {
				bound := time.Duration(rapid.IntRange(0, 100).Draw(t, "bound"))
				set.DropBefore(bound)
				for key, until := range model {
					if until < bound {
						delete(model, key)
					}
				}
			}
			key, until := rapid.IntRange(0, 8).Draw(t, "key"), time.Duration(rapid.IntRange(0, 120).Draw(t, "until"))
			old, known := model[key]
			fits := known || len(model) < capacity
			if got := set.Put(key, until); got != fits {
				t.Fatalf("Put(%d) in a set of %d keys: got %v, want %v", key, len(model), got, fits)
			}
			if fits {
				model[key] = max(old, until)
			}
			for key := range 9 {
				want, isWanted := model[key]
				if got, ok := set.Until(key); got != want || ok != isWanted {
					t.Fatalf("Until(%d): got %v, %v, want %v, %v", key, got, ok, want, isWanted)
				}
			}
			if set.Len() != len(model) || len(set.queue) != len(model) {
				t.Fatalf("got %d keys, %d of them in the queue, want %d", set.Len(), len(set.queue), len(model))
			}
		}
	})
}

// BenchmarkSet measures adding one key and removing another.
func BenchmarkSet(b *testing.B) {
	for _, count := range []int{100, 100_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			b.ReportAllocs()
			set := New[int](count + 1)
			for key := range count {
				set.Put(key, time.Duration(key))
			}
			b.ResetTimer()
			for i := range b.N {
				set.Put(count+i, time.Duration(count+i))
				set.DropBefore(time.Duration(i + 1))
			}
		})
	}
}
