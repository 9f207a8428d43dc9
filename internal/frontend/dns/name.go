package dns

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/miekg/dns"

	"sloequay/internal/broker"
)

// target is what a name in the zone stands for: a request, or the address of an endpoint.
//
//	name     = [key "."] [group "."] part "." object "." class "." team "." zone
//	key      = "k-" and up to 60 letters, digits and hyphens
//	group    = "g" and a number, 0 to 255
//	part     = "n" and a number from 0
//	team     = a label, or "_" for none
//	endpoint = host ".box." zone
type target struct {
	key        string
	objectName string // object in hex digits, in lower case
	class      string
	team       string
	object     uint64
	part       int
	group      int    // anyGroup: not given
	endpoint   string // its host name; empty: the name stands for a request
}

// The syntax of names.
const (
	endpointLabel = "box"
	keyPrefix     = "k-"
	groupPrefix   = "g"
	partPrefix    = "n"
	noTeam        = "_"

	requestLabels = 4 // part, object, class and team
	objectDigits  = 16
	maxKeyBytes   = 60
	maxGroup      = 255
	maxPart       = 1 << 30
	anyGroup      = -1
)

const keyLetters = "abcdefghijklmnopqrstuvwxyz0123456789-"

var (
	errOtherZone = errors.New("another zone")
	errApex      = errors.New("the zone itself")
)

// parseName parses a name, ignoring case as DNS requires. With an error it also returns what it has parsed so far.
func parseName(name, zone string) (target, error) {
	parsed := target{group: anyGroup}
	name = strings.ToLower(name)
	if !dns.IsSubDomain(zone, name) {
		return parsed, errOtherZone
	}
	labels := dns.SplitDomainName(name)
	labels = labels[:len(labels)-dns.CountLabel(zone)]
	if len(labels) == 0 {
		return parsed, errApex
	}
	if last := len(labels) - 1; last > 0 && labels[last] == endpointLabel {
		parsed.endpoint = strings.Join(labels[:last], ".")
		return parsed, nil
	}
	err := parsed.parseRequest(labels)
	return parsed, err
}

// parseRequest parses the labels of a request.
func (t *target) parseRequest(labels []string) error {
	if len(labels) > requestLabels && strings.HasPrefix(labels[0], keyPrefix) {
		t.key = strings.TrimPrefix(labels[0], keyPrefix)
		if t.key == "" || len(t.key) > maxKeyBytes || strings.Trim(t.key, keyLetters) != "" {
			return fmt.Errorf("key %q", t.key)
		}
		labels = labels[1:]
	}
	var err error
	if len(labels) > requestLabels {
		if t.group, err = parseNumber(labels[0], groupPrefix, maxGroup); err != nil {
			return fmt.Errorf("group %q", labels[0])
		}
		labels = labels[1:]
	}
	if len(labels) != requestLabels {
		return fmt.Errorf("%d labels before the zone, expected part, object, class and team", len(labels))
	}
	if t.part, err = parseNumber(labels[0], partPrefix, maxPart); err != nil {
		return fmt.Errorf("part %q", labels[0])
	}
	t.objectName = labels[1]
	t.class = labels[2]
	t.team = labels[3]
	if t.object, err = strconv.ParseUint(t.objectName, 16, 64); err != nil || len(t.objectName) != objectDigits {
		return fmt.Errorf("object %q", t.objectName)
	}
	if t.object == 0 {
		t.object = broker.ObjectZero
	}
	if t.team == noTeam {
		t.team = ""
	}
	return nil
}

// parseNumber parses a label that consists of a prefix and a decimal number without sign, of at most maximum.
func parseNumber(label, prefix string, maximum uint64) (int, error) {
	digits, ok := strings.CutPrefix(label, prefix)
	number, err := strconv.ParseUint(digits, 10, 31)
	if !ok || err != nil || number > maximum {
		return 0, fmt.Errorf("%q", label)
	}
	return int(number), nil
}
