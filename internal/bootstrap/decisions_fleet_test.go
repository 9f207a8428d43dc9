package bootstrap

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"sloequay/internal/digesttest"
	"sloequay/internal/membership"
)

// behavior is how a proxy behaves towards its peers.
type behavior int

// The behaviors.
const (
	honest        behavior = iota
	laterVersion           // advertises and serves a forged list of a later version
	equivocating           // advertises another list with the same version as the service's
	truncating             // leaves out endpoints, so that the checksum does not match
	malformed              // serves parts with impossible part numbers
	unresponsive           // serves no list
	greedy                 // requests the complete list again and again
	colluding              // advertises the same forged list of a later version as other colluding proxies
	behaviorCount          // number of behaviors
)

// proxy is one machine with its simulated environment.
type proxy struct {
	*Machine
	name, zone     string
	alive          bool
	incarnation    uint64
	polls          bool
	polledAt       time.Duration // when it last polled the service
	knownVersions  []uint64      // by list: the last version that the service sent to it
	cutFromService bool
	delay          time.Duration // of all messages that it sends
	behavior       behavior
}

// delivery is an event that a proxy will handle at a later time.
type delivery struct {
	at          time.Duration
	to          *proxy
	incarnation uint64
	handle      func(to *proxy) []Effect
}

// service is the list service.
type service struct {
	lists    [][]membership.Endpoint
	versions []uint64
	answers  bool
}

// fleet simulates some proxies, the service and the network in ticks of a simulated clock.
type fleet struct {
	random           *rand.Rand
	now              time.Duration
	proxies          []*proxy
	service          service
	deliveries       []delivery
	partitioned      bool // the zones cannot reach each other
	fleetSize        int  // FleetSize in the settings of the machines
	peersEnabled     bool
	endpointsCreated int
	transcript       *transcript
}

func newFleet(seed uint64, record *transcript) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 72)), now: 7_000 * time.Second, transcript: record}
	proxyCount, listLengths := 8, []int{9, 130}
	f.peersEnabled, f.fleetSize = seed%12 != 11, proxyCount
	if seed%4 == 1 {
		proxyCount, listLengths = 16, []int{6, 6}
		f.fleetSize = 40 // less than half of the fleet is in view
	}
	f.service.answers = seed%3 != 2
	for _, length := range listLengths {
		var endpoints []membership.Endpoint
		for range length {
			endpoints = append(endpoints, f.newEndpoint())
		}
		f.service.lists = append(f.service.lists, endpoints)
		f.service.versions = append(f.service.versions, 1)
	}
	for i := range proxyCount {
		p := &proxy{name: fmt.Sprintf("p%02d", i), zone: "zone" + digesttest.Number(i%(1+int(seed%2)))}
		f.proxies = append(f.proxies, p)
		f.restart(p)
	}
	return f
}

func (f *fleet) newEndpoint() membership.Endpoint {
	f.endpointsCreated++
	serial := f.endpointsCreated
	return membership.Endpoint{
		ID:          fmt.Sprintf("e%04d", serial),
		Address:     fmt.Sprintf("10.0.%d.%d:80", serial/250, serial%250),
		Zone:        serial % 3,
		Kind:        serial % 2,
		Weight:      1 + float64(serial%4)/2,
		Incarnation: uint64(serial),
		State:       membership.Up,
	}
}

// restart starts a proxy with a new incarnation.
func (f *fleet) restart(p *proxy) {
	p.alive = true
	p.polls = false
	p.behavior = honest
	p.delay = 0
	p.cutFromService = false
	p.incarnation++
	p.knownVersions = make([]uint64, len(f.service.lists))
	p.Machine = New(f.now, Config{
		Name: p.name, Incarnation: p.incarnation, Zone: p.zone, PeersEnabled: f.peersEnabled,
		ListCount: len(f.service.lists), FleetSize: f.fleetSize, Pollers: 2, MaxAdvertisements: 8, MaxHistory: 3,
		Seed: f.random.Uint64(),
	})
	f.publishMembers()
}

// publishMembers informs each proxy, after a short random delay, of the proxies that are alive.
func (f *fleet) publishMembers() {
	for _, p := range f.proxies {
		f.schedule(p, f.randomDuration(300*time.Millisecond), func(to *proxy) []Effect {
			return to.PeersChanged(f.now, f.membersInView(to))
		})
	}
}

func (f *fleet) membersInView(of *proxy) (members []Peer) {
	for _, p := range f.proxies {
		if p.alive && !(f.partitioned && p.zone != of.zone) {
			members = append(members, Peer{Name: p.name, Zone: p.zone})
		}
	}
	return members
}

func (f *fleet) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(limit)))
}

func (f *fleet) schedule(to *proxy, after time.Duration, handle func(to *proxy) []Effect) {
	f.deliveries = append(f.deliveries, delivery{f.now + after, to, to.incarnation, handle})
}

