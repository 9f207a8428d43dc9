// Package platformconfig reads what a proxy gets from the platform at its start: the configuration file, and in it the
// settings of the site, which the simulator gives its instances too. It maps the platform's names to ours.
package platformconfig

import (
	"fmt"
	"net"
	"os"
	"time"

	"github.com/tidwall/gjson"

	"sloequay/internal/policy"
)

// Settings is what one proxy gets from the platform at its start.
type Settings struct {
	Name        string
	Listen      string // host:port for clients
	ListAddress string // host:port of the endpoint list watch; empty: there is none
	Seed        uint64
	Memory      int64 // bytes
	Descriptors int   // file descriptors
	Policy      policy.Config

	DialTimeout     time.Duration
	IdleTimeout     time.Duration // after which endpoints close an idle connection; 0: never
	Streams         int           // attempts that one connection carries together
	MaxOpenRequests int           // requests that may be open together
	InitialList     gjson.Result  // the events of the endpoint list watch so far: {"no":LAST,"items":[...]}
}

// LongestDeadline returns the longest deadline of a class, or a usual one where no class has any.
func (s *Settings) LongestDeadline() time.Duration {
	longest := time.Duration(0)
	for _, class := range s.Policy.Classes {
		longest = max(longest, class.Deadline)
	}
	if longest == 0 {
		return defaultDeadline
	}
	return longest
}

const (
	// The limits of scored days hold where the configuration gives larger ones or none.
	maxMemoryMB = 192
	maxSockets  = 1024

	minSockets = 32

	defaultDialTimeout = 400 * time.Millisecond
	defaultDeadline    = 3 * time.Second
	defaultStreams     = 32
	defaultOpenCap     = 20000
)

// Load reads and checks the configuration file of a proxy.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return Parse(text)
}

// Parse reads and checks the text of a configuration. Its error is the first fault, with the key.
func Parse(text []byte) (*Settings, error) {
	configuration := parseObject(text, "")
	if configuration.err != nil {
		return nil, fmt.Errorf("configuration%w", configuration.err)
	}
	settings := readSettings(configuration)
	settings.validate(configuration)
	site := configuration.object("settings")
	if !site.Exists() {
		configuration.fail("settings", "missing")
	}
	if configuration.err != nil {
		return nil, configuration.err
	}
	control, err := ParsePolicy([]byte(site.Raw))
	if err != nil {
		return nil, err
	}
	settings.Policy = control
	// The policy checks the rest of what it needs: at least one class, no negative time, a zone in range.
	if _, err := policy.New(settings.Policy, settings.Seed); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return settings, nil
}

// readSettings reads all but the settings of the site.
func readSettings(configuration *reader) *Settings {
	settings := &Settings{}
	settings.Name = configuration.text("name")
	settings.Listen = configuration.text("listen")
	settings.ListAddress = configuration.text("bulletin")
	memoryMB := min(configuration.integerOr("limits.memory_mb", maxMemoryMB), maxMemoryMB)
	settings.Memory = int64(memoryMB) << 20
	settings.Descriptors = min(configuration.integerOr("limits.sockets", maxSockets), maxSockets)
	settings.DialTimeout = configuration.milliseconds("settings.limits.dial-timeout-ms")
	settings.IdleTimeout = configuration.milliseconds("settings.limits.conn-idle-ms")
	settings.Streams = configuration.integerOr("settings.limits.streams-per-conn", defaultStreams)
	settings.MaxOpenRequests = configuration.integerOr("settings.limits.open-cap", defaultOpenCap)
	settings.InitialList = configuration.object("known")
	if seed := configuration.text("seed"); seed != "" {
		if _, err := fmt.Sscanf(seed, "%x", &settings.Seed); err != nil {
			configuration.fail("seed", "expected hex digits")
		}
	}
	return settings
}

// validate records the first value that is out of range, and sets the dial time-out where none is given.
func (s *Settings) validate(configuration *reader) {
	configuration.checkAddress("listen", s.Listen)
	if s.ListAddress != "" {
		configuration.checkAddress("bulletin", s.ListAddress)
	}
	if s.Descriptors < minSockets {
		configuration.fail("limits.sockets", fmt.Sprintf("%d are too few, %d needed", s.Descriptors, minSockets))
	}
	if s.Memory <= 0 {
		configuration.fail("limits.memory_mb", "expected more than 0")
	}
	if s.DialTimeout < 0 || s.IdleTimeout < 0 {
		configuration.fail("settings.limits", "negative time")
	}
	if s.DialTimeout == 0 {
		s.DialTimeout = defaultDialTimeout
	}
	if s.Streams < 1 || s.MaxOpenRequests < 1 {
		configuration.fail("settings.limits", "streams-per-conn and open-cap must be 1 or more")
	}
}

// checkAddress checks a host:port. The host is numeric: there is no name service to resolve another.
func (r *reader) checkAddress(key, address string) {
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil || port == "" {
		r.fail(key, fmt.Sprintf("%q is not an IP address with a port", address))
	}
}
