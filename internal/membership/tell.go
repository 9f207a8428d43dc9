package membership

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Kind says what is new about a box; where several things are, the first that fits.
type Kind uint8

// The kinds of changes.
const (
	Removed         Kind = iota // it is gone
	Added                       // it was gone or unknown; it may drain already
	StartedDraining             // it takes nothing new
	Moved                       // it is at another address
	Restarted                   // it has started anew
	Recovered                   // it drained and is up
	Modified                    // place, kind or weight
)

// String gives the word that the log uses.
func (k Kind) String() string {
	return [...]string{"removed", "added", "draining", "moved", "restarted", "recovered", "modified"}[k]
}

// Reason says what in the rule decided a box's state.
type Reason uint8

// The reasons.
const (
	Reported   Reason = iota // the word of the source that is named
	Unlisted                 // no source has a word on it
	Suppressed               // it flapped, and its way up waits
	Replaced                 // another box came to its address later
)

// String gives the words that operators read.
func (w Reason) String() string { return [...]string{"word", "unnamed", "held", "replaced"}[w] }

// Change is what is new about a box.
type Change struct {
	Kind      Kind
	Endpoint  Endpoint
	Previous  Endpoint
	DecidedBy int // the source that decided; -1: none
	Reason    Reason
}

// compare says what is new.
func compare(old, b Endpoint) (Kind, bool) {
	old.Incarnation = b.Incarnation
	switch {
	case old.State == Gone && b.State == Gone || old == b:
		return 0, false
	case b.State == Gone:
		return Removed, true
	case old.State == Gone:
		return Added, true
	case b.State < old.State:
		return StartedDraining, true
	case b.Address != old.Address:
		return Moved, true
	case b.StartedAt != old.StartedAt:
		return Restarted, true
	case b.State > old.State:
		return Recovered, true
	}
	return Modified, true
}

// NoteKind is the kind of a Note.
type NoteKind uint8

// The kinds of notes.
const (
	LossSuspected NoteKind = iota // a whole list lacked too many boxes, or all
	LossConfirmed                 // and it was true
	LossRefuted                   // and it was not
	Renamed                       // Box is at the address of Other now, which was gone in the same list
	DuplicateID
	ListFull           // Count boxes were left out
	EndpointSuppressed // Box flaps; its way up waits For
	EndpointReleased   // that is over
	noteKinds          // the number of kinds
	notesMost          = 64
	neverScore         = 1e-3
)

// String gives the event's word in the log.
func (k NoteKind) String() string {
	return [noteKinds]string{"list-loss-suspected", "list-loss-confirmed", "list-loss-refuted", "endpoint-renamed", "endpoint-duplicate-id",
		"endpoint-limit", "endpoint-suppressed", "endpoint-released"}[k]
}

// Note is something for the log that is no change.
type Note struct {
	Kind            NoteKind
	Source          int
	Endpoint, Other string
	Count, Of       int
	For             time.Duration
}

func (t *Table) note(n Note) {
	if len(t.notes) >= notesMost {
		t.dropped++
		return
	}
	t.notes = append(t.notes, n)
}

// Notes gives what there is for the log since the last call, and how many notes there was no room for.
func (t *Table) Notes() (notes []Note, dropped int) {
	notes, dropped = t.notes, t.dropped
	t.notes, t.dropped = nil, 0
	return notes, dropped
}

// SourcesToRefetch gives the sources that are to be asked for their whole list at once, in the way that is most to be trusted;
// the answer comes as a List that Confirms.
func (t *Table) SourcesToRefetch() []int {
	out := t.asks
	t.asks = nil
	return out
}

func (t *Table) ask(src int) {
	if !slices.Contains(t.asks, src) {
		t.asks = append(t.asks, src)
	}
}

// score brings a penalty up to now.
func (t *Table) score(now time.Duration, d Damping, w *word) {
	if w.penalty > 0 && d.HalfLife > 0 && now > w.scored {
		w.penalty *= math.Exp2(-float64(now-w.scored) / float64(d.HalfLife))
	}
	if w.penalty < neverScore {
		w.penalty = 0
	}
	w.scored = now
}

