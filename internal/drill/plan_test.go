package drill

import (
	"slices"
	"strings"
	"testing"
)

// TestBadPlans checks that errors in plans name the file, line and key.
func TestBadPlans(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"hold answers\ndoormen 3", "p:2: doormen: unknown directive"},
		{"rate fast\nhold answers", `p:1: rate: expected`},
		{"at 1s vanish doormans\nhold answers", `p:1: at: unknown step "vanish"`},
		{"at soon kill doormans\nhold answers", `p:1: at: expected a time such as 5s, got "soon"`},
		{"at 1s cut list\nhold answers", "p:1: at: cut takes WHO WHO [one-way]"},
		{"at 1s lose list doormans 3\nhold answers", `p:1: at: lose: expected a share from 0 to 1, got "3"`},
		{"at 1s list dance\nhold answers", "p:1: at: list takes hang"},
		{"hold love", `p:1: hold: unknown check "love"`},
		{"hold served", "p:1: hold: served takes: SHARE"},
		{"hold served most", "p:1: hold: served: expected a number or a time"},
		{"rate 3/s", "no invariants: a plan needs at least one `hold` line"},
		{"lasts 5s\nat 6s kill doormans\nhold answers", "later than the drill's end at 5s"},
	} {
		if _, err := Parse("p", []byte(c.text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("Parse(%q): got error %v, want %q", c.text, err, c.want)
		}
	}
}

// TestStepForms checks that each step can be written in its documented form and prepared for a cluster.
func TestStepForms(t *testing.T) {
	examples := []string{
		"start doormans old-disk", "kill doorman:0", "term doormans", "stop doormans:0.5 for 1s", "hup doormans",
		"clock doormans -1h", "roll doormans 200ms 2", "keep-disk doormans", "cut doormans boxes one-way for 1s",
		"refuse clients doormans", "reset doormans boxes", "delay doormans list 5ms 10ms", "lose doormans doormans 0.3",
		"double doormans doormans 0.4", "reorder doormans doormans 0.4", "slow boxes doormans 2000/s", "list rate 5/s",
		"drain c1-1 for 1s", "up box:c1-1", "die c2-1", "liar 1 dead", "same-address 600", "finish doormans",
		"files doorman:1 broken", "crowd doormans 10 for 1s", "hang c1-1 for 1s",
	}
	c := newTestCluster()
	for _, example := range examples {
		step, err := parseStep(append([]string{"1s"}, strings.Fields(example)...))
		if err != nil {
			t.Fatal(err)
		}
		if op, err := step.action.prepare(c, step); err != nil || op.apply == nil {
			t.Errorf("prepare %s: got operation %+v, error %v, want one to apply", example, op, err)
		} else if step.For > 0 && op.undo == nil {
			t.Errorf("%s: got no undo for a step with a duration, want one", example)
		}
	}
	for word := range stepForms {
		if !slices.ContainsFunc(examples, func(example string) bool { return strings.Fields(example)[0] == word }) {
			t.Errorf("got no example of step %s, want one", word)
		}
	}
	if want := []Span{{1e9, 1e9}}; !slices.Equal(c.Record.ClientDisruptions, want) {
		t.Errorf("client disruptions: got %v, want %v", c.Record.ClientDisruptions, want)
	}
}
