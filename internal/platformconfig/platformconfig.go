package platformconfig

import (
	"fmt"
	"net"
	"os"
	"time"

	"github.com/tidwall/gjson"

	"sloequay/internal/policy"
)

// Settings is what one doorman is told at its start.
type Settings struct {
	Name        string
	Listen      string // host:port for clients
	ListAddress string // host:port of the bulletin; empty: there is none
	Seed        uint64
	Memory      int64 // bytes
	Sockets     int   // file descriptors
	Control     policy.Config

	DialTimeout time.Duration
	ConnIdle    time.Duration // after which depots close an idle connection; 0: never
	Streams     int           // attempts that one connection carries together
	OpenCap     int           // requests held open together
	InitialList gjson.Result  // the events of the bulletin so far: {"no":LAST,"items":[...]}
}

// LongestDeadline is the longest deadline of a class; a usual one where none is told.
func (s *Settings) LongestDeadline() (longest time.Duration) {
	for _, c := range s.Control.Classes {
		longest = max(longest, c.Deadline)
	}
	if longest == 0 {
		return defaultDeadline
	}
	return longest
}

// The limits of scored days, which hold where the configuration gives larger ones or none.
const (
	mostMemoryMB, mostSockets = 192, 1024
	leastSockets              = 32
	defaultDial               = 400 * time.Millisecond
	defaultDeadline           = 3 * time.Second
	defaultStreams            = 32
	defaultOpen               = 20000
)

// Load reads and checks the configuration file of a doorman.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return Parse(text)
}

// Parse checks the text of a configuration. Every fault is told with the key that it is at.
func Parse(text []byte) (*Settings, error) {
	r := parse(text, "")
	if r.err != nil {
		return nil, fmt.Errorf("configuration%w", r.err)
	}
	s := &Settings{
		Name: r.text("name"), Listen: r.text("listen"), ListAddress: r.text("bulletin"),
		Memory:      int64(within(r.wholeOr("limits.memory_mb", mostMemoryMB), mostMemoryMB)) << 20,
		Sockets:     within(r.wholeOr("limits.sockets", mostSockets), mostSockets),
		DialTimeout: r.ms("settings.limits.dial-timeout-ms"), ConnIdle: r.ms("settings.limits.conn-idle-ms"),
		Streams:     r.wholeOr("settings.limits.streams-per-conn", defaultStreams),
		OpenCap:     r.wholeOr("settings.limits.open-cap", defaultOpen),
		InitialList: r.get("known", "an object", gjson.Result.IsObject),
	}
	if seed := r.text("seed"); seed != "" {
		if _, err := fmt.Sscanf(seed, "%x", &s.Seed); err != nil {
			r.fail("seed", "expected hex digits")
		}
	}
	r.address("listen", s.Listen, true)
	r.address("bulletin", s.ListAddress, false)
	if s.Sockets < leastSockets {
		r.fail("limits.sockets", fmt.Sprintf("%d are too few, %d needed", s.Sockets, leastSockets))
	}
	if s.Memory <= 0 {
		r.fail("limits.memory_mb", "expected more than 0")
	}
	if s.DialTimeout < 0 || s.ConnIdle < 0 {
		r.fail("settings.limits", "negative time")
	}
	if s.DialTimeout == 0 {
		s.DialTimeout = defaultDial
	}
	if s.Streams < 1 || s.OpenCap < 1 {
		r.fail("settings.limits", "streams-per-conn and open-cap must be 1 or more")
	}
	site := r.get("settings", "an object", gjson.Result.IsObject)
	if !site.Exists() {
		r.fail("settings", "missing")
	}
	if r.err != nil {
		return nil, r.err
	}
	var err error
	if s.Control, err = ParseControl([]byte(site.Raw)); err != nil {
		return nil, err
	}
	// The module checks the rest of what it rests on: no class at all, negative times, a zone out of range.
	if _, err := policy.New(s.Control, s.Seed); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return s, nil
}

// address checks a host:port with a numeric host: there is no name service to resolve another.
func (r *reader) address(key, text string, needed bool) {
	if text == "" && !needed {
		return
	}
	host, port, err := net.SplitHostPort(text)
	if err != nil || net.ParseIP(host) == nil || port == "" {
		r.fail(key, fmt.Sprintf("%q is not an IP address with a port", text))
	}
}

func within(v, most int) int {
	if v > most {
		return most
	}
	return v
}
