package upstream

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestSelection compares the selection with a simple reference that sorts the usable connections: those that are up
// first, then the least loaded.
func TestSelection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxLoad := rapid.IntRange(1, 8).Draw(t, "max load")
		candidates := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) candidate {
			return candidate{
				isUp:      rapid.Bool().Draw(t, "up"),
				isRetired: rapid.Bool().Draw(t, "retired"),
				isUsable:  rapid.Bool().Draw(t, "usable"),
				load:      rapid.IntRange(0, maxLoad).Draw(t, "load"),
			}
		}), 0, 6).Draw(t, "candidates")
		isIDFree := rapid.SliceOfN(rapid.Bool(), len(candidates), len(candidates)).Draw(t, "id is free")
		var choice selection
		var usable []int
		isDialing := false
		for i, c := range candidates {
			if choice.consider(c) && isIDFree[i] {
				choice.choose(i, c)
			}
			if c.isUsable && isIDFree[i] {
				usable = append(usable, i)
			}
			isDialing = isDialing || !c.isUp && !c.isRetired
		}
		rank := func(i int) int {
			if candidates[i].isUp {
				return candidates[i].load
			}
			return candidates[i].load + maxLoad + 1
		}
		slices.SortStableFunc(usable, func(a, b int) int { return rank(a) - rank(b) })
		if choice.isFound != (len(usable) > 0) {
			t.Fatalf("isFound: got %v with %d usable connections, want true if any", choice.isFound, len(usable))
		}
		wantsAnother := true
		if choice.isFound {
			if choice.bestIndex != usable[0] {
				t.Fatalf("got connection %d, want %d", choice.bestIndex, usable[0])
			}
			isFilling := 2*candidates[usable[0]].load >= max(2, maxLoad-maxLoad%2)
			wantsAnother = isFilling && !isDialing
		}
		if got := choice.wantsAnother(maxLoad); got != wantsAnother {
			t.Fatalf("wantsAnother: got %v, want %v", got, wantsAnother)
		}
	})
}
