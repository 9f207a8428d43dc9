package policy

import (
	"container/list"
	"math/rand"
	"slices"
	"testing"
	"time"
)

func newTables(single, multiple, caching int) *tables {
	return &tables{rows: map[part]*row{}, single: list.New(), limit: [3]int{single, multiple, caching}}
}

// naive is the design's text written out: plain slices, re-sorted by aged gap at every request.
type naive struct {
	single []*row // newest first
	sorted [3][]*row
	limit  [3]int
}

func (n *naive) insert(r *row, table int, now time.Duration) {
	if table == inSingle {
		r.table = inSingle
		n.single = append([]*row{r}, n.single...)
		n.single = n.single[:min(len(n.single), n.limit[inSingle])]
		return
	}
	aged := func(r *row) time.Duration { return (r.gap + now - r.last) / 2 }
	s := append(slices.Clone(n.sorted[table]), r)
	slices.SortStableFunc(s, func(a, b *row) int {
		if d := aged(a) - aged(b); d != 0 {
			return int(max(-1, min(1, d)))
		}
		return compareRows(a, b)
	})
	r.table = table
	if len(s) > n.limit[table] {
		worst := s[len(s)-1]
		s = s[:len(s)-1]
		n.sorted[table] = s
		n.insert(worst, table-1, now)
		return
	}
	n.sorted[table] = s
}

func (n *naive) touch(p part, now time.Duration) {
	for i, r := range n.single {
		if r.part == p {
			n.single = slices.Delete(slices.Clone(n.single), i, i+1)
			r.gap, r.last = now-r.last, now
			n.insert(r, inMultiple, now)
			return
		}
	}
	for table := inMultiple; table <= inCaching; table++ {
		for i, r := range n.sorted[table] {
			if r.part == p {
				n.sorted[table] = slices.Delete(slices.Clone(n.sorted[table]), i, i+1)
				r.gap, r.last = now-r.last, now
				n.insert(r, inCaching, now)
				return
			}
		}
	}
	n.insert(&row{part: p, last: now}, inSingle, now)
}

// TestTablesAgainstNaive plays random requests on the tables and on the design's text side by side.
func TestTablesAgainstNaive(t *testing.T) {
	for seed := int64(1); seed <= 5; seed++ {
		rnd := rand.New(rand.NewSource(seed))
		got, want := newTables(12, 6, 4), &naive{limit: [3]int{12, 6, 4}}
		now := time.Second
		for step := 0; step < 4000; step++ {
			now += 2 * time.Duration(1+rnd.Intn(50)) * time.Millisecond // even, so that halving is exact
			p := part{uint64(rnd.ExpFloat64() * 8), rnd.Intn(2)}
			got.touch(p, now)
			want.touch(p, now)
			for table := inMultiple; table <= inCaching; table++ {
				if !slices.EqualFunc(got.sorted[table], want.sorted[table],
					func(a, b *row) bool { return a.part == b.part && a.gap == b.gap }) {
					t.Fatalf("seed %d step %d: table %d differs", seed, step, table)
				}
			}
			if got.single.Len() != len(want.single) || len(got.rows) > 12+6+4 {
				t.Fatalf("seed %d step %d: single-table has %d rows, want %d", seed, step, got.single.Len(),
					len(want.single))
			}
		}
	}
}

// TestRankByPlace checks the split of the caching-table and the ranks below it.
func TestRankByPlace(t *testing.T) {
	tb := newTables(100, 100, 10)
	for round := 0; round < 3; round++ {
		for i := 0; i < 10; i++ {
			tb.touch(part{uint64(i), 0}, time.Duration(1+round*(100+i*10))*time.Second)
		}
	}
	ranks := map[int]int{}
	for _, r := range tb.sorted[inCaching] {
		ranks[tb.rank(r)]++
	}
	if ranks[3] != 1 || ranks[2] != 3 || ranks[1] != 6 {
		t.Errorf("ranks by place: %v, want 1 at 3, 3 at 2, 6 at 1", ranks)
	}
	once := tb.touch(part{99, 0}, 500*time.Second)
	if got := tb.rank(once); got != 0 {
		t.Errorf("seen once: rank %d, want 0", got)
	}
	twice := tb.touch(part{99, 0}, 501*time.Second)
	if got := tb.rank(twice); got != 1 {
		t.Errorf("seen twice: rank %d, want 1", got)
	}
}
