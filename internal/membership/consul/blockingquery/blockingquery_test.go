package blockingquery

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// allFaults is each way in which a query can fail.
var allFaults = []Fault{ConnectionFailed, Rejected, Malformed, TimedOut}

// newWatch makes a watch with agents of its own.
func newWatch(config Config) *Watch { return New(config, NewSharedAgents(config.AgentCount)) }

// TestOutage: one agent fails in each way for 5 s and a minute, at any phase. What changed meanwhile arrives within a
// second of its being back, and it is queried at most once a second.
func TestOutage(t *testing.T) {
	worst := time.Duration(0)
	for _, fault := range allFaults {
		for _, length := range []time.Duration{5 * time.Second, time.Minute} {
			for phase := range 20 {
				simulation := newSimulation(Config{Seed: uint64(phase)}, 1)
				from := start + 3*time.Second + time.Duration(phase)*53*ms
				to := from + length
				simulation.agents[0].faultAt = faultBetween(fault, from, to)
				simulation.run(from + length/2)
				simulation.change()
				simulation.run(to)
				queries := simulation.agents[0].queriesSince(from)
				if maxQueries := int(length/time.Second) + 1; queries > maxQueries {
					t.Errorf("%v for %v: %d queries, want at most %d", fault, length, queries, maxQueries)
				}
				simulation.run(to + 2*time.Second)
				if !simulation.isCurrent() {
					t.Fatalf("%v for %v: the change never arrived", fault, length)
				}
				worst = max(worst, simulation.receivedAt-to)
				if simulation.watch.Unavailable() || simulation.availabilityChanges > 2 {
					t.Errorf("%v for %v: %d changes of availability, unavailable at the end: %v",
						fault, length, simulation.availabilityChanges, simulation.watch.Unavailable())
				}
			}
		}
	}
	if worst >= time.Second {
		t.Errorf("what changed in an outage arrived %v after it", worst)
	}
	t.Logf("worst: %v after the outage", worst)
}

// TestSharedOutage: three watches of one agent query it together at most once a second while it fails, and each
// has what changed within a second of its being back.
func TestSharedOutage(t *testing.T) {
	worst := time.Duration(0)
	for _, fault := range allFaults {
		for _, length := range []time.Duration{5 * time.Second, time.Minute} {
			for phase := range 10 {
				simulations := newSimulations(Config{Seed: uint64(phase)}, 1, 3)
				from := start + 3*time.Second + time.Duration(phase)*97*ms
				to := from + length
				simulations[0].agents[0].faultAt = faultBetween(fault, from, to)
				simulations.run(from + length/2)
				for _, simulation := range simulations {
					simulation.change()
				}
				simulations.run(to)
				queries := simulations[0].agents[0].queriesSince(from)
				if maxQueries := int(length/time.Second) + 1; queries > maxQueries {
					t.Errorf("%v for %v: %d queries, want at most %d", fault, length, queries, maxQueries)
				}
				simulations.run(to + 2*time.Second)
				for i, simulation := range simulations {
					if !simulation.isCurrent() || simulation.watch.Unavailable() {
						t.Fatalf("%v for %v: watch %d has version %d of %d, unavailable %v", fault, length, i,
							simulation.receivedVersion, simulation.version, simulation.watch.Unavailable())
					}
					worst = max(worst, simulation.receivedAt-to)
				}
			}
		}
	}
	if worst >= time.Second {
		t.Errorf("what changed in an outage arrived %v after it", worst)
	}
	t.Logf("worst: %v after the outage", worst)
}

// TestOutageWithoutChange: an agent that is back is known to be within a second, though nothing has changed that
// would end a blocking query.
func TestOutageWithoutChange(t *testing.T) {
	for _, fault := range allFaults {
		simulation := newSimulation(Config{}, 1)
		from, to := start+3*time.Second, start+8*time.Second
		simulation.agents[0].faultAt = faultBetween(fault, from, to)
		simulation.run(to)
		if !simulation.watch.Unavailable() {
			t.Errorf("%v: the outage is not known", fault)
		}
		if simulation.run(to + time.Second); simulation.watch.Unavailable() {
			t.Errorf("%v: a second after the outage the agent counts as down", fault)
		}
	}
}

