package proxy

import (
	"sloequay/internal/broker"
	"sloequay/internal/proxy/descriptors"
	"sloequay/internal/quota"
	"sloequay/internal/upstream"
)

// pool is a set of endpoints with its broker and its connections. Pools see nothing of one another.
type pool struct {
	broker      *broker.Broker
	connections *upstream.Pool
	events      []broker.Event // for the next round
	share       float64        // of open requests and of connections
}

// publish gives the pool an event for the next round.
func (p *pool) publish(event broker.Event) { p.events = append(p.events, event) }

// newPools makes the pools that the settings name, or the one for all.
func (s *server) newPools() error {
	shares, err := s.poolShares()
	if err != nil {
		return err
	}
	platform := s.plan.platform
	for i, share := range shares {
		members := s.plan.members
		if i > 0 {
			members, _, _ = s.plan.settings.membershipTable()
		}
		maxOpen := max(1, int(float64(platform.OpenCap)*share))
		made, err := broker.New(platform.Control, platform.Seed+uint64(i), maxOpen, s.quotas, members)
		if err != nil {
			return err
		}
		made.Monitor(&s.monitor)
		s.pools = append(s.pools, &pool{broker: made, share: share})
	}
	return nil
}

// poolShares makes the table of routes, where the settings have any, and returns the share of each pool.
func (s *server) poolShares() ([]float64, error) {
	if s.plan.settings.Services == nil {
		return []float64{1}, nil
	}
	control := s.plan.platform.Control
	routes, err := s.plan.settings.Services.table(s.clock.Monotonic(), control.ZoneNames, control.KindNames)
	if err != nil {
		return nil, err
	}
	s.routes = routes
	var shares []float64
	for _, pool := range routes.Pools() {
		shares = append(shares, pool.Share)
	}
	return shares, nil
}

// connect makes the pool's connections, once the loop runs.
func (p *pool) connect(s *server) {
	platform := s.plan.platform
	control := platform.Control
	p.connections = &upstream.Pool{
		Loop:                s.loop,
		Emit:                p.publish,
		Now:                 s.clock.Monotonic,
		MaySend:             p.broker.MaySend,
		Log:                 s.log.Event,
		Resolve:             s.resolver.Resolve,
		AddressBlocked:      p.broker.AddressBlocked,
		Classes:             control.Classes,
		DialTimeout:         platform.DialTimeout,
		IdleTimeout:         platform.ConnIdle,
		Streams:             platform.Streams,
		HealthChecksAllowed: control.HealthChecks,
		CancelAllowed:       control.MayCancel,
		FlowKBps:            control.FlowKBps,
		MaxConnections:      s.descriptors.MaxConnections(p.share, descriptors.Plain),
	}
	if secure := s.plan.settings.UpstreamTLS; secure != nil {
		p.connections.SecureDialer = secure.dialer(control.ZoneNames)
		p.connections.MaxConnections = s.descriptors.MaxConnections(p.share, descriptors.TLS)
	}
}

// round hands the gathered events to the pool's broker together, and carries out what it decides.
func (p *pool) round(s *server) {
	events := p.events
	p.events = nil
	for _, effect := range p.broker.Round(s.clock.Monotonic(), events) {
		s.applyEffect(p, effect)
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
