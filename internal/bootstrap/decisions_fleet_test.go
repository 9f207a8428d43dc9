package bootstrap

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"sloequay/internal/digesttest"
	"sloequay/internal/membership"
)

// behavior is how a proxy treats its peers.
type behavior int

// The behaviors.
const (
	honest        behavior = iota
	laterVersion           // advertises a later list of its own, and serves it
	equivocating           // advertises another list of the same version
	truncating             // serves endpoints that do not have the checksum
	malformed              // serves parts with impossible numbers
	unresponsive           // serves nothing
	greedy                 // requests the complete list over and over
	colluding              // advertises a later list that others like it advertise too
	behaviorCount          // number of behaviors
)

// proxy is one machine with what surrounds it.
type proxy struct {
	*Machine
	name, zone     string
	alive          bool
	incarnation    uint64
	polls          bool
	polledAt       time.Duration // when it last polled the service
	knownVersions  []uint64      // by list: the last version that the service sent it
	cutFromService bool
	delay          time.Duration // of all its messages
	behavior       behavior
}

// delivery is an event that is under way to a proxy.
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

// fleet is some proxies, the service and the network, in ticks of a simulated clock.
type fleet struct {
	random        *rand.Rand
	now           time.Duration
	proxies       []*proxy
	service       service
	deliveries    []delivery
	partitioned   bool // the zones are cut from each other
	size          int  // of the fleet, in the settings of the machines
	peers         bool
	endpointsMade int
	transcript    *transcript
}

func newFleet(seed uint64, record *transcript) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 72)), now: 7_000 * time.Second, transcript: record}
	count, lengths := 8, []int{9, 130}
	f.peers, f.size = seed%12 != 11, count
	if seed%4 == 1 {
		count, lengths = 16, []int{6, 6}
		f.size = 40 // less than half of the fleet is in view
	}
	f.service.answers = seed%3 != 2
	for _, length := range lengths {
		var all []membership.Endpoint
		for range length {
			all = append(all, f.endpoint())
		}
		f.service.lists = append(f.service.lists, all)
		f.service.versions = append(f.service.versions, 1)
	}
	for i := range count {
		p := &proxy{name: fmt.Sprintf("p%02d", i), zone: "zone" + digesttest.Number(i%(1+int(seed%2)))}
		f.proxies = append(f.proxies, p)
		f.restart(p)
	}
	return f
}

func (f *fleet) endpoint() membership.Endpoint {
	f.endpointsMade++
	made := f.endpointsMade
	return membership.Endpoint{
		ID:          fmt.Sprintf("e%04d", made),
		Address:     fmt.Sprintf("10.0.%d.%d:80", made/250, made%250),
		Zone:        made % 3,
		Kind:        made % 2,
		Weight:      1 + float64(made%4)/2,
		Incarnation: uint64(made),
		State:       membership.Up,
	}
}

// restart starts a proxy, with a new incarnation.
func (f *fleet) restart(p *proxy) {
	p.alive = true
	p.polls = false
	p.behavior = honest
	p.delay = 0
	p.cutFromService = false
	p.incarnation++
	p.knownVersions = make([]uint64, len(f.service.lists))
	p.Machine = New(f.now, Config{
		Name: p.name, Incarnation: p.incarnation, Zone: p.zone, PeersEnabled: f.peers, ListCount: len(f.service.lists),
		FleetSize: f.size, Pollers: 2, MaxAdvertisements: 8, MaxHistory: 3, Seed: f.random.Uint64(),
	})
	f.publishMembers()
}

// publishMembers has all learn a little later who is alive.
func (f *fleet) publishMembers() {
	for _, p := range f.proxies {
		f.schedule(p, f.randomDuration(300*time.Millisecond), func(to *proxy) []Effect {
			return to.PeersChanged(f.now, f.membersInView(to))
		})
	}
}

