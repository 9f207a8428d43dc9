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
	Host, Dial, Site, Class string
	Block                   int
	State                   State
	Weight                  float64
	Born                    int64 // Unix millisecond of a late start, or 0
	Incarnation             uint64
}

const latestClock = 1 << 42 // milliseconds: some hundred years from now

// Box checks an entry. One that is gone need not tell more than its id. Errors name the box and what is wrong with it.
func (n Names) Box(e Entry) (Box, error) {
	b := Box{ID: e.Host, Address: e.Dial, Zone: slices.Index(n.Zones, e.Site), Kind: slices.Index(n.Kinds, e.Class),
		Cell: e.Block, State: e.State, Weight: e.Weight, Born: time.Duration(e.Born) * time.Millisecond,
		Incarnation: e.Incarnation}
	switch {
	case !isHost(e.Host):
		return b, fmt.Errorf("host %q", e.Host)
	case e.Born < 0 || e.Born > latestClock:
		return b, fmt.Errorf("%s: born_ms %d", e.Host, e.Born)
	case e.State == Gone:
	case b.Zone < 0:
		return b, fmt.Errorf("%s: site %q is not in the settings", e.Host, e.Site)
	case b.Kind < 0:
		return b, fmt.Errorf("%s: class %q is not in the settings", e.Host, e.Class)
	case !isAddress(e.Dial):
		return b, fmt.Errorf("%s: address %q is not host:port", e.Host, e.Dial)
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
