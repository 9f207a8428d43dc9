// Package membership says which boxes there are, from several sources that may be late, silent, or disagree. It does no
// I/O, asks no clock and starts nothing: sources tell it words, and it tells changes.
//
// The rule. A source's word on a box is up, draining or gone; a source that does not name a box has no word on it.
//
//  1. The most restrictive word wins: gone, then draining, then up.
//  2. A box on which no source has a word is gone.
//  3. A source that is silent keeps its last words. One of them is overruled, and does not count, where a source that
//     speaks has changed its own word on the box since the silent one was last heard, or where the silent one has said
//     nothing for Config.SilentMost and a source that speaks has a word on the box.
//  4. What a box is (address, place, kind, weight) comes from the first source, in the order of Config.Sources, whose
//     word counts and is not "gone"; its start is the latest that any counting word gives.
//  5. Of boxes that are up at one address, the one that came there last is up. The others take nothing new.
//
// What protects against a source that errs bends only the way down by omission and the way up: a whole list that lacks
// too many boxes is doubted until a second answer confirms it (see List), an empty one is never believed, and a box that
// flaps is held down for a bounded time (see Damping). A box that is marked draining or gone is never protected.
//
// Invariants, after each call: no box is told as up on which a counting word is not up; at most Config.MostBoxes boxes
// are held; the same calls give the same changes in the same order. A Table is not safe for concurrent use.
package membership

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// State is a word on a box. A lower one is more restrictive.
type State uint8

// The states.
const (
	Gone State = iota
	Draining
	Up
)

// String gives the word that operators read.
func (s State) String() string { return [...]string{"gone", "draining", "up"}[s] }

// Endpoint is what a source says of a box.
type Endpoint struct {
	ID          string        `codec:"ID"`
	Address     string        `codec:"Address"` // host:port
	Zone        int           `codec:"Zone"`
	Kind        int           `codec:"Kind"`
	Cell        int           `codec:"Cell"`
	Weight      float64       `codec:"Weight"`
	StartedAt   time.Duration `codec:"Born"`        // its most recent start on the Unix clock; 0: long ago
	Incarnation uint64        `codec:"Incarnation"` // another one with each registration; 0: the source tells none
	State       State         `codec:"State"`
}

// Source is one source's settings.
type Source struct {
	Name string
	// ConfirmLosses has whole lists doubted that lack many boxes at once. Only for sources that can be asked again.
	ConfirmLosses bool
	// FirstSeenIsStart says that the source does not tell of late starts: what appears after its first list started then.
	FirstSeenIsStart bool
	Damping          Damping
}

// Damping holds a box down that flaps, after RFC 2439: each way down adds 1 to its penalty, which halves in HalfLife.
// Above Cut the way up waits until it is under Reuse, and for Most at the longest. The zero value damps nothing.
type Damping struct {
	SuppressAbove, ReuseBelow float64
	HalfLife                  time.Duration
	MaxSuppress               time.Duration
}

// Config is the settings of a Table.
type Config struct {
	Sources         []Source      // in the order in which they are believed about what a box is
	MaxEndpoints    int           // boxes held; further ones are left out and counted; 0: DefaultMost
	MaxLossShare    float64       // of a source's boxes: a list that lacks more at once is doubted; 0: none is
	MinLoss         int           // and at least so many
	ConfirmInterval time.Duration // how often a doubted source is asked again; 0: DefaultConfirm
	MaxSilence      time.Duration // see the rule; 0: for ever
	Forget          time.Duration // how long "gone" of a source that tells changes is remembered; 0: DefaultForget
}

// Defaults of Config.
const (
	DefaultMaxEndpoints    = 100_000
	DefaultConfirmInterval = 300 * time.Millisecond
	DefaultForget          = time.Minute
)

// List is a whole list of a source.
type List struct {
	Version   uint64
	Endpoints []Endpoint
	// Confirms says that it was asked for after a Confirm and in the way that is most to be trusted.
	Confirms bool
	// Incomplete has only what is named count: the answer may lack boxes, so none is lost by it.
	Incomplete bool
	// Part says that the list comes in parts, of which this is one, so that a large first one does not hold its reader
	// up: nothing is lost by a part. The whole list follows as the last.
	Part bool
}