func (f *fleet) membersInView(of *proxy) (out []Peer) {
	for _, p := range f.proxies {
		if p.alive && !(f.partitioned && p.zone != of.zone) {
			out = append(out, Peer{Name: p.name, Zone: p.zone})
		}
	}
	return out
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

// send schedules a message, tampered with by a byzantine proxy, and loses some.
func (f *fleet) send(from *proxy, e Send) {
	m, isSent := f.tamper(from, e.Message)
	at := slices.IndexFunc(f.proxies, func(p *proxy) bool { return p.name == e.To })
	if !isSent || at < 0 {
		return
	}
	to := f.proxies[at]
	if !to.alive || f.partitioned && to.zone != from.zone || f.random.IntN(50) == 0 {
		return
	}
	after := from.delay + time.Millisecond + f.randomDuration(30*time.Millisecond)
	for range 1 + f.random.IntN(20)/19 { // some come twice
		f.schedule(to, after, func(to *proxy) []Effect { return to.MessageReceived(f.now, m) })
	}
}

// forged is the list that a byzantine proxy advertises instead of the service's.
func (f *fleet) forged(p *proxy, list int) (uint64, []membership.Endpoint) {
	all := slices.Clone(f.service.lists[list])
	all = all[:1+len(all)/2]
	version := f.service.versions[list]
	switch p.behavior {
	case laterVersion:
		version += 1000 + p.incarnation
		all[0].Address = p.name + ":80"
	case equivocating:
		all[0].Address = p.name + ":80"
	case colluding:
		version += 500
		all[0].State = membership.Draining
	}
	return version, all
}

// tamper returns the message that a proxy sends in place of an honest one; false: it sends none.
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

// forge replaces the true lists by the forged ones.
func (f *fleet) forge(p *proxy, m Message) Message {
	switch {
	case m.Digest != nil:
		var advertisements []Advertisement
		for list := range f.service.lists {
			version, all := f.forged(p, list)
			advertisements = append(advertisements, Advertisement{
				ListVersion: VersionOf(list, version, all),
				LastSeen:    10 * time.Millisecond,
			})
		}
		m.Digest = advertisements
	case m.Busy != nil: // it does not have what it advertised, and serves that all the same
		list := m.Busy.List
		version, all := f.forged(p, list)
		if forgedVersion := VersionOf(list, version, all); forgedVersion == m.Busy.ListVersion {
			all = SortEndpoints(all)
			all = all[:min(len(all), EndpointsPerPart)]
			m.Part = &Part{ListVersion: forgedVersion, Total: 1, Endpoints: all}
			m.Busy = nil
		}
	}
	return m
}

// poll has the service answer a poller: with the complete list where it is new, else once a second without.
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
		all := slices.Clone(f.service.lists[list])
		f.schedule(p, f.randomDuration(200*time.Millisecond), func(to *proxy) []Effect {
			return to.ListFromService(f.now, list, version, all)
		})
	}
}

func (f *fleet) isOutdated(p *proxy) bool { return !slices.Equal(p.knownVersions, f.service.versions) }

// changeList changes a list of the service.
func (f *fleet) changeList(*proxy) {
	list := f.random.IntN(len(f.service.lists))
	all := slices.Clone(f.service.lists[list])
	at := f.random.IntN(len(all))
	switch f.random.IntN(4) {
	case 0:
		all = append(all, f.endpoint())
	case 1:
		if len(all) > 4 {
			all = slices.Delete(all, at, at+1)
		}
	case 2:
		all[at].State = membership.Draining
	case 3:
		all[at].State = membership.Up
		all[at].Incarnation++
	}
	f.service.lists[list] = all
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

// floodFetches has a greedy proxy request complete lists from a peer many times at once.
func (f *fleet) floodFetches(p *proxy) {
	to := f.proxies[f.random.IntN(len(f.proxies))]
	mark, known := to.Version(0)
	if p.behavior != greedy || !known || !p.alive {
		return
	}
	for range 10 {
		m := Message{From: p.name, Incarnation: p.incarnation, Fetch: &Fetch{ListVersion: mark}}
		f.schedule(to, f.randomDuration(20*time.Millisecond), func(to *proxy) []Effect {
			return to.MessageReceived(f.now, m)
		})
	}
}

// disturb plays one event, drawn from a list that names the common ones more than once.
func (f *fleet) disturb() {
	events := []func(*fleet, *proxy){
		(*fleet).changeList, (*fleet).changeList, (*fleet).changeList, (*fleet).changeList, (*fleet).kill,
		(*fleet).restartOne, (*fleet).restartOne, (*fleet).restartAll, (*fleet).toggleService,
		(*fleet).restoreService, (*fleet).toggleServiceLink, (*fleet).turnByzantine, (*fleet).turnByzantine,
		(*fleet).turnHonest, (*fleet).collude, (*fleet).delayMessages, (*fleet).togglePartition,
	}
	events[f.random.IntN(len(events))](f, f.proxies[f.random.IntN(len(f.proxies))])
}

// deliver handles what has arrived, in the order of its sending.
func (f *fleet) deliver() {
	waiting := f.deliveries
	f.deliveries = nil
	for _, p := range waiting {
		switch {
		case p.at > f.now:
			f.deliveries = append(f.deliveries, p)
		case p.to.alive && p.to.incarnation == p.incarnation:
			f.apply(p.to, p.handle(p.to))
		}
	}
}

// tick plays one tick.
func (f *fleet) tick(n int) {
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
		if n%5 == 0 {
			f.floodFetches(p)
		}
		if n%10 == 9 {
			f.recordState(p)
		}
	}
}

// recordState records what a machine reports of itself.
func (f *fleet) recordState(p *proxy) {
	polls, ready := digesttest.YesNo(p.IsPolling()), digesttest.YesNo(p.Ready())
	words := []string{p.name, polls, ready, digesttest.Microseconds(p.NextStep())}
	for list := range f.service.lists {
		mark, inForce := p.Version(list)
		words = append(words, digesttest.YesNo(inForce), versionText(mark))
	}
	for _, c := range p.Digest() {
		words = append(words, versionText(c.ListVersion), digesttest.Microseconds(c.LastSeen))
	}
	f.transcript.Count("asks-" + polls)
	f.transcript.Count("known-" + ready)
	f.transcript.Write("proxy", words...)
}
