package proxy

import (
	"fmt"
	"io"
	"math/rand/v2"
	"runtime/debug"
	"slices"
	"time"

	"sloequay/internal/bootstrap"
	"sloequay/internal/broker"
	"sloequay/internal/membership"
	"sloequay/internal/peer"
	"sloequay/internal/peer/transport"
)

const (
	// maxPartEndpoints is how many endpoints of a list of peers are published together, so that a large one does
	// not hold the loop.
	maxPartEndpoints = 500
	// fleetStepInterval is the time between two steps of the machine without an event.
	fleetStepInterval = 100 * time.Millisecond
	// maxTransportAttempts is how often the transport is opened at the start, before it is done without.
	maxTransportAttempts = 5
	transportRetryPause  = 20 * time.Millisecond
	// announceTimeout is how long the announcement of a shutdown may take; the proxy serves for at least twice as
	// long.
	announceTimeout = 450 * time.Millisecond
)

// fleet connects the decisions of package bootstrap with the transport to other proxies, the catalogue and the
// endpoint lists. Its methods run on the loop, except those of transport.Receiver.
//
// Lists of the catalogue go to the machine, and so to the peers, only once the endpoint table accepts them; lists of
// peers that the machine accepts are published like those of any source.
type fleet struct {
	server    *server
	machine   *bootstrap.Machine
	transport *transport.Transport // nil: no peers
	pending   []*membership.List   // by list: the catalogue's last one, until the endpoint table accepts it
	steppedAt time.Duration
}

// newFleet opens the transport and makes the machine.
func newFleet(s *sources) *fleet {
	settings := s.server.plan.settings
	created := &fleet{
		server:  s.server,
		pending: make([]*membership.List, len(settings.Catalogue.Services)),
	}
	config := created.machineConfig()
	if settings.Peers != nil {
		config.PeersEnabled = created.openTransport(config)
	}
	created.machine = bootstrap.New(created.now(), config)
	return created
}

// openTransport opens the transport to the peers, and reports whether it could. Peers help but are not needed: without
// them the proxy polls by itself.
func (f *fleet) openTransport(config bootstrap.Config) bool {
	settings := f.server.plan.settings
	self := transport.Identity{
		Name:        config.Name,
		Zone:        config.Zone,
		Program:     programVersion(),
		Incarnation: config.Incarnation,
		Fleet:       config.FleetSize,
		Bind:        settings.bindAddress(),
	}
	opened, err := transport.Open(*settings.Peers, self, f)
	for attempts := 1; err != nil && attempts < maxTransportAttempts; attempts++ {
		time.Sleep(transportRetryPause) // memberlist's errors don't tell what passes from what stays
		opened, err = transport.Open(*settings.Peers, self, f)
	}
	if err != nil {
		f.server.log.Event("peer-transport-failed", "error", err)
	}
	f.transport = opened
	return err == nil
}

// machineConfig combines the platform's settings with those of the block for peers.
func (f *fleet) machineConfig() bootstrap.Config {
	plan := f.server.plan
	control := plan.platform.Policy
	config := bootstrap.Config{
		Name:        plan.platform.Name,
		Incarnation: rand.Uint64(),
		ListCount:   len(plan.settings.Catalogue.Services),
		FleetSize:   plan.fleetSize(),
		Seed:        plan.platform.Seed,
	}
	if control.Zone < len(control.ZoneNames) {
		config.Zone = control.ZoneNames[control.Zone]
	}
	if peers := plan.settings.Peers; peers != nil {
		config.Pollers = peers.Pollers
	}
	return config
}

// fleetSize is how many proxies there are: as the block for peers says, or else the platform.
func (p *Plan) fleetSize() int {
	if peers := p.settings.Peers; peers != nil && peers.Fleet > 0 {
		return peers.Fleet
	}
	return p.platform.Policy.Instances
}

// programVersion names the build, as far as it is known.
func programVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return fmt.Sprintf("%.12s", setting.Value)
		}
	}
	return info.Main.Version
}

func (f *fleet) now() time.Duration { return f.server.clock.Monotonic() }

// MembersChanged takes the other members. The transport calls it beside the loop.
func (f *fleet) MembersChanged(members []peer.Member) {
	peers := make([]bootstrap.Peer, 0, len(members))
	for _, member := range members {
		peers = append(peers, bootstrap.Peer{Name: member.Name, Zone: member.Zone})
	}
	f.server.loop.Post(func() { f.apply(f.machine.PeersChanged(f.now(), peers)) })
}

// MessageReceived takes a message of a peer, and returns once the loop has handled it, so that no more is read than
// the loop can take. The transport calls it beside the loop.
func (f *fleet) MessageReceived(from string, body []byte) {
	var message bootstrap.Message
	if err := transport.Decode(body, &message); err != nil {
		f.Log("peer-rejected", "peer", from, "reason", err)
		return
	}
	message.From = from // as signed; the message itself may claim another sender
	handled := make(chan struct{})
	f.server.loop.Post(func() {
		f.apply(f.machine.MessageReceived(f.now(), message))
		close(handled)
	})
	<-handled
}

// Log writes a line of the event log. It may be called beside the loop.
func (f *fleet) Log(event string, fields ...any) {
	f.server.loop.Post(func() { f.server.log.Event(event, fields...) })
}