// TestFailover: the agent in use dies just before a change; the change arrives by another, within a second for the
// silent death too and at once for a loud one, and the watch returns to the preferred agent when that is back.
func TestFailover(t *testing.T) {
	limits := map[Fault]time.Duration{ConnectionFailed: 20 * ms, Rejected: 20 * ms, TimedOut: 1800 * ms}
	for fault, within := range limits {
		simulation := newSimulation(Config{}, 3)
		failsAt, back := start+5*time.Second, start+30*time.Second
		simulation.agents[0].faultAt = faultBetween(fault, failsAt, back)
		simulation.run(failsAt)
		simulation.change()
		simulation.run(failsAt + 3*time.Second)
		if !simulation.isCurrent() || simulation.receivedAt-failsAt > within {
			t.Errorf("%v: the change arrived after %v, want within %v", fault, simulation.receivedAt-failsAt, within)
		}
		if simulation.watch.CurrentAgent() == 0 || simulation.availabilityChanges > 0 {
			t.Errorf("%v: agent %d in use, %d changes of availability",
				fault, simulation.watch.CurrentAgent(), simulation.availabilityChanges)
		}
		simulation.run(back + 20*time.Second)
		if simulation.watch.CurrentAgent() != 0 {
			t.Errorf("%v: agent %d in use long after the preferred one is back", fault, simulation.watch.CurrentAgent())
		}
		queriesBefore := len(simulation.agents[0].queriedAt)
		simulation.change()
		simulation.run(back + 21*time.Second)
		if !simulation.isCurrent() || len(simulation.agents[0].queriedAt) == queriesBefore {
			t.Errorf("%v: with the preferred agent in use again the change did not arrive", fault)
		}
	}
}

// TestRandomOutages: whatever the agents do, an agent that fails is queried at most once a second, no more than a
// list query and a probe are in flight, and a second after any agent is well for good the list is current.
func TestRandomOutages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		agentCount := rapid.IntRange(1, 3).Draw(t, "agents")
		simulation := newSimulation(Config{Seed: rapid.Uint64().Draw(t, "seed")}, agentCount)
		type outage struct {
			fault    Fault
			from, to time.Duration
		}
		last := start
		for _, agent := range simulation.agents {
			var outages []outage
			at := start
			for range rapid.IntRange(0, 4).Draw(t, "spells") {
				at += time.Duration(rapid.IntRange(1, 4000).Draw(t, "well")) * ms
				to := at + time.Duration(rapid.IntRange(1, 6000).Draw(t, "ill"))*ms
				outages = append(outages, outage{Fault(rapid.IntRange(0, 3).Draw(t, "fault")), at, to})
				at = to
			}
			last = max(last, at)
			agent.faultAt = func(now time.Duration) (Fault, bool) {
				for _, outage := range outages {
					if now >= outage.from && now < outage.to {
						return outage.fault, true
					}
				}
				return noFault(now)
			}
		}
		for simulation.now < last {
			simulation.run(simulation.now + time.Duration(rapid.IntRange(1, 1500).Draw(t, "until"))*ms)
			if len(simulation.inFlight) > 2 {
				t.Fatalf("%d queries are in flight", len(simulation.inFlight))
			}
			if rapid.Bool().Draw(t, "confirm") {
				simulation.watch.Confirm()
			}
			simulation.change()
		}
		for i, agent := range simulation.agents {
			for k := 2; k < len(agent.queriedAt); k++ {
				queries := agent.queriedAt[k-2 : k+1]
				interval := queries[2] - queries[0]
				allFaulty := true
				for _, at := range queries {
					_, isFaulty := agent.faultAt(at)
					allFaulty = allFaulty && isFaulty
				}
				if allFaulty && interval < RetryInterval {
					t.Fatalf("agent %d was queried three times within %v while it failed", i, interval)
				}
			}
		}
		back := simulation.now
		simulation.change()
		simulation.run(back + 2*time.Second)
		if !simulation.isCurrent() || simulation.watch.Unavailable() {
			t.Fatalf("2 s after all are well version %d has arrived, want %d",
				simulation.receivedVersion, simulation.version)
		}
	})
}

