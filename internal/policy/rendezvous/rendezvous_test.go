package rendezvous

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// fullSort returns all members sorted by score, computed without any shortcut.
func fullSort(set *Set, key uint64) []scoredMember {
	order := make([]scoredMember, set.Len())
	for i := range order {
		order[i] = scoredMember{set.Score(i, key), int32(i)}
	}
	slices.SortStableFunc(order, func(a, b scoredMember) int { return cmp.Compare(b.score, a.score) })
	return order
}

// TestOrderMatchesFullSort reads random positions, in random order, from sets smaller and larger than what the scans
// cover, some with equal weights or equal ids.
func TestOrderMatchesFullSort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var set Set
		n := rapid.IntRange(0, 60).Draw(t, "members")
		if rapid.Bool().Draw(t, "large") {
			n = rapid.IntRange(60, 3000).Draw(t, "many members")
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
			want := fullSort(&set, key)
			skipOneIn := rapid.SampledFrom([]uint64{1, 2, 7, 1 << 40}).Draw(t, "one in so many members is skipped")
			for i := range n {
				set.SkipUntil(i, 0)
				if Hash(seed^uint64(i))%skipOneIn == 0 {
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
				position := rapid.IntRange(0, n+1).Draw(t, "position")
				got, ok := order.At(position)
				if rapid.Bool().Draw(t, "skipped meanwhile") && ok {
					set.SkipUntil(got, 9) // a member that was found stays
				}
				if ok != (position < n) || ok && got != int(want[position].index) {
					t.Fatalf("position %d of %d: got member %d, found %v, want the last of %v",
						position, n, got, ok, want[:min(position+1, n)])
				}
			}
		}
	})
}

// TestMembersGetTheirShareOfKeys: each member is first for a share of the keys in proportion to its weight, and the
// loss of one member moves no key of another.
func TestMembersGetTheirShareOfKeys(t *testing.T) {
	var all, reduced Set
	for i := range 20 {
		all.Add(uint64(i), float64(1+i%4))
		if i != 7 {
			reduced.Add(uint64(i), float64(1+i%4))
		}
	}
	var orderOfAll, orderOfReduced Order
	firstCounts := map[uint64]int{}
	const keys = 50000
	for k := range keys {
		key := Hash(uint64(k))
		orderOfAll.Begin(&all, key, 0)
		orderOfReduced.Begin(&reduced, key, 0)
		i, _ := orderOfAll.At(0)
		j, _ := orderOfReduced.At(0)
		before, after := all.ids[i], reduced.ids[j]
		firstCounts[before]++
		if before != 7 && after != before {
			t.Fatalf("key %x moved from member %d to %d, want moves from the lost member 7 only", key, before, after)
		}
	}
	for id, n := range firstCounts {
		want := keys * float64(1+id%4) / 50
		if math.Abs(float64(n)-want) > 6*math.Sqrt(want) {
			t.Errorf("member %d is first for %d keys, want about %.0f", id, n, want)
		}
	}
}

// BenchmarkFirstTwo reads two positions, as most requests do, from a full sort and from an Order.
func BenchmarkFirstTwo(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000, 100000} {
		var set Set
		for i := range n {
			set.Add(Hash(uint64(i)), float64(1+i%12))
		}
		b.Run(fmt.Sprintf("plain/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				order := fullSort(&set, Hash(uint64(i)))
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