// observe takes what the catalogue sends to this proxy. A complete list is pending until the endpoint table accepts
// it.
func (f *fleet) observe(event membership.SourceEvent) {
	switch event := event.(type) {
	case membership.ListReceived:
		list, known := f.list(event.Source)
		if known && !event.List.Part && !event.List.Incomplete {
			received := event.List
			f.pending[list] = &received
		}
	case membership.SourceStatus:
		list, known := f.list(event.Source)
		if known && !event.Silent && f.pending[list] == nil {
			f.apply(f.machine.ServiceSeen(f.now(), list))
		}
	}
}

// list returns the machine's index of a source, and whether it has one.
func (f *fleet) list(source int) (int, bool) {
	list := source - f.server.plan.firstCatalogueSource
	return list, list >= 0 && list < len(f.pending)
}

// source returns the index among the sources of one of the machine's lists.
func (f *fleet) source(list int) int { return f.server.plan.firstCatalogueSource + list }

// serviceSeen takes an answer of the catalogue to a call that is not for a list.
func (f *fleet) serviceSeen() {
	for list := range f.pending {
		if f.pending[list] == nil {
			f.apply(f.machine.ServiceSeen(f.now(), list))
		}
	}
}

// step passes on the pending lists that the endpoint table has accepted, and steps the machine.
func (f *fleet) step(now time.Duration) {
	f.passOnAccepted(now)
	if now-f.steppedAt < fleetStepInterval {
		return
	}
	f.steppedAt = now
	f.apply(f.machine.Step(now))
	if f.transport == nil {
		return
	}
	if body, err := transport.Encode(bootstrap.Message{Digest: f.machine.Digest()}); err == nil {
		f.transport.SetState(body)
	}
}

// passOnAccepted passes on the pending lists under no suspicion.
func (f *fleet) passOnAccepted(now time.Duration) {
	isPending := func(list *membership.List) bool { return list != nil }
	if !slices.ContainsFunc(f.pending, isPending) {
		return
	}
	for list, received := range f.pending {
		if received == nil || f.server.isSuspected(f.source(list)) {
			continue
		}
		f.pending[list] = nil
		f.apply(f.machine.ListFromService(now, list, received.Version, received.Endpoints))
	}
}

// apply carries out the effects of the machine.
func (f *fleet) apply(effects []bootstrap.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case bootstrap.Send:
			f.send(effect)
		case bootstrap.SetPolling:
			f.poll(effect)
		case bootstrap.Adopt:
			f.adopt(effect)
		case bootstrap.SourceStatus:
			f.server.publish(broker.SourceStatus{Source: f.source(effect.List), Silent: effect.Silent})
		case bootstrap.LogEntry:
			f.logEntry(effect)
		}
	}
	if len(effects) > 0 {
		f.server.loop.RequestRound()
	}
}

func (f *fleet) send(sent bootstrap.Send) {
	if f.transport == nil {
		return
	}
	if body, err := transport.Encode(sent.Message); err == nil {
		f.transport.Send(sent.To, body)
	}
}

// poll starts or stops polling the catalogue.
func (f *fleet) poll(polled bootstrap.SetPolling) {
	if polled.On {
		f.server.sources.pollLists()
		return
	}
	clear(f.pending) // a list under suspicion must not count later, when another source has lifted the suspicion
	f.server.sources.endPolling()
}

// adopt publishes a list of peers: a large one in parts first, which makes the complete one that follows cheap.
func (f *fleet) adopt(adopted bootstrap.Adopt) {
	source := f.source(adopted.List)
	if len(adopted.Endpoints) > maxPartEndpoints {
		for part := range slices.Chunk(adopted.Endpoints, maxPartEndpoints) {
			list := membership.List{Version: adopted.Version, Endpoints: part, Part: true}
			f.server.publish(broker.EndpointList{Source: source, List: list})
		}
	}
	f.server.publish(broker.EndpointList{Source: source, List: membership.List{
		Version:    adopted.Version,
		Endpoints:  adopted.Endpoints,
		Confirms:   !adopted.Hint, // a quorum of peers has confirmed it, even where it lacks many endpoints
		Incomplete: adopted.Hint,
	}})
}

func (f *fleet) logEntry(entry bootstrap.LogEntry) {
	fields := []any{"change", entry.Event}
	if entry.List >= 0 {
		fields = append(fields, "service", f.serviceName(entry.List))
	}
	if entry.Peer != "" {
		fields = append(fields, "peer", entry.Peer)
	}
	f.server.log.Event("bootstrap", fields...)
}

func (f *fleet) serviceName(list int) string {
	return f.server.plan.settings.Catalogue.Services[list].Name
}

// announceShutdown tells the other members that this proxy leaves. It does not wait.
func (f *fleet) announceShutdown() {
	if f.transport != nil {
		f.transport.AnnounceShutdown(announceTimeout)
	}
}

// writeStatus prints whether this proxy polls, its lists, and the other members, for `sloequay peers`.
func (f *fleet) writeStatus(out io.Writer) {
	role := "listens to peers"
	if f.machine.IsPolling() {
		role = "asks the list service"
	}
	fmt.Fprintln(out, role)
	for list := range f.pending {
		version, known := f.machine.Version(list)
		fmt.Fprintf(out, "list %s version %d sum %016x held %v\n",
			f.serviceName(list), version.Version, version.Sum, known)
	}
	if f.transport == nil {
		return
	}
	members, counters := f.transport.Status()
	fmt.Fprintf(out, "sent %d messages, %d bytes; %d dropped, %d not heard\n",
		counters.Messages, counters.Bytes, counters.Dropped, counters.Rejected)
	for _, member := range members {
		fmt.Fprintf(out, "peer %s zone %s epoch %d program %s\n",
			member.Name, member.Zone, member.Incarnation, member.Program)
	}
}
