package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const (
	ms    = time.Millisecond
	start = 1_000_000 * time.Second
)

func box(id string, s State) Endpoint {
	return Endpoint{ID: id, Address: "10.0.0." + id + ":1", Zone: 1, Weight: 4, State: s}
}

func ups(ids ...string) (out []Endpoint) {
	for _, id := range ids {
		out = append(out, box(id, Up))
	}
	return out
}

func many(n int) (ids []string) {
	for i := range n {
		ids = append(ids, fmt.Sprint(i))
	}
	return ids
}

// follower keeps what a table has told, as the doorman does.
type follower struct {
	*Table
	told map[string]Endpoint
	log  []string
}

func follow(cfg Config) *follower { return &follower{Table: New(cfg), told: map[string]Endpoint{}} }

func (f *follower) take(now time.Duration) {
	f.Step(now)
	for _, c := range f.TakeChanges(now, 1<<30) {
		f.log = append(f.log, fmt.Sprintf("%v %s %v by %d %v", c.Kind, c.Endpoint.ID, c.Endpoint.State, c.DecidedBy, c.Reason))
		if f.told[c.Endpoint.ID] = c.Endpoint; c.Endpoint.State == Gone {
			delete(f.told, c.Endpoint.ID)
		}
	}
}

func (f *follower) state(id string) State { return f.told[id].State }

func (f *follower) kinds() (out []NoteKind) {
	notes, _ := f.Notes()
	for _, n := range notes {
		out = append(out, n.Kind)
	}
	return out
}

// model is the rule in the plainest form: what each source said, and a walk over all of it for each question.
type model struct {
	words  []map[string]said
	silent []bool
	heard  []time.Duration
	most   time.Duration
}

type said struct {
	state State
	at    time.Duration
}

func (m *model) rule(now time.Duration, id string) (state State) {
	state = Up + 1 // nobody's word
	for i, words := range m.words {
		w, has := words[id]
		overruled := false
		for j := range m.words {
			o, spoken := m.words[j][id]
			overruled = overruled || m.silent[i] && !m.silent[j] && spoken && (o.at > m.heard[i] || now-m.heard[i] >= m.most)
		}
		if has && !overruled {
			state = min(state, w.state)
		}
	}
	return state % (Up + 1)
}

// TestRule drives three sources at random, two with lists and one with changes, and checks every box after every step.
func TestRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const sources = 3
		f := follow(Config{Sources: make([]Source, sources), MaxSilence: 20 * time.Second, Forget: time.Hour})
		m := &model{silent: make([]bool, sources), heard: make([]time.Duration, sources), most: 20 * time.Second}
		for range sources {
			m.words = append(m.words, map[string]said{})
		}
		ids := []string{"1", "2", "3", "4", "5"}
		now := start
		hear := func(src int) {
			m.silent[src], m.heard[src] = false, now
		}
		put := func(src int, id string, s State) {
			if w, has := m.words[src][id]; !has || w.state != s {
				m.words[src][id] = said{s, now}
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * ms
			src := rapid.IntRange(0, sources-1).Draw(t, "source")
			var boxes []Endpoint
			for _, id := range ids {
				if rapid.Bool().Draw(t, "named") {
					boxes = append(boxes, box(id, rapid.SampledFrom([]State{Gone, Draining, Up, Up}).Draw(t, "state")))
				}
			}
			switch op := rapid.IntRange(0, 5).Draw(t, "op"); {
			case op == 0:
				f.SourceSilent(now, src)
				m.silent[src] = true
			case op == 1:
				f.SourceSeen(now, src)
				hear(src)
			case src == 0:
				f.ApplyDelta(now, src, 1, boxes)
				hear(src)
				for _, b := range boxes {
					_, has := m.words[src][b.ID]
					if b.State == Gone && !has && !slices.ContainsFunc(m.words, func(w map[string]said) bool { _, ok := w[b.ID]; return ok }) {
						continue // never known, and so not kept
					}
					put(src, b.ID, b.State)
				}
			default:
				f.ReplaceList(now, src, List{Endpoints: boxes})
				hear(src)
				for _, id := range ids {
					if i := slices.IndexFunc(boxes, func(b Endpoint) bool { return b.ID == id }); i >= 0 {
						put(src, id, boxes[i].State)
					} else {
						delete(m.words[src], id)
					}
				}
			}
			f.take(now)
			for _, id := range ids {
				if got, want := f.state(id), m.rule(now, id); got != want {
					t.Fatalf("box %s is told as %v, want %v by %+v silent %v heard %v", id, got, want, m.words, m.silent, m.heard)
				}
			}
		}
		if f.HasChanges() {
			t.Fatal("changes are left after all were taken")
		}
	})
}

