package broker

import (
	"testing"
	"time"

	"sloequay/internal/membership"
	"sloequay/internal/quota"
)

// TestBlockedAttemptsEndRequest checks that a request whose attempts are all blocked by a budget gets its response in
// the round of its arrival, after a bounded number of attempts, with and without a MaxAttempts.
func TestBlockedAttemptsEndRequest(t *testing.T) {
	const maxEvents = 1000 // with more the round counts as one that never ends
	for name, maxAttempts := range map[string]int{"cap of 6": 6, "no cap": 0} {
		t.Run(name, func(t *testing.T) {
			x := newHarness(t)
			config := harnessConfig()
			config.MaxAttempts = maxAttempts
			sources := membership.Config{Sources: make([]membership.Source, 1)}
			broker, err := New(config, 1, 1, nil, membership.New(sources))
			if err != nil {
				t.Fatal(err)
			}
			list := membership.List{Version: 1, Endpoints: x.endpoints}
			broker.Round(x.now, []Event{EndpointList{List: list}})
			team := &quota.Spec{Name: "small"}
			team.Rates[quota.Attempts] = quota.Limit{Set: true}
			broker.quotas = quota.NewLedger(&quota.Spec{Children: []*quota.Spec{team}})

			request := &Request{
				ID: "new", Team: team.Name, Object: 9, Group: -1, SizeKB: 1,
				ReceivedAt: x.now, Timeout: 2 * time.Second,
			}
			broker.pending = append(broker.pending, RequestReceived{request})
			handled := 0
			for ; handled < len(broker.pending) && handled < maxEvents; handled++ {
				broker.handle(broker.pending[handled])
			}
			if request.state != requestEnded {
				t.Errorf("got no response after %d events and %d attempts", handled, len(request.attempts))
			}
		})
	}
}
