package membership

import "time"

// State is the state of an endpoint. A lower value is more restrictive.
type State uint8

// The states of an endpoint.
const (
	Gone State = iota
	Draining
	Up
)

// String returns the name shown to operators.
func (s State) String() string { return [...]string{"gone", "draining", "up"}[s] }

// Endpoint describes an endpoint as reported by a source, or as published by a Table. The codec tags are part of an
// encoded format and must not change.
type Endpoint struct {
	ID          string        `codec:"ID"`
	Address     string        `codec:"Address"` // host:port
	Zone        int           `codec:"Zone"`    // index into Names.Zones
	Kind        int           `codec:"Kind"`    // index into Names.Kinds
	Cell        int           `codec:"Cell"`
	Weight      float64       `codec:"Weight"`
	StartedAt   time.Duration `codec:"Born"`        // Unix time of the latest start; 0: long ago
	Incarnation uint64        `codec:"Incarnation"` // differs for each registration; 0: the source has none
	State       State         `codec:"State"`
}

// NoSource replaces the index of a source if no source decided.
const NoSource = -1

// Source holds the settings of one source. Methods of Table identify a source by its index in Config.Sources.
type Source struct {
	Name string
	// ConfirmLosses enables the suspicion of complete lists that lack many endpoints at once. The source must be able
	// to fetch its list again on request.
	ConfirmLosses bool
	// FirstSeenIsStart is set for a source that does not report start times: an endpoint that appears after the
	// source's first list is taken to have started when it appeared.
	FirstSeenIsStart bool
	Damping          Damping
}

// Config holds the settings of a Table.
type Config struct {
	Sources         []Source      // in order of precedence; see point 4 of the rule
	MaxEndpoints    int           // endpoints above it are dropped and counted; 0: DefaultMaxEndpoints
	MaxLossShare    float64       // a list that lacks a larger share of endpoints is suspected; 0: only if all
	MinLoss         int           // a list that lacks fewer endpoints, but not all, is not suspected
	ConfirmInterval time.Duration // between fetches of a suspected list; 0: DefaultConfirmInterval
	MaxSilence      time.Duration // after which a silent source may be overruled, see point 3 of the rule; 0: no limit
	TombstoneTTL    time.Duration // how long a "gone" from a delta is kept; 0: DefaultTombstoneTTL
}

// Defaults of Config.
const (
	DefaultMaxEndpoints    = 100_000
	DefaultConfirmInterval = 300 * time.Millisecond
	DefaultTombstoneTTL    = time.Minute
)

// List is a list of a source's endpoints. It is complete unless Incomplete or Part is set.
type List struct {
	Version   uint64
	Endpoints []Endpoint
	// Confirms reports whether the list was fetched because SourcesToRefetch returned the source, in the most reliable
	// way that the source has.
	Confirms bool
	// Incomplete reports whether the list may lack endpoints. The source's reports on those it lacks are kept.
	Incomplete bool
	// Part reports whether this is one part of a list, and the complete list follows. A large first list comes in
	// parts so that it does not block whoever processes it. Reports on endpoints that a part lacks are kept.
	Part bool
	// Unconfirmed reports whether the list is only a hint, such as that of a single peer; see point 6 of the rule. It
	// must also be Incomplete, and is ignored once the source itself has reported.
	Unconfirmed bool
}