// TestNothingIsKept: what every source has taken back leaves nothing behind, whatever came before.
func TestNothingIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := follow(Config{Sources: []Source{{Damping: Damping{2, 0.5, time.Second, 5 * time.Second}}, {ConfirmLosses: true}}, MaxLossShare: 0.5})
		now := start
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * ms
			src := rapid.IntRange(0, 1).Draw(t, "source")
			ids := []string{fmt.Sprint(i), fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "old"))}
			boxes := []Endpoint{box(ids[0], Up), box(ids[1], rapid.SampledFrom([]State{Gone, Draining, Up}).Draw(t, "state"))}
			if src == 0 {
				f.ApplyDelta(now, src, 1, boxes)
			} else {
				f.ReplaceList(now, src, List{Endpoints: boxes, Confirms: rapid.Bool().Draw(t, "confirms")})
			}
			f.take(now)
		}
		var all []Endpoint
		for _, v := range f.All(now) {
			all = append(all, Endpoint{ID: v.Endpoint.ID, State: Gone})
		}
		f.ApplyDelta(now, 0, 1, all)
		f.ReplaceList(now, 1, List{Endpoints: []Endpoint{{ID: "last", State: Gone}}, Confirms: true})
		f.ReplaceList(now, 1, List{Endpoints: []Endpoint{{ID: "last", State: Gone}}, Confirms: true})
		f.ReplaceList(now, 1, List{})
		for range 20 {
			now += time.Minute
			f.take(now)
		}
		if f.Len() != 0 || len(f.addresses.records) != 0 || len(f.told) != 0 || len(f.sources[0].order) != 0 || f.due.len() > 100 {
			t.Fatalf("left: %d records, %d addresses, %d told, %d in order, %d due", f.Len(), len(f.addresses.records), len(f.told),
				len(f.sources[0].order), f.due.len())
		}
	})
}

