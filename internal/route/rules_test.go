package route

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// findLinear is the reference for Rules.Find: a linear search for the first rule that matches.
func findLinear(rules []Rule, team, class, zone string) (Match, bool) {
	name := "." + strings.ToLower(strings.TrimSuffix(zone, "."))
	for number, rule := range rules {
		ruleZone := strings.ToLower(strings.TrimSuffix(rule.Zone, "."))
		inZone := ruleZone == "" || zone != "" && strings.HasSuffix(name, "."+ruleZone)
		if (rule.Team == "" || rule.Team == team) && (rule.Class == "" || rule.Class == class) && inZone {
			return Match{number, rule.Service}, true
		}
	}
	return Match{}, false
}

// TestRules compares Find with a linear search for random rules, and checks that invalid rules are rejected.
func TestRules(t *testing.T) {
	words := []string{"", "a", "b", "ab"}
	zones := []string{"", ".", "example.", "a.example.", "B.example", "b.a.example.", "ab.example.", "x.b.a.EXAMPLE."}
	rapid.Check(t, func(t *rapid.T) {
		var rules []Rule
		for i := range rapid.IntRange(0, 20).Draw(t, "rules") {
			rules = append(rules, Rule{
				rapid.SampledFrom(words).Draw(t, "team"), rapid.SampledFrom(words).Draw(t, "class"),
				rapid.SampledFrom(zones).Draw(t, "zone"), fmt.Sprint("s", i),
			})
		}
		tables, err := NewRules(rules)
		if err != nil {
			t.Fatal(err)
		}
		for range 30 {
			team, class := rapid.SampledFrom(words).Draw(t, "request team"),
				rapid.SampledFrom(words).Draw(t, "request class")
			zone := rapid.SampledFrom(zones).Draw(t, "name")
			if zone == "." {
				continue
			}
			got, found := tables.Find(team, class, zone)
			if want, wantFound := findLinear(rules, team, class, zone); got != want || found != wantFound {
				t.Fatalf("match of %q %q %q: got %v %v, want %v %v by rules %v",
					team, class, zone, got, found, want, wantFound, rules)
			}
		}
	})
	for _, invalid := range []Rule{
		{}, {Service: "s", Zone: "a..b"}, {Service: "s", Zone: strings.Repeat("a", 64)},
		{Service: "s", Zone: strings.Repeat("a.", 200)},
	} {
		_, err := NewRules([]Rule{{Service: "s"}, invalid})
		if err == nil || !strings.HasPrefix(err.Error(), "rule 2: ") {
			t.Errorf("error of rule %.40v: got %v, want one that names rule 2", invalid, err)
		}
	}
}

func BenchmarkFind(b *testing.B) {
	for _, count := range []int{10, 1000, 100_000} {
		var rules []Rule
		for i := range count {
			rule := Rule{Service: fmt.Sprint("s", i%100)}
			switch i % 3 {
			case 0:
				rule.Team = fmt.Sprint("team", i)
			case 1:
				rule.Team, rule.Class = fmt.Sprint("team", i), "lookup"
			default:
				rule.Zone = fmt.Sprintf("z%d.t%d.example.", i, i%100)
			}
			rules = append(rules, rule)
		}
		rules = append(rules, Rule{Service: "rest"})
		tables, err := NewRules(rules)
		if err != nil {
			b.Fatal(err)
		}
		teams, zones := make([]string, count), make([]string, count)
		for i := range teams {
			teams[i] = fmt.Sprint("team", i)
			zones[i] = fmt.Sprintf("x.z%d.t%d.example.", i, i%100)
			if i%3 == 2 {
				teams[i] = "another"
			}
		}
		run := func(b *testing.B, find func(team, class, zone string) (Match, bool)) {
			b.ReportAllocs()
			for i := range b.N {
				at := i * 7919 % count
				if _, found := find(teams[at], "lookup", zones[at]); !found {
					b.Fatal("got no match, want one")
				}
			}
		}
		b.Run(fmt.Sprintf("%d rules, linear", count), func(b *testing.B) {
			run(b, func(team, class, zone string) (Match, bool) { return findLinear(rules, team, class, zone) })
		})
		b.Run(fmt.Sprintf("%d rules, tables", count), func(b *testing.B) { run(b, tables.Find) })
	}
}
