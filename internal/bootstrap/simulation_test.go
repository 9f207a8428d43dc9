package bootstrap

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sloequay/internal/digesttest"
	"sloequay/internal/membership"
)

const ms = time.Millisecond

// simulation runs many machines in simulated time, with a list service and a network that loses, duplicates, delays and
// reorders messages.
type simulation struct {
	t               testing.TB
	random          *rand.Rand
	now             time.Duration
	agenda          digesttest.EventQueue[func()]
	nodes           []*node
	endpoints       []membership.Endpoint // the current list of the service
	version         uint64
	pastSums        map[uint64]bool // checksums of all lists that the service has had
	serviceUp       bool
	calls           []time.Duration           // times of the calls to the service, in order
	loss            float64                   // probability that a message is lost
	duplication     float64                   // probability that a message is sent twice
	isCut           func(from, to *node) bool // nil: all nodes can reach each other
	membershipDelay time.Duration             // longest time until a node learns of a change of the members
}

// node is a machine with its simulated environment.
type node struct {
	*Machine
	name, zone    string
	withPeers     bool
	fleetSize     int
	alive         bool
	incarnation   uint64
	paused        bool
	pendingEvents []func()
	cutOff        bool                    // from the service
	tamper        func(m Message) Message // of a byzantine node; nil: it is honest
	fromService   bool                    // its current list comes from the service, not from a quorum of peers
	lastVersion   ListVersion
	bootedAt      time.Duration
	readyAfter    time.Duration // time from its start until it was ready; 0: not ready yet
}

// isIncarnation reports whether the node is alive and has not been restarted.
func (n *node) isIncarnation(incarnation uint64) bool { return n.alive && n.incarnation == incarnation }

func newSimulation(t testing.TB, seed uint64, size, zones int, withPeers bool) *simulation {
	sim := &simulation{
		t:               t,
		random:          rand.New(rand.NewPCG(seed, 3)),
		pastSums:        map[uint64]bool{},
		serviceUp:       true,
		membershipDelay: 300 * ms,
	}
	for i := range 20 {
		sim.endpoints = append(sim.endpoints, membership.Endpoint{
			ID: fmt.Sprintf("c%02d", i), Address: fmt.Sprint("10.0.0.", i), State: membership.Up, Weight: 8,
		})
	}
	sim.changeList(func() {})
	for i := range size {
		sim.nodes = append(sim.nodes, &node{
			name: fmt.Sprintf("d%03d", i), zone: fmt.Sprint("z", i%zones), withPeers: withPeers, fleetSize: size,
		})
	}
	return sim
}

func (sim *simulation) schedule(after time.Duration, run func()) {
	sim.agenda.Schedule(sim.now+after, run)
}

func (sim *simulation) runUntil(until time.Duration) {
	for at, run := range sim.agenda.PopDue(until) {
		sim.now = at
		run()
	}
	sim.now = until
}

// changeList changes the service's list. The service sends the new version to all nodes that poll.
func (sim *simulation) changeList(change func()) {
	change()
	sim.version++
	sim.pastSums[VersionOf(0, sim.version, sim.endpoints).Sum] = true
	for _, n := range sim.nodes {
		if n.alive && n.polling && sim.serviceUp {
			sim.schedule(time.Duration(sim.random.IntN(20))*ms, func() { sim.sendList(n) })
		}
	}
}

// sendList sends the service's list to a node, if the node polls and can be reached.
func (sim *simulation) sendList(n *node) {
	if !n.alive || !n.polling || !sim.serviceUp || n.cutOff {
		return
	}
	sim.handle(n, func() []Effect {
		n.fromService = true
		return n.ListFromService(sim.now, 0, sim.version, sim.endpoints)
	})
}

// handle makes a node handle an event, at once or, if it is paused, when it resumes.
func (sim *simulation) handle(n *node, event func() []Effect) {
	incarnation := n.incarnation
	run := func() {
		if n.isIncarnation(incarnation) {
			sim.apply(n, event())
		}
	}
	if n.paused {
		n.pendingEvents = append(n.pendingEvents, run)
		return
	}
	run()
}