// TestLoss plays lists of a source that is protected; each step is one answer.
func TestLoss(t *testing.T) {
	ten := many(10)
	type step struct {
		list  List
		left  int // boxes told after it
		ask   bool
		notes []NoteKind
	}
	full := step{list: List{Endpoints: ups(ten...)}, left: 10}
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"few are believed at once", []step{full, {list: List{Endpoints: ups(ten[:8]...)}, left: 8}}},
		{"many are doubted, and confirmed", []step{full,
			{list: List{Endpoints: ups(ten[:1]...)}, left: 10, ask: true, notes: []NoteKind{LossSuspected}},
			{list: List{Endpoints: ups(ten[:1]...), Confirms: true}, left: 1, notes: []NoteKind{LossConfirmed}}}},
		{"many are doubted, and refuted", []step{full,
			{list: List{Endpoints: ups(ten[:1]...)}, left: 10, ask: true, notes: []NoteKind{LossSuspected}},
			{list: List{Endpoints: ups(ten...), Confirms: true}, left: 10, notes: []NoteKind{LossRefuted}}}},
		{"the second answer lacks fewer", []step{full,
			{list: List{Endpoints: ups(ten[:1]...)}, left: 10, ask: true, notes: []NoteKind{LossSuspected}},
			{list: List{Endpoints: ups(ten[:9]...), Confirms: true}, left: 9, notes: []NoteKind{LossConfirmed}}}},
		{"the same answer again confirms nothing", []step{full,
			{list: List{Endpoints: ups(ten[:1]...)}, left: 10, ask: true, notes: []NoteKind{LossSuspected}},
			{list: List{Endpoints: ups(ten[:1]...)}, left: 10}}},
		{"an empty list is never believed", []step{full,
			{list: List{}, left: 10, ask: true, notes: []NoteKind{LossSuspected}},
			{list: List{Confirms: true}, left: 10}, {list: List{Confirms: true}, left: 10},
			{list: List{Endpoints: ups(ten...)}, left: 10, notes: []NoteKind{LossRefuted}}}},
		{"what is marked down is not protected", []step{full,
			{list: List{Endpoints: append(ups(ten[:1]...), box("1", Gone), box("2", Draining))}, left: 9, ask: true, notes: []NoteKind{LossSuspected}},
			{list: List{Endpoints: []Endpoint{box("0", Gone), box("1", Gone), box("2", Gone)}}, left: 7}}},
		{"all marked down, then deregistered: gone", []step{
			{list: List{Endpoints: ups("1", "2")}, left: 2}, {list: List{Endpoints: []Endpoint{box("1", Gone), box("2", Gone)}}},
			{list: List{}}}},
		{"an answer that omits loses nothing", []step{full, {list: List{Endpoints: ups("3"), Incomplete: true}, left: 10},
			{list: List{Endpoints: []Endpoint{box("3", Gone)}, Incomplete: true}, left: 9}, {list: List{Endpoints: ups(ten...)}, left: 10}}},
		{"a list in parts", []step{{list: List{Endpoints: ups(ten[:4]...), Part: true}, left: 4}, {list: List{Endpoints: ups(ten[4:]...), Part: true}, left: 10},
			{list: List{Endpoints: ups(ten[:9]...)}, left: 9}}},
		{"named twice counts once", []step{{list: List{Endpoints: ups("1", "1", "2")}, left: 2, notes: []NoteKind{DuplicateID}}}},
	} {
		f := follow(Config{Sources: []Source{{Name: "consul", ConfirmLosses: true}}, MaxLossShare: 0.3, MinLoss: 2})
		now := start
		for i, s := range c.steps {
			now += 50 * ms
			f.ReplaceList(now, 0, s.list)
			f.take(now)
			if len(f.told) != s.left {
				t.Errorf("%s: %d boxes after step %d, want %d", c.name, len(f.told), i, s.left)
			}
			if ask := len(f.SourcesToRefetch()) > 0; ask != s.ask {
				t.Errorf("%s: step %d asks again: %v", c.name, i, ask)
			}
			if diff := cmp.Diff(s.notes, f.kinds()); diff != "" {
				t.Errorf("%s: notes of step %d (-want +got):\n%s", c.name, i, diff)
			}
		}
	}
}

// TestDoubtAsksOn: while no second answer comes the source is asked again, at a bounded rate, and stops with the doubt.
func TestDoubtAsksOn(t *testing.T) {
	f := follow(Config{Sources: []Source{{ConfirmLosses: true}}, MaxLossShare: 0.3})
	f.ReplaceList(start, 0, List{Endpoints: ups(many(10)...)})
	f.ReplaceList(start, 0, List{Endpoints: ups("1")})
	asked := 0
	for now := start; now < start+3*time.Second; now += 10 * ms {
		f.take(now)
		asked += len(f.SourcesToRefetch())
	}
	if asked != 10 {
		t.Errorf("asked %d times in 3 s, want one each %v", asked, DefaultConfirmInterval)
	}
	f.ReplaceList(start+3*time.Second, 0, List{Endpoints: ups("1"), Confirms: true})
	f.take(start + time.Minute)
	if len(f.SourcesToRefetch()) > 0 || f.Next() != 0 && f.Next() < start+time.Minute {
		t.Error("it is asked on after the doubt has ended")
	}
}