// apply records the effects of a machine and carries them out.
func (f *fleet) apply(p *proxy, effects []Effect) {
	for _, e := range effects {
		f.transcript.effect(p.name, e)
		switch e := e.(type) {
		case Send:
			f.send(p, e)
		case SetPolling:
			p.polls = e.On
			p.polledAt = 0
		}
	}
}

// send schedules the delivery of a message, which a byzantine proxy tampers with. Some messages are lost.
func (f *fleet) send(from *proxy, e Send) {
	m, isSent := f.tamper(from, e.Message)
	index := slices.IndexFunc(f.proxies, func(p *proxy) bool { return p.name == e.To })
	if !isSent || index < 0 {
		return
	}
	to := f.proxies[index]
	if !to.alive || f.partitioned && to.zone != from.zone || f.random.IntN(50) == 0 {
		return
	}
	latency := from.delay + time.Millisecond + f.randomDuration(30*time.Millisecond)
	for range 1 + f.random.IntN(20)/19 { // some messages are delivered twice
		f.schedule(to, latency, func(to *proxy) []Effect { return to.MessageReceived(f.now, m) })
	}
}

// forgedList returns the list that a byzantine proxy advertises instead of the service's.
func (f *fleet) forgedList(p *proxy, list int) (uint64, []membership.Endpoint) {
	endpoints := slices.Clone(f.service.lists[list])
	endpoints = endpoints[:1+len(endpoints)/2]
	version := f.service.versions[list]
	switch p.behavior {
	case laterVersion:
		version += 1000 + p.incarnation
		endpoints[0].Address = p.name + ":80"
	case equivocating:
		endpoints[0].Address = p.name + ":80"
	case colluding:
		version += 500
		endpoints[0].State = membership.Draining
	}
	return version, endpoints
}

// tamper returns the message that a proxy sends in place of the true one, and whether it sends one.
func (f *fleet) tamper(p *proxy, m Message) (Message, bool) {
	switch p.behavior {
	case laterVersion, equivocating, colluding:
		return f.forge(p, m), true
	case truncating:
		if m.Part != nil && len(m.Part.Endpoints) > 0 {
			part := *m.Part
			part.Endpoints = part.Endpoints[1:]
			m.Part = &part
		}
		if m.Delta != nil {
			delta := *m.Delta
			delta.Endpoints, delta.Removed = nil, append(slices.Clone(delta.Removed), "e0001", "e0002")
			m.Delta = &delta
		}
	case malformed:
		if m.Part != nil {
			part := *m.Part
			part.Number, part.Total = part.Total, part.Number
			m.Part = &part
		}
	case unresponsive:
		return m, m.Part == nil && m.Delta == nil
	}
	return m, true
}

// forge replaces the service's lists in a message by forged ones.
func (f *fleet) forge(p *proxy, m Message) Message {
	switch {
	case m.Digest != nil:
		var advertisements []Advertisement
		for list := range f.service.lists {
			version, endpoints := f.forgedList(p, list)
			advertisements = append(advertisements, Advertisement{
				ListVersion: VersionOf(list, version, endpoints),
				LastSeen:    10 * time.Millisecond,
			})
		}
		m.Digest = advertisements
	case m.Busy != nil: // the machine lacks the forged list, which is served all the same
		list := m.Busy.List
		version, endpoints := f.forgedList(p, list)
		if forgedVersion := VersionOf(list, version, endpoints); forgedVersion == m.Busy.ListVersion {
			endpoints = SortEndpoints(endpoints)
			endpoints = endpoints[:min(len(endpoints), EndpointsPerPart)]
			m.Part = &Part{ListVersion: forgedVersion, Total: 1, Endpoints: endpoints}
			m.Busy = nil
		}
	}
	return m
}

// poll schedules the answers of the service to a poller: a list that is new to the poller, or else once a second an
// answer without a list.
func (f *fleet) poll(p *proxy) {
	if !f.service.answers || p.cutFromService || !p.polls {
		return
	}
	if p.polledAt > 0 && f.now-p.polledAt < time.Second && !f.isOutdated(p) {
		return
	}
	p.polledAt = f.now
	for list, version := range f.service.versions {
		if p.knownVersions[list] == version {
			f.schedule(p, f.randomDuration(60*time.Millisecond), func(to *proxy) []Effect {
				return to.ServiceSeen(f.now, list)
			})
			continue
		}
		p.knownVersions[list] = version
		endpoints := slices.Clone(f.service.lists[list])
		f.schedule(p, f.randomDuration(200*time.Millisecond), func(to *proxy) []Effect {
			return to.ListFromService(f.now, list, version, endpoints)
		})
	}
}

func (f *fleet) isOutdated(p *proxy) bool { return !slices.Equal(p.knownVersions, f.service.versions) }

