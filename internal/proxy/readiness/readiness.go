// Package readiness decides when a starting proxy may report that it is ready for clients: once its endpoints are
// known. Before that it would reject requests because it has no endpoints. The package does no I/O and reads no clock.
//
// Invariants:
//   - once complete, a startup stays complete: sources that go silent later do not make a proxy unready;
//   - before its time limit, a startup completes only when each service of the catalogue has been seen and, if lists
//     are exchanged with peers, the peers' lists are in force or a snapshot was restored.
//
// Bounds: the time limit is sourceTimeout plus the fleet's polling window after the start of the process. The first
// call of Observe after it completes the startup, whatever the state of the sources.
package readiness

import (
	"time"

	"sloequay/internal/bootstrap"
)

// sourceTimeout is how long a proxy waits for sources that do not answer, in addition to the polling window. An
// unreachable catalogue must not keep a proxy unready forever.
const sourceTimeout = 3 * time.Second

// Sources is the state of the sources of endpoints.
type Sources struct {
	AllSeen    bool // each service of the catalogue has answered or was in the snapshot
	HasPeers   bool // lists are exchanged with peers, so a list from a single peer is not put in force immediately
	PeersAgree bool // the lists exchanged with peers are in force
	Restored   bool // a snapshot was read
}

// endpointsKnown reports whether the endpoints of the sources are known.
func (s Sources) endpointsKnown() bool {
	return s.AllSeen && (!s.HasPeers || s.PeersAgree || s.Restored)
}

// Startup tracks whether the startup of one proxy is complete.
type Startup struct {
	limit    time.Duration // uptime of the process after which the startup is complete in any case
	complete bool
}

// NewStartup returns the startup of a proxy in a fleet of the given size that polls the catalogue. The time limit grows
// with the fleet, because its proxies spread their first polls over a polling window.
func NewStartup(proxies int) Startup {
	return Startup{limit: sourceTimeout + time.Duration(proxies)*bootstrap.PollWindowPerProxy}
}

// NewCompletedStartup returns the startup of a proxy that waits for no source.
func NewCompletedStartup() Startup { return Startup{complete: true} }

// Complete reports whether the startup is complete.
func (s *Startup) Complete() bool { return s.complete }

// Observe records the state of the sources at an uptime of the process, and reports whether the startup is complete.
func (s *Startup) Observe(uptime time.Duration, sources Sources) bool {
	s.complete = s.complete || sources.endpointsKnown() || uptime > s.limit
	return s.complete
}