// TestVerdicts answers some list queries each and looks at the verdicts and the next query.
func TestVerdicts(t *testing.T) {
	const wait = 30 * time.Second
	sound := ResponseMeta{Index: 20, KnownLeader: true}
	regressed := Verdict{Disposition: Discard, Reason: IndexRegressed}
	for _, c := range []struct {
		name  string
		mode  Mode
		metas []ResponseMeta
		want  []Verdict
		next  Query // the query after the last answer
	}{
		{"a sound answer, then one that blocks", Default, []ResponseMeta{sound},
			[]Verdict{{}}, Query{Index: 20, Wait: wait}},
		{"blocked for the full time", Default, []ResponseMeta{sound, sound},
			[]Verdict{{}, {Disposition: Unchanged}}, Query{Index: 20, Wait: wait}},
		{"rights are missing", Default, []ResponseMeta{{Index: 20, KnownLeader: true, Filtered: true}},
			[]Verdict{{Disposition: Partial, Reason: Filtered}}, Query{Index: 20, Wait: RetryInterval}},
		{"no leader", Stale, []ResponseMeta{{Index: 20}},
			[]Verdict{{Disposition: Partial, Reason: NoLeader}}, Query{Index: 20, Wait: RetryInterval, Mode: Stale}},
		{"index zero", Default, []ResponseMeta{{KnownLeader: true}},
			[]Verdict{{Disposition: Partial, Reason: IndexZero}}, Query{Wait: RetryInterval}},
		{"too stale", Stale, []ResponseMeta{{Index: 20, KnownLeader: true, LastContact: time.Minute}},
			[]Verdict{{Disposition: Discard, Reason: TooStale}}, Query{}},
		{"the index went back", Default, []ResponseMeta{sound, {Index: 1, KnownLeader: true}},
			[]Verdict{{}, regressed}, Query{Mode: Consistent}},
		{"and for good", Default, []ResponseMeta{sound, {Index: 1, KnownLeader: true}, {Index: 2, KnownLeader: true}},
			[]Verdict{{}, regressed, {}}, Query{Index: 2, Wait: wait}},
		{"or not", Default, []ResponseMeta{sound, {Index: 1, KnownLeader: true}, {Index: 22, KnownLeader: true}},
			[]Verdict{{}, regressed, {}}, Query{Index: 22, Wait: wait}},
	} {
		watch := newWatch(Config{AgentCount: 1, Mode: c.mode, Seed: 1}.WithDefaults())
		now := start
		var got []Verdict
		query := watch.Step(now)[0].Start
		for _, meta := range c.metas {
			now += time.Second
			verdict, ok := watch.ListReceived(now, query.Serial, meta)
			if !ok {
				t.Fatalf("%s: the answer is not taken", c.name)
			}
			got = append(got, verdict)
			now += time.Second
			query = watch.Step(now)[0].Start
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s: verdicts (-want +got):\n%s", c.name, diff)
		}
		c.next.Serial = query.Serial
		if diff := cmp.Diff(c.next, *query); diff != "" {
			t.Errorf("%s: the next query (-want +got):\n%s", c.name, diff)
		}
	}
}