// TestIdentity: which changes of ids and addresses are new starts, moves, renames.
func TestIdentity(t *testing.T) {
	at := func(id, address string, inc uint64) Endpoint {
		return Endpoint{ID: id, Address: address, State: Up, Incarnation: inc}
	}
	list := []Source{{Name: "consul", FirstSeenIsStart: true, ConfirmLosses: true}}
	now := start + time.Second
	for _, c := range []struct {
		name string
		old  []Endpoint
		new  []Endpoint
		want []string
		born map[string]time.Duration
	}{
		{"an old id on a new address is moved, and has started", []Endpoint{at("a", "x:1", 1)}, []Endpoint{at("a", "x:2", 1)},
			[]string{"moved a up by 0 word"}, map[string]time.Duration{"a": now}},
		{"registered again: a new start", []Endpoint{at("a", "x:1", 1)}, []Endpoint{at("a", "x:1", 9)},
			[]string{"restarted a up by 0 word"}, map[string]time.Duration{"a": now}},
		{"a new box on an old address", []Endpoint{at("a", "x:1", 1), at("c", "y:1", 1)}, []Endpoint{at("b", "x:1", 2), at("c", "y:1", 1)},
			[]string{"removed a gone by -1 unnamed", "added b up by 0 word"}, map[string]time.Duration{"b": now, "c": 0}},
		{"the old id is named still: it takes nothing new", []Endpoint{at("a", "x:1", 1)}, []Endpoint{at("a", "x:1", 1), at("b", "x:1", 2)},
			[]string{"draining a draining by 0 replaced", "added b up by 0 word"}, nil},
		{"a rename storm is no loss", []Endpoint{at("a", "x:1", 1), at("b", "x:2", 1), at("c", "x:3", 1), at("d", "x:4", 1)},
			[]Endpoint{at("a2", "x:1", 2), at("b2", "x:2", 2), at("c2", "x:3", 2), at("d2", "x:4", 2)},
			[]string{"removed a gone by -1 unnamed", "removed b gone by -1 unnamed", "removed c gone by -1 unnamed", "removed d gone by -1 unnamed",
				"added a2 up by 0 word", "added b2 up by 0 word", "added c2 up by 0 word", "added d2 up by 0 word"}, nil},
		{"two swap their addresses", []Endpoint{at("a", "x:1", 1), at("b", "x:2", 1)}, []Endpoint{at("a", "x:2", 1), at("b", "x:1", 1)},
			[]string{"moved b up by 0 word", "moved a up by 0 word"}, nil},
		{"what the first list names is of any age", nil, []Endpoint{at("a", "x:1", 7)}, []string{"added a up by 0 word"},
			map[string]time.Duration{"a": 0}},
	} {
		f := follow(Config{Sources: list, MaxLossShare: 0.2})
		if c.old != nil {
			f.ReplaceList(start, 0, List{Endpoints: c.old})
			f.take(start)
		}
		f.log = nil
		f.ReplaceList(now, 0, List{Endpoints: c.new})
		f.take(now)
		if diff := cmp.Diff(c.want, f.log); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
		for id, want := range c.born {
			if got := f.told[id].StartedAt; got != want {
				t.Errorf("%s: %s was born at %v, want %v", c.name, id, got, want)
			}
		}
	}
}

