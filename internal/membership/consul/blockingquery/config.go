package blockingquery

import (
	"cmp"
	"time"
)

// Mode is how consistent an answer is to be.
type Mode uint8

// The modes of Consul's API.
const (
	Default Mode = iota
	Stale
	Consistent
)

// String names a mode as the API does.
func (m Mode) String() string { return [...]string{"default", "stale", "consistent"}[m] }

// ParseMode returns the mode of a name.
func ParseMode(name string) (mode Mode, ok bool) {
	for mode := Default; mode <= Consistent; mode++ {
		if mode.String() == name {
			return mode, true
		}
	}
	return Default, false
}

// Config is the settings of a Watch. Times must be above 0 unless said otherwise.
type Config struct {
	AgentCount          int // the first agent is the preferred one
	Mode                Mode
	Wait                time.Duration // how long a blocking query may block
	ResponseTimeout     time.Duration // for an answer that need not block, and for a body once it has begun
	MinInterval         time.Duration // between two list queries; bounds the changes of the list a second
	ProbeAfter          time.Duration // silence of a blocking query after which its agent is probed; 0: never
	ProbeTimeout        time.Duration
	PreferredRetryAfter time.Duration // after which the preferred agent is tried again
	MaxStaleness        time.Duration // of an answer in the mode Stale: since its server's last contact with the leader
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

// WithDefaults returns the settings with defaults for what is 0, except for ProbeAfter.
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

// RetryInterval is the time between two queries to an agent that fails, and MaxRetryJitter bounds the random time on
// top of it. Both together stay under one second, the time by which a change during an outage has to be in force
// after it.
const (
	RetryInterval  = 980 * time.Millisecond
	MaxRetryJitter = 12 * time.Millisecond
)