// word is what one source says of a box.
type word struct {
	has     bool
	box     Endpoint      // as told, but for Born
	born    time.Duration // as told or found
	at      time.Duration // when it last changed
	gen     uint64        // the whole list that named it last
	place   int           // in that list
	tomb    bool          // "gone" of a source that tells changes, whose lists do not take it back
	penalty float64
	scored  time.Duration // when the penalty was true
	down    State         // what it is held at
	until   time.Duration // held down until; 0: not held
}

// state is the word as it counts now.
func (w *word) state() State {
	if w.until > 0 {
		return min(w.box.State, w.down)
	}
	return w.box.State
}

// record is all that is known of a box.
type record struct {
	id      string
	words   []word   // by source
	told    Endpoint // as it was told last; Gone: not told, or told as gone
	queued  bool
	address string // that it is indexed under
	moved   uint64 // the order of coming there
}

type source struct {
	Source
	version uint64
	ever    bool // it has told something, or something was restored
	silent  bool
	heard   time.Duration
	order   []*record // as the last whole list named them
	spare   []*record
	gen     uint64
	words   int // records with a word of it
	doubt   *doubt
}

// doubt is a loss that is not believed yet.
type doubt struct {
	empty bool
	since time.Duration
	again time.Duration // when to ask once more
	lost  []*record
}

// Table is the merged view.
type Table struct {
	cfg       Config
	sources   []source
	records   map[string]*record
	addresses map[string][]*record // boxes by address, in the order in which they came there (record.moved)
	serial    uint64
	up, down  []*record // whose change is to be told
	due       dues
	asks      []int // sources to be asked again
	notes     []Note
	dropped   int // notes that there was no room for
	full      int // boxes left out of the current call
	changed   uint64
	offset    time.Duration
}

// New makes an empty table.
func New(cfg Config) *Table {
	cfg.MaxEndpoints = cmp.Or(cfg.MaxEndpoints, DefaultMaxEndpoints)
	cfg.ConfirmInterval, cfg.Forget = cmp.Or(cfg.ConfirmInterval, DefaultConfirmInterval), cmp.Or(cfg.Forget, DefaultForget)
	t := &Table{cfg: cfg, records: map[string]*record{}, addresses: map[string][]*record{}}
	for _, s := range cfg.Sources {
		t.sources = append(t.sources, source{Source: s})
	}
	return t
}

// SetOffset tells by how much the Unix clock, on which starts and what is exported are told, is ahead of the times that the
// table is given.
func (t *Table) SetOffset(offset time.Duration) { t.offset = offset }

// Len is the number of boxes held, those that are gone and remembered among them.
func (t *Table) Len() int { return len(t.records) }

// ReplaceList takes a whole list of a source. What it does not name the source has no word on any more, unless the loss is
// doubted. What is named twice counts once.
func (t *Table) ReplaceList(now time.Duration, src int, l List) {
	s := &t.sources[src]
	t.SourceSeen(now, src)
	s.version = l.Version
	first := !s.ever
	before := s.words
	// An empty first answer may be that of an agent that has only just started: what comes next is not new for that.
	s.ever = s.ever || !l.Part && len(l.Endpoints) > 0
	omits := l.Incomplete || l.Part
	s.gen++
	next, seen, fresh := s.spare[:0], 0, []*record(nil)
	cursor := 0
	for i := range l.Endpoints {
		b := &l.Endpoints[i]
		var r *record
		// Sources name their boxes in much the same order each time, which spares most look-ups.
		if cursor < len(s.order) && s.order[cursor].id == b.ID {
			r = s.order[cursor]
		} else {
			r = t.records[b.ID]
		}
		if r == nil {
			if r = t.add(now, b.ID); r == nil {
				continue
			}
		}
		w := &r.words[src]
		if w.gen == s.gen {
			t.note(Note{Kind: DuplicateID, Source: src, Endpoint: b.ID})
			continue
		}
		switch {
		case w.has:
			seen++
			cursor = w.place + 1
		default:
			fresh = append(fresh, r)
		}
		w.gen, w.place = s.gen, len(next)
		next = append(next, r)
		t.say(now, src, r, b, first)
	}
	if seen < before && !omits {
		t.lose(now, src, l, next, fresh)
	} else if seen == before {
		t.settle(now, src)
	}
	if omits || s.doubt != nil {
		// What was not named stays, behind the rest.
		for _, r := range s.order {
			if w := &r.words[src]; w.has && w.gen != s.gen {
				w.place = len(next)
				next = append(next, r)
			}
		}
	}
	s.spare, s.order = s.order, next
	t.noteFull(src)
}

