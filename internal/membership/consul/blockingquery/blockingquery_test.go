package blockingquery

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const (
	ms    = time.Millisecond
	start = 1_000_000 * time.Second
)

// fakeAgent answers by a script: what it does to a question asked at a time.
type fakeAgent struct {
	broken func(now time.Duration) (Fault, bool)
	asked  []time.Duration // all questions put to it
}

// world plays a watch against agents, in simulated time. The list is its version alone.
type world struct {
	w       *Watch
	agents  []*fakeAgent
	now     time.Duration
	version uint64 // of the true list; agents answer with it
	since   time.Duration
	held    uint64 // the version that the watch's user holds
	heldAt  time.Duration
	out     map[uint64]*pending
	used    []Verdict
	downs   int
	wasDown bool
}

type pending struct {
	ask Query
	at  time.Duration // when something comes of it; 0: nothing will
}

func newWorld(cfg Config, agents int) *world { return newShared(cfg, agents, 1)[0] }

// several are worlds of watches that share their agents.
type several []*world

func newShared(cfg Config, agents, watches int) (out several) {
	cfg.AgentCount = agents
	cfg = cfg.WithDefaults()
	if cfg.ProbeAfter == 0 {
		cfg.ProbeAfter = time.Second
	}
	shared := NewSharedAgents(agents)
	for range watches {
		x := oneWorld(NewWithAgents(cfg, shared), agents)
		if len(out) > 0 {
			x.agents = out[0].agents
		}
		out = append(out, x)
		cfg.Seed++
	}
	return out
}

// run goes on until a time, all watches in turn.
func (s several) run(until time.Duration) {
	for now := s[0].now; now < until; now += ms {
		for _, x := range s {
			x.run(now + ms)
		}
	}
}

func oneWorld(w *Watch, agents int) *world {
	x := &world{w: w, now: start, version: 10, out: map[uint64]*pending{}}
	for range agents {
		x.agents = append(x.agents, &fakeAgent{broken: func(time.Duration) (Fault, bool) { return 0, false }})
	}
	return x
}

const rtt = 2 * ms

// run goes on until a time, in steps of 1 ms, as the watch asks for them.
func (x *world) run(until time.Duration) {
	for ; x.now < until; x.now += ms {
		for serial, p := range x.out {
			a := x.agents[p.ask.Agent]
			fault, broken := a.broken(x.now)
			switch {
			case broken && fault == TimedOut, x.now < p.at:
			case broken:
				delete(x.out, serial)
				x.w.QueryFailed(x.now, serial, fault)
			case p.ask.Kind == LivenessProbe:
				delete(x.out, serial)
				x.w.ProbeSucceeded(x.now, serial)
			case p.ask.Index == 0 || x.version != p.ask.Index || x.now >= p.at+p.ask.Wait:
				delete(x.out, serial)
				if v, ok := x.w.ListReceived(x.now, serial, ResponseMeta{Index: x.version, KnownLeader: true}); ok {
					x.used = append(x.used, v)
					if v.Disposition == Complete && x.held != x.version {
						x.held, x.heldAt = x.version, x.now
					}
				}
			}
		}
		if next := x.w.Next(); next != 0 && next > x.now {
			continue
		}
		for _, action := range x.w.Step(x.now) {
			if action.Start == nil {
				delete(x.out, action.Cancel)
				continue
			}
			ask := *action.Start
			a := x.agents[ask.Agent]
			a.asked = append(a.asked, x.now)
			x.out[ask.Serial] = &pending{ask, x.now + rtt}
		}
		if down := x.w.Unavailable(); down != x.wasDown {
			x.wasDown = down
			x.downs++
		}
	}
}

func (x *world) change() { x.version, x.since = x.version+1, x.now }

func broken(f Fault, from, to time.Duration) func(time.Duration) (Fault, bool) {
	return func(now time.Duration) (Fault, bool) { return f, now >= from && now < to }
}

// TestOutage: one agent fails in each way for 5 s and a minute, at any phase. What changed meanwhile is held within a
// second of its being back, and it is asked at most once a second.
func TestOutage(t *testing.T) {
	worst := time.Duration(0)
	for _, fault := range []Fault{ConnectionFailed, Rejected, Malformed, TimedOut} {
		for _, length := range []time.Duration{5 * time.Second, time.Minute} {
			for phase := range 20 {
				x := newWorld(Config{Seed: uint64(phase)}, 1)
				from := start + 3*time.Second + time.Duration(phase)*53*ms
				to := from + length
				x.agents[0].broken = broken(fault, from, to)
				x.run(from + length/2)
				x.change()
				x.run(to)
				asked := 0
				for _, at := range x.agents[0].asked {
					if at >= from {
						asked++
					}
				}
				if most := int(length/time.Second) + 1; asked > most {
					t.Errorf("%v for %v: asked %d times, want at most %d", fault, length, asked, most)
				}
				x.run(to + 2*time.Second)
				if x.held != x.version {
					t.Fatalf("%v for %v: the change was never held", fault, length)
				}
				worst = max(worst, x.heldAt-to)
				if x.w.Unavailable() || x.downs > 2 {
					t.Errorf("%v for %v: down and up %d times, down at the end: %v", fault, length, x.downs, x.w.Unavailable())
				}
			}
		}
	}
	if worst >= time.Second {
		t.Errorf("what changed in an outage was held %v after it", worst)
	}
	t.Logf("worst: %v after the outage", worst)
}