// changeList makes a random change to one list of the service.
func (f *fleet) changeList(*proxy) {
	list := f.random.IntN(len(f.service.lists))
	endpoints := slices.Clone(f.service.lists[list])
	at := f.random.IntN(len(endpoints))
	switch f.random.IntN(4) {
	case 0:
		endpoints = append(endpoints, f.newEndpoint())
	case 1:
		if len(endpoints) > 4 {
			endpoints = slices.Delete(endpoints, at, at+1)
		}
	case 2:
		endpoints[at].State = membership.Draining
	case 3:
		endpoints[at].State = membership.Up
		endpoints[at].Incarnation++
	}
	f.service.lists[list] = endpoints
	f.service.versions[list]++
}

func (f *fleet) kill(p *proxy) {
	if p.alive {
		p.alive = false
		f.publishMembers()
	}
}

func (f *fleet) restartOne(*proxy) {
	for _, p := range f.proxies {
		if !p.alive {
			f.restart(p)
			return
		}
	}
}

func (f *fleet) restartAll(*proxy) {
	if f.random.IntN(4) == 0 {
		for _, p := range f.proxies {
			f.restart(p)
		}
	}
}

func (f *fleet) toggleService(*proxy)       { f.service.answers = !f.service.answers }
func (f *fleet) restoreService(*proxy)      { f.service.answers = true }
func (f *fleet) toggleServiceLink(p *proxy) { p.cutFromService = !p.cutFromService }
func (f *fleet) turnByzantine(p *proxy) {
	p.behavior = behavior(1 + f.random.IntN(int(behaviorCount)-1))
}

func (f *fleet) turnHonest(*proxy) {
	for _, p := range f.proxies {
		p.behavior = honest
	}
}

func (f *fleet) collude(p *proxy) {
	p.behavior = colluding
	f.proxies[f.random.IntN(len(f.proxies))].behavior = colluding
}

func (f *fleet) delayMessages(p *proxy) {
	if p.delay = 0; f.random.IntN(2) == 0 {
		p.delay = 100*time.Millisecond + f.randomDuration(time.Second)
	}
}

func (f *fleet) togglePartition(*proxy) {
	f.partitioned = !f.partitioned
	f.publishMembers()
}

// floodFetches makes a greedy proxy request the complete list from a peer ten times at once.
func (f *fleet) floodFetches(p *proxy) {
	to := f.proxies[f.random.IntN(len(f.proxies))]
	version, known := to.Version(0)
	if p.behavior != greedy || !known || !p.alive {
		return
	}
	for range 10 {
		m := Message{From: p.name, Incarnation: p.incarnation, Fetch: &Fetch{ListVersion: version}}
		f.schedule(to, f.randomDuration(20*time.Millisecond), func(to *proxy) []Effect {
			return to.MessageReceived(f.now, m)
		})
	}
}

// disturb plays one random event. Frequent events are in the list more than once.
func (f *fleet) disturb() {
	events := []func(*fleet, *proxy){
		(*fleet).changeList, (*fleet).changeList, (*fleet).changeList, (*fleet).changeList, (*fleet).kill,
		(*fleet).restartOne, (*fleet).restartOne, (*fleet).restartAll, (*fleet).toggleService,
		(*fleet).restoreService, (*fleet).toggleServiceLink, (*fleet).turnByzantine, (*fleet).turnByzantine,
		(*fleet).turnHonest, (*fleet).collude, (*fleet).delayMessages, (*fleet).togglePartition,
	}
	events[f.random.IntN(len(events))](f, f.proxies[f.random.IntN(len(f.proxies))])
}

// deliver handles the deliveries that are due, in the order in which they were scheduled.
func (f *fleet) deliver() {
	scheduled := f.deliveries
	f.deliveries = nil
	for _, pending := range scheduled {
		switch {
		case pending.at > f.now:
			f.deliveries = append(f.deliveries, pending)
		case pending.to.alive && pending.to.incarnation == pending.incarnation:
			f.apply(pending.to, pending.handle(pending.to))
		}
	}
}

// tick advances the simulation by one tick.
func (f *fleet) tick(number int) {
	f.now += decisionTick
	if f.random.IntN(12) == 0 {
		f.disturb()
	}
	f.deliver()
	for _, p := range f.proxies {
		if !p.alive {
			continue
		}
		f.apply(p, p.Step(f.now))
		f.poll(p)
		if number%5 == 0 {
			f.floodFetches(p)
		}
		if number%10 == 9 {
			f.recordState(p)
		}
	}
}

// recordState records the state that a machine reports.
func (f *fleet) recordState(p *proxy) {
	polls, ready := digesttest.YesNo(p.IsPolling()), digesttest.YesNo(p.Ready())
	words := []string{p.name, polls, ready, digesttest.Microseconds(p.NextStep())}
	for list := range f.service.lists {
		version, inForce := p.Version(list)
		words = append(words, digesttest.YesNo(inForce), versionText(version))
	}
	for _, advertisement := range p.Digest() {
		words = append(words, versionText(advertisement.ListVersion), digesttest.Microseconds(advertisement.LastSeen))
	}
	f.transcript.Count("polling-" + polls)
	f.transcript.Count("ready-" + ready)
	f.transcript.Write("proxy", words...)
}
