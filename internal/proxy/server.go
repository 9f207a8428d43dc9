// Package proxy is the assembly: what `sloequay serve` joins on the event loop. Load reads all files into a Plan, and
// Serve runs the proxy by it.
package proxy

import (
	"time"

	"sloequay/internal/clock"
	"sloequay/internal/eventlog"
	"sloequay/internal/eventloop"
	"sloequay/internal/frontend/dns"
	"sloequay/internal/frontend/rpc"
	"sloequay/internal/identity/tsig"
	"sloequay/internal/invariant"
	"sloequay/internal/proxy/deferral"
	"sloequay/internal/proxy/descriptors"
	"sloequay/internal/proxy/readiness"
	"sloequay/internal/quota"
	"sloequay/internal/retryafter"
	"sloequay/internal/route"
	"sloequay/internal/shutdown"
	"sloequay/internal/upstream/resolver"
)

// unsentDivisor is the part of the memory that responses may fill which clients have not read yet. Beyond it memory is
// short: see rpc.Config.MemoryShort.
const unsentDivisor = 5

// server is the assembled proxy. Everything in it runs on the event loop.
type server struct {
	plan    *Plan
	clock   *clock.System
	log     *eventlog.Logger
	signals *Signals
	monitor invariant.Monitor
	loop    *eventloop.Loop // nil until the loop runs

	descriptors descriptors.Split

	// Requests, in the order in which they meet these.
	frontend      *rpc.Server
	dns           *dns.Server    // nil: off
	authenticator *authenticator // nil until the loop runs, or: every caller may do everything
	quotas        *quota.Ledger  // nil: every team may do everything
	routes        *route.Table   // nil: one pool
	pools         []*pool        // one, where the settings name none

	// Endpoints, from when the loop runs.
	sources  *sources
	resolver *resolver.Resolver

	// Rounds of the loop.
	rounds           deferral.Rounds
	roundBeganAt     time.Duration
	unixClock        clock.Tracker // finds steps of the Unix clock
	lastHousekeeping time.Duration
	statsLoggedAt    time.Duration

	// The life of the process.
	startup  readiness.Startup
	shutdown shutdown.Sequence
	stopped  bool
}

// newServer assembles what does not need the loop.
func newServer(plan *Plan, signals *Signals, log *eventlog.Logger) (*server, error) {
	created := &server{
		plan:        plan,
		clock:       plan.clock,
		log:         log,
		signals:     signals,
		descriptors: descriptors.Plan(plan.descriptorDemand()),
		startup:     newStartup(plan),
		shutdown:    shutdown.Sequence{LongestDeadline: plan.platform.LongestDeadline()},
	}
	created.monitor.Report = func(rule invariant.Rule, subject string) {
		created.log.Event("invariant-violated", "rule", rule, "subject", subject)
	}
	if contracts := plan.settings.Contracts; contracts != nil {
		created.quotas = contracts.Ledger()
	}
	routes, err := newRoutes(plan)
	if err != nil {
		return nil, err
	}
	created.routes = routes
	if err := created.newPools(); err != nil {
		return nil, err
	}
	if contracts := plan.settings.Contracts; contracts != nil {
		created.limitRetries(contracts)
	}
	if plan.settings.DNS != nil {
		created.dns = created.newDNSServer()
	}
	created.frontend = created.newFrontend()
	return created, nil
}

// newFrontend makes the server of the clients' protocol.
func (s *server) newFrontend() *rpc.Server {
	control := s.plan.platform.Policy
	return rpc.New(rpc.Config{
		Classes:        control.Classes,
		MaxConnections: s.descriptors.RPC,
		Emit:           s.admit,
		Now:            s.clock.Monotonic,
		Ready:          s.isReady,
		MemoryShort:    s.isMemoryShort,
		Log:            s.log.Event,
		RetryAfter:     s.retryAfter(),
		Monitor:        &s.monitor,
	})
}

// retryAfter returns what clients that are rejected may be advised.
func (s *server) retryAfter() retryafter.Advisor {
	return retryafter.Advisor{Max: s.plan.platform.Policy.MaxRetryAfter}
}

// isMemoryShort reports whether clients leave too much unread.
func (s *server) isMemoryShort() bool {
	return int64(s.loop.UnsentBytes()) > s.plan.platform.Memory/unsentDivisor
}

func (s *server) newDNSServer() *dns.Server {
	platform := s.plan.platform
	options := dns.Options{
		Config:         s.plan.settings.DNS,
		Classes:        platform.Policy.Classes,
		Emit:           s.admit,
		Now:            s.clock.Monotonic,
		PacketLag:      func() time.Duration { return s.loop.PacketLag() }, // the loop does not run yet
		Unix:           s.clock.Unix,
		Log:            s.log.Event,
		EndpointByName: s.endpointByName,
		MaxConnections: s.descriptors.DNS,
		Seed:           platform.Seed,
		RetryAfter:     s.retryAfter(),
	}
	if identity := s.plan.settings.Identity; identity != nil {
		options.Skew = identity.authenticator.Policy.Skew
		options.Keys = func() *tsig.Keys { return s.authenticator.tsigKeys }
	}
	return dns.New(options)
}

// listeners returns where clients connect. That of TLS is the authenticator's.
func (s *server) listeners() []eventloop.Listener {
	var listeners []eventloop.Listener
	if s.dns != nil {
		address := s.plan.settings.DNS.Listen
		listeners = append(listeners,
			eventloop.Listener{Network: "udp", Address: address, Packet: s.dns.Packet},
			eventloop.Listener{Network: "tcp", Address: address, Accept: s.dns.Accept})
	}
	return append(listeners,
		eventloop.Listener{Network: "tcp", Address: s.plan.platform.Listen, Accept: s.frontend.Accept})
}

// start assembles what needs the loop, publishes the endpoints that are known at the start, and begins to follow their
// sources. The loop calls it once before the first round.
func (s *server) start(loop *eventloop.Loop) {
	settings := s.plan.settings
	s.loop = loop
	loop.Memory = int(s.plan.platform.Memory)
	loop.Bind = settings.bindAddress()
	loop.AcceptFailed = func(err error) { s.log.Event("accept-failed", "error", err) }
	s.resolver = s.newResolver()
	for _, pool := range s.pools {
		pool.connect(s)
	}
	if settings.UpstreamTLS != nil {
		settings.UpstreamTLS.watch(s.certificatesReloaded)
	}
	if settings.Identity != nil {
		s.authenticator = newAuthenticator(s, settings.Identity)
		s.frontend.Source = s.authenticator.source
	}
	if settings.AdminSocket != "" {
		s.openAdminSocket(settings.AdminSocket)
	}
	s.sources = &sources{server: s}
	s.sources.start()
	go s.handleShutdownSignals()
	go s.handleReloadSignals()
	s.log.Event("started", "name", s.plan.platform.Name, "listen", s.plan.platform.Listen,
		"endpoints", s.plan.initialEndpointCount)
	loop.RequestRound()
}

func (s *server) newResolver() *resolver.Resolver {
	made := &resolver.Resolver{Loop: s.loop, Now: s.clock.Monotonic}
	if settings := s.plan.settings.DNS; settings != nil {
		made.Server = settings.Resolver
		made.Timeout = settings.ResolveTimeout
	}
	return made
}

// certificatesReloaded logs that files of certificates were taken over, or why not. It may be called beside the loop.
func (s *server) certificatesReloaded(certificate string, err error) {
	s.loop.Post(func() {
		if err != nil {
			s.log.Event("keys-rejected", "error", err)
		} else {
			s.log.Event("tls-reloaded", "cert", certificate)
		}
	})
}
