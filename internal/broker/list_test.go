package broker

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"sloequay/internal/membership"
	"sloequay/internal/policy"
)

func fleet(n int) []membership.Endpoint {
	boxes := make([]membership.Endpoint, n)
	for i := range boxes {
		boxes[i] = membership.Endpoint{ID: fmt.Sprintf("cache-%06d", i), Address: fmt.Sprintf("10.%d.%d.%d:1", i>>16, i>>8&255, i&255),
			Zone: i % 20, Weight: 8, State: membership.Up, Incarnation: uint64(i)}
	}
	return boxes
}

func listed(t testing.TB) *Broker {
	t.Helper()
	b, err := New(testConfig(), 1, 1000, nil, membership.New(membership.Config{MaxLossShare: 0.3, MinLoss: 2,
		Sources: []membership.Source{{Name: "bulletin"}, {Name: "consul:cache", ConfirmLosses: true, FirstSeenIsStart: true}}}))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestLargeListComesInRounds: no round takes over more than its bound of changes, those first that take a box away; the
// next round is due at once while any are left, and every box arrives.
func TestLargeListComesInRounds(t *testing.T) {
	b := listed(t)
	now := 1000 * time.Second
	boxes := fleet(3 * maxChangesPerRound)
	b.Round(now, []Event{EndpointList{Source: 1, List: membership.List{Endpoints: boxes}}})
	rounds := 1
	for b.members.HasChanges() {
		if b.Next() > now {
			t.Fatalf("the next round is due at %v, now is %v", b.Next(), now)
		}
		before := len(b.endpoints.byID)
		b.Round(now, nil)
		if n := len(b.endpoints.byID) - before; n > maxChangesPerRound {
			t.Fatalf("one round took over %d boxes", n)
		}
		rounds++
	}
	if len(b.endpoints.byID) != len(boxes) || rounds < 3 {
		t.Errorf("%d boxes of %d in %d rounds", len(b.endpoints.byID), len(boxes), rounds)
	}
	// A drain among many changes is taken over in the first round.
	for i := range boxes {
		boxes[i].Weight = 4
	}
	boxes[len(boxes)-1].State = membership.Draining
	b.Round(now, []Event{EndpointList{Source: 1, List: membership.List{Endpoints: boxes}}})
	if box := b.EndpointByName(boxes[len(boxes)-1].ID); box.State != policy.Draining {
		t.Errorf("after one round the draining box is %v", box.State)
	}
}

// TestDoubtedSourceIsAskedAgain: the doubt of the table becomes an effect, and its lines are told.
func TestDoubtedSourceIsAskedAgain(t *testing.T) {
	b := listed(t)
	now := 1000 * time.Second
	b.Round(now, []Event{EndpointList{Source: 1, List: membership.List{Endpoints: fleet(10)}}})
	asked, told := false, false
	for _, e := range b.Round(now, []Event{EndpointList{Source: 1, List: membership.List{Endpoints: fleet(2)}}}) {
		switch e := e.(type) {
		case RefetchList:
			asked = e.Source == 1
		case LogEntry:
			told = told || e.Event == "list-loss-suspected"
		}
	}
	if !asked || !told || len(b.endpoints.byID) != 10 {
		t.Errorf("asked %v, told %v, %d boxes", asked, told, len(b.endpoints.byID))
	}
}

// longest gives the longest time that any of the steps takes.
func longest(steps ...func()) time.Duration {
	worst := time.Duration(0)
	for _, step := range steps {
		began := time.Now()
		step()
		worst = max(worst, time.Since(began))
	}
	return worst
}

// BenchmarkList is what lists cost the loop, through table, broker and module: a first list in parts, one that changes 1%,
// an unchanged one, and a source that falls silent. hold-ms is the longest that the loop is held at once.
func BenchmarkList(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000, 100_000} {
		boxes := fleet(n)
		report := func(b *testing.B, worst time.Duration) {
			b.ReportMetric(float64(worst.Microseconds())/1000, "hold-ms")
		}
		rounds := func(br *Broker, now time.Duration) (steps []func()) {
			for range n/maxChangesPerRound + 4 {
				steps = append(steps, func() { br.Round(now, nil) })
			}
			return steps
		}
		b.Run(fmt.Sprintf("first/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			worst := time.Duration(0)
			for range b.N {
				br, now := listed(b), 1000*time.Second
				for at := 0; at < n; at += 500 {
					part := membership.List{Endpoints: boxes[at:min(n, at+500)], Part: true}
					worst = max(worst, longest(func() { br.Round(now, []Event{EndpointList{Source: 1, List: part}}) }), longest(rounds(br, now)[:4]...))
				}
				worst = max(worst, longest(func() { br.Round(now, []Event{EndpointList{Source: 1, List: membership.List{Endpoints: boxes}}}) }))
				worst = max(worst, longest(rounds(br, now)...))
				if len(br.endpoints.byID) != n {
					b.Fatalf("%d boxes of %d", len(br.endpoints.byID), n)
				}
			}
			report(b, worst)
		})
		br, now := listed(b), 1000*time.Second
		br.Round(now, []Event{EndpointList{Source: 1, List: membership.List{Endpoints: boxes}}, EndpointDelta{Endpoints: boxes[:n/2]}})
		longest(rounds(br, now)...)
		b.Run(fmt.Sprintf("changed/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			worst := time.Duration(0)
			for round := range b.N {
				now += time.Second
				for i := range n / 100 {
					c := &boxes[(i*97+round*31)%n]
					c.State = membership.Up + membership.Draining - c.State
				}
				worst = max(worst, longest(func() { br.Round(now, []Event{EndpointList{Source: 1, List: membership.List{Endpoints: boxes}}}) }))
				worst = max(worst, longest(rounds(br, now)...))
			}
			report(b, worst)
		})
		b.Run(fmt.Sprintf("silent+heard/%d", n), func(b *testing.B) {
			worst := time.Duration(0)
			for range b.N {
				now += time.Second
				worst = max(worst, longest(func() { br.Round(now, []Event{SourceStatus{Source: 1, Silent: true}}) }))
				longest(rounds(br, now)...)
				worst = max(worst, longest(func() { br.Round(now, []Event{SourceStatus{Source: 1}}) }))
				longest(rounds(br, now)...)
			}
			report(b, worst)
		})
	}
}

