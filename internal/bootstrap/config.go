package bootstrap

import (
	"cmp"
	"time"

	"sloequay/internal/membership"
)

// Config holds the settings of a Machine.
type Config struct {
	Name              string
	Incarnation       uint64 // of this process: a different one after each start
	Zone              string
	PeersEnabled      bool // this proxy exchanges messages with peers
	ListCount         int  // number of lists of the list service
	FleetSize         int  // configured number of proxies
	Pollers           int  // number of proxies of a zone that poll
	MaxEndpoints      int  // limit for a fetched list; a longer one is rejected
	MaxAdvertisements int  // number of advertisements kept for each list
	MaxHistory        int  // number of earlier versions of a list kept for deltas
	Seed              uint64
}

// WithDefaults returns a copy of the settings with defaults in place of zero values.
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
	// PollWindowPerProxy is how much each proxy of the fleet adds to the window over which isolated proxies spread
	// their first polls. It gives some 65 calls per second for each list, whatever the size of the fleet.
	PollWindowPerProxy = 15 * time.Millisecond
	// MinPollWindow is the minimum length of that window.
	MinPollWindow = 250 * time.Millisecond
	// SettleTime is how long after its start a proxy waits for peers to appear, before it may be elected to poll or
	// sends inquiries.
	SettleTime = 200 * time.Millisecond
	// PollGracePeriod is how long a poller that is no longer needed continues to poll.
	PollGracePeriod = 2 * time.Second
	// PollerIncreaseInterval is the time for which the service must be silent before Config.Pollers more proxies of a
	// zone poll; each further interval of silence adds as many, up to MaxPollerMultiplier.
	PollerIncreaseInterval = 5 * time.Second
	// MaxPollerMultiplier limits the pollers of a zone to this multiple of Config.Pollers while the service is silent.
	MaxPollerMultiplier = 4
)

// Heartbeats of pollers.
const (
	// HeartbeatInterval is the shortest time between two heartbeats of a poller.
	HeartbeatInterval = time.Second
	// MaxHeartbeatsPerSecond limits the heartbeat messages that a poller sends per second: in a zone with more peers
	// the interval is longer.
	MaxHeartbeatsPerSecond = 64
	// MaxMissedHeartbeats is how many heartbeat intervals may pass without a heartbeat before a poller counts as lost,
	// or without contact to the service before it counts as silent.
	MaxMissedHeartbeats = 3
	// InquiryFanout is how many members receive one inquiry: the digest of a proxy that lacks a list, which they
	// answer with their own.
	InquiryFanout = 3
)

// Trust in peers.
const (
	// Quorum is how many peers must advertise the same version and checksum.
	Quorum = 2
	// HintDelay is how long a proxy without a list listens to its peers before it uses one that has no quorum. One
	// inquiry falls into this time, so that peers in view that hold another list can contradict.
	HintDelay = 500 * time.Millisecond
	// MaxHintDelay is how long it waits for the content of the other lists that were advertised meanwhile.
	MaxHintDelay = 3 * HintDelay
	// ConfirmDelay is how long a fetched list may lack a quorum before this proxy polls the service to confirm it.
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
	// FetchTimeout is how long a fetch waits for the next message from a peer before it is retried.
	FetchTimeout = 300 * time.Millisecond
	// MaxFetchDuration is how long a fetch may take, even if parts keep arriving.
	MaxFetchDuration = 5 * time.Second
	// MaxFetchAttempts is how many requests are sent for one fetch.
	MaxFetchAttempts = 5
	// EndpointsPerPart is the number of endpoints in a part; the last part may have fewer.
	EndpointsPerPart = 100
	// ServeWindow is the window to which MaxServedPerWindow and MaxRepliesPerWindow apply.
	ServeWindow = 100 * time.Millisecond
	// MaxServedPerWindow limits the complete lists that are served.
	MaxServedPerWindow = 8
	// MaxRepliesPerWindow limits the digests that answer proxies without a list.
	MaxRepliesPerWindow = 32
)

// How often Step is due.
const (
	busyTick = 50 * time.Millisecond // while a list is missing, being fetched or not yet confirmed
	idleTick = 4 * busyTick
)
