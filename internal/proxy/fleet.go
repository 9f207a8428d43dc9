package proxy

import (
	"fmt"
	"io"
	"math/rand/v2"
	"runtime/debug"
	"time"

	"sloequay/internal/bootstrap"
	"sloequay/internal/broker"
	"sloequay/internal/membership"
	"sloequay/internal/peer"
	"sloequay/internal/peer/transport"
)

// fleet joins the decisions of a start and the link to other doormans to the sources of boxes. Its methods run on the loop, but
// for those that the link calls.
type fleet struct {
	sources   *sources
	machine   *bootstrap.Machine
	transport *transport.Transport // nil: no peers
	pending   []*membership.List   // by list: what the service told last, while the table has not judged it
	steppedAt time.Duration
}

// maxPartEndpoints is how many boxes of a list that peers told are handed on together, so that a large one does not hold the loop.
const maxPartEndpoints = 500

func newFleet(s *sources) *fleet {
	d := s.doorman
	p, site := d.plan, d.plan.settings.Control
	h := &fleet{sources: s, pending: make([]*membership.List, len(p.own.Catalogue.Services))}
	cfg := bootstrap.Config{Name: p.settings.Name, Incarnation: rand.Uint64(), Lists: len(h.pending), Fleet: site.Instances, Seed: p.settings.Seed}
	if site.Zone < len(site.ZoneNames) {
		cfg.Zone = site.ZoneNames[site.Zone]
	}
	if own := p.own.Peers; own != nil {
		cfg.Peers, cfg.Pollers = true, own.Pollers
		if own.Fleet > 0 {
			cfg.Fleet = own.Fleet
		}
		var err error
		if h.transport, err = transport.Open(*own, transport.Identity{Name: cfg.Name, Zone: cfg.Zone, Program: programVersion(), Incarnation: cfg.Incarnation, Fleet: cfg.Fleet, Bind: p.own.from()}, h); err != nil {
			// What others know is a help and no need: without it the doorman asks by itself.
			d.log.Event("peer-transport-failed", "error", err)
			cfg.Peers = false
		}
	}
	h.machine = bootstrap.New(d.clock.Monotonic(), cfg)
	return h
}

// programVersion names what was built, as far as the build knows.
func programVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return fmt.Sprintf("%.12s", s.Value)
		}
	}
	return info.Main.Version
}

// MembersChanged takes who else lives. It is called by the link.
func (h *fleet) MembersChanged(members []peer.Member) {
	peers := make([]bootstrap.Peer, 0, len(members))
	for _, m := range members {
		peers = append(peers, bootstrap.Peer{Name: m.Name, Zone: m.Zone})
	}
	h.sources.doorman.loop.Post(func() { h.apply(h.machine.PeersChanged(h.sources.doorman.clock.Monotonic(), peers)) })
}

// MessageReceived takes what a peer has sent and returns once the loop has it, so that no more is read than it can take. It is called by
// the link.
func (h *fleet) MessageReceived(from string, body []byte) {
	var m bootstrap.Message
	if err := transport.Decode(body, &m); err != nil {
		h.Log("peer-rejected", "peer", from, "reason", err)
		return
	}
	m.From = from
	taken := make(chan struct{})
	h.sources.doorman.loop.Post(func() {
		h.apply(h.machine.MessageReceived(h.sources.doorman.clock.Monotonic(), m))
		close(taken)
	})
	<-taken
}

// Log writes a line. It may be called beside the loop.
func (h *fleet) Log(event string, fields ...any) {
	d := h.sources.doorman
	d.loop.Post(func() { d.log.Event(event, fields...) })
}

// observe looks at what the catalogue tells this doorman. A list goes to the others only once the table of boxes has not doubted it.
func (h *fleet) observe(e membership.SourceEvent) {
	first := h.sources.doorman.plan.first
	switch e := e.(type) {
	case membership.ListReceived:
		if n := e.Source - first; n >= 0 && n < len(h.pending) && !e.List.Part && !e.List.Incomplete {
			list := e.List
			h.pending[n] = &list
		}
	case membership.SourceStatus:
		if n := e.Source - first; n >= 0 && n < len(h.pending) && !e.Silent && h.pending[n] == nil {
			h.apply(h.machine.ServiceSeen(h.sources.doorman.clock.Monotonic(), n))
		}
	}
}

