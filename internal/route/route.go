// Package route says whose a request is, and which pool of boxes serves it: ordered rules give its service by team, class and DNS
// zone; a service has pools, between which a team can be moved by and by. It does no I/O and asks no clock.
package route

import (
	"fmt"
	"strings"
)

// Rule is one line of the rules. What is empty fits anything.
type Rule struct {
	Team    string
	Class   string
	Zone    string // names at or below it, as "pictures.example.", without regard to case
	Service string
}

// Rules finds the service of a request: that of the first rule that fits.
//
// The rules stand in four tables, by whether they name a team and whether they name a class. A table is a hash of those, and under each
// a trie of the zone's labels from the right, so that a look-up costs four hashes and the labels of one name, whatever the
// number of rules. It does not change after New.
type Rules struct {
	rules  []Rule
	tables [4]map[key]*label
	zoned  bool // some rule names a zone
}

type key struct{ team, class string }

// label is a node of a trie: the first rule that ends here, and what is left of it.
type label struct {
	first int32 // none: -1
	below map[string]*label
}

const (
	zoneMost  = 255 // octets of a name (RFC 1035, 2.3.4)
	labelMost = 63
)

// NewRules builds the tables. An error names the rule by its number, from 1.
func NewRules(rules []Rule) (*Rules, error) {
	r := &Rules{rules: rules}
	for i, rule := range rules {
		if rule.Service == "" {
			return nil, fmt.Errorf("rule %d: no service", i+1)
		}
		if err := checkZone(rule.Zone); err != nil {
			return nil, fmt.Errorf("rule %d: %w", i+1, err)
		}
		t := table(rule.Team != "", rule.Class != "")
		if r.tables[t] == nil {
			r.tables[t] = map[key]*label{}
		}
		k := key{rule.Team, rule.Class}
		n := r.tables[t][k]
		if n == nil {
			n = &label{first: -1}
			r.tables[t][k] = n
		}
		r.zoned = r.zoned || rule.Zone != ""
		for rest := strings.ToLower(strings.TrimSuffix(rule.Zone, ".")); rest != ""; {
			var l string
			rest, l = last(rest)
			next := n.below[l]
			if next == nil {
				next = &label{first: -1}
				if n.below == nil {
					n.below = map[string]*label{}
				}
				n.below[l] = next
			}
			n = next
		}
		if n.first < 0 { // an earlier rule of the same words goes first
			n.first = int32(i)
		}
	}
	return r, nil
}

func checkZone(zone string) error {
	if len(zone) > zoneMost {
		return fmt.Errorf("zone of %d octets, at most %d expected", len(zone), zoneMost)
	}
	if zone == "" || zone == "." {
		return nil
	}
	for l := range strings.SplitSeq(strings.TrimSuffix(zone, "."), ".") {
		if l == "" || len(l) > labelMost {
			return fmt.Errorf("zone %.80q: a label of %d octets, expected 1 to %d", zone, len(l), labelMost)
		}
	}
	return nil
}

// table numbers the four.
func table(team, class bool) (n int) {
	if team {
		n |= 1
	}
	if class {
		n |= 2
	}
	return n
}

// last splits the last label off a name.
func last(name string) (rest, label string) {
	if i := strings.LastIndexByte(name, '.'); i >= 0 {
		return name[:i], name[i+1:]
	}
	return "", name
}

// Find gives the service of a request and the number of the rule that says so, from 0; -1: no rule fits. zone is the name that a DNS
// query asked for, empty for other fronts.
func (r *Rules) Find(team, class, zone string) (service string, rule int) {
	if r == nil {
		return "", -1
	}
	best := int32(-1)
	if zone != "" && r.zoned {
		zone = strings.TrimSuffix(zone, ".")
		if hasUpper(zone) {
			zone = strings.ToLower(zone)
		}
	} else {
		zone = ""
	}
	for t := range r.tables {
		if r.tables[t] == nil {
			continue
		}
		var k key
		if t&1 != 0 {
			k.team = team
		}
		if t&2 != 0 {
			k.class = class
		}
		if t&1 != 0 && team == "" || t&2 != 0 && class == "" {
			continue
		}
		rest := zone
		for n := r.tables[t][k]; n != nil; {
			if n.first >= 0 && (best < 0 || n.first < best) {
				best = n.first
			}
			if rest == "" || n.below == nil {
				break
			}
			var l string
			rest, l = last(rest)
			n = n.below[l]
		}
	}
	if best < 0 {
		return "", -1
	}
	return r.rules[best].Service, int(best)
}

func hasUpper(s string) bool {
	for i := range len(s) {
		if s[i] >= 'A' && s[i] <= 'Z' {
			return true
		}
	}
	return false
}
