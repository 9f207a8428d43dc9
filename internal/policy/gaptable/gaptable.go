// Package gaptable estimates which parts of objects are worth caching, from the gaps between their requests. A part
// that was requested once is in the single table, newest first. The next request moves it into the multiple table and a
// further one into the caching table. Both are sorted by aged gap, half the sum of the last gap and the time since the
// last request; when one of them is full, its worst row moves one table down. The full single table drops its oldest
// row. The position in the caching table gives the rank at which a copy is cached.
//
// Invariants: each part has one row, in exactly one table; both sorted tables are in the order of the aged gap, the
// best row first; equal calls give equal tables.
//
// Bounds: with the rate last passed to Resize, each table has at most max(64, rate * T) rows, where T is 60 s for the
// single, 20 s for the multiple and 12 s for the caching table; the single table shrinks only when a row is added.
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
	singleSeconds   = 60.0 // seconds of requests for which the single table has rows
	multipleSeconds = 20.0
	cachingSeconds  = 12.0
	minRows         = 64 // of each table, also at the start, when the rate is unknown

	// TopRank is the rank at which two caches of a zone hold a copy.
	TopRank = 3

	topShare    = 0.10 // share of the caching table's positions at TopRank
	middleShare = 0.40 // share of its positions at rank 2 or TopRank
)

// Part identifies one part of an object, the unit that is cached and filled.
type Part struct {
	Object uint64
	Index  int
}

// Hash returns the hash of a part, which is the same at all proxies.
func (p Part) Hash() uint64 { return rendezvous.Hash(p.Object ^ rendezvous.Hash(uint64(p.Index))) }

// level is one of the three tables.
type level int

const (
	single level = iota
	multiple
	caching
	levels
)

// Row holds the request history of one part.
type Row struct {
	// CachedBy is the id of the endpoint believed to cache the part, 0 for none. The tables neither read nor set it.
	CachedBy uint64

	part        Part
	lastRequest time.Duration
	gap         time.Duration // between the last two requests; 0 after the first
	level       level
	element     *list.Element // in the list of the single table
}

// sortKey returns a key that sorts rows by aged gap, (gap + now - lastRequest)/2. All aged gaps grow at the same rate,
// so gap - lastRequest gives the same order at any time.
func (r *Row) sortKey() time.Duration { return r.gap - r.lastRequest }

func compareRows(a, b *Row) int {
	return cmp.Or(cmp.Compare(a.sortKey(), b.sortKey()), cmp.Compare(a.part.Object, b.part.Object),
		cmp.Compare(a.part.Index, b.part.Index))
}

// Tables holds the three tables. It is not safe for concurrent use.
type Tables struct {
	rows    map[Part]*Row
	single  *list.List     // newest first
	sorted  [levels][]*Row // multiple and caching, best first
	maxRows [levels]int
	rate    rate
}

// New returns empty tables with the smallest bounds.
func New() *Tables {
	t := &Tables{rows: map[Part]*Row{}, single: list.New()}
	t.Resize(0)
	return t
}

// Row returns the row of a part, or nil if it has none.
func (t *Tables) Row(part Part) *Row { return t.rows[part] }

// Touch records a request for a part and returns its row, which may have moved up one table.
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

// Rank returns the rank at which a copy is cached: 0 in the single table, 1 in the multiple table, and in the caching
// table 1 to TopRank by position.
func (t *Tables) Rank(row *Row) int {
	if row.level != caching {
		return int(row.level)
	}
	index, _ := slices.BinarySearchFunc(t.sorted[caching], row, compareRows)
	switch position := float64(index) / float64(t.maxRows[caching]); {
	case position < topShare:
		return TopRank
	case position < middleShare:
		return 2
	}
	return 1
}

// Resize sets the bounds of the tables from the rate of requests per second.
func (t *Tables) Resize(rate float64) {
	for i, seconds := range [levels]float64{singleSeconds, multipleSeconds, cachingSeconds} {
		t.maxRows[i] = max(minRows, int(rate*seconds))
	}
	t.trim(caching)
	t.trim(multiple)
}

// insert puts a row into a table, or one table down if the table is full and its worst row sorts before the new one.
func (t *Tables) insert(row *Row, table level) {
	if table == single {
		t.insertSingle(row)
		return
	}
	sorted := t.sorted[table]
	if n := len(sorted); n >= t.maxRows[table] && compareRows(row, sorted[n-1]) >= 0 {
		t.insert(row, table-1)
		return
	}
	index, _ := slices.BinarySearchFunc(sorted, row, compareRows)
	t.sorted[table] = slices.Insert(sorted, index, row)
	row.level = table
	t.trim(table)
}

// trim moves the worst rows of a sorted table that exceed its bound one table down.
func (t *Tables) trim(table level) {
	for n := len(t.sorted[table]); n > t.maxRows[table]; n-- {
		row := t.sorted[table][n-1]
		t.sorted[table] = t.sorted[table][:n-1]
		t.insert(row, table-1)
	}
}

func (t *Tables) insertSingle(row *Row) {
	row.level = single
	row.element = t.single.PushFront(row)
	for t.single.Len() > t.maxRows[single] {
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