// resume ends the pause of a node and makes it handle the events of the pause.
func (sim *simulation) resume(n *node) {
	n.paused = false
	pending := n.pendingEvents
	n.pendingEvents = nil
	for _, run := range pending {
		run()
	}
}

func (sim *simulation) start(n *node) {
	n.alive = true
	n.paused = false
	n.pendingEvents = nil
	n.bootedAt = sim.now
	n.readyAfter = 0
	n.incarnation++
	n.lastVersion = ListVersion{}
	n.Machine = New(sim.now, Config{
		Name: n.name, Zone: n.zone, Incarnation: n.incarnation, PeersEnabled: n.withPeers, ListCount: 1,
		FleetSize: n.fleetSize, Seed: sim.random.Uint64(),
	})
	incarnation := n.incarnation
	var tick func()
	tick = func() {
		if !n.isIncarnation(incarnation) {
			return
		}
		sim.handle(n, func() []Effect { return n.Step(sim.now) })
		sim.schedule(max(10*ms, n.NextStep()-sim.now), tick)
	}
	sim.schedule(0, tick)
	sim.publishMembers()
}

// startAll starts every node within a second.
func (sim *simulation) startAll() {
	for _, n := range sim.nodes {
		sim.schedule(time.Duration(sim.random.Int64N(int64(time.Second))), func() { sim.start(n) })
	}
}

func (sim *simulation) kill(n *node) {
	n.alive = false
	sim.publishMembers()
}

// publishMembers informs each node, after a short random delay, of the nodes that are alive.
func (sim *simulation) publishMembers() {
	for _, n := range sim.nodes {
		if !n.alive || !n.withPeers {
			continue
		}
		sim.schedule(time.Duration(sim.random.Int64N(int64(sim.membershipDelay))), func() {
			if n.alive {
				sim.handle(n, func() []Effect { return n.PeersChanged(sim.now, sim.membersInView(n)) })
			}
		})
	}
}

func (sim *simulation) membersInView(of *node) []Peer {
	var members []Peer
	for _, n := range sim.nodes {
		if n.alive && (sim.isCut == nil || !sim.isCut(n, of)) {
			members = append(members, Peer{n.name, n.zone})
		}
	}
	return members
}

// apply carries out the effects of a node and checks the invariants.
func (sim *simulation) apply(n *node, effects []Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case Send:
			sim.send(n, effect)
		case SetPolling:
			if effect.On {
				sim.poll(n, n.incarnation)
			}
		case Adopt:
			sim.checkAdopted(n, effect)
		}
	}
	if version, known := n.Version(0); known && version != n.lastVersion {
		if !n.fromService && version.Version < n.lastVersion.Version {
			sim.t.Fatalf("%v: %s went back from version %d to %d, want this only for a list from the service",
				sim.now, n.name, n.lastVersion.Version, version.Version)
		}
		n.lastVersion = version
	}
	if n.readyAfter == 0 && n.Ready() {
		n.readyAfter = max(1, sim.now-n.bootedAt)
	}
	sim.checkBounds(n)
}

func (sim *simulation) checkAdopted(n *node, adopted Adopt) {
	if !adopted.Hint {
		n.fromService = false
		if !sim.pastSums[VersionOf(0, adopted.Version, adopted.Endpoints).Sum] {
			sim.t.Fatalf("%v: %s accepted a list that the service never had: version %d, %d endpoints",
				sim.now, n.name, adopted.Version, len(adopted.Endpoints))
		}
		return
	}
	if len(adopted.Endpoints) == 0 {
		sim.t.Fatalf("%v: %s used an empty list as a hint", sim.now, n.name)
	}
	for _, endpoint := range adopted.Endpoints {
		if endpoint.State != membership.Up {
			sim.t.Fatalf("%v: %s used a hint with state %v of %s, want only endpoints that are up",
				sim.now, n.name, endpoint.State, endpoint.ID)
		}
	}
}