// TestReplacedComesBack: once the box that took an address is gone, the one that was there may be used again.
func TestReplacedComesBack(t *testing.T) {
	f := follow(Config{Sources: []Source{{}}})
	a, b := box("a", Up), box("b", Up)
	b.Address = a.Address
	f.ReplaceList(start, 0, List{Endpoints: []Endpoint{a}})
	f.take(start)
	for i, c := range []struct {
		boxes []Endpoint
		a, b  State
	}{{[]Endpoint{a, b}, Draining, Up}, {[]Endpoint{a}, Up, Gone}} {
		f.ReplaceList(start+time.Second, 0, List{Endpoints: c.boxes})
		f.take(start + time.Second)
		if f.state("a") != c.a || f.state("b") != c.b {
			t.Errorf("step %d: a %v, b %v, want %v and %v", i, f.state("a"), f.state("b"), c.a, c.b)
		}
	}
}

// TestFactsFollowPrecedence: two sources give one id different addresses.
func TestFactsFollowPrecedence(t *testing.T) {
	f := follow(Config{Sources: []Source{{Name: "first"}, {Name: "second"}}, MaxSilence: time.Minute})
	one, two := box("a", Up), box("a", Up)
	one.Address, two.Address = "10.0.0.1:1", "10.0.0.2:1"
	two.StartedAt = start
	f.ReplaceList(start, 1, List{Endpoints: []Endpoint{two}})
	f.take(start)
	f.ReplaceList(start, 0, List{Endpoints: []Endpoint{one}})
	f.take(start)
	if got := f.told["a"]; got.Address != one.Address || got.StartedAt != start {
		t.Errorf("%+v, want the first source's address and the latest start", got)
	}
	f.SourceSilent(start+time.Second, 0)
	two.Address = "10.0.0.3:1"
	f.ReplaceList(start+2*time.Second, 1, List{Endpoints: []Endpoint{two}})
	f.take(start + 2*time.Second)
	if got := f.told["a"]; got.Address != two.Address {
		t.Errorf("%+v, want what the speaking source has said since", got)
	}
}

// TestDamping: a box that flaps goes down at once each time and is held down, never longer than the bound.
func TestDamping(t *testing.T) {
	d := Damping{SuppressAbove: 3, ReuseBelow: 0.5, HalfLife: 2 * time.Second, MaxSuppress: 6 * time.Second}
	f := follow(Config{Sources: []Source{{Damping: d}}})
	now, state := start, Up
	changes, last := 0, Gone
	for range 400 { // forty a second for ten seconds
		f.ReplaceList(now, 0, List{Endpoints: []Endpoint{box("a", state), box("b", Up)}})
		f.take(now)
		if state == Gone && f.state("a") != Gone {
			t.Fatalf("at %v the box is marked gone and told as %v", now-start, f.state("a"))
		}
		if f.state("a") != last {
			changes, last = changes+1, f.state("a")
		}
		now += 25 * ms
		state = Up - state
	}
	if changes > 12 {
		t.Errorf("%d changes were told of a box that flapped 400 times", changes)
	}
	f.ReplaceList(now, 0, List{Endpoints: ups("a", "b")})
	if f.take(now); f.state("a") != Gone || f.state("b") != Up {
		t.Errorf("a is %v and b %v after the flapping, want a held", f.state("a"), f.state("b"))
	}
	if f.take(now + d.MaxSuppress); f.state("a") != Up {
		t.Errorf("the box is %v after %v without a flap", f.state("a"), d.MaxSuppress)
	}
	f.ReplaceList(now+time.Minute, 0, List{Endpoints: []Endpoint{box("a", Gone), box("b", Up)}})
	f.take(now + time.Minute)
	f.ReplaceList(now+time.Minute, 0, List{Endpoints: ups("a", "b")})
	if f.take(now + time.Minute); f.state("a") != Up {
		t.Error("a single way down after a quiet minute is held")
	}
}