// lose deals with the boxes that a list has not named, though the one before did.
func (t *Table) lose(now time.Duration, src int, l List, next, fresh []*record) {
	s := &t.sources[src]
	here := map[string]*record{} // where new boxes are
	for _, r := range fresh {
		here[r.words[src].box.Address] = r
	}
	var lost []*record
	marked := 0 // explicitly down before: dropping them is no loss
	for _, r := range s.order {
		w := &r.words[src]
		if !w.has || w.gen == s.gen {
			continue
		}
		if heir := here[w.box.Address]; heir != nil {
			// The same process under another name, or another one in its place: nothing is lost.
			t.note(Note{Kind: Renamed, Source: src, Endpoint: r.id, Other: heir.id})
			t.unsay(now, src, r)
			continue
		}
		if w.box.State == Gone {
			marked++
			t.unsay(now, src, r)
			continue
		}
		lost = append(lost, r)
	}
	total := len(lost) + len(next) // of the boxes that it might have named
	empty := len(next) == 0 && len(lost) > 0
	many := s.ConfirmLosses && t.cfg.MaxLossShare > 0 && len(lost) >= max(1, t.cfg.MinLoss) &&
		float64(len(lost)) > t.cfg.MaxLossShare*float64(total)
	confirmed := s.doubt != nil && l.Confirms
	switch {
	case len(lost) == 0:
		t.settle(now, src)
	case s.ConfirmLosses && empty:
		t.doubt(now, src, lost, total, true)
	case many && !confirmed:
		t.doubt(now, src, lost, total, false)
	default:
		if s.doubt != nil {
			t.note(Note{Kind: LossConfirmed, Source: src, Count: len(lost), Of: total, For: now - s.doubt.since})
			s.doubt = nil
		}
		for _, r := range lost {
			t.unsay(now, src, r)
		}
	}
}

// doubt keeps what a list lacks, and has the source asked again.
func (t *Table) doubt(now time.Duration, src int, lost []*record, total int, empty bool) {
	s := &t.sources[src]
	if s.doubt == nil || s.doubt.empty != empty {
		s.doubt = &doubt{empty: empty, since: now, again: now + t.cfg.ConfirmInterval}
		t.note(Note{Kind: LossSuspected, Source: src, Count: len(lost), Of: total})
		t.ask(src)
		t.at(now+t.cfg.ConfirmInterval, nil, src)
	}
	s.doubt.lost = lost
}

// settle ends a doubt: nothing is missing any more.
func (t *Table) settle(now time.Duration, src int) {
	if d := t.sources[src].doubt; d != nil {
		t.sources[src].doubt = nil
		t.note(Note{Kind: LossRefuted, Source: src, Count: len(d.lost), For: now - d.since})
	}
}

// ApplyDelta takes changes of a source: boxes whose state is Gone need only their ID.
func (t *Table) ApplyDelta(now time.Duration, src int, version uint64, boxes []Endpoint) {
	s := &t.sources[src]
	t.SourceSeen(now, src)
	first := !s.ever
	s.ever, s.version = true, version
	for i := range boxes {
		b := &boxes[i]
		r := t.records[b.ID]
		if r == nil {
			if b.State == Gone {
				continue // never known here
			}
			if r = t.add(now, b.ID); r == nil {
				continue
			}
		}
		w := &r.words[src]
		if b.State == Gone && w.has {
			// The rest of such an entry need not be there.
			old := w.box
			old.State = Gone
			b = &old
		}
		if !w.has {
			w.place = len(s.order)
			s.order = append(s.order, r)
		}
		w.gen = s.gen
		t.say(now, src, r, b, first)
		if w.tomb = b.State == Gone; w.tomb {
			t.at(now+t.cfg.Forget, r, src)
		}
	}
	t.noteFull(src)
}

