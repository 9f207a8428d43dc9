package rendezvous

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// sorted is the plain way: score all, sort all.
func sorted(set *Set, key uint64) []scored {
	order := make([]scored, set.Len())
	for i := range order {
		order[i] = scored{set.Score(i, key), int32(i)}
	}
	slices.SortStableFunc(order, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	return order
}

// TestOrderIsTheFullSort takes random sets of all sizes about the border of the first walk, equal weights and equal
// ids among them, and reads random places in random turns.
func TestOrderIsTheFullSort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var set Set
		n := rapid.IntRange(0, 60).Draw(t, "members")
		if rapid.Bool().Draw(t, "large") {
			n = rapid.IntRange(60, 3000).Draw(t, "many")
		}
		weights := rapid.SampledFrom([][]float64{{8}, {1, 40}, {0.001, 1, 1e9}, {3, 5, 7, 11}}).Draw(t, "weights")
		ids := rapid.SampledFrom([]uint64{3, 1 << 20, math.MaxUint64}).Draw(t, "ids")
		seed := rapid.Uint64().Draw(t, "seed")
		for i := range n {
			draw := Hash(seed + uint64(i))
			set.Add(draw%ids, weights[draw>>32%uint64(len(weights))])
		}
		var order Order
		for range 3 {
			key := rapid.Uint64().Draw(t, "key")
			want := sorted(&set, key)
			every := rapid.SampledFrom([]uint64{1, 2, 7, 1 << 40}).Draw(t, "one in so many is skipped")
			for i := range n {
				set.SkipUntil(i, 0)
				if Hash(seed^uint64(i))%every == 0 {
					set.SkipUntil(i, 5)
				}
			}
			remaining := want[:0:0]
			for i, member := range want {
				if i < alwaysRanked || set.skipUntil[member.index] <= 4 {
					remaining = append(remaining, member)
				}
			}
			want, n := remaining, len(remaining)
			order.Begin(&set, key, 4)
			for range 12 {
				at := rapid.IntRange(0, n+1).Draw(t, "at")
				got, ok := order.At(at)
				if rapid.Bool().Draw(t, "skipped meanwhile") && ok {
					set.SkipUntil(got, 9) // what was given stays
				}
				if ok != (at < n) || ok && got != int(want[at].index) {
					t.Fatalf("place %d of %d: got %d %v, want %v", at, n, got, ok, want[:min(at+1, n)])
				}
			}
		}
	})
}

// TestShares: each member is first for its part of the keys, by weight, and the loss of one moves no other's keys.
func TestShares(t *testing.T) {
	var all, less Set
	for i := range 20 {
		all.Add(uint64(i), float64(1+i%4))
		if i != 7 {
			less.Add(uint64(i), float64(1+i%4))
		}
	}
	var orderOfAll, orderOfLess Order
	firsts := map[uint64]int{}
	const keys = 50000
	for k := range keys {
		key := Hash(uint64(k))
		orderOfAll.Begin(&all, key, 0)
		orderOfLess.Begin(&less, key, 0)
		i, _ := orderOfAll.At(0)
		j, _ := orderOfLess.At(0)
		before, after := all.ids[i], less.ids[j]
		firsts[before]++
		if before != 7 && after != before {
			t.Fatalf("key %x went from %d to %d, though neither is the one lost", key, before, after)
		}
	}
	for id, n := range firsts {
		want := keys * float64(1+id%4) / 50
		if math.Abs(float64(n)-want) > 6*math.Sqrt(want) {
			t.Errorf("member %d is first for %d keys, want about %.0f", id, n, want)
		}
	}
}

// BenchmarkFirstTwo reads two places, as most requests do, the plain way and this one.
func BenchmarkFirstTwo(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000, 100000} {
		var set Set
		for i := range n {
			set.Add(Hash(uint64(i)), float64(1+i%12))
		}
		b.Run(fmt.Sprintf("plain/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				order := sorted(&set, Hash(uint64(i)))
				_ = order[1]
			}
		})
		b.Run(fmt.Sprintf("order/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			var order Order
			for i := range b.N {
				order.Begin(&set, Hash(uint64(i)), 0)
				order.At(0)
				order.At(1)
			}
		})
	}
}
