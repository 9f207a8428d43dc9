package broker

import (
	"slices"
	"testing"
	"time"

	"sloequay/internal/membership"
	"sloequay/internal/policy"
)

// TestRejectionRetryAfter checks that the broker's own rejections advise clients to wait for half of the latency
// objective, as the policy's do. It guards against advising MaxRetryAfter instead.
func TestRejectionRetryAfter(t *testing.T) {
	config := policy.Config{
		Classes: []policy.Class{
			{Name: "a", LatencyObjective: 600 * time.Millisecond, Deadline: 5 * time.Second},
		},
		MaxRetryAfter: 2 * time.Second,
		MaxAttempts:   6,
		OriginKind:    2,
		ParentKind:    1,
		DirectFetch:   true,
	}
	list := EndpointList{List: membership.List{Endpoints: []membership.Endpoint{
		{ID: "c1", Address: "10.0.0.1:1", State: membership.Up},
		{ID: "o1", Address: "10.0.0.2:1", Kind: 2, State: membership.Up},
	}}}
	for _, test := range []struct {
		name    string
		maxOpen int
	}{
		{"too many open", 1},
		{"no attempt written by the half time", 10},
	} {
		members := membership.New(membership.Config{Sources: []membership.Source{{Name: "bulletin"}}})
		broker, err := New(config, 1, test.maxOpen, nil, members)
		if err != nil {
			t.Fatal(err)
		}
		now := 1000 * time.Second
		broker.Round(now, []Event{list})
		received := func(id string, object uint64) Event {
			return RequestReceived{
				&Request{ID: id, Object: object, ReceivedAt: now, Timeout: 5 * time.Second, SizeKB: 1},
			}
		}
		effects := slices.Clone(broker.Round(now, []Event{received("a1", 1), received("a2", 2)}))
		for range 400 { // no attempt is ever written
			now += 10 * time.Millisecond
			effects = append(effects, broker.Round(now, nil)...)
		}
		rejected := 0
		for _, effect := range effects {
			respond, ok := effect.(Respond)
			if !ok || respond.Response.Kind != ResponseRejected {
				continue
			}
			rejected++
			if response := respond.Response; response.RetryAfter != 300*time.Millisecond {
				t.Errorf("%s: rejection %q: got Retry-After %v, want half of 600 ms",
					test.name, response.Reason, response.RetryAfter)
			}
		}
		if rejected == 0 {
			t.Errorf("%s: got no rejection, want at least one", test.name)
		}
	}
}
