package registrar

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestCourse plays what the agent answers, one answer a step, and notes which actions are wanted.
func TestCourse(t *testing.T) {
	const never = -1
	for _, c := range []struct {
		name             string
		results          []Result
		deregisterBefore int // this step
		want             []Action
		finished         bool
	}{
		{"registered and renewed", []Result{Succeeded, Succeeded, Succeeded}, never,
			[]Action{Register, Renew, Renew}, false},
		{"no agent at first", []Result{Failed, Failed, Succeeded, Succeeded}, never,
			[]Action{Register, Register, Register, Renew}, false},
		{"the agent has lost it", []Result{Succeeded, NotFound, Succeeded, Succeeded}, never,
			[]Action{Register, Renew, Register, Renew}, false},
		{"the agent is away", []Result{Succeeded, Failed, Failed, Succeeded}, never,
			[]Action{Register, Renew, Renew, Renew}, false},
		{"deregistered", []Result{Succeeded, Succeeded}, 1,
			[]Action{Register, Deregister, None}, true},
		{"deregistered before it was registered", []Result{Failed, NotFound}, 1,
			[]Action{Register, Deregister, None}, true},
		{"the agent is away at the end", []Result{Succeeded, Failed, Failed, Failed}, 1,
			[]Action{Register, Deregister, Deregister, Deregister, None}, true},
	} {
		registrar := New(9 * time.Second)
		now := time.Second
		var got []Action
		for step := range c.want {
			if step == c.deregisterBefore {
				registrar.Deregister(now)
			}
			now = max(now, registrar.Next())
			action := registrar.Step(now)
			got = append(got, action)
			if action != None {
				registrar.ActionCompleted(now, c.results[step])
			}
		}
		if diff := cmp.Diff(c.want, got); diff != "" || registrar.Finished() != c.finished {
			t.Errorf("%s: finished %v (-want +got):\n%s", c.name, registrar.Finished(), diff)
		}
	}
}

// TestRenewedInTime: whatever the agent answers, once it answers well it is never longer than a third of the TTL
// unrenewed, and calls to one that fails are spaced.
func TestRenewedInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ttl = 9 * time.Second
		registrar := New(ttl)
		now, failedAt := time.Second, time.Duration(0)
		for range 100 {
			if registrar.Next() > now+ttl/3 {
				t.Fatalf("the next step is %v away", registrar.Next()-now)
			}
			now = max(now, registrar.Next())
			if failedAt > 0 && now-failedAt < minRetryDelay {
				t.Fatalf("called again %v after a failure", now-failedAt)
			}
			registrar.Step(now)
			if registrar.Step(now) != None {
				t.Fatal("two actions are in flight")
			}
			failedAt = 0
			result := rapid.SampledFrom([]Result{Succeeded, Succeeded, NotFound, Failed}).Draw(t, "result")
			if result == Failed {
				failedAt = now
			}
			registrar.ActionCompleted(now, result)
		}
	})
}