// add makes a record, or counts the box as left out.
func (t *Table) add(now time.Duration, id string) *record {
	if len(t.records) >= t.cfg.MaxEndpoints {
		t.full++
		return nil
	}
	r := &record{id: id, words: make([]word, len(t.sources))}
	t.records[id] = r
	return r
}

func (t *Table) noteFull(src int) {
	if t.full > 0 {
		t.note(Note{Kind: ListFull, Source: src, Count: t.full, Of: t.cfg.MaxEndpoints})
		t.full = 0
	}
}

// say sets a source's word on a box.
func (t *Table) say(now time.Duration, src int, r *record, b *Endpoint, first bool) {
	s, w := &t.sources[src], &r.words[src]
	if w.has && w.box == *b {
		return
	}
	old, had, born := w.box, w.has, w.born
	if !had {
		s.words++
	}
	w.has, w.box, w.at = true, *b, now
	if w.born = b.StartedAt; s.FirstSeenIsStart && b.StartedAt == 0 {
		// The source tells registrations and no starts, so a new one is a start: the box may be cold. What the first
		// list names may be of any age.
		switch {
		case !had && first:
		case !had, old.Incarnation != b.Incarnation, old.Address != b.Address:
			w.born = now + t.offset
		default:
			w.born = born
		}
	}
	t.damp(now, src, r, had, old.State)
	if had && old.Incarnation != b.Incarnation && old.Address == b.Address {
		t.renew(r) // it came to its address once more
	}
	t.touch(now, r)
}

// unsay takes a source's word on a box back.
func (t *Table) unsay(now time.Duration, src int, r *record) {
	w := &r.words[src]
	if !w.has {
		return
	}
	t.sources[src].words--
	// The penalty stays with the record: one that is deregistered and registered again flaps as well.
	*w = word{penalty: w.penalty, scored: w.scored, gen: w.gen, place: w.place, down: Gone}
	if d := t.sources[src].Damping; d.SuppressAbove > 0 {
		t.score(now, d, w)
		w.penalty++
		t.at(now+t.cfg.Forget, r, src) // to forget the record
	}
	t.touch(now, r)
}

// vacate takes a box out of the order of a source's boxes, between lists.
func (t *Table) vacate(src int, r *record) {
	s := &t.sources[src]
	at, last := r.words[src].place, len(s.order)-1
	if at > last || s.order[at] != r {
		return
	}
	s.order[at] = s.order[last]
	s.order[at].words[src].place = at
	s.order = s.order[:last]
}

// SourceSeen says that a source speaks, though it has nothing new to tell.
func (t *Table) SourceSeen(now time.Duration, src int) {
	s := &t.sources[src]
	s.heard = max(s.heard, now)
	if s.silent {
		s.silent = false
		t.touchAll(now, src)
	}
}

// SourceSilent says that a source can't be heard. What it has said stays, by the rule.
func (t *Table) SourceSilent(now time.Duration, src int) {
	s := &t.sources[src]
	if s.silent {
		return
	}
	s.silent = true
	t.touchAll(now, src)
	if t.cfg.MaxSilence > 0 {
		t.at(s.heard+t.cfg.MaxSilence, nil, src)
	}
}

// touchAll looks at all boxes of a source again, where other sources have words too: with one alone nothing depends on
// whether it is silent. It walks all its boxes, which happens once for each time it falls silent and comes back.
func (t *Table) touchAll(now time.Duration, src int) {
	others := 0
	for i := range t.sources {
		if i != src {
			others += t.sources[i].words
		}
	}
	if others == 0 {
		return
	}
	for _, r := range t.sources[src].order {
		if r.words[src].has {
			t.touch(now, r)
		}
	}
}

