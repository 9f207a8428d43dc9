package bootstrap

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"sloequay/internal/membership"
)

var plans = flag.Int("plans", 100, "seeded plans to play")

// startFigures are what a start of a fleet costs the service, and how long it takes.
type startFigures struct {
	firstCalls int // in the first 10 s
	peakCalls  int // in a second
	quietCalls int // in half a minute without events
	slowest    time.Duration
}

// playStart starts a fleet, changes its list, and checks that all have it.
func playStart(t *testing.T, size int, withPeers bool) startFigures {
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
	var figures startFigures
	figures.firstCalls, figures.peakCalls = sim.countCalls(0, 10*time.Second)
	for _, n := range sim.nodes {
		if n.readyAfter == 0 {
			t.Fatalf("%d proxies: %s is not ready after 10 s", size, n.name)
		}
		figures.slowest = max(figures.slowest, n.readyAfter)
	}
	sim.runUntil(20 * time.Second)
	sim.checkAgreement("after the start", maxPollers)
	sim.changeList(func() { sim.endpoints[3].State = membership.Draining })
	sim.runUntil(sim.now + 900*ms)
	sim.checkAgreement("after a drain", size)
	sim.runUntil(60 * time.Second)
	figures.quietCalls, _ = sim.countCalls(30*time.Second, 60*time.Second)
	return figures
}

// TestFleetStarts: calls to the service in the first 10 s, in half a quiet minute and at their peak do not grow
// with the fleet, all proxies are ready in time, and a change reaches all within the second that a drain may take.
func TestFleetStarts(t *testing.T) {
	var of30 startFigures
	for _, size := range []int{8, 30, 100, 300} {
		for _, withPeers := range []bool{true, false} {
			figures := playStart(t, size, withPeers)
			t.Logf("%3d proxies, peers %v: %d calls in the first 10 s, at most %d in a second, "+
				"%d a second when quiet, ready within %v", size, withPeers,
				figures.firstCalls, figures.peakCalls, figures.quietCalls/30, figures.slowest)
			if figures.slowest > 5*time.Second {
				t.Errorf("%d proxies, peers %v: ready after %v, want 5 s", size, withPeers, figures.slowest)
			}
			switch {
			case withPeers && size == 30:
				of30 = figures
			case withPeers && size == 300:
				checkGrowth(t, of30, figures)
			}
		}
	}
}

// checkGrowth checks that ten times the fleet makes at most 1.5 times the calls.
func checkGrowth(t *testing.T, of30, of300 startFigures) {
	t.Helper()
	for _, calls := range []struct {
		when       string
		small, big int
	}{
		{"in the first 10 s", of30.firstCalls, of300.firstCalls},
		{"in a second", of30.peakCalls, of300.peakCalls},
		{"when quiet", of30.quietCalls, of300.quietCalls},
	} {
		if float64(calls.big) > 1.5*float64(calls.small) {
			t.Errorf("300 proxies make %d calls %s, 30 proxies %d", calls.big, calls.when, calls.small)
		}
	}
}

// TestSeededPlans plays faults drawn from a seed: kills and starts, nodes that are paused, cuts from the service
// and between peers, an outage, changes of the list, and a byzantine node. Nobody ever accepts what the service
// never had, and once all faults are over everybody has its list.
func TestSeededPlans(t *testing.T) {
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
		sim.checkAgreement(fmt.Sprintf("seed %d, all faults over", seed), len(sim.nodes))
	}
}

// scheduleFault draws a fault, its begin and its end.
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

// schedulePartition cuts two sides from each other, or one from the other alone.
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
