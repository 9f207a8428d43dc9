package identity

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func TestRules(t *testing.T) {
	r, err := NewRights([]Tenant{{Name: "a", Rules: rules(t,
		"right lookup",
		"right charge front=rpc,tls site=north group=0-31",
		"deny lookup group=7",
		"deny * object=00000000000000f0-00000000000000ff",
		"deny lookup site=south",
	)}}, "")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name   string
		access Access
		want   Reason
		rule   int
	}{
		{"allowed", Access{Class: "lookup", Site: "north", Group: 3}, Allowed, 0},
		{"no rule for the class", Access{Class: "footage", Site: "north"}, NoRight, -1},
		{"denied group", Access{Class: "lookup", Site: "north", Group: 7}, NoRight, 2},
		{"unknown group may be the denied one",
			Access{Class: "lookup", Site: "north", Group: -1}, NoRight, 2},
		{"unknown site may be the denied one", Access{Class: "lookup", Group: 3}, NoRight, 4},
		{"denied object", Access{Class: "lookup", Site: "north", Object: 0xf7}, NoRight, 3},
		{"all restrictions met", Access{Class: "charge", Frontend: "tls", Site: "north", Group: 31}, Allowed, 1},
		{"another frontend", Access{Class: "charge", Frontend: "dns", Site: "north", Group: 3}, NoRight, -1},
		{"another site", Access{Class: "charge", Frontend: "rpc", Site: "east", Group: 3}, NoRight, -1},
		{"unknown site matches no allow rule", Access{Class: "charge", Frontend: "rpc", Group: 3}, NoRight, -1},
		{"group out of range", Access{Class: "charge", Frontend: "rpc", Site: "north", Group: 32}, NoRight, -1},
		{"unknown group matches no allow rule",
			Access{Class: "charge", Frontend: "rpc", Site: "north", Group: -1}, NoRight, -1},
	} {
		if got := r.Authorize("a", c.access); got != (Decision{c.want, c.rule}) {
			t.Errorf("%s: got %v by rule %d, want %v by rule %d", c.name, got.Reason, got.Rule, c.want, c.rule)
		}
	}
	if got := r.Authorize("b", Access{Class: "lookup"}); got.Reason != UnknownTenant {
		t.Errorf("unknown tenant: got %v, want tenant", got.Reason)
	}
	for _, text := range []string{
		"", "front=rpc", "x front=http", "x group=9-3", "x group=-1", "x object=xyz", "x site=", "x colour=red",
	} {
		if _, err := ParseRule(false, strings.Fields(text)); err == nil {
			t.Errorf("rule %q: got no error, want one", text)
		}
	}
}

// TestAuthorizeMatchesLinearSearch compares decisions on random rules and accesses with a linear search of all rules.
func TestAuthorizeMatchesLinearSearch(t *testing.T) {
	classes := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		var all []Rule
		var texts []string
		for range rapid.IntRange(0, 8).Draw(t, "rules") {
			words := []string{rapid.SampledFrom(append(classes, "*")).Draw(t, "class")}
			if rapid.Bool().Draw(t, "front") {
				words = append(words, "front="+rapid.SampledFrom(Frontends).Draw(t, "rule frontend"))
			}
			if rapid.Bool().Draw(t, "group") {
				from, to := rapid.IntRange(0, 2).Draw(t, "from"), rapid.IntRange(2, 4).Draw(t, "to")
				words = append(words, fmt.Sprint("group=", from, "-", to))
			}
			deny := rapid.IntRange(0, 2).Draw(t, "deny") == 0
			r, err := ParseRule(deny, words)
			if err != nil {
				t.Fatal(err)
			}
			all, texts = append(all, r), append(texts, fmt.Sprint(deny, words))
		}
		rights, err := NewRights([]Tenant{{Name: "x", Rules: all}}, "")
		if err != nil {
			t.Fatal(err)
		}
		access := Access{
			Class:    rapid.SampledFrom(classes).Draw(t, "access class"),
			Frontend: rapid.SampledFrom(Frontends).Draw(t, "access frontend"),
			Group:    rapid.IntRange(-1, 5).Draw(t, "access group"),
		}
		allowed, denied := false, false
		for i := range all {
			r := &all[i]
			class := slices.Contains(r.Classes, access.Class) || slices.Contains(r.Classes, "*")
			front := len(r.Frontends) == 0 || slices.Contains(r.Frontends, access.Frontend)
			inGroup := access.Group >= 0 && len(r.Groups) > 0 && r.Groups[0].has(uint64(access.Group))
			group := len(r.Groups) == 0 || inGroup || r.Deny && access.Group < 0
			if class && front && group {
				allowed, denied = allowed || !r.Deny, denied || r.Deny
			}
		}
		if got := rights.Authorize("x", access).Reason == Allowed; got != (allowed && !denied) {
			t.Fatalf("%+v with rules %v: got allowed %v, want %v", access, texts, got, allowed && !denied)
		}
	})
}