// TestForget: "gone" of a source that tells changes wins against others as long as they name the box.
func TestForget(t *testing.T) {
	f := follow(Config{Sources: []Source{{Name: "bulletin"}, {Name: "consul"}}})
	f.ApplyDelta(start, 0, 1, ups("a"))
	f.ReplaceList(start, 1, List{Endpoints: ups("a", "b")})
	f.ApplyDelta(start, 0, 2, []Endpoint{{ID: "a", State: Gone}})
	for _, at := range []time.Duration{0, 2 * time.Minute, time.Hour} {
		if f.take(start + at); f.state("a") != Gone {
			t.Errorf("after %v the removed box is %v", at, f.state("a"))
		}
	}
	f.ReplaceList(start+time.Hour, 1, List{Endpoints: ups("b")})
	f.take(start + 2*time.Hour)
	if f.Len() != 1 {
		t.Errorf("%d boxes are held, want b alone", f.Len())
	}
}

// TestFull: known boxes stay, new ones are left out and counted.
func TestFull(t *testing.T) {
	f := follow(Config{Sources: []Source{{}}, MaxEndpoints: 10})
	f.ReplaceList(start, 0, List{Endpoints: ups(many(10)...)})
	f.ReplaceList(start, 0, List{Endpoints: ups(append([]string{"x", "y"}, many(10)...)...)})
	f.take(start)
	notes, _ := f.Notes()
	if len(f.told) != 10 || f.state("x") != Gone || len(notes) != 1 || notes[0].Kind != ListFull || notes[0].Count != 2 {
		t.Errorf("%d boxes, notes %+v", len(f.told), notes)
	}
}

// TestRestore: words of before a restart count as those of a silent source, and a list that lacks most of them is doubted.
func TestRestore(t *testing.T) {
	cfg := Config{Sources: []Source{{Name: "consul", ConfirmLosses: true, FirstSeenIsStart: true}}, MaxLossShare: 0.3}
	old := follow(cfg)
	boxes := ups(many(10)...)
	for i := range boxes {
		boxes[i].Incarnation = 5
	}
	old.ReplaceList(start, 0, List{Version: 70, Endpoints: boxes})
	boxes[3].Incarnation = 6
	boxes[4].State = Gone
	old.ReplaceList(start+time.Second, 0, List{Version: 71, Endpoints: boxes})
	f := follow(cfg)
	now := start + time.Minute
	if n := f.Restore(now, old.Export()); n != 9 {
		t.Errorf("%d boxes restored, want the 9 that were not gone", n)
	}
	f.take(now)
	if s := f.Sources()[0]; !s.Silent || s.LastSeen != start+time.Second || s.Version != 71 {
		t.Errorf("the source is %+v", s)
	}
	if f.told["3"].StartedAt != start+time.Second || f.told["2"].StartedAt != 0 {
		t.Errorf("starts came back as %v and %v", f.told["3"].StartedAt, f.told["2"].StartedAt)
	}
	f.ReplaceList(now, 0, List{Endpoints: boxes[:1]})
	if f.take(now); len(f.told) != 9 || len(f.SourcesToRefetch()) != 1 {
		t.Errorf("%d boxes after a list of one, want it doubted", len(f.told))
	}
	boxes[4].State = Up
	boxes[5].Incarnation = 6
	f.ReplaceList(now, 0, List{Endpoints: boxes})
	f.take(now)
	for id, want := range map[string]time.Duration{"2": 0, "3": start + time.Second, "4": now, "5": now} {
		if got := f.told[id].StartedAt; got != want {
			t.Errorf("box %s was born at %v, want %v", id, got, want)
		}
	}
}

// TestTakeInParts: a large change comes in parts, what takes away first.
func TestTakeInParts(t *testing.T) {
	f := follow(Config{Sources: []Source{{}}})
	f.ReplaceList(start, 0, List{Endpoints: ups(many(100)...)})
	f.take(start)
	f.ReplaceList(start, 0, List{Endpoints: append(ups(many(200)[:190]...), box("195", Draining))})
	f.ApplyDelta(start, 0, 1, []Endpoint{{ID: "7", State: Gone}, box("8", Draining)})
	first := f.TakeChanges(start, 2)
	if len(first) != 2 || first[0].Kind != Removed || first[1].Kind != StartedDraining {
		t.Errorf("the first part is %+v", first)
	}
	n := 0
	for f.HasChanges() {
		n += len(f.TakeChanges(start, 10))
	}
	if n != 91 {
		t.Errorf("%d further changes, want 91", n)
	}
}

