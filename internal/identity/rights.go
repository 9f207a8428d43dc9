package identity

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Access is what a caller wants to do.
type Access struct {
	Class    string
	Frontend string // rpc, tls or dns
	Site     string // that the caller speaks from; empty: not known
	Group    int    // -1: not told
	Object   uint64
}

// span is a range of numbers, ends included.
type span struct{ from, to uint64 }

func (s span) has(number uint64) bool { return number >= s.from && number <= s.to }

// anyClass is what a rule names that is for all classes.
const anyClass = "*"

// Rule allows or denies classes, within what the other fields name; an empty field names all.
type Rule struct {
	Deny      bool
	Classes   []string // anyClass: all
	Frontends []string
	Sites     []string
	Groups    []span
	Objects   []span
}

// Frontends has the names of frontends that a rule may give.
var Frontends = []string{"rpc", "tls", "dns"}

// The bits that the numbers of rules have at most.
const (
	groupBits  = 30
	objectBits = 64
)

// ParseRule reads a rule's words: classes, and front=, site=, group= and object= with values joined by commas. Groups
// are numbers or ranges as 0-31, objects 16 hex digits or ranges of them.
func ParseRule(deny bool, words []string) (Rule, error) {
	rule := Rule{Deny: deny}
	for _, word := range words {
		name, values, isLimit := strings.Cut(word, "=")
		if !isLimit {
			rule.Classes = append(rule.Classes, word)
			continue
		}
		for _, value := range strings.Split(values, ",") {
			if err := rule.limit(name, value); err != nil {
				return rule, err
			}
		}
	}
	if len(rule.Classes) == 0 {
		return rule, errors.New("expected at least one class, or * for all")
	}
	return rule, nil
}

// limit adds a value to what the rule names.
func (r *Rule) limit(name, value string) (err error) {
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

// appendSpan reads a number or a range of a base.
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

// covers reports whether a rule applies to an access. A deny also applies where site or group are not known: a
// request must not evade it by leaving out its group.
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

// Tenant is a team's rules.
type Tenant struct {
	Name  string
	Rules []Rule

	byClass map[string][]int // places in Rules of those that name a class
	forAll  []int            // places of those that name all classes
}

// index finds the rules of each class.
func (t *Tenant) index() {
	t.byClass = map[string][]int{}
	for i := range t.Rules {
		classes := t.Rules[i].Classes
		if slices.Contains(classes, anyClass) {
			t.forAll = append(t.forAll, i)
			continue
		}
		for _, class := range classes {
			t.byClass[class] = append(t.byClass[class], i)
		}
	}
}

// Rights is the rules of all tenants. It is immutable: a change of the settings makes another.
type Rights struct {
	tenants  map[string]*Tenant
	unsigned string // the tenant of callers without a token; empty: they are denied
}

// NewRights returns the rights of tenants; unsigned names the one of callers without a token.
func NewRights(tenants []Tenant, unsigned string) (*Rights, error) {
	rights := &Rights{tenants: map[string]*Tenant{}, unsigned: unsigned}
	for _, tenant := range tenants {
		if rights.tenants[tenant.Name] != nil {
			return nil, fmt.Errorf("the tenant %s is named twice", tenant.Name)
		}
		tenant.index()
		rights.tenants[tenant.Name] = &tenant
	}
	if unsigned != "" && rights.tenants[unsigned] == nil {
		return nil, fmt.Errorf("unsigned callers are of the tenant %s, which is not there", unsigned)
	}
	return rights, nil
}

// Unsigned returns the tenant of callers without a token, and whether there is one.
func (r *Rights) Unsigned() (tenant string, ok bool) { return r.unsigned, r.unsigned != "" }

// noRule is the place of the rule where none decided.
const noRule = -1

// Decision is an explained answer.
type Decision struct {
	Reason Reason
	Rule   int // of the tenant, from 0, that decided; -1: none did
}

// Authorize decides whether a tenant may do what it wants. It looks only at the rules that name the class.
func (r *Rights) Authorize(tenantName string, access Access) Decision {
	tenant := r.tenants[tenantName]
	if tenant == nil {
		return Decision{UnknownTenant, noRule}
	}
	allowedBy := noRule
	for _, places := range [2][]int{tenant.byClass[access.Class], tenant.forAll} {
		for _, place := range places {
			rule := &tenant.Rules[place]
			if !rule.covers(access) {
				continue
			}
			if rule.Deny {
				return Decision{NoRight, place}
			}
			if allowedBy == noRule {
				allowedBy = place
			}
		}
	}
	if allowedBy == noRule {
		return Decision{NoRight, noRule}
	}
	return Decision{Allowed, allowedBy}
}
