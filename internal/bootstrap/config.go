package bootstrap

import (
	"cmp"
	"time"

	"sloequay/internal/membership"
)

// Config is the settings of a Machine.
type Config struct {
	Name              string
	Incarnation       uint64 // of this process: differs with each start
	Zone              string
	PeersEnabled      bool // the settings have a block for peers
	ListCount         int  // lists of the list service
	FleetSize         int  // configured number of proxies
	Pollers           int  // proxies of a zone that poll
	MaxEndpoints      int  // of a list; a longer one is rejected
	MaxAdvertisements int  // remembered of each list
	MaxHistory        int  // earlier versions of a list that are cached for deltas
	Seed              uint64
}

// WithDefaults returns the settings with the defaults in place of zero values.
func (c Config) WithDefaults() Config {
	c.FleetSize = max(1, c.FleetSize)
	c.Pollers = cmp.Or(c.Pollers, 3)
	c.MaxEndpoints = cmp.Or(c.MaxEndpoints, membership.DefaultMaxEndpoints)
	c.MaxAdvertisements = cmp.Or(c.MaxAdvertisements, 16)
	c.MaxHistory = cmp.Or(c.MaxHistory, 4)
	return c
}

// Polling of the list service.
const (
	// PollWindowPerProxy is what each proxy of a fleet adds to the window over which isolated proxies spread their
	// first poll: some 65 calls a second for each list, whatever the fleet's size.
	PollWindowPerProxy = 15 * time.Millisecond
	// MinPollWindow is the shortest such window.
	MinPollWindow = 250 * time.Millisecond
	// SettleTime after the start is left for meeting peers before the first proxy polls.
	SettleTime = 200 * time.Millisecond
	// PollGracePeriod is how long a poller that is no longer needed goes on.
	PollGracePeriod = 2 * time.Second
	// PollerIncreaseInterval is the silence of the service after which Config.Pollers more proxies of a zone poll.
	PollerIncreaseInterval = 5 * time.Second
	// MaxPollerMultiplier is how many times Config.Pollers poll at most while the service is silent.
	MaxPollerMultiplier = 4
)

// Heartbeats of pollers.
const (
	// HeartbeatInterval is the shortest time between two heartbeats of a poller.
	HeartbeatInterval = time.Second
	// MaxHeartbeatsPerSecond is how many messages a poller sends for its heartbeats: in a larger zone they come
	// less often.
	MaxHeartbeatsPerSecond = 64
	// MaxMissedHeartbeats is how many intervals without a sign of the service make it count as silent.
	MaxMissedHeartbeats = 3
	// InquiryFanout is how many members a proxy without lists sends its digest to at once, so that they answer with
	// theirs.
	InquiryFanout = 3
)

// Trust in peers.
const (
	// Quorum is how many peers have to advertise the same version and checksum.
	Quorum = 2
	// HintDelay is how long a list that one peer alone advertises has to be used before the proxy counts as ready.
	HintDelay = 500 * time.Millisecond
	// ConfirmDelay is how long a list may lack a quorum before this proxy polls the service to confirm it.
	ConfirmDelay = 500 * time.Millisecond
	// MinConfirmInterval is the shortest time between the starts of two such confirmations.
	MinConfirmInterval = 10 * time.Second
	// ConfirmTimeout is how long one confirmation may take.
	ConfirmTimeout = 2 * time.Second
	// DistrustPeriod is how long the messages of a refuted peer are dropped.
	DistrustPeriod = time.Minute
)

// Fetching and serving of lists.
const (
	// FetchTimeout is how long a fetch waits for the next message of a peer before it is sent to another one.
	FetchTimeout = 300 * time.Millisecond
	// MaxFetchAttempts is how many requests are sent for one fetch.
	MaxFetchAttempts = 5
	// EndpointsPerPart is the size of a part; the last one may have fewer.
	EndpointsPerPart = 100
	// ServeWindow is the time that MaxServedPerWindow and MaxRepliesPerWindow are counted over.
	ServeWindow = 100 * time.Millisecond
	// MaxServedPerWindow bounds the complete lists that are served.
	MaxServedPerWindow = 8
	// MaxRepliesPerWindow bounds the digests that answer proxies without a list.
	MaxRepliesPerWindow = 32
)

// How often Step is due.
const (
	busyTick = 50 * time.Millisecond // while a list is missing, fetched or not yet confirmed
	idleTick = 4 * busyTick
)
