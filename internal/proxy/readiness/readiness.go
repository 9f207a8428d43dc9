// Package readiness decides when a proxy that starts may say that it is ready for clients: once its endpoints are
// known, since it would reject requests for want of endpoints before. It does no I/O and reads no clock.
//
// Invariants:
//   - once complete, a startup stays complete: sources that go silent later do not make a proxy unready;
//   - before its limit a startup completes only when each service of the catalogue was seen and, where peers exchange
//     lists, their lists are confirmed or a snapshot was restored.
//
// Bounds: a startup completes at the first look later than sourceTimeout and the fleet's polling window after the
// start of the process, whatever the sources do.
package readiness

import (
	"time"

	"sloequay/internal/bootstrap"
)

// sourceTimeout is how long a proxy waits for sources that do not answer: a catalogue that is away must not keep a
// proxy unready for ever.
const sourceTimeout = 3 * time.Second

// Sources is what is known of the sources of endpoints.
type Sources struct {
	AllSeen    bool // each service of the catalogue has answered or was in the snapshot
	HasPeers   bool // lists are exchanged with peers, so that one which a single peer reports is not in force at once
	PeersAgree bool // the lists exchanged with peers are in force
	Restored   bool // a snapshot was read
}

// isKnown reports whether the endpoints of the sources are known.
func (s Sources) isKnown() bool {
	return s.AllSeen && (!s.HasPeers || s.PeersAgree || s.Restored)
}

// Startup is the startup of one proxy.
type Startup struct {
	limit    time.Duration // of the process's uptime
	complete bool
}

// NewStartup returns the startup of a proxy that polls the catalogue as one of a fleet. Its proxies poll one after
// another, which takes longer the more there are.
func NewStartup(proxies int) Startup {
	return Startup{limit: sourceTimeout + time.Duration(proxies)*bootstrap.PollWindowPerProxy}
}

// NewCompletedStartup returns the startup of a proxy that waits for no source.
func NewCompletedStartup() Startup { return Startup{complete: true} }

// Complete reports whether the startup is complete.
func (s *Startup) Complete() bool { return s.complete }

// Observe takes what is known of the sources at an uptime of the process, and reports whether the startup is complete.
func (s *Startup) Observe(uptime time.Duration, sources Sources) bool {
	s.complete = s.complete || sources.isKnown() || uptime > s.limit
	return s.complete
}
