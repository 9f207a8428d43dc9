// Package identity says who a caller is and what it may do. It does no I/O, asks no clock and starts nothing: keys, tokens
// and revocations are handed to it, and signatures are checked where its user chooses to (see Gate).
//
// A caller is a subject of a tenant. What a tenant may do stands in its rules: deny beats allow, and what no rule allows is
// refused. Whatever is refused carries a Reason.
package identity

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Reason is why a caller was refused. The words are those of the log, of the audit and of the answer to the caller.
type Reason uint8

// The reasons.
const (
	Allowed             Reason = iota
	NoRight                    // no rule of its tenant allows it, or one denies it
	NoTenant                   // nothing is said of its tenant
	Unsigned                   // it has no token, and unsigned callers have no tenant
	Malformed                  // what it has is no token of the form that is taken
	UnknownKey                 // no key has that id
	WrongAlgorithm             // the token's algorithm is not the key's
	Signature                  // the signature is not that of the key
	NotYet                     // the token or its key is not valid yet
	Expired                    // the token is not valid any more
	Retired                    // its key is not
	Revoked                    // the token, its subject or its key was revoked
	Audience                   // the token is for others
	Binding                    // the token is bound to another client certificate, or to one where there is none
	KeyInUse                   // the request's idempotency key belongs to another subject
	IdempotencyKeysFull        // what keyed requests are remembered in is full
	Busy                       // too many signatures to check; later it may be allowed
	reasons
)

// String gives the word.
func (r Reason) String() string {
	return [reasons]string{"allowed", "right", "tenant", "unsigned", "malformed", "unknown-key", "algorithm", "signature", "not-yet",
		"expired", "retired", "revoked", "audience", "binding", "key-in-use", "full", "busy"}[r]
}

// Access is what a caller wants to do.
type Access struct {
	Class  string
	Front  string // rpc, tls or dns
	Site   string // that the caller speaks from, where that is known
	Group  int    // -1: not told
	Object uint64
}

// span is a range of numbers, ends included.
type span struct{ from, to uint64 }

func (s span) has(n uint64) bool { return n >= s.from && n <= s.to }

// Rule allows or denies classes, within what the other fields name; an empty field names all.
type Rule struct {
	Deny    bool
	Classes []string // "*": all
	Fronts  []string
	Sites   []string
	Groups  []span
	Objects []span
}

// Fronts are the names that a rule may give.
var Fronts = []string{"rpc", "tls", "dns"}

// ParseRule reads a rule's words: classes, and front=, site=, group= and object= with values joined by commas; groups are
// numbers or ranges as 0-31, objects 16 hex digits or ranges of them.
func ParseRule(deny bool, words []string) (Rule, error) {
	r := Rule{Deny: deny}
	for _, word := range words {
		name, values, limit := strings.Cut(word, "=")
		if !limit {
			r.Classes = append(r.Classes, word)
			continue
		}
		for _, v := range strings.Split(values, ",") {
			var err error
			switch name {
			case "front":
				if !slices.Contains(Fronts, v) {
					err = fmt.Errorf("front %q: expected one of %s", v, strings.Join(Fronts, ", "))
				}
				r.Fronts = append(r.Fronts, v)
			case "site":
				if v == "" {
					err = fmt.Errorf("site: expected a name")
				}
				r.Sites = append(r.Sites, v)
			case "group":
				r.Groups, err = addSpan(r.Groups, v, 10, 30)
			case "object":
				r.Objects, err = addSpan(r.Objects, v, 16, 64)
			default:
				err = fmt.Errorf("%q: expected front, site, group or object", name)
			}
			if err != nil {
				return r, err
			}
		}
	}
	if len(r.Classes) == 0 {
		return r, fmt.Errorf("expected at least one class, or * for all")
	}
	return r, nil
}

func addSpan(spans []span, text string, base, bits int) ([]span, error) {
	from, to, ranged := strings.Cut(text, "-")
	if !ranged {
		to = from
	}
	a, err := strconv.ParseUint(from, base, bits)
	b, err2 := strconv.ParseUint(to, base, bits)
	if err != nil || err2 != nil || a > b {
		return nil, fmt.Errorf("%q: expected a number or a range", text)
	}
	return append(spans, span{a, b}), nil
}

// covers says whether a rule speaks of an ask. A deny also covers what is not told: a request that hides its group must not
// pass by a rule that forbids one.
func (r *Rule) covers(a Access) bool {
	unknown := func(empty, known bool) bool { return empty || !known && r.Deny }
	in := func(spans []span, n uint64) bool {
		return slices.ContainsFunc(spans, func(s span) bool { return s.has(n) })
	}
	return (slices.Contains(r.Classes, a.Class) || slices.Contains(r.Classes, "*")) &&
		(len(r.Fronts) == 0 || slices.Contains(r.Fronts, a.Front)) &&
		(unknown(len(r.Sites) == 0, a.Site != "") || slices.Contains(r.Sites, a.Site)) &&
		(unknown(len(r.Groups) == 0, a.Group >= 0) || a.Group >= 0 && in(r.Groups, uint64(a.Group))) &&
		(len(r.Objects) == 0 || in(r.Objects, a.Object))
}

// Tenant is a team's rules.
type Tenant struct {
	Name  string
	Rules []Rule
	// byClass has the places of the rules that name a class; any those that name all.
	byClass map[string][]int
	any     []int
}

// Rights is all tenants. It does not change once it is in use: another takes its place whole.
type Rights struct {
	tenants  map[string]*Tenant
	unsigned string // the tenant of callers without a token; empty: they are refused
}

// NewRights makes the rights of tenants; unsigned names the one of callers without a token.
func NewRights(tenants []Tenant, unsigned string) (*Rights, error) {
	r := &Rights{tenants: map[string]*Tenant{}, unsigned: unsigned}
	for _, t := range tenants {
		if r.tenants[t.Name] != nil {
			return nil, fmt.Errorf("the tenant %s is named twice", t.Name)
		}
		t.byClass = map[string][]int{}
		for i, rule := range t.Rules {
			if slices.Contains(rule.Classes, "*") {
				t.any = append(t.any, i)
				continue
			}
			for _, c := range rule.Classes {
				t.byClass[c] = append(t.byClass[c], i)
			}
		}
		r.tenants[t.Name] = &t
	}
	if unsigned != "" && r.tenants[unsigned] == nil {
		return nil, fmt.Errorf("unsigned callers are of the tenant %s, which is not there", unsigned)
	}
	return r, nil
}

// Unsigned is the tenant of callers without a token, and whether there is one.
func (r *Rights) Unsigned() (string, bool) { return r.unsigned, r.unsigned != "" }

// Decision is an explained answer.
type Decision struct {
	Reason Reason
	Rule   int // of the tenant, from 0, that decided; -1: none did
}

// Authorize says whether a tenant may do what is asked. It looks only at the rules that name the class.
func (r *Rights) Authorize(tenant string, a Access) Decision {
	t := r.tenants[tenant]
	if t == nil {
		return Decision{NoTenant, -1}
	}
	allowed := -1
	for _, list := range [2][]int{t.byClass[a.Class], t.any} {
		for _, i := range list {
			if rule := &t.Rules[i]; rule.covers(a) {
				if rule.Deny {
					return Decision{NoRight, i}
				}
				if allowed < 0 {
					allowed = i
				}
			}
		}
	}
	if allowed < 0 {
		return Decision{NoRight, -1}
	}
	return Decision{Allowed, allowed}
}