// TestSharedOutage: three watches of one agent ask it together no more than once a second while it fails, and each
// holds what changed within a second of its being back.
func TestSharedOutage(t *testing.T) {
	worst := time.Duration(0)
	for _, fault := range []Fault{ConnectionFailed, Rejected, Malformed, TimedOut} {
		for _, length := range []time.Duration{5 * time.Second, time.Minute} {
			for phase := range 10 {
				s := newShared(Config{Seed: uint64(phase)}, 1, 3)
				from := start + 3*time.Second + time.Duration(phase)*97*ms
				to := from + length
				s[0].agents[0].broken = broken(fault, from, to)
				s.run(from + length/2)
				for _, x := range s {
					x.change()
				}
				s.run(to)
				asked := 0
				for _, at := range s[0].agents[0].asked {
					if at >= from {
						asked++
					}
				}
				if most := int(length/time.Second) + 1; asked > most {
					t.Errorf("%v for %v: asked %d times, want at most %d", fault, length, asked, most)
				}
				s.run(to + 2*time.Second)
				for i, x := range s {
					if x.held != x.version || x.w.Unavailable() {
						t.Fatalf("%v for %v: watch %d holds %d of %d, down %v", fault, length, i, x.held, x.version, x.w.Unavailable())
					}
					worst = max(worst, x.heldAt-to)
				}
			}
		}
	}
	if worst >= time.Second {
		t.Errorf("what changed in an outage was held %v after it", worst)
	}
	t.Logf("worst: %v after the outage", worst)
}

// TestOutageWithoutChange: an agent that is back is known to be within a second, though nothing has changed that
// would end a blocking query.
func TestOutageWithoutChange(t *testing.T) {
	for _, fault := range []Fault{ConnectionFailed, Rejected, Malformed, TimedOut} {
		x := newWorld(Config{}, 1)
		from, to := start+3*time.Second, start+8*time.Second
		x.agents[0].broken = broken(fault, from, to)
		x.run(to)
		if !x.w.Unavailable() {
			t.Errorf("%v: the outage is not known", fault)
		}
		if x.run(to + time.Second); x.w.Unavailable() {
			t.Errorf("%v: a second after the outage the agent counts as down", fault)
		}
	}
}

// TestFailover: the agent in use dies just before a change; the change arrives by another, within a second for the
// silent death too and at once for a loud one, and the watch goes home when that agent is back.
func TestFailover(t *testing.T) {
	for fault, within := range map[Fault]time.Duration{ConnectionFailed: 20 * ms, Rejected: 20 * ms, TimedOut: 1800 * ms} {
		x := newWorld(Config{}, 3)
		dies, back := start+5*time.Second, start+30*time.Second
		x.agents[0].broken = broken(fault, dies, back)
		x.run(dies)
		x.change()
		x.run(dies + 3*time.Second)
		if x.held != x.version || x.heldAt-dies > within {
			t.Errorf("%v: the change was held after %v, want within %v", fault, x.heldAt-dies, within)
		}
		if x.w.CurrentAgent() == 0 || x.downs > 0 {
			t.Errorf("%v: agent %d in use, down %d times", fault, x.w.CurrentAgent(), x.downs)
		}
		x.run(back + 20*time.Second)
		if x.w.CurrentAgent() != 0 {
			t.Errorf("%v: agent %d in use long after the one at home is back", fault, x.w.CurrentAgent())
		}
		asked := len(x.agents[0].asked)
		x.change()
		x.run(back + 21*time.Second)
		if x.held != x.version || len(x.agents[0].asked) == asked {
			t.Errorf("%v: at home again the change is not held", fault)
		}
	}
}

