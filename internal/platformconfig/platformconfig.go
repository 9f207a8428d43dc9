// Package platformconfig reads the configuration file that a proxy gets from the platform at its start. The simulator
// sends the site settings, which are a part of it, to its instances too. The package maps the platform's names to those
// of package policy.
package platformconfig

import (
	"fmt"
	"net"
	"os"
	"time"

	"github.com/tidwall/gjson"

	"sloequay/internal/policy"
)

// Settings holds the configuration of one proxy from the platform.
type Settings struct {
	Name        string
	Listen      string // host:port for clients
	ListAddress string // host:port of the endpoint list watch; empty: none
	Seed        uint64
	Memory      int64 // limit in bytes
	Descriptors int   // limit of file descriptors
	Policy      policy.Config

	DialTimeout     time.Duration
	IdleTimeout     time.Duration // after which endpoints close an idle connection; 0: never
	Streams         int           // limit of concurrent attempts on one connection
	MaxOpenRequests int           // limit of open requests
	InitialList     gjson.Result  // earlier events of the endpoint list watch: {"no":LAST,"items":[...]}
}

// LongestDeadline returns the longest deadline of all classes, or a default if no class has a deadline.
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
	// The limits on scored days, which also apply if the configuration has larger ones or none.
	maxMemoryMB    = 192
	maxDescriptors = 1024

	minDescriptors = 32

	defaultDialTimeout     = 400 * time.Millisecond
	defaultDeadline        = 3 * time.Second
	defaultStreams         = 32
	defaultMaxOpenRequests = 20000
)

// Load reads and validates the configuration file of a proxy.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return Parse(text)
}

// Parse parses and validates a configuration. The error is the first fault found, and names the key.
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
	policyConfig, err := ParsePolicy([]byte(site.Raw))
	if err != nil {
		return nil, err
	}
	settings.Policy = policyConfig
	// policy.New validates the rest: at least one class, no negative times of classes, and a zone in range.
	if _, err := policy.New(settings.Policy, settings.Seed); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return settings, nil
}

// readSettings reads everything except the configuration of the policy.
func readSettings(configuration *reader) *Settings {
	settings := &Settings{}
	settings.Name = configuration.text("name")
	settings.Listen = configuration.text("listen")
	settings.ListAddress = configuration.text("bulletin")
	memoryMB := min(configuration.integerOr("limits.memory_mb", maxMemoryMB), maxMemoryMB)
	settings.Memory = int64(memoryMB) << 20
	settings.Descriptors = min(configuration.integerOr("limits.sockets", maxDescriptors), maxDescriptors)
	settings.DialTimeout = configuration.milliseconds("settings.limits.dial-timeout-ms")
	settings.IdleTimeout = configuration.milliseconds("settings.limits.conn-idle-ms")
	settings.Streams = configuration.integerOr("settings.limits.streams-per-conn", defaultStreams)
	settings.MaxOpenRequests = configuration.integerOr("settings.limits.open-cap", defaultMaxOpenRequests)
	settings.InitialList = configuration.object("known")
	if seed := configuration.text("seed"); seed != "" {
		if _, err := fmt.Sscanf(seed, "%x", &settings.Seed); err != nil {
			configuration.fail("seed", "expected hex digits")
		}
	}
	return settings
}

// validate records the first value that is out of range, and sets the default dial timeout if none is given.
func (s *Settings) validate(configuration *reader) {
	configuration.checkAddress("listen", s.Listen)
	if s.ListAddress != "" {
		configuration.checkAddress("bulletin", s.ListAddress)
	}
	if s.Descriptors < minDescriptors {
		configuration.fail("limits.sockets", fmt.Sprintf("got %d, expected at least %d", s.Descriptors, minDescriptors))
	}
	if s.Memory <= 0 {
		configuration.fail("limits.memory_mb", "expected more than 0")
	}
	if s.DialTimeout < 0 || s.IdleTimeout < 0 {
		configuration.fail("settings.limits", "dial-timeout-ms and conn-idle-ms must not be negative")
	}
	if s.DialTimeout == 0 {
		s.DialTimeout = defaultDialTimeout
	}
	if s.Streams < 1 || s.MaxOpenRequests < 1 {
		configuration.fail("settings.limits", "streams-per-conn and open-cap must be at least 1")
	}
}

// checkAddress checks that an address has the form host:port. The host must be an IP address, because there is no name
// service to resolve a host name.
func (r *reader) checkAddress(key, address string) {
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil || port == "" {
		r.fail(key, fmt.Sprintf("%q is not an IP address with a port", address))
	}
}
