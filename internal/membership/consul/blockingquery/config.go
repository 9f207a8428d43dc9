package blockingquery

import (
	"cmp"
	"time"
)

// Mode is the consistency mode of a query.
type Mode uint8

// The modes of Consul's API.
const (
	Default Mode = iota
	Stale
	Consistent
)

// String returns the mode's name in the API.
func (m Mode) String() string { return [...]string{"default", "stale", "consistent"}[m] }

// ParseMode returns the mode with the given name.
func ParseMode(name string) (mode Mode, ok bool) {
	for mode := Default; mode <= Consistent; mode++ {
		if mode.String() == name {
			return mode, true
		}
	}
	return Default, false
}

// Config holds the settings of a Watch. Durations must be above 0 unless noted otherwise.
type Config struct {
	AgentCount          int // the first agent is the preferred one
	Mode                Mode
	Wait                time.Duration // maximum time that a query blocks, without the agent's jitter
	ResponseTimeout     time.Duration // for a response that does not block, and for the rest of one that has begun
	MinInterval         time.Duration // from a list to the next list query; bounds the list changes per second
	ProbeAfter          time.Duration // silence during a blocking query after which its agent is probed; 0: never
	ProbeTimeout        time.Duration
	PreferredRetryAfter time.Duration // time after its failure when the preferred agent is probed again
	MaxStaleness        time.Duration // in mode Stale: limit of ResponseMeta.LastContact
	Seed                uint64
}

// The defaults of Config.
const (
	defaultWait                = 30 * time.Second
	defaultResponseTimeout     = 3 * time.Second
	defaultMinInterval         = 200 * time.Millisecond
	defaultProbeTimeout        = 700 * time.Millisecond
	defaultPreferredRetryAfter = 15 * time.Second
	defaultMaxStaleness        = 5 * time.Second
)

// WithDefaults returns the settings with defaults in place of zero values, except for ProbeAfter.
func (c Config) WithDefaults() Config {
	c.AgentCount = max(1, c.AgentCount)
	c.Wait = cmp.Or(c.Wait, defaultWait)
	c.ResponseTimeout = cmp.Or(c.ResponseTimeout, defaultResponseTimeout)
	c.MinInterval = cmp.Or(c.MinInterval, defaultMinInterval)
	c.ProbeTimeout = cmp.Or(c.ProbeTimeout, defaultProbeTimeout)
	c.PreferredRetryAfter = cmp.Or(c.PreferredRetryAfter, defaultPreferredRetryAfter)
	c.MaxStaleness = cmp.Or(c.MaxStaleness, defaultMaxStaleness)
	return c
}

// RetryInterval is the time between two queries to a failing agent, and MaxRetryJitter bounds the random delay added to
// it. Their sum stays below one second, because a change made during an outage must take effect within one second of
// its end.
const (
	RetryInterval  = 980 * time.Millisecond
	MaxRetryJitter = 12 * time.Millisecond
)