// touch notes that a box may have changed. What becomes more restrictive is told first.
func (t *Table) touch(now time.Duration, r *record) {
	t.changed++
	b, _, _ := t.decide(now, r)
	if b.Address != r.address && b.State != Gone {
		t.settleAt(r, b.Address)
	}
	if b.State < r.told.State {
		r.queued = true
		t.down = append(t.down, r)
	} else if !r.queued {
		r.queued = true
		t.up = append(t.up, r)
	}
}

// settleAt indexes a box under another address.
func (t *Table) settleAt(r *record, address string) {
	t.leave(r)
	r.address = address
	t.renew(r)
}

// renew makes a box the last that came to its address. Only the one that was the last until now may be told as another by it:
// those before that were outdone already. A list that names thousands of ids at one address is a slip that happens, and a look
// at all of them for each would hold the loop for seconds.
func (t *Table) renew(r *record) {
	t.unplace(r)
	t.queueLast(r.address, &t.down)
	t.serial++
	r.moved = t.serial
	t.addresses[r.address] = append(t.addresses[r.address], r)
}

// unplace takes a box out of the order at its address, where it stands in it.
func (t *Table) unplace(r *record) {
	here := t.addresses[r.address]
	i, found := slices.BinarySearchFunc(here, r.moved, func(o *record, moved uint64) int { return cmp.Compare(o.moved, moved) })
	if found && here[i] == r {
		t.addresses[r.address] = slices.Delete(here, i, i+1)
	}
}

// queueLast has the last box at an address looked at again. If it turns out to be gone it leaves, and the one before it is.
func (t *Table) queueLast(address string, to *[]*record) {
	here := t.addresses[address]
	if n := len(here); n > 0 && !here[n-1].queued {
		here[n-1].queued = true
		*to = append(*to, here[n-1])
	}
}

// leave takes a box off its address. Only the last one there that is left may be told as another by it.
func (t *Table) leave(r *record) {
	if r.address == "" {
		return
	}
	if t.unplace(r); len(t.addresses[r.address]) == 0 {
		delete(t.addresses, r.address)
	} else {
		t.queueLast(r.address, &t.up)
	}
	r.address = ""
}

// counts says whether the rule lets a source's word on a box count.
func (t *Table) counts(now time.Duration, r *record, src int) bool {
	s := &t.sources[src]
	if !r.words[src].has {
		return false
	}
	if !s.silent {
		return true
	}
	for i := range t.sources {
		w := &r.words[i]
		if i != src && w.has && !t.sources[i].silent &&
			(w.at > s.heard || t.cfg.MaxSilence > 0 && now-s.heard >= t.cfg.MaxSilence) {
			return false
		}
	}
	return true
}

// decide applies the rule to a box, but for what is at its address.
func (t *Table) decide(now time.Duration, r *record) (b Endpoint, by int, why Reason) {
	why, by = Unlisted, -1
	facts := -1
	for i := range t.sources {
		if !t.counts(now, r, i) {
			continue
		}
		w := &r.words[i]
		if by < 0 || w.state() < b.State {
			b.State, by, why = w.state(), i, Reported
			if w.until > 0 && w.box.State > w.state() {
				why = Suppressed
			}
		}
		if w.box.Address != "" && (facts < 0 || r.words[facts].box.State == Gone && w.box.State != Gone) {
			facts = i
		}
	}
	if facts < 0 {
		return Endpoint{ID: r.id}, by, why
	}
	state := b.State
	b = r.words[facts].box
	b.State, b.StartedAt = state, 0
	for i := range t.sources {
		if t.counts(now, r, i) {
			b.StartedAt = max(b.StartedAt, r.words[i].born)
		}
	}
	return b, by, why
}

// view is decide with what is at the box's address: the rule's last point.
func (t *Table) view(now time.Duration, r *record) (b Endpoint, by int, why Reason) {
	b, by, why = t.decide(now, r)
	if b.State != Up {
		return b, by, why
	}
	for here, i := t.addresses[r.address], len(t.addresses[r.address])-1; i >= 0 && here[i] != r; i-- {
		if other, _, _ := t.decide(now, here[i]); other.State != Gone {
			b.State, why = Draining, Replaced
			break
		}
	}
	return b, by, why
}

