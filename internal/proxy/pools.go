package proxy

import (
	"slices"

	"sloequay/internal/broker"
	"sloequay/internal/membership"
	"sloequay/internal/proxy/descriptors"
	"sloequay/internal/quota"
	"sloequay/internal/route"
	"sloequay/internal/upstream"
)

// pool is a set of endpoints with its broker and its connections. Pools do not know of each other.
type pool struct {
	broker      *broker.Broker
	members     *membership.Table // of its endpoints
	connections *upstream.Pool    // nil until the loop runs
	events      []broker.Event    // for the next round
	share       float64           // of open requests and of connections
}

// publish queues an event for the pool's next round.
func (p *pool) publish(event broker.Event) { p.events = append(p.events, event) }

// newRoutes returns the table of routes for the services in the settings; nil: all requests use one pool.
func newRoutes(plan *Plan) (*route.Table, error) {
	if plan.settings.Services == nil {
		return nil, nil
	}
	control := plan.platform.Policy
	return plan.settings.Services.newTable(plan.clock.Monotonic(), control.ZoneNames, control.KindNames)
}

// poolShares returns the share of each pool; a single pool has all.
func poolShares(routes *route.Table) []float64 {
	if routes == nil {
		return []float64{1}
	}
	var shares []float64
	for _, pool := range routes.Pools() {
		shares = append(shares, pool.Share)
	}
	return shares
}

// newPools creates the pools, each with its broker. The first pool uses the plan's table of endpoints, the others have
// their own.
func (s *server) newPools() error {
	platform := s.plan.platform
	for i, share := range poolShares(s.routes) {
		members := s.plan.members
		if i > 0 {
			members, _, _ = s.plan.settings.membershipTable()
		}
		maxOpen := max(1, int(float64(platform.MaxOpenRequests)*share))
		created, err := broker.New(platform.Policy, platform.Seed+uint64(i), maxOpen, s.quotas, members)
		if err != nil {
			return err
		}
		created.SetMonitor(&s.monitor)
		s.pools = append(s.pools, &pool{broker: created, members: members, share: share})
	}
	return nil
}

// createConnections creates the pool's upstream.Pool. It must be called after the loop has started.
func (p *pool) createConnections(server *server) {
	platform := server.plan.platform
	control := platform.Policy
	p.connections = &upstream.Pool{
		Loop:           server.loop,
		Emit:           p.publish,
		Now:            server.clock.Monotonic,
		MaySend:        p.broker.MaySend,
		DeferWrites:    server.deferWrites,
		Log:            server.log.Event,
		Resolve:        server.resolver.Resolve,
		AddressBlocked: p.broker.AddressBlocked,
		Classes:        control.Classes,
		DialTimeout:    platform.DialTimeout,
		IdleTimeout:    platform.IdleTimeout,
		Streams:        platform.Streams,
		ChecksAllowed:  control.HealthChecks,
		CancelAllowed:  control.MayCancel,
		FlowKBps:       control.FlowKBps,
		MaxConnections: server.descriptors.MaxConnections(p.share, descriptors.Plain),
	}
	if secure := server.plan.settings.UpstreamTLS; secure != nil {
		p.connections.SecureDialer = secure.dialer(control.ZoneNames)
		p.connections.MaxConnections = server.descriptors.MaxConnections(p.share, descriptors.TLS)
	}
}

// round passes the queued events to the pool's broker as one batch, and carries out the resulting effects.
func (p *pool) round(server *server) {
	events := p.events
	p.events = nil
	for _, effect := range p.broker.Round(server.clock.Monotonic(), events) {
		server.applyEffect(p, effect)
	}
}

// endpointByName returns the endpoint with a name, ignoring case, from the first pool that has one, or nil.
func (s *server) endpointByName(name string) *broker.Endpoint {
	for _, pool := range s.pools {
		if endpoint := pool.broker.EndpointByName(name); endpoint != nil {
			return endpoint
		}
	}
	return nil
}

// isSuspected reports whether, in any pool, the last list of a source is suspected of lacking endpoints.
func (s *server) isSuspected(source int) bool {
	return slices.ContainsFunc(s.pools, func(pool *pool) bool {
		return pool.members.Sources()[source].Suspected != 0
	})
}

// openRequests returns the number of requests without a response, over all pools.
func (s *server) openRequests() int {
	open := 0
	for _, pool := range s.pools {
		open += pool.broker.OpenRequests()
	}
	return open
}

// limitRetries sets the retry budgets of all pools to those of the contracts.
func (s *server) limitRetries(contracts *quota.Contracts) {
	for _, pool := range s.pools {
		pool.broker.LimitRetries(contracts.TeamRetries, contracts.EndpointRetries)
	}
}
