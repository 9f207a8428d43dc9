package gaptable

import (
	"cmp"
	"container/list"
	"math/rand"
	"slices"
	"testing"
	"time"
)

func newTables(limits [levels]int) *Tables {
	return &Tables{rows: map[Part]*Row{}, single: list.New(), maxRows: limits}
}

// naiveTables is a simple model of Tables: slices that are sorted by aged gap again at every request.
type naiveTables struct {
	single  []*Row // newest first
	sorted  [levels][]*Row
	maxRows [levels]int
}

func (n *naiveTables) insert(row *Row, table level, now time.Duration) {
	row.level = table
	if table == single {
		n.single = append([]*Row{row}, n.single...)
		n.single = n.single[:min(len(n.single), n.maxRows[single])]
		return
	}
	agedGap := func(row *Row) time.Duration { return (row.gap + now - row.lastRequest) / 2 }
	sorted := append(slices.Clone(n.sorted[table]), row)
	slices.SortStableFunc(sorted, func(a, b *Row) int {
		return cmp.Or(cmp.Compare(agedGap(a), agedGap(b)), compareRows(a, b))
	})
	if last := len(sorted) - 1; last >= n.maxRows[table] {
		n.sorted[table] = sorted[:last]
		n.insert(sorted[last], table-1, now)
		return
	}
	n.sorted[table] = sorted
}

func (n *naiveTables) touch(part Part, now time.Duration) {
	hasPart := func(row *Row) bool { return row.part == part }
	tables := []*[]*Row{single: &n.single, multiple: &n.sorted[multiple], caching: &n.sorted[caching]}
	for from, rows := range tables {
		i := slices.IndexFunc(*rows, hasPart)
		if i < 0 {
			continue
		}
		row := (*rows)[i]
		*rows = slices.Delete(slices.Clone(*rows), i, i+1)
		row.gap, row.lastRequest = now-row.lastRequest, now
		n.insert(row, min(level(from)+1, caching), now)
		return
	}
	n.insert(&Row{part: part, lastRequest: now}, single, now)
}

// TestTablesMatchNaiveTables applies the same random requests to Tables and to the naive model, and compares them.
func TestTablesMatchNaiveTables(t *testing.T) {
	for seed := int64(1); seed <= 5; seed++ {
		random := rand.New(rand.NewSource(seed))
		got, want := newTables([levels]int{12, 6, 4}), &naiveTables{maxRows: [levels]int{12, 6, 4}}
		now := time.Second
		for step := range 4000 {
			now += 2 * time.Duration(1+random.Intn(50)) * time.Millisecond // even, so that halving is exact
			part := Part{uint64(random.ExpFloat64() * 8), random.Intn(2)}
			got.Touch(part, now)
			want.touch(part, now)
			for table := multiple; table <= caching; table++ {
				isSame := func(a, b *Row) bool { return a.part == b.part && a.gap == b.gap }
				if !slices.EqualFunc(got.sorted[table], want.sorted[table], isSame) {
					t.Fatalf("seed %d step %d: rows of table %d differ from the naive model", seed, step, table)
				}
			}
			if got.single.Len() != len(want.single) || len(got.rows) > 12+6+4 {
				t.Fatalf("seed %d step %d: the single table has %d rows, want %d", seed, step, got.single.Len(),
					len(want.single))
			}
		}
	}
}

// TestRankByPosition checks the ranks by position in the caching table, and those of rows in the lower tables.
func TestRankByPosition(t *testing.T) {
	tables := newTables([levels]int{100, 100, 10})
	for round := range 3 {
		for i := range 10 {
			tables.Touch(Part{uint64(i), 0}, time.Duration(1+round*(100+i*10))*time.Second)
		}
	}
	ranks := map[int]int{}
	for _, row := range tables.sorted[caching] {
		ranks[tables.Rank(row)]++
	}
	if ranks[3] != 1 || ranks[2] != 3 || ranks[1] != 6 {
		t.Errorf("rows per rank: got %v, want 1 at rank 3, 3 at rank 2, 6 at rank 1", ranks)
	}
	once := tables.Touch(Part{99, 0}, 500*time.Second)
	if got := tables.Rank(once); got != 0 {
		t.Errorf("rank after one request: got %d, want 0", got)
	}
	twice := tables.Touch(Part{99, 0}, 501*time.Second)
	if got := tables.Rank(twice); got != 1 {
		t.Errorf("rank after two requests: got %d, want 1", got)
	}
}

// BenchmarkTouch measures one request of a skewed (Zipf) workload, with tables sized for 1,000 requests per second.
func BenchmarkTouch(b *testing.B) {
	tables := New()
	tables.Resize(1000)
	objects := rand.NewZipf(rand.New(rand.NewSource(1)), 1.1, 4, 50000)
	b.ReportAllocs()
	for i := range b.N {
		tables.Touch(Part{Object: objects.Uint64()}, time.Duration(i)*time.Millisecond)
	}
}
