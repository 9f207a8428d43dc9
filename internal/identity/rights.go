package identity

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Access describes the request that a caller wants to make.
type Access struct {
	Class    string
	Frontend string // rpc, tls or dns
	Site     string // where the caller calls from; empty if unknown
	Group    int    // -1 if unknown
	Object   uint64
}

// span is an inclusive range of numbers.
type span struct{ from, to uint64 }

func (s span) has(number uint64) bool { return number >= s.from && number <= s.to }

// anyClass in a rule matches all classes.
const anyClass = "*"

// Rule allows or denies requests of classes. The other fields restrict it; an empty field matches all values.
type Rule struct {
	Deny      bool
	Classes   []string // anyClass matches all
	Frontends []string
	Sites     []string
	Groups    []span
	Objects   []span
}

// Frontends lists the frontends that a rule may name.
var Frontends = []string{"rpc", "tls", "dns"}

// Maximum size in bits of the numbers in rules.
const (
	groupBits  = 30
	objectBits = 64
)

// ParseRule parses a rule's words: classes, and front=, site=, group= and object= with comma-separated values. Groups
// are decimal numbers or ranges such as 0-31; objects are hexadecimal numbers of up to 16 digits, or ranges of them.
func ParseRule(deny bool, words []string) (Rule, error) {
	rule := Rule{Deny: deny}
	for _, word := range words {
		name, values, isRestriction := strings.Cut(word, "=")
		if !isRestriction {
			rule.Classes = append(rule.Classes, word)
			continue
		}
		for _, value := range strings.Split(values, ",") {
			if err := rule.addRestriction(name, value); err != nil {
				return rule, err
			}
		}
	}
	if len(rule.Classes) == 0 {
		return rule, errors.New("expected at least one class, or * for all classes")
	}
	return rule, nil
}

// addRestriction adds a value to one of the rule's restrictions.
func (r *Rule) addRestriction(name, value string) (err error) {
	switch name {
	case "front":
		if !slices.Contains(Frontends, value) {
			return fmt.Errorf("front %q: expected one of %s", value, strings.Join(Frontends, ", "))
		}
		r.Frontends = append(r.Frontends, value)
	case "site":
		if value == "" {
			return errors.New("site: expected a name")
		}
		r.Sites = append(r.Sites, value)
	case "group":
		r.Groups, err = appendSpan(r.Groups, value, 10, groupBits)
	case "object":
		r.Objects, err = appendSpan(r.Objects, value, 16, objectBits)
	default:
		return fmt.Errorf("%q: expected front, site, group or object", name)
	}
	return err
}

// appendSpan parses a number or a range in a base and appends it.
func appendSpan(spans []span, text string, base, bits int) ([]span, error) {
	fromText, toText, isRange := strings.Cut(text, "-")
	if !isRange {
		toText = fromText
	}
	from, fromErr := strconv.ParseUint(fromText, base, bits)
	to, toErr := strconv.ParseUint(toText, base, bits)
	if fromErr != nil || toErr != nil || from > to {
		return nil, fmt.Errorf("%q: expected a number or a range", text)
	}
	return append(spans, span{from, to}), nil
}

// covers reports whether a rule applies to an access. A deny rule also applies if the site or group is unknown, so that
// a request cannot evade it by omitting its group.
func (r *Rule) covers(access Access) bool {
	return (slices.Contains(r.Classes, access.Class) || slices.Contains(r.Classes, anyClass)) &&
		(len(r.Frontends) == 0 || slices.Contains(r.Frontends, access.Frontend)) &&
		r.coversSite(access.Site) &&
		r.coversGroup(access.Group) &&
		(len(r.Objects) == 0 || contains(r.Objects, access.Object))
}

func (r *Rule) coversSite(site string) bool {
	if len(r.Sites) == 0 || site == "" && r.Deny {
		return true
	}
	return slices.Contains(r.Sites, site)
}

func (r *Rule) coversGroup(group int) bool {
	if len(r.Groups) == 0 || group < 0 && r.Deny {
		return true
	}
	return group >= 0 && contains(r.Groups, uint64(group))
}

func contains(spans []span, number uint64) bool {
	return slices.ContainsFunc(spans, func(s span) bool { return s.has(number) })
}

// Tenant holds the rules of a team.
type Tenant struct {
	Name  string
	Rules []Rule

	byClass       map[string][]int // indexes in Rules of the rules that name a class
	anyClassRules []int            // indexes in Rules of the rules for all classes
}

// index fills byClass and anyClassRules.
func (t *Tenant) index() {
	t.byClass = map[string][]int{}
	for i := range t.Rules {
		classes := t.Rules[i].Classes
		if slices.Contains(classes, anyClass) {
			t.anyClassRules = append(t.anyClassRules, i)
			continue
		}
		for _, class := range classes {
			t.byClass[class] = append(t.byClass[class], i)
		}
	}
}

// Rights holds the rules of all tenants. It is immutable: a change of the settings creates new Rights.
type Rights struct {
	tenants  map[string]*Tenant
	unsigned string // tenant of callers without a token; empty if they are denied
}

// NewRights returns the rights of tenants. unsigned names the tenant of callers without a token; it may be empty.
func NewRights(tenants []Tenant, unsigned string) (*Rights, error) {
	rights := &Rights{tenants: map[string]*Tenant{}, unsigned: unsigned}
	for _, tenant := range tenants {
		if rights.tenants[tenant.Name] != nil {
			return nil, fmt.Errorf("tenant %s is defined twice", tenant.Name)
		}
		tenant.index()
		rights.tenants[tenant.Name] = &tenant
	}
	if unsigned != "" && rights.tenants[unsigned] == nil {
		return nil, fmt.Errorf("unsigned callers belong to tenant %s, which is not defined", unsigned)
	}
	return rights, nil
}

// Unsigned returns the tenant of callers without a token, and whether there is one.
func (r *Rights) Unsigned() (tenant string, ok bool) { return r.unsigned, r.unsigned != "" }

// noRule is the rule index of a decision that no rule made.
const noRule = -1

// Decision is an authorization decision with the rule that made it.
type Decision struct {
	Reason Reason
	Rule   int // index of the tenant's rule that decided; -1 if none did
}

// Authorize decides whether a tenant has the right to an access. It evaluates only the rules that apply to the class.
func (r *Rights) Authorize(tenantName string, access Access) Decision {
	tenant := r.tenants[tenantName]
	if tenant == nil {
		return Decision{UnknownTenant, noRule}
	}
	allowedBy := noRule
	for _, indexes := range [2][]int{tenant.byClass[access.Class], tenant.anyClassRules} {
		for _, index := range indexes {
			rule := &tenant.Rules[index]
			if !rule.covers(access) {
				continue
			}
			if rule.Deny {
				return Decision{NoRight, index}
			}
			if allowedBy == noRule {
				allowedBy = index
			}
		}
	}
	if allowedBy == noRule {
		return Decision{NoRight, noRule}
	}
	return Decision{Allowed, allowedBy}
}