// serviceSeen notes that the service answered a question other than for a list.
func (h *fleet) serviceSeen() {
	for n := range h.pending {
		if h.pending[n] == nil {
			h.apply(h.machine.ServiceSeen(h.sources.doorman.clock.Monotonic(), n))
		}
	}
}

// step passes on what the table has taken, and steps the machine.
func (h *fleet) step(now time.Duration) {
	var views []membership.SourceView
	for n, list := range h.pending {
		if list == nil {
			continue
		}
		if views == nil {
			views = h.sources.doorman.plan.members.Sources()
		}
		if views[h.sources.doorman.plan.first+n].Suspected == 0 {
			h.pending[n] = nil
			h.apply(h.machine.ListFromService(now, n, list.Version, list.Endpoints))
		}
	}
	if now-h.steppedAt >= fleetStepInterval {
		h.steppedAt = now
		h.apply(h.machine.Step(now))
		if h.transport != nil {
			if body, err := transport.Encode(bootstrap.Message{Digest: h.machine.Digest()}); err == nil {
				h.transport.SetState(body)
			}
		}
	}
}

const fleetStepInterval = 100 * time.Millisecond

func (h *fleet) apply(effects []bootstrap.Effect) {
	d := h.sources.doorman
	for _, e := range effects {
		switch e := e.(type) {
		case bootstrap.Send:
			if body, err := transport.Encode(e.Message); err == nil && h.transport != nil {
				h.transport.Send(e.To, body)
			}
		case bootstrap.Poll:
			if !e.On {
				clear(h.pending) // what was doubted then must not count once something else has put the doubt aside
			}
			h.sources.follow(e.On)
		case bootstrap.Adopt:
			src := d.plan.first + e.List
			for at := 0; len(e.Endpoints) > maxPartEndpoints && at < len(e.Endpoints); at += maxPartEndpoints {
				d.emit(broker.EndpointList{Source: src, List: membership.List{Version: e.Version, Endpoints: e.Endpoints[at:min(at+maxPartEndpoints, len(e.Endpoints))], Part: true}})
			}
			// What two peers tell has been confirmed by each of them, where it lacks much.
			d.emit(broker.EndpointList{Source: src, List: membership.List{Version: e.Version, Endpoints: e.Endpoints, Confirms: !e.Hint, Incomplete: e.Hint}})
		case bootstrap.SourceStatus:
			d.emit(broker.SourceStatus{Source: d.plan.first + e.List, Silent: e.Silent})
		case bootstrap.LogEntry:
			fields := []any{"change", e.Event}
			if e.List >= 0 {
				fields = append(fields, "service", d.plan.own.Catalogue.Services[e.List].Name)
			}
			if e.Peer != "" {
				fields = append(fields, "peer", e.Peer)
			}
			d.log.Event("bootstrap", fields...)
		}
	}
	if len(effects) > 0 {
		d.loop.RequestRound()
	}
}

// announceTimeout is how long the others may take to hear of it; the doorman stays for twice that at least.
const announceTimeout = 450 * time.Millisecond

// announceShutdown tells the others that this doorman goes, beside the loop.
func (h *fleet) announceShutdown() {
	if h.transport != nil {
		go h.transport.AnnounceShutdown(announceTimeout)
	}
}

// writeStatus prints who else lives and which lists are held.
func (h *fleet) writeStatus(out io.Writer) {
	role := "listens to peers"
	if h.machine.Polls() {
		role = "asks the list service"
	}
	fmt.Fprintln(out, role)
	for n := range h.pending {
		k, ok := h.machine.Version(n)
		fmt.Fprintf(out, "list %s version %d sum %016x held %v\n", h.sources.doorman.plan.own.Catalogue.Services[n].Name, k.Version, k.Sum, ok)
	}
	if h.transport == nil {
		return
	}
	members, sent := h.transport.Status()
	fmt.Fprintf(out, "sent %d messages, %d bytes; %d dropped, %d not heard\n", sent.Messages, sent.Bytes, sent.Dropped, sent.Rejected)
	for _, m := range members {
		fmt.Fprintf(out, "peer %s zone %s epoch %d program %s\n", m.Name, m.Zone, m.Incarnation, m.Program)
	}
}
