package registrar

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestActionSequence gives a registrar one result per step and checks which actions it returns.
func TestActionSequence(t *testing.T) {
	const never = -1
	for _, c := range []struct {
		name             string
		results          []Result
		deregisterAtStep int // the step before which Deregister is called
		want             []Action
		finished         bool
	}{
		{"registered and renewed", []Result{Succeeded, Succeeded, Succeeded}, never,
			[]Action{Register, Renew, Renew}, false},
		{"agent unreachable at first", []Result{Failed, Failed, Succeeded, Succeeded}, never,
			[]Action{Register, Register, Register, Renew}, false},
		{"agent lost the registration", []Result{Succeeded, NotFound, Succeeded, Succeeded}, never,
			[]Action{Register, Renew, Register, Renew}, false},
		{"agent unreachable for a while", []Result{Succeeded, Failed, Failed, Succeeded}, never,
			[]Action{Register, Renew, Renew, Renew}, false},
		{"deregistered", []Result{Succeeded, Succeeded}, 1,
			[]Action{Register, Deregister, None}, true},
		{"deregistered before the registration succeeded", []Result{Failed, NotFound}, 1,
			[]Action{Register, Deregister, None}, true},
		{"agent unreachable when deregistering", []Result{Succeeded, Failed, Failed, Failed}, 1,
			[]Action{Register, Deregister, Deregister, Deregister, None}, true},
	} {
		registrar := New(9 * time.Second)
		now := time.Second
		var got []Action
		for step := range c.want {
			if step == c.deregisterAtStep {
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
			t.Errorf("%s: got finished %v, actions (-want +got):\n%s", c.name, registrar.Finished(), diff)
		}
	}
}

// TestRenewalAndRetryIntervals: for any results, the next step is never more than a third of the TTL away, and calls
// are repeated no sooner than minRetryDelay after a failure.
func TestRenewalAndRetryIntervals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ttl = 9 * time.Second
		registrar := New(ttl)
		now, failedAt := time.Second, time.Duration(0)
		for range 100 {
			if registrar.Next() > now+ttl/3 {
				t.Fatalf("got next step in %v, want at most a third of the TTL", registrar.Next()-now)
			}
			now = max(now, registrar.Next())
			if failedAt > 0 && now-failedAt < minRetryDelay {
				t.Fatalf("got next call %v after a failure, want at least minRetryDelay", now-failedAt)
			}
			registrar.Step(now)
			if registrar.Step(now) != None {
				t.Fatal("got a second action while one is in flight, want None")
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
