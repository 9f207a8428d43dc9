// Package proxy is the assembly: what `sloequay serve` joins on the event loop. It reads all files into a Plan, and runs the
// doorman by it.
package proxy

import (
	"runtime"
	"runtime/debug"
	"time"

	"sloequay/internal/bootstrap"
	"sloequay/internal/broker"
	"sloequay/internal/clock"
	"sloequay/internal/eventlog"
	"sloequay/internal/eventloop"
	"sloequay/internal/frontend/dns"
	"sloequay/internal/frontend/rpc"
	"sloequay/internal/identity/tsig"
	"sloequay/internal/invariant"
	"sloequay/internal/membership/listwatch"
	"sloequay/internal/quota"
	"sloequay/internal/retryafter"
	"sloequay/internal/route"
	"sloequay/internal/shutdown"
	"sloequay/internal/upstream"
	"sloequay/internal/upstream/resolver"
)

const (
	housekeepEvery = 100 * time.Millisecond
	// maxRoundTime is how long a round may take to have its attempts written at once.
	maxRoundTime = 50 * time.Millisecond
	tallyEvery   = 5 * time.Second // of what went to the boxes: a line a pool
	// ownSockets is what the program needs beside clients and boxes: listeners, epoll, bulletin, standard streams, and
	// connections that were accepted and are handed to the loop.
	ownSockets = 24
	// clientPart of the descriptors is for clients. Usual ones hold a third at most; the rest is for those that stay.
	clientPart = 2
)

// server is the assembled program. Everything in it runs on the loop.
type server struct {
	plan      *Plan
	clock     *clock.System
	contracts *quota.Ledger // nil: every team may do everything
	loop      *eventloop.Loop
	pools     []*pool      // one, where the settings name none
	routes    *route.Table // nil: one pool
	listWatch *listwatch.Watcher
	front     *rpc.Server
	dns       *dns.Server // nil: off
	resolver  *resolver.Resolver
	log       *eventlog.Logger
	sources   *sources
	door      *door         // nil: every caller may do everything
	kept      time.Duration // when the last housekeeping was
	tallied   time.Duration // when the depots' tallies were last logged
	signals   *Signals
	leaving   shutdown.Sequence
	monitor   invariant.Monitor
	unixClock clock.Tracker // finds steps of the Unix clock
	stopped   bool
	known     bool // see knowsBoxes
	deferred  bool // the attempts of the last round are left to the next one, see flush
}

// Serve runs the doorman until SIGTERM has been seen through.
func Serve(p *Plan, signals *Signals, log *eventlog.Logger) error {
	s := p.settings
	p.clock.SetOffset(p.own.clockOffset)    // a reload does not move it
	debug.SetMemoryLimit(s.Memory * 6 / 10) // the rest is for stacks, the runtime and the sockets' buffers
	debug.SetGCPercent(300)                 // within that: eight collections a second were measured at full load
	// The loop never parks its goroutine. With one P, dials beside it were seen only each 10 ms and took 25 to 50 ms.
	runtime.GOMAXPROCS(max(2, runtime.GOMAXPROCS(0)))
	d := &server{plan: p, clock: p.clock, log: log, leaving: shutdown.Sequence{LongestDeadline: s.LongestDeadline()}, signals: signals}
	if p.own.Contracts != nil {
		d.contracts = p.own.Contracts.Ledger()
	}
	if err := d.newPools(); err != nil {
		return err
	}
	d.monitor.Report = func(rule invariant.Rule, subject string) {
		d.log.Event("invariant-violated", "rule", rule, "subject", subject)
	}
	for _, pool := range d.pools {
		pool.broker.Monitor(&d.monitor)
	}
	if c := p.own.Contracts; c != nil {
		d.limitRepeats(c)
	}
	full := func() bool { return int64(d.loop.UnsentBytes()) > s.Memory/5 }
	ready := func() bool { return !d.leaving.Begun() && d.knowsBoxes() }
	advisor := retryafter.Advisor{Max: s.Control.MaxRetryAfter}
	clients, listeners := s.Sockets/clientPart, []eventloop.Listener(nil)
	if p.own.DNS != nil {
		most := clients / 4
		clients -= most
		options := dns.Options{
			Config:         p.own.DNS,
			Classes:        s.Control.Classes,
			Emit:           d.admit,
			Now:            d.clock.Monotonic,
			Unix:           d.clock.Unix,
			Log:            d.log.Event,
			EndpointByName: d.box,
			MaxConnections: most,
			Seed:           s.Seed,
			RetryAfter:     advisor,
		}
		if cfg := p.own.Identity; cfg != nil {
			options.Skew = cfg.Gate.Policy.Skew
			options.Keys = func() *tsig.Keys { return d.door.tsig }
		}
		d.dns = dns.New(options)
		listeners = append(listeners, eventloop.Listener{Network: "udp", Address: p.own.DNS.Listen, Packet: d.dns.Packet},
			eventloop.Listener{Network: "tcp", Address: p.own.DNS.Listen, Accept: d.dns.Accept})
	}
	if cfg := p.own.Identity; cfg != nil && cfg.tls != nil {
		// A connection by TLS takes two descriptors more than one of the lobby's.
		cfg.tls.MaxConnections = min(cfg.tls.MaxConnections, clients/4)
		clients -= 2 * cfg.tls.MaxConnections
	}
	d.front = rpc.New(rpc.Config{
		Classes:        s.Control.Classes,
		MaxConnections: clients,
		Emit:           d.admit,
		Now:            d.clock.Monotonic,
		Ready:          ready,
		MemoryShort:    full,
		Log:            d.log.Event,
		RetryAfter:     advisor,
		Monitor:        &d.monitor,
	})
	listeners = append(listeners, eventloop.Listener{Network: "tcp", Address: s.Listen, Accept: d.front.Accept})
	return eventloop.Run(listeners, d.start, d.round)
}

