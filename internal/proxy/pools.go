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

// pool is a set of endpoints with its broker and its connections. Pools see nothing of one another.
type pool struct {
	broker      *broker.Broker
	members     *membership.Table // of its endpoints
	connections *upstream.Pool
	events      []broker.Event // for the next round
	share       float64        // of open requests and of connections
}

// publish gives the pool an event for the next round.
func (p *pool) publish(event broker.Event) { p.events = append(p.events, event) }

// newRoutes makes the table of routes that the settings name; nil: there is one pool for all.
func newRoutes(plan *Plan) (*route.Table, error) {
	if plan.settings.Services == nil {
		return nil, nil
	}
	control := plan.platform.Policy
	return plan.settings.Services.table(plan.clock.Monotonic(), control.ZoneNames, control.KindNames)
}

// poolShares returns the share of each pool.
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

// newPools makes the pools, each with its broker. Pools beside the first have a table of endpoints of their own.
func (s *server) newPools() error {
	platform := s.plan.platform
	for i, share := range poolShares(s.routes) {
		members := s.plan.members
		if i > 0 {
			members, _, _ = s.plan.settings.membershipTable()
		}
		maxOpen := max(1, int(float64(platform.MaxOpenRequests)*share))
		made, err := broker.New(platform.Policy, platform.Seed+uint64(i), maxOpen, s.quotas, members)
		if err != nil {
			return err
		}
		made.SetMonitor(&s.monitor)
		s.pools = append(s.pools, &pool{broker: made, members: members, share: share})
	}
	return nil
}

// connect makes the pool's connections, once the loop runs.
func (p *pool) connect(server *server) {
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

// round hands the gathered events to the pool's broker together, and carries out what it decides.
func (p *pool) round(server *server) {
	events := p.events
	p.events = nil
	for _, effect := range p.broker.Round(server.clock.Monotonic(), events) {
		server.applyEffect(p, effect)
	}
}

// endpointByName finds an endpoint of any pool by its host on connections.
func (s *server) endpointByName(host string) *broker.Endpoint {
	for _, pool := range s.pools {
		if endpoint := pool.broker.EndpointByName(host); endpoint != nil {
			return endpoint
		}
	}
	return nil
}

// isSuspected reports whether any pool suspects that the last list of a source lacks endpoints of it.
func (s *server) isSuspected(source int) bool {
	return slices.ContainsFunc(s.pools, func(pool *pool) bool {
		return pool.members.Sources()[source].Suspected != 0
	})
}

// openRequests is the number of requests without a response.
func (s *server) openRequests() int {
	open := 0
	for _, pool := range s.pools {
		open += pool.broker.OpenRequests()
	}
	return open
}

// limitRetries sets the retry budgets of the contracts.
func (s *server) limitRetries(contracts *quota.Contracts) {
	for _, pool := range s.pools {
		pool.broker.LimitRetries(contracts.TeamRetries, contracts.EndpointRetries)
	}
}
