package bootstrap

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"sloequay/internal/membership"
)

var plans = flag.Int("plans", 100, "number of seeded fault plans to run")

// startStats holds the calls to the service and the time that the start of a fleet takes.
type startStats struct {
	firstCalls   int           // to the service in the first 10 s
	peakCalls    int           // within any second of that time
	quietCalls   int           // in 30 s without events
	slowestReady time.Duration // the longest time until a proxy was ready
}

// measureStart starts a fleet, changes its list, checks that all proxies have it, and returns the figures.
func measureStart(t *testing.T, size int, withPeers bool) startStats {
	t.Helper()
	maxPollers := size
	if withPeers {
		maxPollers = 6
	}
	sim := newSimulation(t, uint64(size), size, 2, withPeers)
	sim.loss = 0.02
	sim.duplication = 0.02
	sim.startAll()
	sim.runUntil(10 * time.Second)
	var stats startStats
	stats.firstCalls, stats.peakCalls = sim.countCalls(0, 10*time.Second)
	for _, n := range sim.nodes {
		if n.readyAfter == 0 {
			t.Fatalf("%d proxies: %s is not ready after 10 s, want it ready", size, n.name)
		}
		stats.slowestReady = max(stats.slowestReady, n.readyAfter)
	}
	sim.runUntil(20 * time.Second)
	sim.checkAgreement("after the start", maxPollers)
	sim.changeList(func() { sim.endpoints[3].State = membership.Draining })
	sim.runUntil(sim.now + 900*ms)
	sim.checkAgreement("after a drain", size)
	sim.runUntil(60 * time.Second)
	stats.quietCalls, _ = sim.countCalls(30*time.Second, 60*time.Second)
	return stats
}

// TestFleetStarts checks that the calls to the service in the first 10 s, at their peak and in 30 s without events do
// not grow with the fleet, that all proxies are ready in time, and that a change reaches all of them within the second
// that a drain may take.
func TestFleetStarts(t *testing.T) {
	var of30 startStats
	for _, size := range []int{8, 30, 100, 300} {
		for _, withPeers := range []bool{true, false} {
			stats := measureStart(t, size, withPeers)
			t.Logf("%3d proxies, peers %v: %d calls in the first 10 s, at most %d per second, "+
				"%d per second without events, ready within %v", size, withPeers,
				stats.firstCalls, stats.peakCalls, stats.quietCalls/30, stats.slowestReady)
			if stats.slowestReady > 5*time.Second {
				t.Errorf("%d proxies, peers %v: ready after %v, want at most 5 s", size, withPeers, stats.slowestReady)
			}
			switch {
			case withPeers && size == 30:
				of30 = stats
			case withPeers && size == 300:
				checkCallGrowth(t, of30, stats)
			}
		}
	}
}

// checkCallGrowth checks that a fleet of ten times the size makes at most 1.5 times the calls.
func checkCallGrowth(t *testing.T, of30, of300 startStats) {
	t.Helper()
	for _, calls := range []struct {
		when       string
		small, big int
	}{
		{"in the first 10 s", of30.firstCalls, of300.firstCalls},
		{"per second at the peak", of30.peakCalls, of300.peakCalls},
		{"in 30 s without events", of30.quietCalls, of300.quietCalls},
	} {
		if float64(calls.big) > 1.5*float64(calls.small) {
			t.Errorf("300 proxies: got %d calls %s, want at most 1.5 times the %d of 30 proxies",
				calls.big, calls.when, calls.small)
		}
	}
}

// TestSeededFaultPlans plays random faults: kills and restarts, pauses, lost connections to the service and between
// peers, outages of the service, changes of the list, and a byzantine node. It checks that no node ever accepts a list
// that the service never had, and that all nodes have the service's list once all faults are over.
func TestSeededFaultPlans(t *testing.T) {
	for seed := range uint64(*plans) {
		sim := newSimulation(t, seed, 6+int(seed%20), 1+int(seed%3), true)
		sim.loss = sim.random.Float64() * 0.2
		sim.duplication = sim.random.Float64() * 0.2
		if seed%2 == 0 {
			sim.nodes[0].tamper = tamperings[int(seed/2)%len(tamperings)].tamper
		}
		sim.startAll()
		for range 12 {
			sim.scheduleFault()
		}
		sim.runUntil(28 * time.Second)
		for _, n := range sim.nodes {
			if !n.alive {
				sim.start(n)
			}
		}
		sim.changeList(func() { sim.endpoints[0].Weight++ })
		sim.runUntil(50 * time.Second)
		sim.checkAgreement(fmt.Sprintf("seed %d, after all faults", seed), len(sim.nodes))
	}
}

// scheduleFault schedules the begin and the end of a random fault.
func (sim *simulation) scheduleFault() {
	n := sim.nodes[sim.random.IntN(len(sim.nodes))]
	begin := time.Duration(500+sim.random.IntN(20000)) * ms
	end := begin + time.Duration(100+sim.random.IntN(6000))*ms
	switch sim.random.IntN(6) {
	case 0:
		sim.schedule(begin, func() { sim.kill(n) })
		sim.schedule(end, func() { sim.start(n) })
	case 1:
		sim.schedule(begin, func() { n.paused = true })
		sim.schedule(end, func() { sim.resume(n) })
	case 2:
		sim.schedule(begin, func() { n.cutOff = true })
		sim.schedule(end, func() {
			n.cutOff = false
			sim.sendList(n)
		})
	case 3:
		sim.schedule(begin, func() { sim.serviceUp = false })
		sim.schedule(end, sim.restoreService)
	case 4:
		sim.schedulePartition(begin, end)
	case 5:
		endpoint := sim.random.IntN(len(sim.endpoints))
		states := []membership.State{membership.Draining, membership.Up, membership.Gone}
		state := states[sim.random.IntN(len(states))]
		sim.schedule(begin, func() { sim.changeList(func() { sim.endpoints[endpoint].State = state }) })
	}
}

func (sim *simulation) restoreService() {
	sim.serviceUp = true
	for _, n := range sim.nodes {
		if n.alive {
			sim.sendList(n)
		}
	}
}

// schedulePartition schedules a partition into two random sides, in both directions or in one only.
func (sim *simulation) schedulePartition(begin, end time.Duration) {
	side := map[*node]bool{}
	for _, n := range sim.nodes {
		side[n] = sim.random.IntN(2) == 0
	}
	oneWay := sim.random.IntN(2) == 0
	sim.schedule(begin, func() {
		sim.isCut = func(from, to *node) bool { return side[from] != side[to] && (!oneWay || side[from]) }
		sim.publishMembers()
	})
	sim.schedule(end, func() {
		sim.isCut = nil
		sim.publishMembers()
	})
}
