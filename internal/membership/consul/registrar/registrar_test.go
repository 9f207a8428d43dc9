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
		{"registered and renewed", []Result{Succeeded, Succeeded, Succeeded}, -1, []Action{Register, Renew, Renew}, false},
		{"no agent at first", []Result{Failed, Failed, Succeeded, Succeeded}, -1, []Action{Register, Register, Register, Renew}, false},
		{"the agent has forgotten it", []Result{Succeeded, NotFound, Succeeded, Succeeded}, -1, []Action{Register, Renew, Register, Renew}, false},
		{"the agent is away", []Result{Succeeded, Failed, Failed, Succeeded}, -1, []Action{Register, Renew, Renew, Renew}, false},
		{"taken back", []Result{Succeeded, Succeeded}, 1, []Action{Register, Deregister, None}, true},
		{"taken back before it was registered", []Result{Failed, NotFound}, 1, []Action{Register, Deregister, None}, true},
		{"the agent is away at the end", []Result{Succeeded, Failed, Failed, Failed}, 1, []Action{Register, Deregister, Deregister, Deregister, None}, true},
	} {
		r := New(9 * time.Second)
		now := time.Second
		var got []Action
		for i := 0; i < len(c.want); i++ {
			if i == c.leave {
				r.Deregister(now)
			}
			now = max(now, r.Next())
			a := r.Step(now)
			if got = append(got, a); a != None {
				r.ActionCompleted(now, c.results[i])
			}
		}
		if diff := cmp.Diff(c.want, got); diff != "" || r.Finished() != c.over {
			t.Errorf("%s: over %v (-want +got):\n%s", c.name, r.Finished(), diff)
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
			if failed > 0 && now-failed < minRetryDelay {
				t.Fatalf("asked again %v after a failure", now-failed)
			}
			r.Step(now)
			if r.Step(now) != None {
				t.Fatal("two actions are out")
			}
			failed = 0
			res := rapid.SampledFrom([]Result{Succeeded, Succeeded, NotFound, Failed}).Draw(t, "result")
			if res == Failed {
				failed = now
			}
			r.ActionCompleted(now, res)
		}
	})
}