func (sim *simulation) checkBounds(n *node) {
	l := &n.lists[0]
	if len(l.advertisements) > n.config.MaxAdvertisements || len(l.history) > n.config.MaxHistory ||
		len(n.servedPeers) > 1 || len(n.distrustedUntil) > len(sim.nodes) {
		sim.t.Fatalf("%v: %s exceeds a bound: %d advertisements, %d earlier lists, %d served, %d distrusted",
			sim.now, n.name, len(l.advertisements), len(l.history), len(n.servedPeers), len(n.distrustedUntil))
	}
}

// send transmits a message, which a byzantine node tampers with.
func (sim *simulation) send(from *node, sent Send) {
	message := sent.Message
	if from.tamper != nil {
		message = from.tamper(message)
	}
	for _, to := range sim.nodes {
		if to.name == sent.To && to.alive {
			sim.transmit(from, to, message)
		}
	}
}

func (sim *simulation) transmit(from, to *node, message Message) {
	if sim.isCut != nil && sim.isCut(from, to) {
		return
	}
	copies := 1
	if sim.random.Float64() < sim.duplication {
		copies = 2
	}
	incarnation := to.incarnation
	for range copies {
		if sim.random.Float64() < sim.loss {
			continue
		}
		sim.schedule(ms+time.Duration(sim.random.ExpFloat64()*float64(3*ms)), func() {
			if to.isIncarnation(incarnation) {
				sim.handle(to, func() []Effect { return to.MessageReceived(sim.now, message) })
			}
		})
	}
}

// poll calls the service each second until it answers, and then goes on with pollEachSecond.
func (sim *simulation) poll(n *node, incarnation uint64) {
	if !n.isIncarnation(incarnation) || !n.polling {
		return
	}
	sim.calls = append(sim.calls, sim.now)
	if !sim.serviceUp || n.cutOff {
		sim.schedule(time.Second, func() { sim.poll(n, incarnation) })
		return
	}
	sim.schedule(5*ms, func() { sim.sendList(n) })
	sim.pollEachSecond(n)
}

// pollEachSecond calls the service each second, as the probe of a blocking query does.
func (sim *simulation) pollEachSecond(n *node) {
	incarnation := n.incarnation
	sim.schedule(time.Second, func() {
		if !n.isIncarnation(incarnation) || !n.polling {
			return
		}
		sim.calls = append(sim.calls, sim.now)
		switch {
		case !sim.serviceUp || n.cutOff:
		case n.lists[0].serviceSeenAt > 0 && n.lastVersion.Version == sim.version:
			sim.handle(n, func() []Effect { return n.ServiceSeen(sim.now, 0) })
		default:
			sim.sendList(n)
		}
		sim.pollEachSecond(n)
	})
}

// checkAgreement checks that all honest nodes have the service's list, and that at most maxPollers of them poll.
func (sim *simulation) checkAgreement(when string, maxPollers int) {
	sim.t.Helper()
	want := VersionOf(0, sim.version, sim.endpoints)
	pollers := 0
	for _, n := range sim.nodes {
		if !n.alive || n.tamper != nil {
			continue
		}
		if n.polling {
			pollers++
		}
		if version, known := n.Version(0); !known || version != want {
			sim.t.Fatalf("%s: %s has version %d (known: %v), want the service's version %d",
				when, n.name, version.Version, known, want.Version)
		}
	}
	if pollers > maxPollers {
		sim.t.Fatalf("%s: got %d proxies that poll, want at most %d", when, pollers, maxPollers)
	}
}

// countCalls returns how many calls to the service came in a period, and the largest number of calls in the second up
// to any of them.
func (sim *simulation) countCalls(from, to time.Duration) (all, peak int) {
	first := 0
	for i, at := range sim.calls {
		for at-sim.calls[first] >= time.Second {
			first++
		}
		if at >= from && at < to {
			all++
			peak = max(peak, i-first+1)
		}
	}
	return all, peak
}
