package broker

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sloequay/internal/invalidation"
	"sloequay/internal/membership"
	"sloequay/internal/policy"
)

func testConfig() policy.Config {
	return policy.Config{Instances: 1, Zone: 1, ParentKind: 1, OriginKind: 2, FlowKBps: 9500, WeightsReported: true,
		DirectFetch: true, MaxAttempts: 6, MayCancel: true, MaxRetryAfter: time.Second, PurgePropagation: 6 * time.Second,
		Classes: []policy.Class{{Name: "lookup", LatencyObjective: 250 * time.Millisecond, Deadline: 3 * time.Second, PriorityWeight: 1}}}
}

func newBroker(t testing.TB) *Broker {
	t.Helper()
	b, err := New(testConfig(), 1, 1000, nil, membership.New(membership.Config{Sources: make([]membership.Source, 1), Forget: time.Millisecond}))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func testBox(host, dial string, state membership.State) membership.Endpoint {
	return membership.Endpoint{ID: host, Address: dial, Zone: 1, State: state, Weight: 8}
}

// boxByWalk and barredByWalk are the plain ways: a look at every box.
func boxByWalk(b *Broker, host string) *Endpoint {
	for _, box := range b.endpoints.byID {
		if strings.EqualFold(box.Name, host) {
			return box
		}
	}
	return nil
}

func barredByWalk(b *Broker, address string) bool {
	barred := false
	for _, box := range b.endpoints.byID {
		if box.Address == address {
			if box.usable() {
				return false
			}
			barred = barred || box.State == policy.Draining || b.now-box.changedAt < rememberDeparted
		}
	}
	return barred
}

// TestIndexesAgainstWalks compares the indexes of the boxes with walks, over random changes of the list in which boxes
// move, leave, come back, and take over addresses; and nothing of what is gone for long is kept.
func TestIndexesAgainstWalks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, err := New(testConfig(), 1, 1000, nil, membership.New(membership.Config{Sources: make([]membership.Source, 1), Forget: time.Millisecond}))
		if err != nil {
			t.Fatal(err)
		}
		now := 1000 * time.Second
		hosts := []string{"c1", "C2", "c3", "c4", "c5", "c6"}
		dials := []string{"10.0.0.1:1", "10.0.0.2:1", "c3.example:1", "10.0.0.3:1"}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 30000).Draw(t, "ms")) * time.Millisecond
			var boxes []membership.Endpoint
			for _, host := range hosts {
				if rapid.IntRange(0, 2).Draw(t, "told") == 0 {
					state := rapid.SampledFrom([]membership.State{membership.Gone, membership.Draining, membership.Up}).Draw(t, "state")
					boxes = append(boxes, testBox(host, rapid.SampledFrom(dials).Draw(t, "dial"), state))
				}
			}
			if rapid.IntRange(0, 4).Draw(t, "whole") == 0 {
				b.Round(now, []Event{EndpointList{List: membership.List{Endpoints: boxes}}})
			} else {
				b.Round(now, []Event{EndpointDelta{Endpoints: boxes}})
			}
			for _, host := range hosts {
				host = strings.ToUpper(host)
				if got, want := b.EndpointByName(host), boxByWalk(b, host); got != want {
					t.Fatalf("Box(%s): %v, want %v", host, got, want)
				}
			}
			for _, dial := range dials {
				if got, want := b.AddressBlocked(dial), barredByWalk(b, dial); got != want {
					t.Fatalf("Barred(%s): %v, want %v", dial, got, want)
				}
			}
		}
		b.Round(now, []Event{EndpointList{}})
		b.Round(now+2*rememberDeparted, []Event{EndpointDelta{Endpoints: []membership.Endpoint{testBox("last", "10.0.0.9:1", membership.Up)}}})
		b.Round(now+2*rememberDeparted, []Event{EndpointList{}})
		b.Round(now+4*rememberDeparted, []Event{EndpointDelta{Endpoints: []membership.Endpoint{testBox("last", "10.0.0.9:1", membership.Up)}}})
		b.Round(now+4*rememberDeparted, []Event{EndpointList{}})
		if n := len(b.endpoints.byID) + len(b.endpoints.ids) + len(b.endpoints.byName) + len(b.endpoints.byAddress) + len(b.endpoints.departures); n != 5 {
			t.Fatalf("%d entries are left of boxes that are gone for long, want the 5 of the last one", n)
		}
	})
}

