package registrar

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestCourse plays what the agent answers, one answer a step, and notes what is asked for.
func TestCourse(t *testing.T) {
	for _, c := range []struct {
		name    string
		results []Result
		leave   int // before this step; -1: never
		want    []Action
		over    bool
	}{
		{"registered and renewed", []Result{Done, Done, Done}, -1, []Action{Register, Renew, Renew}, false},
		{"no agent at first", []Result{Failed, Failed, Done, Done}, -1, []Action{Register, Register, Register, Renew}, false},
		{"the agent has forgotten it", []Result{Done, Unknown, Done, Done}, -1, []Action{Register, Renew, Register, Renew}, false},
		{"the agent is away", []Result{Done, Failed, Failed, Done}, -1, []Action{Register, Renew, Renew, Renew}, false},
		{"taken back", []Result{Done, Done}, 1, []Action{Register, Deregister, Nothing}, true},
		{"taken back before it was registered", []Result{Failed, Unknown}, 1, []Action{Register, Deregister, Nothing}, true},
		{"the agent is away at the end", []Result{Done, Failed, Failed, Failed}, 1, []Action{Register, Deregister, Deregister, Deregister, Nothing}, true},
	} {
		r := New(9 * time.Second)
		now := time.Second
		var got []Action
		for i := 0; i < len(c.want); i++ {
			if i == c.leave {
				r.Leave(now)
			}
			now = max(now, r.Next())
			a := r.Step(now)
			if got = append(got, a); a != Nothing {
				r.Result(now, c.results[i])
			}
		}
		if diff := cmp.Diff(c.want, got); diff != "" || r.Over() != c.over {
			t.Errorf("%s: over %v (-want +got):\n%s", c.name, r.Over(), diff)
		}
	}
}

// TestRenewedInTime: whatever the agent answers, once it answers well it is never longer than a third of the TTL unrenewed,
// and questions to one that fails are spaced.
func TestRenewedInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ttl = 9 * time.Second
		r := New(ttl)
		now, failed := time.Second, time.Duration(0)
		for range 100 {
			if r.Next() > now+ttl/3 {
				t.Fatalf("the next step is %v away", r.Next()-now)
			}
			now = max(now, r.Next())
			if failed > 0 && now-failed < retryFirst {
				t.Fatalf("asked again %v after a failure", now-failed)
			}
			r.Step(now)
			if r.Step(now) != Nothing {
				t.Fatal("two actions are out")
			}
			failed = 0
			res := rapid.SampledFrom([]Result{Done, Done, Unknown, Failed}).Draw(t, "result")
			if res == Failed {
				failed = now
			}
			r.Result(now, res)
		}
	})
}
