package blockingquery

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// allFaults lists all ways in which a query can fail.
var allFaults = []Fault{ConnectionFailed, Rejected, Malformed, TimedOut}

// newWatch returns a watch that shares its agents with no other.
func newWatch(config Config) *Watch { return New(config, NewSharedAgents(config.AgentCount)) }

// TestOutage: one agent fails in each way, for 5 s or a minute, at various phases. A change made meanwhile arrives
// within a second of its recovery, and the failing agent is queried at most once per second.
func TestOutage(t *testing.T) {
	maxDelay := time.Duration(0)
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
					t.Errorf("%v for %v: got %d queries, want at most %d", fault, length, queries, maxQueries)
				}
				simulation.run(to + 2*time.Second)
				if !simulation.isCurrent() {
					t.Fatalf("%v for %v: got no list with the change within 2 s of the outage", fault, length)
				}
				maxDelay = max(maxDelay, simulation.receivedAt-to)
				if simulation.watch.Unavailable() || simulation.availabilityChanges > 2 {
					t.Errorf("%v for %v: got %d changes of availability, unavailable %v, want at most 2, false",
						fault, length, simulation.availabilityChanges, simulation.watch.Unavailable())
				}
			}
		}
	}
	if maxDelay >= time.Second {
		t.Errorf("got the change made during an outage %v after the outage, want less than 1 s", maxDelay)
	}
	t.Logf("largest delay after an outage: %v", maxDelay)
}

// TestSharedOutage: three watches of one failing agent together query it at most once per second, and each receives a
// change made meanwhile within a second of its recovery.
func TestSharedOutage(t *testing.T) {
	maxDelay := time.Duration(0)
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
					t.Errorf("%v for %v: got %d queries, want at most %d", fault, length, queries, maxQueries)
				}
				simulations.run(to + 2*time.Second)
				for i, simulation := range simulations {
					if !simulation.isCurrent() || simulation.watch.Unavailable() {
						t.Fatalf("%v for %v: watch %d: got version %d, want %d; got unavailable %v, want false",
							fault, length, i, simulation.receivedVersion, simulation.version,
							simulation.watch.Unavailable())
					}
					maxDelay = max(maxDelay, simulation.receivedAt-to)
				}
			}
		}
	}
	if maxDelay >= time.Second {
		t.Errorf("got the change made during an outage %v after the outage, want less than 1 s", maxDelay)
	}
	t.Logf("largest delay after an outage: %v", maxDelay)
}

// TestOutageWithoutChange: a recovered agent counts as available within a second, although no change of the list would
// end a blocking query.
func TestOutageWithoutChange(t *testing.T) {
	for _, fault := range allFaults {
		simulation := newSimulation(Config{}, 1)
		from, to := start+3*time.Second, start+8*time.Second
		simulation.agents[0].faultAt = faultBetween(fault, from, to)
		simulation.run(to)
		if !simulation.watch.Unavailable() {
			t.Errorf("%v: got available during the outage, want unavailable", fault)
		}
		if simulation.run(to + time.Second); simulation.watch.Unavailable() {
			t.Errorf("%v: got unavailable a second after the outage, want available", fault)
		}
	}
}

