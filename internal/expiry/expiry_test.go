package expiry

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestSetAgainstAMap compares random keys with a map that is walked, and with the bound.
func TestSetAgainstAMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacity = 5
		set := New[int](capacity)
		plain := map[int]time.Duration{}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			if rapid.IntRange(0, 3).Draw(t, "drop") == 0 {
				bound := time.Duration(rapid.IntRange(0, 100).Draw(t, "bound"))
				set.DropBefore(bound)
				for key, until := range plain {
					if until < bound {
						delete(plain, key)
					}
				}
			}
			key, until := rapid.IntRange(0, 8).Draw(t, "key"), time.Duration(rapid.IntRange(0, 120).Draw(t, "until"))
			old, known := plain[key]
			fits := known || len(plain) < capacity
			if got := set.Put(key, until); got != fits {
				t.Fatalf("put %d among %d: %v, want %v", key, len(plain), got, fits)
			}
			if fits {
				plain[key] = max(old, until)
			}
			for key := range 9 {
				want, wanted := plain[key]
				if got, ok := set.Until(key); got != want || ok != wanted {
					t.Fatalf("%d: %v %v, want %v %v", key, got, ok, want, wanted)
				}
			}
			if set.Len() != len(plain) || len(set.queue) != len(plain) {
				t.Fatalf("%d keys, %d in the queue, want %d", set.Len(), len(set.queue), len(plain))
			}
		}
	})
}

// BenchmarkSet is a key that comes and one that goes.
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
