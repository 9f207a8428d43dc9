// Package proxy assembles the proxy that `sloequay serve` runs: it connects all components on the event loop. Load
// reads the configuration files into a Plan, and Serve runs the proxy with it.
package proxy

import (
	"net"
	"time"

	"sloequay/internal/clock"
	"sloequay/internal/eventlog"
	"sloequay/internal/eventloop"
	"sloequay/internal/frontend/dns"
	"sloequay/internal/frontend/rpc"
	"sloequay/internal/identity/tsig"
	"sloequay/internal/invariant"
	"sloequay/internal/memory"
	"sloequay/internal/proxy/deferral"
	"sloequay/internal/proxy/descriptors"
	"sloequay/internal/proxy/readiness"
	"sloequay/internal/quota"
	"sloequay/internal/retryafter"
	"sloequay/internal/route"
	"sloequay/internal/shutdown"
	"sloequay/internal/upstream/resolver"
)

// server is the assembled proxy. Its methods run on the event loop unless their comments say otherwise.
type server struct {
	plan    *Plan
	clock   *clock.System
	log     *eventlog.Logger
	signals *Signals
	monitor invariant.Monitor
	loop    *eventloop.Loop // nil until the loop runs

	descriptors descriptors.Split
	memory      *memory.Account // what is held for clients, endpoints and peers

	// Components that process requests, in the order in which a request passes them.
	frontend      *rpc.Server
	dns           *dns.Server    // nil: off
	authenticator *authenticator // nil: the loop does not run yet, or identity is off and callers may do everything
	quotas        *quota.Ledger  // nil: no limits on teams
	routes        *route.Table   // nil: one pool
	pools         []*pool        // one pool if the settings name none

	// Endpoints. Both fields are nil until the loop runs.
	sources  *sources
	resolver *resolver.Resolver

	// Rounds of the event loop.
	rounds           deferral.Rounds
	roundBeganAt     time.Duration
	unixClock        clock.Tracker // detects steps of the Unix clock
	lastHousekeeping time.Duration
	statsLoggedAt    time.Duration

	// Lifecycle of the process.
	startup  readiness.Startup
	shutdown shutdown.Sequence
	stopped  bool
}

// newServer assembles the components that do not need the loop; start adds the others.
func newServer(plan *Plan, signals *Signals, log *eventlog.Logger) (*server, error) {
	created := &server{
		plan:        plan,
		clock:       plan.clock,
		log:         log,
		signals:     signals,
		descriptors: descriptors.Plan(plan.descriptorDemand()),
		memory:      memory.NewAccount(int(plan.platform.Memory)),
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

// newFrontend returns the server for clients' RPC connections.
func (s *server) newFrontend() *rpc.Server {
	control := s.plan.platform.Policy
	return rpc.New(rpc.Config{
		Classes:        control.Classes,
		MaxConnections: s.descriptors.RPC,
		Emit:           s.admit,
		Now:            s.clock.Monotonic,
		Ready:          s.isReady,
		Memory:         s.memory,
		Log:            s.log.Event,
		RetryAfter:     s.retryAfter(),
		Monitor:        &s.monitor,
	})
}

// retryAfter returns the advisor for the Retry-After of rejected requests.
func (s *server) retryAfter() retryafter.Advisor {
	return retryafter.Advisor{Max: s.plan.platform.Policy.MaxRetryAfter}
}

func (s *server) newDNSServer() *dns.Server {
	platform := s.plan.platform
	options := dns.Options{
		Config:         s.plan.settings.DNS,
		Classes:        platform.Policy.Classes,
		Emit:           s.admit,
		Now:            s.clock.Monotonic,
		PacketLag:      func() time.Duration { return s.loop.PacketLag() }, // a closure, as s.loop is still nil here
		UnixTime:       s.clock.Unix,
		Log:            s.log.Event,
		EndpointByName: s.endpointByName,
		MaxConnections: s.descriptors.DNS,
		Memory:         s.memory,
		Seed:           platform.Seed,
		RetryAfter:     s.retryAfter(),
	}
	if identity := s.plan.settings.Identity; identity != nil {
		options.MaxClockSkew = identity.authenticator.Policy.Skew
		options.Keys = func() *tsig.Keys { return s.authenticator.tsigKeys }
	}
	return dns.New(options)
}

// listeners returns the listeners for clients, except the TLS listener, which the authenticator opens.
func (s *server) listeners() []eventloop.Listener {
	var listeners []eventloop.Listener
	if s.dns != nil {
		address := s.plan.settings.DNS.Listen
		listeners = append(listeners,
			eventloop.Listener{Network: "udp", Address: address, Packet: s.dns.HandlePacket},
			eventloop.Listener{Network: "tcp", Address: address, Accept: s.dns.Accept})
	}
	return append(listeners,
		eventloop.Listener{Network: "tcp", Address: s.plan.platform.Listen, Accept: s.frontend.Accept})
}

// start assembles the components that need the loop, publishes the endpoints that are known at the start, and starts
// following their sources. The loop calls it once, before the first round.
func (s *server) start(loop *eventloop.Loop) {
	settings := s.plan.settings
	s.loop = loop
	loop.Memory = s.memory
	loop.Bind = settings.bindAddress()
	loop.OnAcceptError = func(err error) { s.log.Event("accept-failed", "error", err) }
	loop.OnExcessInput = func(remote net.Addr, bytes int) {
		s.log.Event("connection-excess-input", "from", remote, "bytes", bytes)
	}
	s.resolver = s.newResolver()
	for _, pool := range s.pools {
		pool.createConnections(s)
	}
	if settings.UpstreamTLS != nil {
		settings.UpstreamTLS.watch(s.certificatesReloaded)
	}
	if settings.Identity != nil {
		s.authenticator = newAuthenticator(s, settings.Identity)
		s.frontend.Source = s.authenticator.lookupSource
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
	created := &resolver.Resolver{Loop: s.loop, Now: s.clock.Monotonic}
	if settings := s.plan.settings.DNS; settings != nil {
		created.Server = settings.Resolver
		created.Timeout = settings.ResolveTimeout
	}
	return created
}

// certificatesReloaded logs that certificate files were reloaded, or the error. Any goroutine may call it.
func (s *server) certificatesReloaded(certificate string, err error) {
	s.loop.Post(func() {
		if err != nil {
			s.log.Event("keys-rejected", "error", err)
		} else {
			s.log.Event("tls-reloaded", "cert", certificate)
		}
	})
}