// TestFailover: the agent in use fails just before a change. The change arrives from another agent, at once after an
// error and within 1.8 s if queries get no response, and the watch returns to the preferred agent once it recovers.
func TestFailover(t *testing.T) {
	limits := map[Fault]time.Duration{ConnectionFailed: 20 * ms, Rejected: 20 * ms, TimedOut: 1800 * ms}
	for fault, maxDelay := range limits {
		simulation := newSimulation(Config{}, 3)
		failsAt, recoversAt := start+5*time.Second, start+30*time.Second
		simulation.agents[0].faultAt = faultBetween(fault, failsAt, recoversAt)
		simulation.run(failsAt)
		simulation.change()
		simulation.run(failsAt + 3*time.Second)
		if !simulation.isCurrent() || simulation.receivedAt-failsAt > maxDelay {
			t.Errorf("%v: got the change after %v, want it within %v", fault, simulation.receivedAt-failsAt, maxDelay)
		}
		if simulation.watch.CurrentAgent() == 0 || simulation.availabilityChanges > 0 {
			t.Errorf("%v: got agent %d in use and %d changes of availability, want an agent other than 0 and none",
				fault, simulation.watch.CurrentAgent(), simulation.availabilityChanges)
		}
		simulation.run(recoversAt + 20*time.Second)
		if simulation.watch.CurrentAgent() != 0 {
			t.Errorf("%v: got agent %d in use 20 s after the preferred one recovered, want 0",
				fault, simulation.watch.CurrentAgent())
		}
		queriesBefore := len(simulation.agents[0].queriedAt)
		simulation.change()
		simulation.run(recoversAt + 21*time.Second)
		if !simulation.isCurrent() || len(simulation.agents[0].queriedAt) == queriesBefore {
			t.Errorf("%v: got no change from the preferred agent in use again, want one", fault)
		}
	}
}

// TestRandomOutages: with random outages of the agents, a failing agent is not queried three times within
// RetryInterval, at most one list query and one probe are in flight, and the list is current 2 s after all outages.
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
			for range rapid.IntRange(0, 4).Draw(t, "outages") {
				at += time.Duration(rapid.IntRange(1, 4000).Draw(t, "uptime_ms")) * ms
				to := at + time.Duration(rapid.IntRange(1, 6000).Draw(t, "downtime_ms"))*ms
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
			simulation.run(simulation.now + time.Duration(rapid.IntRange(1, 1500).Draw(t, "run_ms"))*ms)
			if len(simulation.inFlight) > 2 {
				t.Fatalf("got %d queries in flight, want at most 2", len(simulation.inFlight))
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
					t.Fatalf("agent %d: got three queries within %v while it failed, want at most two", i, interval)
				}
			}
		}
		recoveredAt := simulation.now
		simulation.change()
		simulation.run(recoveredAt + 2*time.Second)
		if !simulation.isCurrent() || simulation.watch.Unavailable() {
			t.Fatalf("2 s after all outages: got version %d, want %d and an available watch",
				simulation.receivedVersion, simulation.version)
		}
	})
}

// TestVerdicts responds to a sequence of list queries and checks the verdicts and the query that follows.
func TestVerdicts(t *testing.T) {
	const wait = 30 * time.Second
	complete := ResponseMeta{Index: 20, KnownLeader: true}
	regressed := Verdict{Disposition: Discard, Reason: IndexRegressed}
	for _, c := range []struct {
		name  string
		mode  Mode
		metas []ResponseMeta
		want  []Verdict
		next  Query // the query after the last response
	}{
		{"complete response, then a blocking query", Default, []ResponseMeta{complete},
			[]Verdict{{}}, Query{Index: 20, Wait: wait}},
		{"no change during the full wait time", Default, []ResponseMeta{complete, complete},
			[]Verdict{{}, {Disposition: Unchanged}}, Query{Index: 20, Wait: wait}},
		{"token lacks permissions", Default, []ResponseMeta{{Index: 20, KnownLeader: true, Filtered: true}},
			[]Verdict{{Disposition: Partial, Reason: Filtered}}, Query{Index: 20, Wait: RetryInterval}},
		{"no leader", Stale, []ResponseMeta{{Index: 20}},
			[]Verdict{{Disposition: Partial, Reason: NoLeader}}, Query{Index: 20, Wait: RetryInterval, Mode: Stale}},
		{"index zero", Default, []ResponseMeta{{KnownLeader: true}},
			[]Verdict{{Disposition: Partial, Reason: IndexZero}}, Query{Wait: RetryInterval}},
		{"too stale", Stale, []ResponseMeta{{Index: 20, KnownLeader: true, LastContact: time.Minute}},
			[]Verdict{{Disposition: Discard, Reason: TooStale}}, Query{}},
		{"index decreased", Default, []ResponseMeta{complete, {Index: 1, KnownLeader: true}},
			[]Verdict{{}, regressed}, Query{Mode: Consistent}},
		{"index decrease confirmed", Default,
			[]ResponseMeta{complete, {Index: 1, KnownLeader: true}, {Index: 2, KnownLeader: true}},
			[]Verdict{{}, regressed, {}}, Query{Index: 2, Wait: wait}},
		{"index decrease not confirmed", Default,
			[]ResponseMeta{complete, {Index: 1, KnownLeader: true}, {Index: 22, KnownLeader: true}},
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
				t.Fatalf("%s: got the response ignored, want a verdict", c.name)
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
			t.Errorf("%s: next query (-want +got):\n%s", c.name, diff)
		}
	}
}