// TestRandomOutages: whatever the agents do, an agent that fails is asked at most once a second, no more than a list
// and a probe are out, and a second after any agent is well for good the list is held.
func TestRandomOutages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 3).Draw(t, "agents")
		x := newWorld(Config{Seed: rapid.Uint64().Draw(t, "seed")}, n)
		type spell struct {
			f        Fault
			from, to time.Duration
		}
		last := start
		for _, a := range x.agents {
			var spells []spell
			at := start
			for range rapid.IntRange(0, 4).Draw(t, "spells") {
				at += time.Duration(rapid.IntRange(1, 4000).Draw(t, "well")) * ms
				to := at + time.Duration(rapid.IntRange(1, 6000).Draw(t, "ill"))*ms
				spells = append(spells, spell{Fault(rapid.IntRange(0, 3).Draw(t, "fault")), at, to})
				at = to
			}
			last = max(last, at)
			a.broken = func(now time.Duration) (Fault, bool) {
				for _, s := range spells {
					if now >= s.from && now < s.to {
						return s.f, true
					}
				}
				return 0, false
			}
		}
		for x.now < last {
			x.run(x.now + time.Duration(rapid.IntRange(1, 1500).Draw(t, "until"))*ms)
			if len(x.out) > 2 {
				t.Fatalf("%d questions are out", len(x.out))
			}
			if rapid.Bool().Draw(t, "confirm") {
				x.w.Confirm()
			}
			x.change()
		}
		for i, a := range x.agents {
			for k := 1; k < len(a.asked); k++ {
				_, was := a.broken(a.asked[k-1])
				_, is := a.broken(a.asked[k])
				if gap := a.asked[k] - a.asked[k-1]; was && is && gap < RetryInterval && k > 1 {
					if _, before := a.broken(a.asked[k-2]); before && a.asked[k]-a.asked[k-2] < RetryInterval {
						t.Fatalf("agent %d was asked three times within %v while it failed", i, a.asked[k]-a.asked[k-2])
					}
				}
			}
		}
		back := x.now
		x.change()
		x.run(back + 2*time.Second)
		if x.held != x.version || x.w.Unavailable() {
			t.Fatalf("2 s after all are well version %d is held, want %d", x.held, x.version)
		}
	})
}

// TestVerdicts answers one question each and looks at what is believed and asked next.
func TestVerdicts(t *testing.T) {
	sound := ResponseMeta{Index: 20, KnownLeader: true}
	for _, c := range []struct {
		name  string
		mode  Mode
		metas []ResponseMeta
		want  []Verdict
		next  Query // the question after the last
	}{
		{"a sound answer, then one that waits", Default, []ResponseMeta{sound}, []Verdict{{}}, Query{Index: 20, Wait: 30 * time.Second}},
		{"the wait is over", Default, []ResponseMeta{sound, sound}, []Verdict{{}, {Disposition: Unchanged}}, Query{Index: 20, Wait: 30 * time.Second}},
		{"rights are missing", Default, []ResponseMeta{{Index: 20, KnownLeader: true, Filtered: true}}, []Verdict{{Disposition: Partial, Reason: Filtered}},
			Query{Index: 20, Wait: RetryInterval}},
		{"no leader", Stale, []ResponseMeta{{Index: 20}}, []Verdict{{Disposition: Partial, Reason: NoLeader}}, Query{Index: 20, Wait: RetryInterval, Mode: Stale}},
		{"index zero", Default, []ResponseMeta{{KnownLeader: true}}, []Verdict{{Disposition: Partial, Reason: IndexZero}}, Query{Wait: RetryInterval}},
		{"too old", Stale, []ResponseMeta{{Index: 20, KnownLeader: true, LastContact: time.Minute}}, []Verdict{{Disposition: Discard, Reason: TooStale}}, Query{}},
		{"the index went back", Default, []ResponseMeta{sound, {Index: 1, KnownLeader: true}}, []Verdict{{}, {Disposition: Discard, Reason: IndexRegressed}},
			Query{Mode: Consistent}},
		{"and for good", Default, []ResponseMeta{sound, {Index: 1, KnownLeader: true}, {Index: 2, KnownLeader: true}},
			[]Verdict{{}, {Disposition: Discard, Reason: IndexRegressed}, {}}, Query{Index: 2, Wait: 30 * time.Second}},
		{"or not", Default, []ResponseMeta{sound, {Index: 1, KnownLeader: true}, {Index: 22, KnownLeader: true}},
			[]Verdict{{}, {Disposition: Discard, Reason: IndexRegressed}, {}}, Query{Index: 22, Wait: 30 * time.Second}},
	} {
		w := New(Config{AgentCount: 1, Mode: c.mode, Seed: 1}.WithDefaults())
		now := start
		var got []Verdict
		ask := w.Step(now)[0].Start
		for _, m := range c.metas {
			now += time.Second
			v, ok := w.ListReceived(now, ask.Serial, m)
			if !ok {
				t.Fatalf("%s: the answer is not taken", c.name)
			}
			got = append(got, v)
			now += time.Second
			ask = w.Step(now)[0].Start
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s: verdicts (-want +got):\n%s", c.name, diff)
		}
		c.next.Serial = ask.Serial
		if diff := cmp.Diff(c.next, *ask); diff != "" {
			t.Errorf("%s: the next question (-want +got):\n%s", c.name, diff)
		}
	}
}

