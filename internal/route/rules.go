package route

import (
	"errors"
	"fmt"
	"math"
	"strings"
)

const (
	maxZoneOctets  = 255 // limit on names in RFC 1035, section 2.3.4
	maxLabelOctets = 63
)

// ErrNoService is returned for a rule that names no service.
var ErrNoService = errors.New("no service")

// Rule assigns a service to the requests that match it. An empty field matches any request.
type Rule struct {
	Team    string
	Class   string
	Zone    string // matches names at or below it, such as "pictures.example.", ignoring case
	Service string
}

// Rules finds the service of a request: that of the first rule that matches. It does not change after NewRules.
//
// The rules are in four tables, by whether they name a team and whether they name a class. A table maps the names of
// team and class to a trie of zones, by their labels from the right. So a look-up costs four hash look-ups, and one for
// each label of the name, whatever the number of rules.
type Rules struct {
	rules   []Rule
	tables  [4]ruleTable
	anyZone bool // whether any rule names a zone
}

// Match is the rule that a request matches.
type Match struct {
	Number  int // index of the rule
	Service string
}

// ruleTable holds the rules that name a team, a class, both or neither.
type ruleTable struct {
	namesTeam  bool
	namesClass bool
	tries      map[ruleKey]*zoneNode // roots of the tries
}

// ruleKey holds the names of team and class in a rule; empty where the rules of the table name none.
type ruleKey struct{ team, class string }

// noRule stands for the index of a missing rule. It is above all indexes, so that the smallest one wins.
const noRule = math.MaxInt32

// zoneNode is a node of a trie of zones.
type zoneNode struct {
	rule     int32 // index of the first rule whose zone ends at this node
	children map[string]*zoneNode
}

// NewRules indexes the rules. An error names the rule by its number, counted from 1.
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
		r.anyZone = r.anyZone || rule.Zone != ""
		for i := range r.tables {
			r.tables[i].add(int32(number), rule)
		}
	}
	return r, nil
}

// Find returns the first rule that a request matches, and whether there is one. zone is the name in a DNS query; empty
// for other frontends.
func (r *Rules) Find(team, class, zone string) (Match, bool) {
	if r == nil {
		return Match{}, false
	}
	name := ""
	if r.anyZone {
		name = strings.TrimSuffix(zone, ".")
		if hasUpper(name) { // avoids ToLower, as most names are in lower case already
			name = strings.ToLower(name)
		}
	}
	first := int32(noRule)
	for i := range r.tables {
		if root := r.tables[i].trie(team, class); root != nil {
			first = min(first, root.firstRule(name))
		}
	}
	if first == noRule {
		return Match{}, false
	}
	return Match{int(first), r.rules[first].Service}, true
}

// add adds a rule to the table if it names team and class as the rules of the table do.
func (t *ruleTable) add(number int32, rule Rule) {
	if t.namesTeam != (rule.Team != "") || t.namesClass != (rule.Class != "") {
		return
	}
	if t.tries == nil {
		t.tries = map[ruleKey]*zoneNode{}
	}
	key := ruleKey{rule.Team, rule.Class}
	node := t.tries[key]
	if node == nil {
		node = &zoneNode{rule: noRule}
		t.tries[key] = node
	}
	for name := strings.ToLower(strings.TrimSuffix(rule.Zone, ".")); name != ""; {
		var label string
		name, label = cutLastLabel(name)
		node = node.child(label)
	}
	node.rule = min(node.rule, number)
}

// trie returns the trie of the rules for a team and a class; nil: there are no such rules.
func (t *ruleTable) trie(team, class string) *zoneNode {
	if t.tries == nil || t.namesTeam && team == "" || t.namesClass && class == "" {
		return nil
	}
	var key ruleKey
	if t.namesTeam {
		key.team = team
	}
	if t.namesClass {
		key.class = class
	}
	return t.tries[key]
}

// firstRule returns the smallest index of a rule whose zone contains a name; noRule: there is none.
func (n *zoneNode) firstRule(name string) int32 {
	first := n.rule
	for name != "" && n.children != nil {
		var label string
		name, label = cutLastLabel(name)
		n = n.children[label]
		if n == nil {
			break
		}
		first = min(first, n.rule)
	}
	return first
}

// child returns the child node of a label, creating it if it is missing.
func (n *zoneNode) child(label string) *zoneNode {
	if n.children == nil {
		n.children = map[string]*zoneNode{}
	}
	if n.children[label] == nil {
		n.children[label] = &zoneNode{rule: noRule}
	}
	return n.children[label]
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

// cutLastLabel splits a name into its last label and the rest.
func cutLastLabel(name string) (rest, label string) {
	if i := strings.LastIndexByte(name, '.'); i >= 0 {
		return name[:i], name[i+1:]
	}
	return "", name
}
