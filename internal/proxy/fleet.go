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
	"sloequay/internal/memory"
	"sloequay/internal/peer"
	"sloequay/internal/peer/transport"
)

const (
	// maxPartEndpoints is the maximum number of endpoints of a peers' list that are published as one part, so that a
	// large list does not block the event loop.
	maxPartEndpoints = 500
	// fleetStepInterval is the interval between two steps of the machine.
	fleetStepInterval = 100 * time.Millisecond
	// maxTransportAttempts is the maximum number of attempts to open the transport at the start. If all fail, the
	// proxy runs without peers.
	maxTransportAttempts = 5
	transportRetryPause  = 20 * time.Millisecond
	// announceTimeout limits the announcement of a shutdown. The proxy keeps serving for at least twice as long.
	announceTimeout = 450 * time.Millisecond
	// peerMemoryDivisor divides the memory of the process to get the most that is received on the transport's open
	// streams, accepted and dialed. Its library takes several times as much memory while a message arrives.
	peerMemoryDivisor = 64
)

// fleet carries out the decisions of a bootstrap.Machine: it connects the machine with the transport to other proxies,
// the catalogue and the tables of endpoints. Its methods run on the event loop, except those of transport.Receiver.
//
// A list from the catalogue is passed to the machine, and so to the peers, only after the tables of endpoints accept
// it. A list from peers that the machine accepts is published like that of any source.
type fleet struct {
	server       *server
	machine      *bootstrap.Machine
	transport    *transport.Transport // nil: no peers
	pendingLists []*membership.List   // by list index: the catalogue's last list, while it waits to be accepted; or nil
	steppedAt    time.Duration
	inbound      memory.Charge // for bytes of others on open streams to the transport
}

// newFleet opens the transport, if the settings name peers, and creates the machine.
func newFleet(s *sources) *fleet {
	settings := s.server.plan.settings
	created := &fleet{
		server:       s.server,
		pendingLists: make([]*membership.List, len(settings.Catalogue.Services)),
		inbound:      s.server.memory.NewCharge(memory.Peers, 0),
	}
	config := created.machineConfig()
	if settings.Peers != nil {
		config.PeersEnabled = created.openTransport(config)
	}
	created.machine = bootstrap.New(created.now(), config)
	return created
}

// openTransport opens the transport to the peers, and reports whether it succeeded. Peers are optional: without them
// the proxy polls the catalogue itself.
func (f *fleet) openTransport(config bootstrap.Config) bool {
	settings := f.server.plan.settings
	self := transport.Identity{
		Name:           config.Name,
		Zone:           config.Zone,
		ProgramVersion: programVersion(),
		Incarnation:    config.Incarnation,
		FleetSize:      config.FleetSize,
		LocalAddr:      settings.bindAddress(),
	}
	transportConfig := *settings.Peers
	transportConfig.MaxStreamBytes = f.server.memory.Process() / peerMemoryDivisor
	opened, err := transport.Open(transportConfig, self, f)
	for attempts := 1; err != nil && attempts < maxTransportAttempts; attempts++ {
		time.Sleep(transportRetryPause) // memberlist's errors do not show whether they are temporary
		opened, err = transport.Open(transportConfig, self, f)
	}
	if err != nil {
		f.server.log.Event("peer-transport-failed", "error", err)
	}
	f.transport = opened
	return err == nil
}

// machineConfig combines the platform configuration with the settings in the block `peers`.
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

// fleetSize returns the number of proxies in the fleet, from the block `peers` or else the platform configuration.
func (p *Plan) fleetSize() int {
	if peers := p.settings.Peers; peers != nil && peers.FleetSize > 0 {
		return peers.FleetSize
	}
	return p.platform.Policy.Instances
}

// programVersion returns the VCS revision of the build, or else its module version; empty if neither is known.
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

// MembersChanged passes the other members on to the machine. The transport calls it on one of its goroutines.
func (f *fleet) MembersChanged(members []peer.Member) {
	peers := make([]bootstrap.Peer, 0, len(members))
	for _, member := range members {
		peers = append(peers, bootstrap.Peer{Name: member.Name, Zone: member.Zone})
	}
	f.server.loop.Post(func() { f.apply(f.machine.PeersChanged(f.now(), peers)) })
}

// MessageReceived handles a message from a peer. It returns after the event loop has handled the message, so that
// messages are read no faster than the loop can handle them. The transport calls it on one of its goroutines.
func (f *fleet) MessageReceived(from string, body []byte) {
	var message bootstrap.Message
	if err := transport.Decode(body, &message); err != nil {
		f.Log("peer-rejected", "peer", from, "reason", err)
		return
	}
	message.From = from // the verified signer; the message itself may claim another sender
	handled := make(chan struct{})
	f.server.loop.Post(func() {
		f.apply(f.machine.MessageReceived(f.now(), message))
		close(handled)
	})
	<-handled
}

// Log writes a line to the event log. Any goroutine may call it.
func (f *fleet) Log(event string, fields ...any) {
	f.server.loop.Post(func() { f.server.log.Event(event, fields...) })
}

// observe handles an event from the catalogue. A complete list becomes pending until the tables of endpoints accept it.
func (f *fleet) observe(event membership.SourceEvent) {
	switch event := event.(type) {
	case membership.ListReceived:
		list, known := f.listIndex(event.Source)
		if known && !event.List.Part && !event.List.Incomplete {
			received := event.List
			f.pendingLists[list] = &received
		}
	case membership.SourceStatus:
		list, known := f.listIndex(event.Source)
		if known && !event.Silent && f.pendingLists[list] == nil {
			f.apply(f.machine.ServiceSeen(f.now(), list))
		}
	}
}

