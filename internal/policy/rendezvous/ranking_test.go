package rendezvous

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRankingPutsPreferredFirst compares rankings with a full sort without the skipped members, with the preferred
// member moved to the front and another one appended.
func TestRankingPutsPreferredFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ranking Ranking[int] // members are numbered from 1; 0 means no member
		for range 2 {            // the second round reuses the memory of the first
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
			preferred := rapid.IntRange(0, members).Draw(t, "preferred")
			var want []int
			if preferred > 0 {
				want = append(want, preferred)
			}
			for position, member := range fullSort(&set, key) {
				index := int(member.index)
				if index+1 != preferred && (position < alwaysRanked || !ranking.Skipped(index, now)) {
					want = append(want, index+1)
				}
			}
			const last = 99
			got := slices.Collect(ranking.OrderFor(key, preferred, now).AllThen(last))
			if !slices.Equal(got, append(want, last)) {
				t.Fatalf("preferred %d: got %v, want %v", preferred, got, append(want, last))
			}
			if len(ranking.Members()) != members {
				t.Fatalf("got %d members, want %d", len(ranking.Members()), members)
			}
		}
	})
}

// TestRankingSwap: two positions that were read are exchanged, for later reads as well.
func TestRankingSwap(t *testing.T) {
	var ranking Ranking[int]
	for member := 1; member <= 3; member++ {
		ranking.Add(member, Hash(uint64(member)), 1)
	}
	order := ranking.OrderFor(7, 0, 0)
	before := []int{order.At(0), order.At(1), order.At(2)}
	order.Swap(0, 1)
	if got, want := slices.Collect(order.AllThen(0)), []int{before[1], before[0], before[2]}; !slices.Equal(got, want) {
		t.Errorf("after the swap: got %v, want %v", got, want)
	}
	if order.At(3) != 0 {
		t.Errorf("fourth of three members: got %d, want 0", order.At(3))
	}
}

// TestNilRanking: a nil ranking has no members.
func TestNilRanking(t *testing.T) {
	var none *Ranking[int]
	if got := slices.Collect(none.AllThen(5)); !slices.Equal(got, []int{5}) {
		t.Errorf("nil ranking, then 5: got %v, want [5]", got)
	}
	if got := slices.Collect(none.AllThen(0)); len(got) > 0 {
		t.Errorf("nil ranking, then no member: got %v, want none", got)
	}
}

// TestDrawIsUniform: draws are in [0, 1) and uniformly distributed.
func TestDrawIsUniform(t *testing.T) {
	const keys = 100000
	var tenths [10]int
	for key := range uint64(keys) {
		draw := Draw(key)
		if draw < 0 || draw >= 1 {
			t.Fatalf("draw of %v, want one in [0, 1)", draw)
		}
		tenths[int(draw*10)]++
	}
	for i, n := range tenths {
		if n < keys/10-600 || n > keys/10+600 { // six standard deviations of about 95
			t.Errorf("%d of %d draws are in tenth %d, want a tenth of them", n, keys, i)
		}
	}
}
