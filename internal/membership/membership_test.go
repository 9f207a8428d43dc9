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

func box(id string, s State) Box {
	return Box{ID: id, Address: "10.0.0." + id + ":1", Zone: 1, Weight: 4, State: s}
}

func ups(ids ...string) (out []Box) {
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
	told map[string]Box
	log  []string
}

func follow(cfg Config) *follower { return &follower{Table: New(cfg), told: map[string]Box{}} }

func (f *follower) take(now time.Duration) {
	f.Step(now)
	for _, c := range f.Take(now, 1<<30) {
		f.log = append(f.log, fmt.Sprintf("%v %s %v by %d %v", c.Kind, c.Box.ID, c.Box.State, c.By, c.Why))
		if f.told[c.Box.ID] = c.Box; c.Box.State == Gone {
			delete(f.told, c.Box.ID)
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
		f := follow(Config{Sources: make([]Source, sources), SilentMost: 20 * time.Second, Forget: time.Hour})
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
			var boxes []Box
			for _, id := range ids {
				if rapid.Bool().Draw(t, "named") {
					boxes = append(boxes, box(id, rapid.SampledFrom([]State{Gone, Draining, Up, Up}).Draw(t, "state")))
				}
			}
			switch op := rapid.IntRange(0, 5).Draw(t, "op"); {
			case op == 0:
				f.Silent(now, src)
				m.silent[src] = true
			case op == 1:
				f.Heard(now, src)
				hear(src)
			case src == 0:
				f.Change(now, src, 1, boxes)
				hear(src)
				for _, b := range boxes {
					_, has := m.words[src][b.ID]
					if b.State == Gone && !has && !slices.ContainsFunc(m.words, func(w map[string]said) bool { _, ok := w[b.ID]; return ok }) {
						continue // never known, and so not kept
					}
					put(src, b.ID, b.State)
				}
			default:
				f.Whole(now, src, List{Boxes: boxes})
				hear(src)
				for _, id := range ids {
					if i := slices.IndexFunc(boxes, func(b Box) bool { return b.ID == id }); i >= 0 {
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
		if f.Pending() {
			t.Fatal("changes are left after all were taken")
		}
	})
}

// TestNothingIsKept: what every source has taken back leaves nothing behind, whatever came before.
func TestNothingIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := follow(Config{Sources: []Source{{Damping: Damping{2, 0.5, time.Second, 5 * time.Second}}, {Protect: true}}, LossShare: 0.5})
		now := start
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * ms
			src := rapid.IntRange(0, 1).Draw(t, "source")
			ids := []string{fmt.Sprint(i), fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "old"))}
			boxes := []Box{box(ids[0], Up), box(ids[1], rapid.SampledFrom([]State{Gone, Draining, Up}).Draw(t, "state"))}
			if src == 0 {
				f.Change(now, src, 1, boxes)
			} else {
				f.Whole(now, src, List{Boxes: boxes, Confirms: rapid.Bool().Draw(t, "confirms")})
			}
			f.take(now)
		}
		var all []Box
		for _, v := range f.All(now) {
			all = append(all, Box{ID: v.Box.ID, State: Gone})
		}
		f.Change(now, 0, 1, all)
		f.Whole(now, 1, List{Boxes: []Box{{ID: "last", State: Gone}}, Confirms: true})
		f.Whole(now, 1, List{Boxes: []Box{{ID: "last", State: Gone}}, Confirms: true})
		f.Whole(now, 1, List{})
		for range 20 {
			now += time.Minute
			f.take(now)
		}
		if f.Len() != 0 || len(f.addresses) != 0 || len(f.told) != 0 || len(f.sources[0].order) != 0 || len(f.due) > 100 {
			t.Fatalf("left: %d records, %d addresses, %d told, %d in order, %d due", f.Len(), len(f.addresses), len(f.told),
				len(f.sources[0].order), len(f.due))
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
	full := step{list: List{Boxes: ups(ten...)}, left: 10}
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"few are believed at once", []step{full, {list: List{Boxes: ups(ten[:8]...)}, left: 8}}},
		{"many are doubted, and confirmed", []step{full,
			{list: List{Boxes: ups(ten[:1]...)}, left: 10, ask: true, notes: []NoteKind{LossDoubted}},
			{list: List{Boxes: ups(ten[:1]...), Confirms: true}, left: 1, notes: []NoteKind{LossConfirmed}}}},
		{"many are doubted, and refuted", []step{full,
			{list: List{Boxes: ups(ten[:1]...)}, left: 10, ask: true, notes: []NoteKind{LossDoubted}},
			{list: List{Boxes: ups(ten...), Confirms: true}, left: 10, notes: []NoteKind{LossRefuted}}}},
		{"the second answer lacks fewer", []step{full,
			{list: List{Boxes: ups(ten[:1]...)}, left: 10, ask: true, notes: []NoteKind{LossDoubted}},
			{list: List{Boxes: ups(ten[:9]...), Confirms: true}, left: 9, notes: []NoteKind{LossConfirmed}}}},
		{"the same answer again confirms nothing", []step{full,
			{list: List{Boxes: ups(ten[:1]...)}, left: 10, ask: true, notes: []NoteKind{LossDoubted}},
			{list: List{Boxes: ups(ten[:1]...)}, left: 10}}},
		{"an empty list is never believed", []step{full,
			{list: List{}, left: 10, ask: true, notes: []NoteKind{LossDoubted}},
			{list: List{Confirms: true}, left: 10}, {list: List{Confirms: true}, left: 10},
			{list: List{Boxes: ups(ten...)}, left: 10, notes: []NoteKind{LossRefuted}}}},
		{"what is marked down is not protected", []step{full,
			{list: List{Boxes: append(ups(ten[:1]...), box("1", Gone), box("2", Draining))}, left: 9, ask: true, notes: []NoteKind{LossDoubted}},
			{list: List{Boxes: []Box{box("0", Gone), box("1", Gone), box("2", Gone)}}, left: 7}}},
		{"all marked down, then deregistered: gone", []step{
			{list: List{Boxes: ups("1", "2")}, left: 2}, {list: List{Boxes: []Box{box("1", Gone), box("2", Gone)}}},
			{list: List{}}}},
		{"an answer that omits loses nothing", []step{full, {list: List{Boxes: ups("3"), Omits: true}, left: 10},
			{list: List{Boxes: []Box{box("3", Gone)}, Omits: true}, left: 9}, {list: List{Boxes: ups(ten...)}, left: 10}}},
		{"a list in parts", []step{{list: List{Boxes: ups(ten[:4]...), Part: true}, left: 4}, {list: List{Boxes: ups(ten[4:]...), Part: true}, left: 10},
			{list: List{Boxes: ups(ten[:9]...)}, left: 9}}},
		{"named twice counts once", []step{{list: List{Boxes: ups("1", "1", "2")}, left: 2, notes: []NoteKind{NamedTwice}}}},
	} {
		f := follow(Config{Sources: []Source{{Name: "consul", Protect: true}}, LossShare: 0.3, LossLeast: 2})
		now := start
		for i, s := range c.steps {
			now += 50 * ms
			f.Whole(now, 0, s.list)
			f.take(now)
			if len(f.told) != s.left {
				t.Errorf("%s: %d boxes after step %d, want %d", c.name, len(f.told), i, s.left)
			}
			if ask := len(f.Confirm()) > 0; ask != s.ask {
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
	f := follow(Config{Sources: []Source{{Protect: true}}, LossShare: 0.3})
	f.Whole(start, 0, List{Boxes: ups(many(10)...)})
	f.Whole(start, 0, List{Boxes: ups("1")})
	asked := 0
	for now := start; now < start+3*time.Second; now += 10 * ms {
		f.take(now)
		asked += len(f.Confirm())
	}
	if asked != 10 {
		t.Errorf("asked %d times in 3 s, want one each %v", asked, DefaultConfirm)
	}
	f.Whole(start+3*time.Second, 0, List{Boxes: ups("1"), Confirms: true})
	f.take(start + time.Minute)
	if len(f.Confirm()) > 0 || f.Next() != 0 && f.Next() < start+time.Minute {
		t.Error("it is asked on after the doubt has ended")
	}
}

// TestIdentity: which changes of ids and addresses are new starts, moves, renames.
func TestIdentity(t *testing.T) {
	at := func(id, address string, inc uint64) Box {
		return Box{ID: id, Address: address, State: Up, Incarnation: inc}
	}
	list := []Source{{Name: "consul", Starts: true, Protect: true}}
	now := start + time.Second
	for _, c := range []struct {
		name string
		old  []Box
		new  []Box
		want []string
		born map[string]time.Duration
	}{
		{"an old id on a new address is moved, and has started", []Box{at("a", "x:1", 1)}, []Box{at("a", "x:2", 1)},
			[]string{"moved a up by 0 word"}, map[string]time.Duration{"a": now}},
		{"registered again: a new start", []Box{at("a", "x:1", 1)}, []Box{at("a", "x:1", 9)},
			[]string{"restarted a up by 0 word"}, map[string]time.Duration{"a": now}},
		{"a new box on an old address", []Box{at("a", "x:1", 1), at("c", "y:1", 1)}, []Box{at("b", "x:1", 2), at("c", "y:1", 1)},
			[]string{"left a gone by -1 unnamed", "added b up by 0 word"}, map[string]time.Duration{"b": now, "c": 0}},
		{"the old id is named still: it takes nothing new", []Box{at("a", "x:1", 1)}, []Box{at("a", "x:1", 1), at("b", "x:1", 2)},
			[]string{"drains a draining by 0 replaced", "added b up by 0 word"}, nil},
		{"a rename storm is no loss", []Box{at("a", "x:1", 1), at("b", "x:2", 1), at("c", "x:3", 1), at("d", "x:4", 1)},
			[]Box{at("a2", "x:1", 2), at("b2", "x:2", 2), at("c2", "x:3", 2), at("d2", "x:4", 2)},
			[]string{"left a gone by -1 unnamed", "left b gone by -1 unnamed", "left c gone by -1 unnamed", "left d gone by -1 unnamed",
				"added a2 up by 0 word", "added b2 up by 0 word", "added c2 up by 0 word", "added d2 up by 0 word"}, nil},
		{"two swap their addresses", []Box{at("a", "x:1", 1), at("b", "x:2", 1)}, []Box{at("a", "x:2", 1), at("b", "x:1", 1)},
			[]string{"moved b up by 0 word", "moved a up by 0 word"}, nil},
		{"what the first list names is of any age", nil, []Box{at("a", "x:1", 7)}, []string{"added a up by 0 word"},
			map[string]time.Duration{"a": 0}},
	} {
		f := follow(Config{Sources: list, LossShare: 0.2})
		if c.old != nil {
			f.Whole(start, 0, List{Boxes: c.old})
			f.take(start)
		}
		f.log = nil
		f.Whole(now, 0, List{Boxes: c.new})
		f.take(now)
		if diff := cmp.Diff(c.want, f.log); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
		for id, want := range c.born {
			if got := f.told[id].Born; got != want {
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
	f.Whole(start, 0, List{Boxes: []Box{a}})
	f.take(start)
	for i, c := range []struct {
		boxes []Box
		a, b  State
	}{{[]Box{a, b}, Draining, Up}, {[]Box{a}, Up, Gone}} {
		f.Whole(start+time.Second, 0, List{Boxes: c.boxes})
		f.take(start + time.Second)
		if f.state("a") != c.a || f.state("b") != c.b {
			t.Errorf("step %d: a %v, b %v, want %v and %v", i, f.state("a"), f.state("b"), c.a, c.b)
		}
	}
}

// TestFactsFollowPrecedence: two sources give one id different addresses.
func TestFactsFollowPrecedence(t *testing.T) {
	f := follow(Config{Sources: []Source{{Name: "first"}, {Name: "second"}}, SilentMost: time.Minute})
	one, two := box("a", Up), box("a", Up)
	one.Address, two.Address = "10.0.0.1:1", "10.0.0.2:1"
	two.Born = start
	f.Whole(start, 1, List{Boxes: []Box{two}})
	f.take(start)
	f.Whole(start, 0, List{Boxes: []Box{one}})
	f.take(start)
	if got := f.told["a"]; got.Address != one.Address || got.Born != start {
		t.Errorf("%+v, want the first source's address and the latest start", got)
	}
	f.Silent(start+time.Second, 0)
	two.Address = "10.0.0.3:1"
	f.Whole(start+2*time.Second, 1, List{Boxes: []Box{two}})
	f.take(start + 2*time.Second)
	if got := f.told["a"]; got.Address != two.Address {
		t.Errorf("%+v, want what the speaking source has said since", got)
	}
}

// TestDamping: a box that flaps goes down at once each time and is held down, never longer than the bound.
func TestDamping(t *testing.T) {
	d := Damping{Cut: 3, Reuse: 0.5, HalfLife: 2 * time.Second, Most: 6 * time.Second}
	f := follow(Config{Sources: []Source{{Damping: d}}})
	now, state := start, Up
	changes, last := 0, Gone
	for range 400 { // forty a second for ten seconds
		f.Whole(now, 0, List{Boxes: []Box{box("a", state), box("b", Up)}})
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
	f.Whole(now, 0, List{Boxes: ups("a", "b")})
	if f.take(now); f.state("a") != Gone || f.state("b") != Up {
		t.Errorf("a is %v and b %v after the flapping, want a held", f.state("a"), f.state("b"))
	}
	if f.take(now + d.Most); f.state("a") != Up {
		t.Errorf("the box is %v after %v without a flap", f.state("a"), d.Most)
	}
	f.Whole(now+time.Minute, 0, List{Boxes: []Box{box("a", Gone), box("b", Up)}})
	f.take(now + time.Minute)
	f.Whole(now+time.Minute, 0, List{Boxes: ups("a", "b")})
	if f.take(now + time.Minute); f.state("a") != Up {
		t.Error("a single way down after a quiet minute is held")
	}
}

// TestForget: "gone" of a source that tells changes wins against others as long as they name the box.
func TestForget(t *testing.T) {
	f := follow(Config{Sources: []Source{{Name: "bulletin"}, {Name: "consul"}}})
	f.Change(start, 0, 1, ups("a"))
	f.Whole(start, 1, List{Boxes: ups("a", "b")})
	f.Change(start, 0, 2, []Box{{ID: "a", State: Gone}})
	for _, at := range []time.Duration{0, 2 * time.Minute, time.Hour} {
		if f.take(start + at); f.state("a") != Gone {
			t.Errorf("after %v the removed box is %v", at, f.state("a"))
		}
	}
	f.Whole(start+time.Hour, 1, List{Boxes: ups("b")})
	f.take(start + 2*time.Hour)
	if f.Len() != 1 {
		t.Errorf("%d boxes are held, want b alone", f.Len())
	}
}

// TestFull: known boxes stay, new ones are left out and counted.
func TestFull(t *testing.T) {
	f := follow(Config{Sources: []Source{{}}, MostBoxes: 10})
	f.Whole(start, 0, List{Boxes: ups(many(10)...)})
	f.Whole(start, 0, List{Boxes: ups(append([]string{"x", "y"}, many(10)...)...)})
	f.take(start)
	notes, _ := f.Notes()
	if len(f.told) != 10 || f.state("x") != Gone || len(notes) != 1 || notes[0].Kind != ListFull || notes[0].Count != 2 {
		t.Errorf("%d boxes, notes %+v", len(f.told), notes)
	}
}

// TestRestore: words of before a restart count as those of a silent source, and a list that lacks most of them is doubted.
func TestRestore(t *testing.T) {
	cfg := Config{Sources: []Source{{Name: "consul", Protect: true, Starts: true}}, LossShare: 0.3}
	old := follow(cfg)
	boxes := ups(many(10)...)
	for i := range boxes {
		boxes[i].Incarnation = 5
	}
	old.Whole(start, 0, List{Version: 70, Boxes: boxes})
	boxes[3].Incarnation = 6
	boxes[4].State = Gone
	old.Whole(start+time.Second, 0, List{Version: 71, Boxes: boxes})
	f := follow(cfg)
	now := start + time.Minute
	if n := f.Restore(now, old.Export()); n != 9 {
		t.Errorf("%d boxes restored, want the 9 that were not gone", n)
	}
	f.take(now)
	if s := f.Sources()[0]; !s.Silent || s.Heard != start+time.Second || s.Version != 71 {
		t.Errorf("the source is %+v", s)
	}
	if f.told["3"].Born != start+time.Second || f.told["2"].Born != 0 {
		t.Errorf("starts came back as %v and %v", f.told["3"].Born, f.told["2"].Born)
	}
	f.Whole(now, 0, List{Boxes: boxes[:1]})
	if f.take(now); len(f.told) != 9 || len(f.Confirm()) != 1 {
		t.Errorf("%d boxes after a list of one, want it doubted", len(f.told))
	}
	boxes[4].State = Up
	boxes[5].Incarnation = 6
	f.Whole(now, 0, List{Boxes: boxes})
	f.take(now)
	for id, want := range map[string]time.Duration{"2": 0, "3": start + time.Second, "4": now, "5": now} {
		if got := f.told[id].Born; got != want {
			t.Errorf("box %s was born at %v, want %v", id, got, want)
		}
	}
}

// TestTakeInParts: a large change comes in parts, what takes away first.
func TestTakeInParts(t *testing.T) {
	f := follow(Config{Sources: []Source{{}}})
	f.Whole(start, 0, List{Boxes: ups(many(100)...)})
	f.take(start)
	f.Whole(start, 0, List{Boxes: append(ups(many(200)[:190]...), box("195", Draining))})
	f.Change(start, 0, 1, []Box{{ID: "7", State: Gone}, box("8", Draining)})
	first := f.Take(start, 2)
	if len(first) != 2 || first[0].Kind != Left || first[1].Kind != Drains {
		t.Errorf("the first part is %+v", first)
	}
	n := 0
	for f.Pending() {
		n += len(f.Take(start, 10))
	}
	if n != 91 {
		t.Errorf("%d further changes, want 91", n)
	}
}

func fleet(n int) []Box {
	boxes := make([]Box, n)
	for i := range boxes {
		boxes[i] = Box{ID: fmt.Sprintf("cache-%06d", i), Address: fmt.Sprintf("10.%d.%d.%d:8443", i>>16, i>>8&255, i&255),
			Zone: i % 40, Weight: 8, State: Up, Incarnation: uint64(i)}
	}
	return boxes
}

// plain is the plain way: a map from each list, compared with the one before.
type plain map[string]Box

func (p *plain) whole(boxes []Box) (changes []Change) {
	next := make(plain, len(boxes))
	for _, b := range boxes {
		next[b.ID] = b
	}
	for id, b := range next {
		if old := (*p)[id]; old != b {
			changes = append(changes, Change{Box: b, Was: old})
		}
	}
	for id, old := range *p {
		if _, ok := next[id]; !ok {
			changes = append(changes, Change{Kind: Left, Was: old})
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
				t := New(Config{Sources: []Source{{Name: "consul", Protect: true, Starts: true}, {Name: "bulletin"}}, LossShare: 0.3})
				now := start
				t.Whole(now, 0, List{Boxes: boxes})
				t.Take(now, n)
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					change(i)
					now += ms
					t.Whole(now, 0, List{Boxes: boxes})
					t.Take(now, n)
				}
			})
		}
		b.Run(fmt.Sprintf("table/%d/first", n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				t := New(Config{Sources: []Source{{Name: "consul", Protect: true, Starts: true}, {Name: "bulletin"}}})
				t.Whole(start, 0, List{Boxes: boxes})
				t.Take(start, n)
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
				list.Boxes = append(list.Boxes, Box{ID: fmt.Sprint("x", i), Address: c.at(i), State: Up, Weight: 1})
			}
			for b.Loop() {
				t := New(Config{Sources: make([]Source, 1)})
				t.Whole(time.Second, 0, list)
				for t.Pending() {
					t.Take(time.Second, 200)
				}
			}
		})
	}
}