func fleet(n int) []Endpoint {
	boxes := make([]Endpoint, n)
	for i := range boxes {
		boxes[i] = Endpoint{ID: fmt.Sprintf("cache-%06d", i), Address: fmt.Sprintf("10.%d.%d.%d:8443", i>>16, i>>8&255, i&255),
			Zone: i % 40, Weight: 8, State: Up, Incarnation: uint64(i)}
	}
	return boxes
}

// plain is the plain way: a map from each list, compared with the one before.
type plain map[string]Endpoint

func (p *plain) whole(boxes []Endpoint) (changes []Change) {
	next := make(plain, len(boxes))
	for _, b := range boxes {
		next[b.ID] = b
	}
	for id, b := range next {
		if old := (*p)[id]; old != b {
			changes = append(changes, Change{Endpoint: b, Previous: old})
		}
	}
	for id, old := range *p {
		if _, ok := next[id]; !ok {
			changes = append(changes, Change{Kind: Removed, Previous: old})
		}
	}
	*p = next
	return changes
}

// BenchmarkWhole takes whole lists, unchanged or with 1% of the boxes changed, the plain way and by a table.
func BenchmarkWhole(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000, 100_000} {
		boxes := fleet(n)
		for _, changed := range []int{0, n / 100} {
			change := func(round int) {
				for i := range changed {
					c := &boxes[(i*97+round*31)%n]
					c.State = Up + Draining - c.State
				}
			}
			b.Run(fmt.Sprintf("plain/%d/changed-%d", n, changed), func(b *testing.B) {
				var p plain
				p.whole(boxes)
				b.ReportAllocs()
				for i := range b.N {
					change(i)
					p.whole(boxes)
				}
			})
			b.Run(fmt.Sprintf("table/%d/changed-%d", n, changed), func(b *testing.B) {
				t := New(Config{Sources: []Source{{Name: "consul", ConfirmLosses: true, FirstSeenIsStart: true}, {Name: "bulletin"}}, MaxLossShare: 0.3})
				now := start
				t.ReplaceList(now, 0, List{Endpoints: boxes})
				t.TakeChanges(now, n)
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					change(i)
					now += ms
					t.ReplaceList(now, 0, List{Endpoints: boxes})
					t.TakeChanges(now, n)
				}
			})
		}
		b.Run(fmt.Sprintf("table/%d/first", n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				t := New(Config{Sources: []Source{{Name: "consul", ConfirmLosses: true, FirstSeenIsStart: true}, {Name: "bulletin"}}})
				t.ReplaceList(start, 0, List{Endpoints: boxes})
				t.TakeChanges(start, n)
			}
		})
	}
}

// BenchmarkOneAddress is a list of 6,000 ids, of their own addresses and all at one, taken in and told.
func BenchmarkOneAddress(b *testing.B) {
	for _, c := range []struct {
		name string
		at   func(i int) string
	}{{"own", func(i int) string { return fmt.Sprintf("10.0.%d.%d:1", i>>8, i&255) }}, {"one", func(int) string { return "10.0.0.1:1" }}} {
		b.Run(c.name, func(b *testing.B) {
			var list List
			for i := range 6000 {
				list.Endpoints = append(list.Endpoints, Endpoint{ID: fmt.Sprint("x", i), Address: c.at(i), State: Up, Weight: 1})
			}
			for b.Loop() {
				t := New(Config{Sources: make([]Source, 1)})
				t.ReplaceList(time.Second, 0, list)
				for t.HasChanges() {
					t.TakeChanges(time.Second, 200)
				}
			}
		})
	}
}