// TestRightsAreBack: an answer that leaves things out is not waited upon for long: no index moves when a token gets
// its rights, and the whole list is believed then though its index is the one that is held.
func TestRightsAreBack(t *testing.T) {
	for name, lacking := range map[string]ResponseMeta{"filtered": {Index: 10, KnownLeader: true, Filtered: true}, "no leader": {Index: 10}} {
		w := New(Config{AgentCount: 1}.WithDefaults())
		now, back := start, start+10*time.Second
		asked := 0
		for now < back+2*time.Second {
			if now = max(now+ms, w.Next()); len(w.Step(now)) == 0 {
				continue
			}
			asked++
			q := w.listQuery
			now += q.Wait + rtt
			m := lacking
			if now-rtt >= back {
				m = ResponseMeta{Index: 10, KnownLeader: true}
			}
			v, ok := w.ListReceived(now, q.Serial, m)
			if !ok || (v.Disposition == Complete) != (m == ResponseMeta{Index: 10, KnownLeader: true}) {
				t.Fatalf("%s: after %v: belief %v, %v", name, now-start, v.Disposition, ok)
			}
			if v.Disposition == Complete {
				break
			}
		}
		if late := now - back; late > RetryInterval+250*ms || asked > 12 {
			t.Errorf("%s: the list is whole %v after the rights are, with %d questions", name, late, asked)
		}
	}
}

// TestConfirm: it calls off what blocks, goes to another agent in the consistent mode, and only a sound answer
// confirms.
func TestConfirm(t *testing.T) {
	for _, agents := range []int{1, 2} {
		w := New(Config{AgentCount: agents}.WithDefaults())
		ask := w.Step(start)[0].Start
		w.ListReceived(start, ask.Serial, ResponseMeta{Index: 20, KnownLeader: true})
		blocking := w.Step(start + time.Second)[0].Start
		w.Confirm()
		var started *Query
		aborted := false
		for _, a := range w.Step(start + time.Second) {
			if a.Start != nil {
				started = a.Start
			} else {
				aborted = aborted || a.Cancel == blocking.Serial
			}
		}
		if started == nil || started.Mode != Consistent || started.Index != 0 || started.Agent != agents-1 || !aborted {
			t.Fatalf("%d agents: asked %+v, aborted %v", agents, started, aborted)
		}
		if _, ok := w.ListReceived(start, blocking.Serial, ResponseMeta{Index: 21, KnownLeader: true}); ok {
			t.Error("the answer to a question that was called off is taken")
		}
		v, ok := w.ListReceived(start, started.Serial, ResponseMeta{Index: 20, KnownLeader: true})
		if !ok || !v.Confirms || v.Disposition != Complete {
			t.Errorf("%d agents: the confirming answer gives %+v %v", agents, v, ok)
		}
		w.Confirm()
		started = w.Step(start + 2*time.Second)[0].Start
		if v, _ = w.ListReceived(start, started.Serial, ResponseMeta{Index: 20, KnownLeader: true, Filtered: true}); v.Confirms {
			t.Error("an answer that lacks rights confirms")
		}
	}
}

// TestFlapping: changes that never stop are asked for at a bounded rate.
func TestFlapping(t *testing.T) {
	x := newWorld(Config{}, 1)
	for x.now < start+10*time.Second {
		x.run(x.now + 10*ms)
		x.change()
	}
	if n := len(x.used); n < 40 || n > 50 {
		t.Errorf("%d lists were taken in 10 s of a hundred changes a second, want about one each 200 ms", n)
	}
}

func ExampleWatch() {
	w := New(Config{AgentCount: 2}.WithDefaults())
	now := time.Duration(0)
	ask := w.Step(now)[0].Start
	fmt.Println("agent", ask.Agent, "index", ask.Index)
	w.QueryFailed(now, ask.Serial, ConnectionFailed)
	ask = w.Step(now)[0].Start
	fmt.Println("agent", ask.Agent, "index", ask.Index)
	w.ListReceived(now, ask.Serial, ResponseMeta{Index: 7, KnownLeader: true})
	ask = w.Step(now + time.Second)[0].Start
	fmt.Println("agent", ask.Agent, "index", ask.Index, "waiting", ask.Wait)
	// Output:
	// agent 0 index 0
	// agent 1 index 0
	// agent 1 index 7 waiting 30s
}
