package membership

import "time"

// State is a state that a source reports. A lower one is more restrictive.
type State uint8

// The states.
const (
	Gone State = iota
	Draining
	Up
)

// String gives the word that operators read.
func (s State) String() string { return [...]string{"gone", "draining", "up"}[s] }

// Endpoint is what a source reports of an endpoint, and what a Table publishes. The tags are part of a stored form.
type Endpoint struct {
	ID          string        `codec:"ID"`
	Address     string        `codec:"Address"` // host:port
	Zone        int           `codec:"Zone"`    // an index into the settings' zones
	Kind        int           `codec:"Kind"`    // an index into the settings' kinds
	Cell        int           `codec:"Cell"`
	Weight      float64       `codec:"Weight"`
	StartedAt   time.Duration `codec:"Born"`        // its latest start on the Unix clock; 0: long ago
	Incarnation uint64        `codec:"Incarnation"` // another one with each registration; 0: the source has none
	State       State         `codec:"State"`
}

// NoSource stands in the place of a source's index where no source decided.
const NoSource = -1

// Source is the settings of one source. Calls name a source by its index in Config.Sources.
type Source struct {
	Name string
	// ConfirmLosses has complete lists suspected that lack many endpoints at once. It needs a source that can be
	// fetched again on request.
	ConfirmLosses bool
	// FirstSeenIsStart says that the source reports no starts: an endpoint that appears after its first list started
	// at that time.
	FirstSeenIsStart bool
	Damping          Damping
}

// Config is the settings of a Table.
type Config struct {
	Sources            []Source      // the first one with a counting report says what an endpoint is
	MaxEndpoints       int           // further ones are left out and counted; 0: DefaultMaxEndpoints
	MaxLossShare       float64       // a list that lacks a larger share of its source's endpoints is suspected; 0: none is
	MinLoss            int           // a list that lacks fewer endpoints is not suspected
	ConfirmInterval    time.Duration // how often a suspected source is fetched again; 0: DefaultConfirmInterval
	MaxSilence         time.Duration // see point 3 of the rule; 0: no bound
	TombstoneRetention time.Duration // how long a delta's "gone" is remembered; 0: DefaultForget
}

// Defaults of Config.
const (
	DefaultMaxEndpoints       = 100_000
	DefaultConfirmInterval    = 300 * time.Millisecond
	DefaultTombstoneRetention = time.Minute
)

// List is a list of a source. It is complete but for Incomplete and Part.
type List struct {
	Version   uint64
	Endpoints []Endpoint
	// Confirms says that the list was fetched because SourcesToRefetch named the source, in the most reliable way.
	Confirms bool
	// Incomplete says that the answer may lack endpoints, so that none is lost by it.
	Incomplete bool
	// Part says that this is one part of a list, and that the complete list follows. A large first list comes in parts,
	// so that its reader is not held up. Nothing is lost by a part.
	Part bool
}
