package route

import (
	"errors"
	"fmt"
	"math"
	"strings"
)

const (
	maxZoneOctets  = 255 // of a name (RFC 1035, 2.3.4)
	maxLabelOctets = 63
)

// ErrNoService is returned for a rule without a service.
var ErrNoService = errors.New("no service")

// Rule is one line of the rules. What is empty matches any request.
type Rule struct {
	Team    string
	Class   string
	Zone    string // names at or below it, as "pictures.example.", without regard to case
	Service string
}

// Rules finds the service of a request: that of the first rule that matches. It does not change after NewRules.
//
// The rules stand in four tables, by whether they name a team and whether they name a class. A table is a hash of
// those, and under each a trie of the zone's labels from the right, so that a look-up costs four hashes and the labels
// of one name, whatever the number of rules.
type Rules struct {
	rules  []Rule
	tables [4]ruleTable
	zoned  bool // some rule names a zone
}

// Match is the rule that a request has matched.
type Match struct {
	Number  int // of the rule, from 0
	Service string
}

// ruleTable is the rules that name a team, a class, both or neither.
type ruleTable struct {
	namesTeam  bool
	namesClass bool
	zones      map[ruleKey]*zoneNode // the root of each trie
}

// ruleKey is what the rules of a table name; empty where they don't.
type ruleKey struct{ team, class string }

// noRule is the number of a rule where there is none: above all others, so that the least number wins.
const noRule = math.MaxInt32

// zoneNode is a node of a trie.
type zoneNode struct {
	rule  int32 // the number of the first rule whose zone ends here
	below map[string]*zoneNode
}

// NewRules returns the tables of rules. An error names the rule by its number, from 1.
func NewRules(rules []Rule) (*Rules, error) {
	r := &Rules{rules: rules, tables: [...]ruleTable{
		{}, {namesTeam: true}, {namesClass: true}, {namesTeam: true, namesClass: true},
	}}
	for number, rule := range rules {
		if rule.Service == "" {
			return nil, fmt.Errorf("rule %d: %w", number+1, ErrNoService)
		}
		if err := checkZone(rule.Zone); err != nil {
			return nil, fmt.Errorf("rule %d: %w", number+1, err)
		}
		r.zoned = r.zoned || rule.Zone != ""
		for i := range r.tables {
			r.tables[i].add(int32(number), rule)
		}
	}
	return r, nil
}

// Find returns the first rule that a request matches. zone is the name that a DNS query asked for, empty for other
// frontends.
func (r *Rules) Find(team, class, zone string) (Match, bool) {
	if r == nil {
		return Match{}, false
	}
	name := ""
	if r.zoned {
		name = strings.TrimSuffix(zone, ".")
		if hasUpper(name) { // most names are in lower case already
			name = strings.ToLower(name)
		}
	}
	first := int32(noRule)
	for i := range r.tables {
		if root := r.tables[i].root(team, class); root != nil {
			first = min(first, root.firstRule(name))
		}
	}
	if first == noRule {
		return Match{}, false
	}
	return Match{int(first), r.rules[first].Service}, true
}

// add puts a rule in the table if it names what the rules of the table do.
func (t *ruleTable) add(number int32, rule Rule) {
	if t.namesTeam != (rule.Team != "") || t.namesClass != (rule.Class != "") {
		return
	}
	if t.zones == nil {
		t.zones = map[ruleKey]*zoneNode{}
	}
	key := ruleKey{rule.Team, rule.Class}
	node := t.zones[key]
	if node == nil {
		node = &zoneNode{rule: noRule}
		t.zones[key] = node
	}
	for name := strings.ToLower(strings.TrimSuffix(rule.Zone, ".")); name != ""; {
		var label string
		name, label = cutLastLabel(name)
		node = node.child(label)
	}
	node.rule = min(node.rule, number)
}

// root returns the trie of the rules for a team and a class; nil: there are none.
func (t *ruleTable) root(team, class string) *zoneNode {
	if t.zones == nil || t.namesTeam && team == "" || t.namesClass && class == "" {
		return nil
	}
	var key ruleKey
	if t.namesTeam {
		key.team = team
	}
	if t.namesClass {
		key.class = class
	}
	return t.zones[key]
}

// firstRule returns the least number of a rule whose zone a name is at or below.
func (n *zoneNode) firstRule(name string) int32 {
	first := n.rule
	for name != "" && n.below != nil {
		var label string
		name, label = cutLastLabel(name)
		n = n.below[label]
		if n == nil {
			break
		}
		first = min(first, n.rule)
	}
	return first
}

// child returns the node of a label, made when it is missing.
func (n *zoneNode) child(label string) *zoneNode {
	if n.below == nil {
		n.below = map[string]*zoneNode{}
	}
	if n.below[label] == nil {
		n.below[label] = &zoneNode{rule: noRule}
	}
	return n.below[label]
}

func checkZone(zone string) error {
	if len(zone) > maxZoneOctets {
		return fmt.Errorf("zone of %d octets, at most %d expected", len(zone), maxZoneOctets)
	}
	if zone == "" || zone == "." {
		return nil
	}
	for label := range strings.SplitSeq(strings.TrimSuffix(zone, "."), ".") {
		if label == "" || len(label) > maxLabelOctets {
			return fmt.Errorf("zone %.80q: a label of %d octets, expected 1 to %d", zone, len(label), maxLabelOctets)
		}
	}
	return nil
}

func hasUpper(name string) bool {
	for i := range len(name) {
		if name[i] >= 'A' && name[i] <= 'Z' {
			return true
		}
	}
	return false
}

// cutLastLabel splits the last label off a name.
func cutLastLabel(name string) (rest, label string) {
	if i := strings.LastIndexByte(name, '.'); i >= 0 {
		return name[:i], name[i+1:]
	}
	return "", name
}