// TestRightsAreBack: after an answer that leaves things out the next query does not block for long: no index moves
// when a token gets its rights, and the list is taken for complete then though its index is the same.
func TestRightsAreBack(t *testing.T) {
	complete := ResponseMeta{Index: 10, KnownLeader: true}
	for name, lacking := range map[string]ResponseMeta{
		"filtered":  {Index: 10, KnownLeader: true, Filtered: true},
		"no leader": {Index: 10},
	} {
		watch := newWatch(Config{AgentCount: 1}.WithDefaults())
		now, back := start, start+10*time.Second
		queries := 0
		for now < back+2*time.Second {
			if now = max(now+ms, watch.Next()); len(watch.Step(now)) == 0 {
				continue
			}
			queries++
			query := watch.listQuery
			now += query.Wait + rtt
			meta := lacking
			if now-rtt >= back {
				meta = complete
			}
			verdict, ok := watch.ListReceived(now, query.Serial, meta)
			if !ok || (verdict.Disposition == Complete) != (meta == complete) {
				t.Fatalf("%s: after %v: disposition %v, %v", name, now-start, verdict.Disposition, ok)
			}
			if verdict.Disposition == Complete {
				break
			}
		}
		if delay := now - back; delay > RetryInterval+250*ms || queries > 12 {
			t.Errorf("%s: the list is complete %v after the rights are, with %d queries", name, delay, queries)
		}
	}
}

// TestConfirm: it cancels what blocks, goes to another agent in the consistent mode, and only a sound answer
// confirms.
func TestConfirm(t *testing.T) {
	for _, agents := range []int{1, 2} {
		watch := newWatch(Config{AgentCount: agents}.WithDefaults())
		query := watch.Step(start)[0].Start
		watch.ListReceived(start, query.Serial, ResponseMeta{Index: 20, KnownLeader: true})
		blocking := watch.Step(start + time.Second)[0].Start
		watch.Confirm()
		var started *Query
		canceled := false
		for _, action := range watch.Step(start + time.Second) {
			if action.Start != nil {
				started = action.Start
			} else {
				canceled = canceled || action.Cancel == blocking.Serial
			}
		}
		want := Query{Serial: blocking.Serial + 1, Agent: agents - 1, Mode: Consistent}
		if started == nil || *started != want || !canceled {
			t.Fatalf("%d agents: started %+v, canceled %v", agents, started, canceled)
		}
		if _, ok := watch.ListReceived(start, blocking.Serial, ResponseMeta{Index: 21, KnownLeader: true}); ok {
			t.Error("the answer to a query that was canceled is taken")
		}
		verdict, ok := watch.ListReceived(start, started.Serial, ResponseMeta{Index: 20, KnownLeader: true})
		if !ok || !verdict.Confirms || verdict.Disposition != Complete {
			t.Errorf("%d agents: the confirming answer gives %+v %v", agents, verdict, ok)
		}
		watch.Confirm()
		started = watch.Step(start + 2*time.Second)[0].Start
		filtered := ResponseMeta{Index: 20, KnownLeader: true, Filtered: true}
		if verdict, _ = watch.ListReceived(start, started.Serial, filtered); verdict.Confirms {
			t.Error("an answer that lacks rights confirms")
		}
	}
}

// TestFlapping: changes that never stop are fetched at a bounded rate.
func TestFlapping(t *testing.T) {
	simulation := newSimulation(Config{}, 1)
	for simulation.now < start+10*time.Second {
		simulation.run(simulation.now + 10*ms)
		simulation.change()
	}
	if n := len(simulation.verdicts); n < 40 || n > 50 {
		t.Errorf("%d lists were taken in 10 s of a hundred changes a second, want about one each 200 ms", n)
	}
}

func ExampleWatch() {
	watch := newWatch(Config{AgentCount: 2}.WithDefaults())
	now := time.Duration(0)
	query := watch.Step(now)[0].Start
	fmt.Println("agent", query.Agent, "index", query.Index)
	watch.QueryFailed(now, query.Serial, ConnectionFailed)
	query = watch.Step(now)[0].Start
	fmt.Println("agent", query.Agent, "index", query.Index)
	watch.ListReceived(now, query.Serial, ResponseMeta{Index: 7, KnownLeader: true})
	query = watch.Step(now + time.Second)[0].Start
	fmt.Println("agent", query.Agent, "index", query.Index, "waiting", query.Wait)
	// Output:
	// agent 0 index 0
	// agent 1 index 0
	// agent 1 index 7 waiting 30s
}