// Step does what has fallen due by now.
func (t *Table) Step(now time.Duration) {
	for len(t.due) > 0 && t.due[0].at <= now {
		d := heap.Pop(&t.due).(due)
		s := &t.sources[d.src]
		if d.r != nil {
			if t.records[d.r.id] == d.r {
				t.release(now, d.src, d.r)
			}
			continue
		}
		if t.cfg.MaxSilence > 0 && s.silent && now >= s.heard+t.cfg.MaxSilence {
			t.touchAll(now, d.src)
		}
		// An empty list is not believed however often it comes, so that one question is enough.
		if s.doubt != nil && !s.doubt.empty && now >= s.doubt.again {
			s.doubt.again = now + t.cfg.ConfirmInterval
			t.ask(d.src)
			t.at(s.doubt.again, nil, d.src)
		}
	}
}

// release ends a hold that is over, and forgets a word that is old enough.
func (t *Table) release(now time.Duration, src int, r *record) {
	w := &r.words[src]
	if w.until > 0 {
		if now < w.until {
			return // put off meanwhile; there is another entry
		}
		w.until = 0
		t.note(Note{Kind: EndpointReleased, Source: src, Endpoint: r.id})
		t.touch(now, r)
		return
	}
	if w.tomb && now-w.at >= t.cfg.Forget {
		if t.others(r, src) {
			t.at(now+t.cfg.Forget, r, src) // it must go on winning against those
			return
		}
		t.unsay(now, src, r)
		t.vacate(src, r)
	}
	t.touch(now, r)
}

// others says whether another source has a word on a box.
func (t *Table) others(r *record, src int) bool {
	for i := range r.words {
		if i != src && r.words[i].has {
			return true
		}
	}
	return false
}

// Next is when Step is due at the latest; 0: nothing is.
func (t *Table) Next() time.Duration {
	if len(t.due) == 0 {
		return 0
	}
	return t.due[0].at
}

// Revision counts what has changed in the words of the sources: as long as it is the same, Export gives the same boxes.
func (t *Table) Revision() uint64 { return t.changed }

// HasChanges says whether there are changes to Take.
func (t *Table) HasChanges() bool { return len(t.down)+len(t.up) > 0 }

// TakeChanges gives at most so many changes, those first that take something away. What changed back meanwhile is not told.
func (t *Table) TakeChanges(now time.Duration, most int) []Change {
	var out []Change
	for len(out) < most && len(t.down)+len(t.up) > 0 {
		var r *record
		if len(t.down) > 0 {
			r, t.down = t.down[0], t.down[1:]
		} else {
			r, t.up = t.up[0], t.up[1:]
		}
		if !r.queued || t.records[r.id] != r {
			continue
		}
		r.queued = false
		b, by, why := t.view(now, r)
		if kind, changed := compare(r.told, b); changed {
			out = append(out, Change{Kind: kind, Endpoint: b, Previous: r.told, DecidedBy: by, Reason: why})
		}
		if r.told = b; b.State == Gone {
			t.leave(r)
			t.forget(now, r)
		}
	}
	if len(t.down)+len(t.up) == 0 {
		t.down, t.up = nil, nil
	}
	return out
}

// forget drops a record that no source has a word on and whose penalty is spent.
func (t *Table) forget(now time.Duration, r *record) {
	for i := range r.words {
		w, d := &r.words[i], t.sources[i].Damping
		if w.has {
			return
		}
		if t.score(now, d, w); d.SuppressAbove > 0 && w.penalty >= d.ReuseBelow {
			t.at(now+t.cfg.Forget, r, i)
			return
		}
	}
	t.leave(r)
	delete(t.records, r.id)
}

// due is a time at which a source (r nil) or a word is to be looked at.
type due struct {
	at  time.Duration
	seq uint64
	r   *record
	src int
}

func (t *Table) at(when time.Duration, r *record, src int) {
	t.serial++
	heap.Push(&t.due, due{when, t.serial, r, src})
}

type dues []due

func (d dues) Len() int { return len(d) }
func (d dues) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].seq < d[j].seq
}
func (d dues) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *dues) Push(x any)   { *d = append(*d, x.(due)) }
func (d *dues) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}