// damp counts a way down, and holds a way up of what flaps.
func (t *Table) damp(now time.Duration, src int, r *record, had bool, old State) {
	d, w := t.sources[src].Damping, &r.words[src]
	if d.SuppressAbove <= 0 {
		return
	}
	t.score(now, d, w)
	switch {
	case had && w.box.State < old:
		w.penalty++
	case w.box.State > old || !had:
		if w.penalty < d.SuppressAbove {
			return
		}
		held := time.Duration(float64(d.HalfLife) * math.Log2(w.penalty/max(d.ReuseBelow, neverScore)))
		held = min(max(held, 0), d.MaxSuppress)
		if !had {
			old = Gone
		}
		if w.until == 0 {
			w.down = old
			t.note(Note{Kind: EndpointSuppressed, Source: src, Endpoint: r.id, For: held})
		}
		w.down, w.until = min(w.down, old), now+held
		t.at(w.until, r, src)
	}
}

// SourceView is what operators see of a source.
type SourceView struct {
	Name        string
	Version     uint64
	HasReported bool // it has told something, or its words were restored
	Silent      bool
	LastSeen    time.Duration // when it was last heard
	Endpoints   int           // that it has a word on
	Suspected   int           // that are kept though its last list lacked them
}

// Sources gives all sources in their order.
func (t *Table) Sources() []SourceView {
	var out []SourceView
	for i := range t.sources {
		s := &t.sources[i]
		v := SourceView{Name: s.Name, Version: s.version, HasReported: s.ever, Silent: s.silent, LastSeen: s.heard, Endpoints: s.words}
		if s.doubt != nil {
			v.Suspected = len(s.doubt.lost)
		}
		out = append(out, v)
	}
	return out
}

// EndpointView is what operators see of a box.
type EndpointView struct {
	Endpoint  Endpoint
	DecidedBy int // the source that decided; -1: none
	Reason    Reason
	Since     time.Duration // of that source's word
	Reports   []string      // of each source; empty: none
}

// All gives every box that is held, by id. It sorts them all.
func (t *Table) All(now time.Duration) []EndpointView {
	var out []EndpointView
	for _, r := range t.records {
		b, by, why := t.view(now, r)
		v := EndpointView{Endpoint: b, DecidedBy: by, Reason: why, Reports: make([]string, len(t.sources))}
		if by >= 0 {
			v.Since = r.words[by].at
		}
		for i := range r.words {
			if w := &r.words[i]; w.has {
				v.Reports[i] = w.box.State.String()
				if !t.counts(now, r, i) {
					v.Reports[i] = "(" + v.Reports[i] + ")"
				}
			}
		}
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b EndpointView) int { return cmp.Compare(a.Endpoint.ID, b.Endpoint.ID) })
	return out
}

// SourceReport is all that one source has said, for a snapshot.
type SourceReport struct {
	Source    string
	Version   uint64
	LastSeen  time.Duration // when it was last heard
	Endpoints []Endpoint    // with Born as told or found; only such that are not gone
}

// Export gives the last words of all sources that have told any. Boxes stand in the order of the source's last list.
func (t *Table) Export() []SourceReport {
	var out []SourceReport
	for i := range t.sources {
		s := &t.sources[i]
		if !s.ever {
			continue
		}
		w := SourceReport{Source: s.Name, Version: s.version, LastSeen: s.heard + t.offset}
		for _, r := range s.order {
			if word := &r.words[i]; word.has && word.box.State != Gone {
				b := word.box
				b.StartedAt = word.born
				w.Endpoints = append(w.Endpoints, b)
			}
		}
		out = append(out, w)
	}
	return out
}

// Restore takes words from before a restart. Their sources count as silent until they are heard, so that the rule and
// the doubts hold for them as for any that fell silent. Words of unknown sources, and of such that have told something
// already, are passed over; it returns how many boxes were taken.
func (t *Table) Restore(now time.Duration, all []SourceReport) int {
	taken := 0
	for _, words := range all {
		words.LastSeen -= t.offset
		src := slices.IndexFunc(t.sources, func(s source) bool { return s.Name == words.Source })
		if src < 0 || t.sources[src].ever {
			continue
		}
		t.ReplaceList(words.LastSeen, src, List{Version: words.Version, Endpoints: words.Endpoints})
		s := &t.sources[src]
		taken += s.words
		for _, r := range s.order {
			w := &r.words[src]
			// A start that was found here comes back as found, not as told: the source will tell none.
			if w.born = w.box.StartedAt; s.FirstSeenIsStart {
				w.box.StartedAt = 0
			}
		}
		s.heard = min(words.LastSeen, now)
		s.silent = false
		t.SourceSilent(now, src)
	}
	return taken
}
