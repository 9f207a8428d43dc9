package proxy

import (
	"sloequay/internal/proxy/readiness"
)

// newStartup returns the startup of a proxy. Only a proxy whose endpoints come from a catalogue has to wait for them.
func newStartup(plan *Plan) readiness.Startup {
	if plan.settings.Catalogue == nil {
		return readiness.NewCompletedStartup()
	}
	return readiness.NewStartup(plan.fleetSize())
}

// isReady reports whether this proxy is ready for new clients.
func (s *server) isReady() bool {
	if s.shutdown.Begun() {
		return false
	}
	if s.startup.Complete() {
		return true
	}
	return s.startup.Observe(s.clock.Uptime(), s.sources.readinessSources())
}

// readinessSources returns the state of the sources of endpoints. A catalogue must be configured.
func (s *sources) readinessSources() readiness.Sources {
	status := readiness.Sources{AllSeen: s.server.plan.catalogueSeen(), Restored: s.restored}
	if s.fleet.transport != nil {
		status.HasPeers = true
		status.PeersAgree = s.fleet.machine.Ready()
	}
	return status
}

// catalogueSeen reports whether each service of the catalogue has answered, was in the snapshot, or has endpoints by
// the hints of peers.
func (p *Plan) catalogueSeen() bool {
	sources := p.members.Sources()[p.firstCatalogueSource:]
	for i := range p.settings.Catalogue.Services {
		if sources[i].LastSeen == 0 && sources[i].Endpoints == 0 {
			return false
		}
	}
	return true
}
