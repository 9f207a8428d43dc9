package gaptable

import (
	"container/list"
	"math/rand"
	"slices"
	"testing"
	"time"
)

func newTables(limits [levels]int) *Tables {
	return &Tables{rows: map[Part]*Row{}, single: list.New(), limit: limits}
}

// naive is the design's text written out: plain slices, re-sorted by aged gap at every request.
type naive struct {
	single []*Row // newest first
	sorted [levels][]*Row
	limit  [levels]int
}

func (n *naive) insert(r *Row, table level, now time.Duration) {
	if table == single {
		r.level = single
		n.single = append([]*Row{r}, n.single...)
		n.single = n.single[:min(len(n.single), n.limit[single])]
		return
	}
	aged := func(r *Row) time.Duration { return (r.gap + now - r.lastRequest) / 2 }
	s := append(slices.Clone(n.sorted[table]), r)
	slices.SortStableFunc(s, func(a, b *Row) int {
		if d := aged(a) - aged(b); d != 0 {
			return int(max(-1, min(1, d)))
		}
		return compareRows(a, b)
	})
	r.level = table
	if len(s) > n.limit[table] {
		worst := s[len(s)-1]
		s = s[:len(s)-1]
		n.sorted[table] = s
		n.insert(worst, table-1, now)
		return
	}
	n.sorted[table] = s
}

func (n *naive) touch(p Part, now time.Duration) {
	for i, r := range n.single {
		if r.part == p {
			n.single = slices.Delete(slices.Clone(n.single), i, i+1)
			r.gap, r.lastRequest = now-r.lastRequest, now
			n.insert(r, multiple, now)
			return
		}
	}
	for table := multiple; table <= caching; table++ {
		for i, r := range n.sorted[table] {
			if r.part == p {
				n.sorted[table] = slices.Delete(slices.Clone(n.sorted[table]), i, i+1)
				r.gap, r.lastRequest = now-r.lastRequest, now
				n.insert(r, caching, now)
				return
			}
		}
	}
	n.insert(&Row{part: p, lastRequest: now}, single, now)
}

// TestTablesAgainstNaive plays random requests on the tables and on the design's text side by side.
func TestTablesAgainstNaive(t *testing.T) {
	for seed := int64(1); seed <= 5; seed++ {
		rnd := rand.New(rand.NewSource(seed))
		got, want := newTables([levels]int{12, 6, 4}), &naive{limit: [levels]int{12, 6, 4}}
		now := time.Second
		for step := 0; step < 4000; step++ {
			now += 2 * time.Duration(1+rnd.Intn(50)) * time.Millisecond // even, so that halving is exact
			p := Part{uint64(rnd.ExpFloat64() * 8), rnd.Intn(2)}
			got.Touch(p, now)
			want.touch(p, now)
			for table := multiple; table <= caching; table++ {
				if !slices.EqualFunc(got.sorted[table], want.sorted[table],
					func(a, b *Row) bool { return a.part == b.part && a.gap == b.gap }) {
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
	tb := newTables([levels]int{100, 100, 10})
	for round := 0; round < 3; round++ {
		for i := 0; i < 10; i++ {
			tb.Touch(Part{uint64(i), 0}, time.Duration(1+round*(100+i*10))*time.Second)
		}
	}
	ranks := map[int]int{}
	for _, r := range tb.sorted[caching] {
		ranks[tb.Rank(r)]++
	}
	if ranks[3] != 1 || ranks[2] != 3 || ranks[1] != 6 {
		t.Errorf("ranks by place: %v, want 1 at 3, 3 at 2, 6 at 1", ranks)
	}
	once := tb.Touch(Part{99, 0}, 500*time.Second)
	if got := tb.Rank(once); got != 0 {
		t.Errorf("seen once: rank %d, want 0", got)
	}
	twice := tb.Touch(Part{99, 0}, 501*time.Second)
	if got := tb.Rank(twice); got != 1 {
		t.Errorf("seen twice: rank %d, want 1", got)
	}
}
