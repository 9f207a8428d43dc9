package broker

import (
	"testing"
	"time"

	"sloequay/internal/invariant"
	"sloequay/internal/policy"
)

// TestCheckWriteFindsViolations violates each rule in turn, bypassing the guards, and checks that exactly that rule is
// reported.
func TestCheckWriteFindsViolations(t *testing.T) {
	const now = 100 * time.Second
	for _, c := range []struct {
		name    string
		violate func(b *Broker, attempt *Attempt)
		want    []invariant.Rule
	}{
		{"no violation", func(*Broker, *Attempt) {}, nil},
		{"the client has canceled", func(_ *Broker, a *Attempt) { a.Request.Canceled = true },
			[]invariant.Rule{invariant.RequestOpenAtWrite}},
		{"the request has ended", func(b *Broker, a *Attempt) { delete(b.open, a.Request.id) },
			[]invariant.Rule{invariant.RequestOpenAtWrite}},
		{"the endpoint drains", func(_ *Broker, a *Attempt) { a.Endpoint.State = policy.Draining },
			[]invariant.Rule{invariant.EndpointReadyAtWrite}},
		{"the deadline is after the client's", func(_ *Broker, a *Attempt) { a.Deadline = now + time.Minute },
			[]invariant.Rule{invariant.DeadlineInTime}},
		{"the deadline has passed", func(_ *Broker, a *Attempt) { a.Deadline = now },
			[]invariant.Rule{invariant.DeadlineInTime}},
		{"another attempt is in flight", func(_ *Broker, a *Attempt) {
			a.Request.attempts = append(a.Request.attempts, &Attempt{Request: a.Request, Written: true})
		}, []invariant.Rule{invariant.OneAttemptInFlight}},
	} {
		b := newBroker(t)
		var found []invariant.Rule
		b.SetMonitor(&invariant.Monitor{Report: func(rule invariant.Rule, _ string) { found = append(found, rule) }})
		request := &Request{ID: "aa", ReceivedAt: now, Timeout: time.Second, state: requestAdmitted, id: 1}
		b.open[1] = request
		endpoint := &Endpoint{Endpoint: policy.Endpoint{State: policy.Ready}}
		attempt := &Attempt{Request: request, Endpoint: endpoint, Source: endpoint, Deadline: now + time.Second/2}
		request.attempts = []*Attempt{attempt}
		c.violate(b, attempt)
		b.checkWrite(attempt, now)
		if len(found) != len(c.want) || len(found) > 0 && found[0] != c.want[0] {
			t.Errorf("%s: got violations %v, want %v", c.name, found, c.want)
		}
	}
}