// TestListCompleteAfterPermissionsRestored: after a response that leaves entries out, the next query does not block for
// long, because no index changes when a token gets its permissions. The list then counts as complete despite its
// unchanged index.
func TestListCompleteAfterPermissionsRestored(t *testing.T) {
	complete := ResponseMeta{Index: 10, KnownLeader: true}
	for name, incomplete := range map[string]ResponseMeta{
		"filtered":  {Index: 10, KnownLeader: true, Filtered: true},
		"no leader": {Index: 10},
	} {
		watch := newWatch(Config{AgentCount: 1}.WithDefaults())
		now, restoredAt := start, start+10*time.Second
		queries := 0
		for now < restoredAt+2*time.Second {
			if now = max(now+ms, watch.Next()); len(watch.Step(now)) == 0 {
				continue
			}
			queries++
			query := watch.listQuery
			now += query.Wait + rtt
			meta := incomplete
			if now-rtt >= restoredAt {
				meta = complete
			}
			verdict, ok := watch.ListReceived(now, query.Serial, meta)
			if !ok || (verdict.Disposition == Complete) != (meta == complete) {
				t.Fatalf("%s: after %v: got disposition %v, ok %v, want Complete for a complete response only",
					name, now-start, verdict.Disposition, ok)
			}
			if verdict.Disposition == Complete {
				break
			}
		}
		if delay := now - restoredAt; delay > RetryInterval+250*ms || queries > 12 {
			t.Errorf("%s: got the complete list after %v and %d queries, want at most RetryInterval + 250 ms and 12",
				name, delay, queries)
		}
	}
}

// TestConfirm: Confirm cancels a blocking query and queries another agent in consistent mode. Only a complete response
// confirms the list.
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
			t.Fatalf("%d agents: got query %+v, blocking query canceled %v", agents, started, canceled)
		}
		if _, ok := watch.ListReceived(start, blocking.Serial, ResponseMeta{Index: 21, KnownLeader: true}); ok {
			t.Error("got a verdict for the response to a canceled query, want it ignored")
		}
		verdict, ok := watch.ListReceived(start, started.Serial, ResponseMeta{Index: 20, KnownLeader: true})
		if !ok || !verdict.Confirms || verdict.Disposition != Complete {
			t.Errorf("%d agents: got verdict %+v, ok %v for the confirming response, want Complete and Confirms",
				agents, verdict, ok)
		}
		watch.Confirm()
		started = watch.Step(start + 2*time.Second)[0].Start
		filtered := ResponseMeta{Index: 20, KnownLeader: true, Filtered: true}
		if verdict, _ = watch.ListReceived(start, started.Serial, filtered); verdict.Confirms {
			t.Error("got a response without full permissions that confirms, want none")
		}
	}
}

// TestListQueryRateIsBounded: a list that changes all the time is fetched at a bounded rate.
func TestListQueryRateIsBounded(t *testing.T) {
	simulation := newSimulation(Config{}, 1)
	for simulation.now < start+10*time.Second {
		simulation.run(simulation.now + 10*ms)
		simulation.change()
	}
	if n := len(simulation.verdicts); n < 40 || n > 50 {
		t.Errorf("got %d lists in 10 s with 100 changes per second, want 40 to 50, one every 200 ms", n)
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