// start joins the parts once the loop runs, and hands the module what was known at the start.
func (d *server) start(l *eventloop.Loop) {
	s := d.plan.settings
	d.loop, l.Memory, l.Bind = l, int(s.Memory), d.plan.own.from()
	l.AcceptFailed = func(err error) { d.log.Event("accept-failed", "error", err) }
	d.resolver = &resolver.Resolver{Loop: l, Now: d.clock.Monotonic}
	if dns := d.plan.own.DNS; dns != nil {
		d.resolver.Server, d.resolver.Limit = dns.Resolver, dns.ResolveTimeout
	}
	for _, p := range d.pools {
		p.connect(d)
	}
	if secure := d.plan.own.UpstreamTLS; secure != nil {
		secure.watch(d)
	}
	if cfg := d.plan.own.Identity; cfg != nil {
		d.door = d.newDoor(cfg)
		d.front.Source = d.door.source
	}
	if path := d.plan.own.Control; path != "" {
		d.control(path)
	}
	d.sources = &sources{server: d}
	d.sources.start()
	go d.handleEnd()
	go d.handleReloads()
	d.log.Event("started", "name", s.Name, "listen", s.Listen, "endpoints", d.plan.initialEndpointCount)
	l.RequestRound()
}

// admit takes what a front has: a request meets the door first, where there is one.
func (d *server) admit(e broker.Event) {
	if a, ok := e.(broker.RequestReceived); ok {
		a.Request.Timeout = d.leaving.TimeoutFor(d.clock.Monotonic(), a.Request.Timeout)
		if d.door != nil {
			d.door.arrive(a.Request)
			return
		}
	}
	d.emit(e)
}

// emit passes on what the sources of boxes and purges tell, and what the fronts have let in.
func (d *server) emit(e broker.Event) {
	if d.routes == nil {
		d.pools[0].emit(e)
		return
	}
	d.dispatch(e)
}

// knowWithin is how long after its start a doorman says that it is not ready while a catalogue has not answered.
const knowWithin = 3 * time.Second

// knowsBoxes says whether clients are to be taken in: where boxes come from a catalogue, once each of its services was heard or was
// in the snapshot. Before, requests would be refused for want of boxes. A catalogue that is away must not keep the rest for ever.
func (d *server) knowsBoxes() bool {
	if d.known || d.plan.own.Catalogue == nil {
		return true
	}
	d.known = true
	for i := range d.plan.own.Catalogue.Services {
		d.known = d.known && d.plan.members.Sources()[d.plan.firstCatalogueSource+i].LastSeen > 0
	}
	// Where peers tell lists, one that a single one of them tells is not known at once.
	d.known = d.known && (d.sources.restored || d.sources.fleet.transport == nil || d.sources.fleet.machine.Ready())
	window := time.Duration(d.plan.settings.Control.Instances) * bootstrap.WindowPerProxy // in which doormans ask one after another
	d.known = d.known || d.clock.Uptime() > knowWithin+window
	return d.known
}

// reload takes over what may change while the program runs. A file that is not sound changes nothing: operators
// replace files under load, and the doorman must outlive their slips.
func (d *server) reload(next *Plan, err error) {
	if err != nil {
		d.log.Event("reload-failed", "error", err)
		return
	}
	d.listWatch.SwitchTo(next.settings.ListAddress)
	if c := next.own.Contracts; d.contracts != nil && c != nil {
		d.contracts.Renew(d.clock.Monotonic(), c.Root.Share(c.Instances))
		d.limitRepeats(c)
		d.log.Event("contracts-reloaded", "version", d.contracts.Version, "teams", len(c.Root.Children), "open", d.contracts.InFlight())
	}
	d.log.Event("reloaded", "bulletin", next.settings.ListAddress, "after", d.listWatch.LastEvent)
	d.loop.RequestRound()
}