// TestMayLooksAtPurges: an attempt that waited for its connection asks for no copy older than what was purged meanwhile.
func TestMayLooksAtPurges(t *testing.T) {
	now := 1000 * time.Second
	for _, c := range []struct {
		name  string
		purge Purge
		group int
		aged  bool
	}{
		{"its object", Purge{Object: 7, Issued: now - time.Second}, 3, true},
		{"another object", Purge{Object: 8, Issued: now - time.Second}, 3, false},
		{"its group", Purge{Group: 3, Issued: now - time.Second}, 3, true},
		{"another group", Purge{Group: 4, Issued: now - time.Second}, 3, false},
		{"any group, where it tells none", Purge{Group: 4, Issued: now - time.Second}, invalidation.AnyGroup, true},
	} {
		b := newBroker(t)
		box := Endpoint{Name: "c1", Address: "10.0.0.1:1", Endpoint: policy.Endpoint{State: policy.Ready}}
		a := &Attempt{Request: &Request{Object: 7, Group: c.group}, Endpoint: &box, Source: &box, Deadline: now + time.Second}
		b.Round(now, []Event{c.purge})
		age, ok := b.MaySend(a, now+10*time.Millisecond)
		if want := 1005 * time.Millisecond; !ok || (age == want) != c.aged || !c.aged && age != 0 {
			t.Errorf("%s: age %v %v, want one of %v: %v", c.name, age, ok, want, c.aged)
		}
	}
}

// BenchmarkWrite is what one write asks the list and the purges.
func BenchmarkWrite(b *testing.B) {
	for _, n := range []int{0, 100, 10_000} {
		b.Run(fmt.Sprintf("boxes+purges/%d", n), func(b *testing.B) {
			now := 1000 * time.Second
			broker := newBroker(b)
			var list membership.List
			events := []Event(nil)
			for i := range n {
				list.Endpoints = append(list.Endpoints, testBox(fmt.Sprint("c", i), fmt.Sprintf("10.0.%d.%d:1", i>>8, i&255), membership.Up))
				events = append(events, Purge{Object: uint64(i + 1), Issued: now - time.Duration(i)*time.Microsecond})
			}
			broker.Round(now, append(events, EndpointList{List: list}))
			box := Endpoint{Name: "x", Address: "10.9.9.9:1", Endpoint: policy.Endpoint{State: policy.Ready}}
			a := &Attempt{Request: &Request{Object: 1 << 40, Group: 3}, Endpoint: &box, Source: &box, Deadline: now + time.Second}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				broker.MaySend(a, now)
				broker.AddressBlocked("10.0.0.7:1")
				broker.EndpointByName("c7")
			}
		})
	}
	// The same write as far as the attempt's own request goes, through the whole broker and module.
	for _, purges := range []int{0, 10_000} {
		b.Run(fmt.Sprintf("request/purges-%d", purges), func(b *testing.B) {
			now := 1000 * time.Second
			broker := newBroker(b)
			var events []Event
			for i := range 10 {
				events = append(events, EndpointDelta{Endpoints: []membership.Endpoint{testBox(fmt.Sprint("c", i), fmt.Sprintf("10.0.0.%d:1", i), membership.Up)}})
			}
			for i := range purges {
				events = append(events, Purge{Object: uint64(1<<50 + i), Issued: now - time.Duration(i)*time.Microsecond})
			}
			broker.Round(now, events)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				r := &Request{ID: "a", Object: uint64(i%5000 + 1), Group: 3, SizeKB: 40, ReceivedAt: now, Timeout: 3 * time.Second}
				for _, e := range broker.Round(now, []Event{RequestReceived{r}}) {
					if ask, ok := e.(SendAttempt); ok {
						broker.MaySend(ask.Attempt, now)
						broker.Round(now, []Event{AttemptEnded{Attempt: ask.Attempt, End: Served, Note: policy.NoteHit}})
						break
					}
				}
			}
		})
	}
}
