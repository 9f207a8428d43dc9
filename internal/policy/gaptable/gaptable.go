// Package gaptable estimates which parts of objects are to be cached, from the gaps between their requests. A
// part that was requested once stands in the single table, newest first. A further request moves it into the multiple
// table and the next into the caching table, both ordered by aged gap; what a full table drops falls back one table.
// The place in the caching table gives the rank at which a copy is cached.
//
// Invariants: each part has one row, in exactly one table; both sorted tables are in the order of the aged gap, the
// best row first; equal calls give equal tables.
//
// Bounds: each table has at most as many rows as Resize last gave it, that is max(64, rate * 60 s, 20 s or 12 s).
// Touch takes a binary search and a move within a sorted table. The package does no I/O and reads no clock.
package gaptable

import (
	"cmp"
	"container/list"
	"slices"
	"time"

	"sloequay/internal/policy/rendezvous"
)

const (
	singleSeconds   = 60.0 // seconds of requests that the single table holds
	multipleSeconds = 20.0
	cachingSeconds  = 12.0
	minRows         = 64 // of each table, for the start, when the rate is not known

	// TopRank is the rank at which two caches of a zone have a copy.
	TopRank = 3

	topShare    = 0.10 // share of the caching table's places at TopRank
	middleShare = 0.40 // share of its places at rank 2 or TopRank
)

// Part is what is cached and filled: one part of an object.
type Part struct {
	Object uint64
	Index  int
}

// Hash is the same at all proxies for a part.
func (p Part) Hash() uint64 { return rendezvous.Hash(p.Object ^ rendezvous.Hash(uint64(p.Index))) }

// level is one of the three tables.
type level int

const (
	single level = iota
	multiple
	caching
	levels
)

// Row is what is known of a part.
type Row struct {
	// CachedBy is the endpoint believed to cache the part, 0 for none. The tables never read or set it.
	CachedBy uint64

	part        Part
	lastRequest time.Duration
	gap         time.Duration // between the last two requests; 0 after the first
	level       level
	element     *list.Element // in the single table
}

// order sorts rows by aged gap: (gap + now - last)/2 ages all alike, so gap - last is a fixed key.
func (r *Row) order() time.Duration { return r.gap - r.lastRequest }

func compareRows(a, b *Row) int {
	return cmp.Or(cmp.Compare(a.order(), b.order()), cmp.Compare(a.part.Object, b.part.Object),
		cmp.Compare(a.part.Index, b.part.Index))
}

// Tables are the three tables. They are not safe for concurrent use.
type Tables struct {
	rows   map[Part]*Row
	single *list.List     // newest first
	sorted [levels][]*Row // multiple and caching, best first
	limit  [levels]int
	rate   rate
}

// New makes empty tables of the smallest size.
func New() *Tables {
	t := &Tables{rows: map[Part]*Row{}, single: list.New()}
	t.Resize(0)
	return t
}

// Row gives the row of a part, or nil where it has none.
func (t *Tables) Row(part Part) *Row { return t.rows[part] }

// Touch records a request for a part and gives its row, which may have moved up one table.
func (t *Tables) Touch(part Part, now time.Duration) *Row {
	row := t.rows[part]
	if row == nil {
		row = &Row{part: part, lastRequest: now}
		t.rows[part] = row
		t.insertSingle(row)
		return row
	}
	t.remove(row)
	row.gap = now - row.lastRequest
	row.lastRequest = now
	t.insert(row, min(row.level+1, caching))
	return row
}

// Rank gives the rank at which a copy is cached: 0 for a part requested once, 1 in the multiple table, and in the
// caching table 1 to TopRank by place.
func (t *Tables) Rank(row *Row) int {
	if row.level != caching {
		return int(row.level)
	}
	index, _ := slices.BinarySearchFunc(t.sorted[caching], row, compareRows)
	switch place := float64(index) / float64(t.limit[caching]); {
	case place < topShare:
		return TopRank
	case place < middleShare:
		return 2
	}
	return 1
}

// Resize bounds the tables by the rate of requests a second.
func (t *Tables) Resize(rate float64) {
	for i, seconds := range [levels]float64{singleSeconds, multipleSeconds, cachingSeconds} {
		t.limit[i] = max(minRows, int(rate*seconds))
	}
	t.trim(caching)
	t.trim(multiple)
}

// insert puts a row into a table when it beats the worst row of a full one, else one table down.
func (t *Tables) insert(row *Row, to level) {
	if to == single {
		t.insertSingle(row)
		return
	}
	sorted := t.sorted[to]
	if n := len(sorted); n >= t.limit[to] && compareRows(row, sorted[n-1]) >= 0 {
		t.insert(row, to-1)
		return
	}
	index, _ := slices.BinarySearchFunc(sorted, row, compareRows)
	t.sorted[to] = slices.Insert(sorted, index, row)
	row.level = to
	t.trim(to)
}

// trim moves the worst rows beyond the bound of a sorted table one table down.
func (t *Tables) trim(from level) {
	for n := len(t.sorted[from]); n > t.limit[from]; n-- {
		row := t.sorted[from][n-1]
		t.sorted[from] = t.sorted[from][:n-1]
		t.insert(row, from-1)
	}
}

func (t *Tables) insertSingle(row *Row) {
	row.level = single
	row.element = t.single.PushFront(row)
	for t.single.Len() > t.limit[single] {
		oldest := t.single.Remove(t.single.Back()).(*Row)
		delete(t.rows, oldest.part)
	}
}

func (t *Tables) remove(row *Row) {
	if row.level == single {
		t.single.Remove(row.element)
		return
	}
	if index, ok := slices.BinarySearchFunc(t.sorted[row.level], row, compareRows); ok {
		t.sorted[row.level] = slices.Delete(t.sorted[row.level], index, index+1)
	}
}
