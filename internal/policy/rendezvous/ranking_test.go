package rendezvous

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRankingPutsOneFirst compares rankings with the full sort, less those that are skipped, with one member moved to
// the front and another one added at the end.
func TestRankingPutsOneFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ranking Ranking[int] // members are numbered from 1: 0 stands for none
		for range 2 {            // the second time with the memory of the first
			ranking.Reset()
			members := rapid.IntRange(0, 40).Draw(t, "members")
			now := time.Second
			var set Set
			for member := 1; member <= members; member++ {
				weight := rapid.Float64Range(0.1, 10).Draw(t, "weight")
				ranking.Add(member, Hash(uint64(member)), weight)
				set.Add(Hash(uint64(member)), weight)
				if rapid.IntRange(0, 3).Draw(t, "skipped") == 0 {
					ranking.SkipUntil(member-1, 2*time.Second)
				}
			}
			key := rapid.Uint64().Draw(t, "key")
			first := rapid.IntRange(0, members).Draw(t, "first")
			var want []int
			if first > 0 {
				want = append(want, first)
			}
			for place, member := range sorted(&set, key) {
				n := int(member.index)
				if n+1 != first && (place < alwaysRanked || !ranking.Skipped(n, now)) {
					want = append(want, n+1)
				}
			}
			const last = 99
			got := slices.Collect(ranking.OrderFor(key, first, now).AllThen(last))
			if !slices.Equal(got, append(want, last)) {
				t.Fatalf("%d first: %v, want %v", first, got, append(want, last))
			}
			if len(ranking.Members()) != members {
				t.Fatalf("%d members, want %d", len(ranking.Members()), members)
			}
		}
	})
}

// TestRankingSwap: two places that were read change places, for later reads as well.
func TestRankingSwap(t *testing.T) {
	var ranking Ranking[int]
	for member := 1; member <= 3; member++ {
		ranking.Add(member, Hash(uint64(member)), 1)
	}
	order := ranking.OrderFor(7, 0, 0)
	before := []int{order.At(0), order.At(1), order.At(2)}
	order.Swap(0, 1)
	if got, want := slices.Collect(order.AllThen(0)), []int{before[1], before[0], before[2]}; !slices.Equal(got, want) {
		t.Errorf("after the swap %v, want %v", got, want)
	}
	if order.At(3) != 0 {
		t.Errorf("a fourth of three members: %d", order.At(3))
	}
}

// TestNoRanking: nil has no members.
func TestNoRanking(t *testing.T) {
	var none *Ranking[int]
	if got := slices.Collect(none.AllThen(5)); !slices.Equal(got, []int{5}) {
		t.Errorf("nothing, then 5: %v", got)
	}
	if got := slices.Collect(none.AllThen(0)); len(got) > 0 {
		t.Errorf("nothing, then nothing: %v", got)
	}
}

// TestDrawIsEven: draws lie from 0 up to 1, evenly spread.
func TestDrawIsEven(t *testing.T) {
	const keys = 100000
	var tenths [10]int
	for key := range uint64(keys) {
		draw := Draw(key)
		if draw < 0 || draw >= 1 {
			t.Fatalf("a draw of %v", draw)
		}
		tenths[int(draw*10)]++
	}
	for i, n := range tenths {
		if n < keys/10-600 || n > keys/10+600 { // six deviations of about 95
			t.Errorf("%d of %d draws lie in tenth %d", n, keys, i)
		}
	}
}
