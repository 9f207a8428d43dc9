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
func sorted(s *Set, key uint64) []ranked {
	order := make([]ranked, s.Len())
	for i := range order {
		order[i] = ranked{s.Score(i, key), int32(i)}
	}
	slices.SortStableFunc(order, func(a, b ranked) int { return cmp.Compare(b.score, a.score) })
	return order
}

// TestOrderIsTheFullSort takes random sets of all sizes about the border of the first walk, equal weights and equal ids
// among them, and looks at random places in random turns.
func TestOrderIsTheFullSort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Set
		n := rapid.IntRange(0, 60).Draw(t, "members")
		if rapid.Bool().Draw(t, "large") {
			n = rapid.IntRange(60, 3000).Draw(t, "many")
		}
		weights := rapid.SampledFrom([][]float64{{8}, {1, 40}, {0.001, 1, 1e9}, {3, 5, 7, 11}}).Draw(t, "weights")
		ids := rapid.SampledFrom([]uint64{3, 1 << 20, math.MaxUint64}).Draw(t, "ids")
		seed := rapid.Uint64().Draw(t, "seed")
		for i := range n {
			draw := Hash(seed + uint64(i))
			s.Add(draw%ids, weights[draw>>32%uint64(len(weights))])
		}
		var o Order
		for range 3 {
			key := rapid.Uint64().Draw(t, "key")
			want := sorted(&s, key)
			every := rapid.SampledFrom([]uint64{1, 2, 7, 1 << 40}).Draw(t, "each so manieth is shut")
			for i := range n {
				s.SkipUntil(i, 0)
				if Hash(seed^uint64(i))%every == 0 {
					s.SkipUntil(i, 5)
				}
			}
			kept := want[:0:0]
			for i, r := range want {
				if i < always || s.shut[r.index] <= 4 {
					kept = append(kept, r)
				}
			}
			want, n := kept, len(kept)
			o.Begin(&s, key, 4)
			for range 12 {
				at := rapid.IntRange(0, n+1).Draw(t, "at")
				got, ok := o.At(at)
				if rapid.Bool().Draw(t, "shut meanwhile") && ok {
					s.SkipUntil(got, 9) // what was given stays
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
	var o, p Order
	firsts := map[uint64]int{}
	const keys = 50000
	for k := range keys {
		key := Hash(uint64(k))
		o.Begin(&all, key, 0)
		p.Begin(&less, key, 0)
		a, _ := o.At(0)
		b, _ := p.At(0)
		firsts[all.ids[a]]++
		if all.ids[a] != 7 && less.ids[b] != all.ids[a] {
			t.Fatalf("key %x went from %d to %d, though neither is the one lost", key, all.ids[a], less.ids[b])
		}
	}
	for id, n := range firsts {
		want := keys * float64(1+id%4) / 50
		if math.Abs(float64(n)-want) > 6*math.Sqrt(want) {
			t.Errorf("member %d is first for %d keys, want about %.0f", id, n, want)
		}
	}
}

// BenchmarkFirstTwo looks at two places, as most requests do, the plain way and this one.
func BenchmarkFirstTwo(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000, 100000} {
		var s Set
		for i := range n {
			s.Add(Hash(uint64(i)), float64(1+i%12))
		}
		b.Run(fmt.Sprintf("plain/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				order := sorted(&s, Hash(uint64(i)))
				_ = order[1]
			}
		})
		b.Run(fmt.Sprintf("order/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			var o Order
			for i := range b.N {
				o.Begin(&s, Hash(uint64(i)), 0)
				o.At(0)
				o.At(1)
			}
		})
	}
}
