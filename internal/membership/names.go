package membership

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Names gives the places of the words for location and kind, as the platform's settings list them.
type Names struct{ Zones, Kinds []string }

// Entry is what a source tells of a box in words, whichever source it is.
type Entry struct {
	ID, Address, Zone, Kind string
	Cell                    int
	State                   State
	Weight                  float64
	StartedAtMS             int64 // Unix millisecond of a late start, or 0
	Incarnation             uint64
}

const latestClock = 1 << 42 // milliseconds: some hundred years from now

// Endpoint checks an entry. One that is gone need not tell more than its id. Errors name the box and what is wrong with it.
func (n Names) Endpoint(e Entry) (Endpoint, error) {
	b := Endpoint{ID: e.ID, Address: e.Address, Zone: slices.Index(n.Zones, e.Zone), Kind: slices.Index(n.Kinds, e.Kind),
		Cell: e.Cell, State: e.State, Weight: e.Weight, StartedAt: time.Duration(e.StartedAtMS) * time.Millisecond,
		Incarnation: e.Incarnation}
	switch {
	case !isHost(e.ID):
		return b, fmt.Errorf("host %q", e.ID)
	case e.StartedAtMS < 0 || e.StartedAtMS > latestClock:
		return b, fmt.Errorf("%s: born_ms %d", e.ID, e.StartedAtMS)
	case e.State == Gone:
	case b.Zone < 0:
		return b, fmt.Errorf("%s: site %q is not in the settings", e.ID, e.Zone)
	case b.Kind < 0:
		return b, fmt.Errorf("%s: class %q is not in the settings", e.ID, e.Kind)
	case !isAddress(e.Address):
		return b, fmt.Errorf("%s: address %q is not host:port", e.ID, e.Address)
	}
	return b, nil
}

// isHost says whether an id can stand in a line to a box.
func isHost(s string) bool {
	for i := range len(s) {
		if c := s[i]; c <= ' ' || c >= 0x7f || c == ',' || c == '=' {
			return false
		}
	}
	return s != "" && len(s) <= 255
}

// isAddress says whether a text is host:port, with an IPv6 address in brackets.
func isAddress(s string) bool {
	at := strings.LastIndexByte(s, ':')
	if at <= 0 {
		return false
	}
	host := s[:at]
	if strings.Contains(host, ":") && !(host[0] == '[' && host[len(host)-1] == ']') {
		return false
	}
	_, err := strconv.ParseUint(s[at+1:], 10, 16)
	return err == nil
}