// TestRefusedComeBackInTime: the broker's own refusals told the longest wait that clients heed, as the module's did.
func TestRefusedComeBackInTime(t *testing.T) {
	cfg := policy.Config{Classes: []policy.Class{{Name: "a", LatencyObjective: 600 * time.Millisecond, Deadline: 5 * time.Second}},
		MaxRetryAfter: 2 * time.Second, MaxAttempts: 6, OriginKind: 2, ParentKind: 1, DirectFetch: true}
	for _, c := range []struct {
		name    string
		openCap int
	}{{"too many open", 1}, {"no box reached by half its time", 10}} {
		b, err := New(cfg, 1, c.openCap, nil, membership.New(membership.Config{Sources: []membership.Source{{Name: "bulletin"}}}))
		if err != nil {
			t.Fatal(err)
		}
		now := 1000 * time.Second
		b.Round(now, []Event{EndpointList{List: membership.List{Endpoints: []membership.Endpoint{
			{ID: "c1", Address: "10.0.0.1:1", State: membership.Up}, {ID: "o1", Address: "10.0.0.2:1", Kind: 2, State: membership.Up}}}}})
		arrive := func(id string, object uint64) Event {
			return RequestReceived{&Request{ID: id, Object: object, ReceivedAt: now, Timeout: 5 * time.Second, SizeKB: 1}}
		}
		effects := slices.Clone(b.Round(now, []Event{arrive("a1", 1), arrive("a2", 2)}))
		for range 400 { // nothing is ever written
			now += 10 * time.Millisecond
			effects = append(effects, b.Round(now, nil)...)
		}
		refused := 0
		for _, e := range effects {
			if a, ok := e.(Respond); ok && a.Response.Kind == ResponseRejected {
				if refused++; a.Response.RetryAfter != 300*time.Millisecond {
					t.Errorf("%s: %q told to stay away for %v, want half of 600 ms", c.name, a.Response.Reason, a.Response.RetryAfter)
				}
			}
		}
		if refused == 0 {
			t.Errorf("%s: nothing was refused", c.name)
		}
	}
}