// listIndex returns the machine's index of a source's list, and whether the machine has such a list.
func (f *fleet) listIndex(source int) (int, bool) {
	list := source - f.server.plan.firstCatalogueSource
	return list, list >= 0 && list < len(f.pendingLists)
}

// sourceIndex returns the index of the source of one of the machine's lists.
func (f *fleet) sourceIndex(list int) int { return f.server.plan.firstCatalogueSource + list }

// serviceSeen tells the machine that the catalogue gave an answer without a list. It does so for each list index
// for which no list is pending.
func (f *fleet) serviceSeen() {
	for list := range f.pendingLists {
		if f.pendingLists[list] == nil {
			f.apply(f.machine.ServiceSeen(f.now(), list))
		}
	}
}

// step passes accepted lists to the machine. Every fleetStepInterval, it also steps the machine and updates the state
// that the transport exchanges with peers.
func (f *fleet) step(now time.Duration) {
	f.forwardAcceptedLists(now)
	if f.transport != nil {
		f.inbound.Set(f.transport.StreamBytes())
	}
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

// forwardAcceptedLists passes the pending lists to the machine that no pool's table of endpoints suspects.
func (f *fleet) forwardAcceptedLists(now time.Duration) {
	isPending := func(list *membership.List) bool { return list != nil }
	if !slices.ContainsFunc(f.pendingLists, isPending) {
		return
	}
	for list, received := range f.pendingLists {
		if received == nil || f.server.isSuspected(f.sourceIndex(list)) {
			continue
		}
		f.pendingLists[list] = nil
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
			f.setPolling(effect)
		case bootstrap.Adopt:
			f.adopt(effect)
		case bootstrap.SourceStatus:
			f.server.publish(broker.SourceStatus{Source: f.sourceIndex(effect.List), Silent: effect.Silent})
		case bootstrap.LogEntry:
			f.logEntry(effect)
		}
	}
	if len(effects) > 0 {
		f.server.loop.RequestRound()
	}
}

func (f *fleet) send(effect bootstrap.Send) {
	if f.transport == nil {
		return
	}
	if body, err := transport.Encode(effect.Message); err == nil {
		f.transport.Send(effect.To, body)
	}
}

// setPolling starts or stops polling the catalogue.
func (f *fleet) setPolling(effect bootstrap.SetPolling) {
	if effect.On {
		f.server.sources.pollLists()
		return
	}
	clear(f.pendingLists) // a suspected list must not be passed on later, after another list has ended the suspicion
	f.server.sources.endPolling()
}

// adopt publishes a list from peers. A large list is published in parts first, which makes the complete list that
// follows cheap to apply.
func (f *fleet) adopt(effect bootstrap.Adopt) {
	source := f.sourceIndex(effect.List)
	endpoints := f.validEndpoints(effect)
	if len(endpoints) > maxPartEndpoints {
		for part := range slices.Chunk(endpoints, maxPartEndpoints) {
			list := membership.List{Version: effect.Version, Endpoints: part, Part: true, Unconfirmed: effect.Hint}
			f.server.publish(broker.EndpointList{Source: source, List: list})
		}
	}
	f.server.publish(broker.EndpointList{Source: source, List: membership.List{
		Version:     effect.Version,
		Endpoints:   endpoints,
		Confirms:    !effect.Hint, // a quorum of peers has confirmed it, even if it lacks many endpoints
		Incomplete:  effect.Hint,
		Unconfirmed: effect.Hint,
	}})
}

// validEndpoints returns the endpoints of a list from peers that the settings describe. A list of the catalogue lacks
// the others as well; a peer may have other settings, or lie.
func (f *fleet) validEndpoints(effect bootstrap.Adopt) []membership.Endpoint {
	names := f.server.plan.decoder.Names
	valid := make([]membership.Endpoint, 0, len(effect.Endpoints))
	for _, endpoint := range effect.Endpoints {
		if names.Describes(endpoint) {
			valid = append(valid, endpoint)
		}
	}
	if rejected := len(effect.Endpoints) - len(valid); rejected > 0 {
		f.server.log.Event("peer-endpoints-rejected", "service", f.serviceName(effect.List), "count", rejected)
	}
	return valid
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

// announceShutdown starts to tell the other members that this proxy leaves. It does not block.
func (f *fleet) announceShutdown() {
	if f.transport != nil {
		f.transport.AnnounceShutdown(announceTimeout)
	}
}

// writeStatus prints whether this proxy polls the catalogue, its lists, and the other members, for `sloequay peers`.
func (f *fleet) writeStatus(out io.Writer) {
	role := "receives lists from peers"
	if f.machine.IsPolling() {
		role = "polls the catalogue"
	}
	fmt.Fprintln(out, role)
	for list := range f.pendingLists {
		version, known := f.machine.Version(list)
		fmt.Fprintf(out, "list %s version %d sum %016x held %v\n",
			f.serviceName(list), version.Version, version.Sum, known)
	}
	if f.transport == nil {
		return
	}
	members, counters := f.transport.Status()
	fmt.Fprintf(out, "sent %d messages, %d bytes; %d dropped, %d rejected, %d streams closed\n",
		counters.MessagesSent, counters.BytesSent, counters.Dropped, counters.Rejected, counters.ClosedStreams)
	for _, member := range members {
		fmt.Fprintf(out, "peer %s zone %s epoch %d program %s\n",
			member.Name, member.Zone, member.Incarnation, member.ProgramVersion)
	}
}
