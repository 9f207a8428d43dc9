package dns

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/miekg/dns"

	"sloequay/internal/broker"
)

// target is what a name under the zone asks for: a request, or the address of a box.
//
//	name  = [key "."] [group "."] part "." object "." class "." team "." zone
//	key   = "k-" and up to 60 letters, digits and hyphens
//	group = "g" and a number, 0 to 255
//	part  = "n" and a number from 0
//	team  = a label, or "_" for none
//	box   = host ".box." zone
type target struct {
	key, thing, class, team string
	object                  uint64
	part, group             int // group -1: not told
	box                     string
}

var (
	errOtherZone = errors.New("another zone")
	errApex      = errors.New("the zone itself")
)

// parseName reads a name. Names are compared without regard to case, as DNS has it.
func parseName(name, zone string) (target, error) {
	t := target{group: -1}
	name = strings.ToLower(name)
	if !dns.IsSubDomain(zone, name) {
		return t, errOtherZone
	}
	labels := dns.SplitDomainName(name)
	labels = labels[:len(labels)-dns.CountLabel(zone)]
	if len(labels) == 0 {
		return t, errApex
	}
	if n := len(labels) - 1; n > 0 && labels[n] == "box" {
		t.box = strings.Join(labels[:n], ".")
		return t, nil
	}
	if len(labels) > 4 && strings.HasPrefix(labels[0], "k-") {
		t.key = labels[0][2:]
		if t.key == "" || len(t.key) > 60 || strings.Trim(t.key, "abcdefghijklmnopqrstuvwxyz0123456789-") != "" {
			return t, fmt.Errorf("key %q", t.key)
		}
		labels = labels[1:]
	}
	var err error
	if len(labels) > 4 {
		if t.group, err = count(labels[0], "g", 255); err != nil {
			return t, fmt.Errorf("group %q", labels[0])
		}
		labels = labels[1:]
	}
	if len(labels) != 4 {
		return t, fmt.Errorf("%d labels before the zone, expected part, object, class and team", len(labels))
	}
	if t.part, err = count(labels[0], "n", 1<<30); err != nil {
		return t, fmt.Errorf("part %q", labels[0])
	}
	t.thing, t.class, t.team = labels[1], labels[2], labels[3]
	if t.object, err = strconv.ParseUint(t.thing, 16, 64); err != nil || len(t.thing) != 16 {
		return t, fmt.Errorf("object %q", t.thing)
	}
	if t.object == 0 {
		t.object = broker.ObjectZero
	}
	if t.team == "_" {
		t.team = ""
	}
	return t, nil
}

// count reads a prefix with a number of plain digits behind it.
func count(label, prefix string, most uint64) (int, error) {
	digits, ok := strings.CutPrefix(label, prefix)
	n, err := strconv.ParseUint(digits, 10, 31)
	if !ok || err != nil || n > most {
		return 0, fmt.Errorf("%q", label)
	}
	return int(n), nil
}