// leave begins the end: status says false, and what is open or still comes is served.
func (d *server) leave() {
	if !d.leaving.Begin(d.clock.Monotonic()) {
		return
	}
	d.sources.beginShutdown() // first thing: clients are to look elsewhere
	d.log.Event("draining", "open", d.open())
	d.loop.RequestRound()
}

// end does what the end wants next.
func (d *server) end(now time.Duration) {
	held := shutdown.Load{Open: d.open(), Clients: d.front.Clients() + d.loop.PendingAccepts(), Unsent: d.loop.UnsentBytes(), Blocked: !d.sources.shutdownDone()}
	if d.dns != nil {
		held.Clients += d.dns.Clients()
	}
	switch d.leaving.Step(now, held) {
	case shutdown.CloseIdle:
		d.front.CloseIdle()
		if d.dns != nil {
			d.dns.CloseIdle()
		}
	case shutdown.FailInFlight:
		for _, p := range d.pools {
			p.emit(broker.FailInFlight{})
		}
		d.loop.RequestRound()
	case shutdown.Exit:
		d.stopped = true
		d.log.Event("stopped", "open", held.Open, "clients", held.Clients, "unsent", held.Unsent)
		d.loop.Stop()
	}
}

// round hands what has been gathered to the module in one go, and carries out what comes back.
func (d *server) round() {
	now := d.clock.Monotonic()
	mayDefer := !d.deferred // or a machine that is always slow would send nothing
	d.deferred = false
	if step := d.unixClock.Read(now, d.clock.Unix()); step != 0 {
		d.log.Event("clock-stepped", "by", step)
		if d.door != nil {
			d.door.stepped()
		}
	}
	for _, p := range d.pools {
		p.broker.SetOffset(d.unixClock.Offset())
	}
	if d.door != nil {
		d.door.gate.SetOffset(d.unixClock.Offset())
	}
	if now-d.kept >= housekeepEvery {
		d.kept = now
		d.loop.RecountUnsent()
		d.listWatch.Tick(now)
		for _, p := range d.pools {
			p.depots.Housekeep(now)
		}
		d.moves(now)
		d.front.Tick(now)
		d.resolver.Tick(now)
		if d.dns != nil {
			d.dns.Tick(now)
		}
		d.sources.tick(now)
		if d.door != nil {
			d.door.tick(now)
		}
		d.log.Tick(now)
	}
	if now-d.tallied >= tallyEvery {
		d.tallied = now
		for i, p := range d.pools {
			if t := p.depots.TakeStats(); t != (upstream.Stats{}) {
				d.log.Event("upstream-stats", append([]any{"pool", i}, t.Fields()...)...)
			}
		}
	}
	for _, p := range d.pools {
		p.depots.CheckLiveness(now)
	}
	for again := true; again; { // carrying out may bring ends of its own, and what ends in one pool may be asked on in another
		for _, p := range d.pools {
			p.round(d)
		}
		d.flush(now, mayDefer)
		again = false
		for _, p := range d.pools {
			again = again || len(p.events) > 0
		}
	}
	if d.sources.fleet != nil {
		d.sources.fleet.step(now)
	}
	if d.leaving.Begun() && !d.stopped {
		d.end(now)
	}
	wake := d.kept + housekeepEvery
	if d.deferred {
		wake = now // by the timer, so that the loop reads before: a round that is requested would come first
	}
	if d.sources.fleet != nil {
		wake = min(wake, d.sources.fleet.steppedAt+fleetStepInterval)
	}
	for _, p := range d.pools {
		if next := p.broker.Next(); next > 0 {
			wake = min(wake, next)
		}
	}
	d.loop.WakeAfter(max(0, wake-d.clock.Monotonic()))
}

// flush writes the attempts of the round. Where the round stood still, clients may have left and endpoints may drain since
// it began: what came meanwhile is read first, and the attempts are left to the next round.
func (d *server) flush(roundBegan time.Duration, mayDefer bool) {
	stoodStill := d.clock.Monotonic()-roundBegan > maxRoundTime
	switch {
	case d.deferred:
	case stoodStill && mayDefer:
		d.deferred = true // the end of the round asks for the next one
	default:
		for _, p := range d.pools {
			p.depots.Flush()
		}
	}
}

func (d *server) carryOut(p *pool, effect broker.Effect) {
	switch e := effect.(type) {
	case broker.SendAttempt:
		p.depots.Send(e.Attempt)
	case broker.CancelAttempt:
		p.depots.Cancel(e.Attempt, e.AwaitEnd)
	case broker.Respond:
		d.ended(e.Request, e.Response)
		e.Request.Frontend.Respond(e.Request, e.Response)
	case broker.EndpointChanged:
		p.depots.EndpointChanged(e.Endpoint, e.Restarted)
	case broker.RefetchList:
		d.sources.confirm(e.Source)
	case broker.LogEntry:
		d.log.Event(e.Event, e.Fields...)
	}
}
