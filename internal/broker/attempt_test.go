package broker

import (
	"testing"
	"time"

	"sloequay/internal/invalidation"
	"sloequay/internal/policy"
)

// TestMaySendChecksRetryWindow covers an attempt that is decided while endpoints still drop repeats of an earlier one
// that may have run, and that gets its connection only after they have stopped doing so.
func TestMaySendChecksRetryWindow(t *testing.T) {
	const untilEnd = 300 * time.Millisecond // from the decision on the first attempt to its end
	for _, test := range []struct {
		name  string
		class int
		end   End           // of the first attempt
		wait  time.Duration // of the second attempt for its connection
		want  bool
	}{
		{"keyed, may have run, too late", keyedClass, ConnectionReset, 300 * time.Millisecond, false},
		{"keyed, may have run, in time", keyedClass, ConnectionReset, 50 * time.Millisecond, true},
		{"keyed, never ran", keyedClass, Rejected, 300 * time.Millisecond, true},
		{"zoned, may have run, too late", zonedClass, Unresponsive, 300 * time.Millisecond, false},
		{"safe", safeClass, ConnectionReset, 300 * time.Millisecond, true},
	} {
		x := newHarness(t)
		x.receive(test.class)
		x.round()
		x.write(0)
		x.now += untilEnd
		x.end(0, test.end)
		if x.round(); len(x.waiting) != 1 {
			t.Fatalf("%s: got %d waiting attempts, want 1", test.name, len(x.waiting))
		}
		if _, ok := x.broker.MaySend(x.waiting[0], x.now+test.wait); ok != test.want {
			t.Errorf("%s: MaySend %v after the first attempt, which ended with %v: got %v, want %v",
				test.name, untilEnd+test.wait, test.end, ok, test.want)
		}
	}
}

// TestMaySendChecksPurges checks that an attempt that waited for its connection accepts no copy from before a purge
// that was issued meanwhile.
func TestMaySendChecksPurges(t *testing.T) {
	now := 1000 * time.Second
	issued := now - time.Second
	for _, test := range []struct {
		name      string
		purge     Purge
		group     int // of the request
		limitsAge bool
	}{
		{"its object", Purge{Object: 7, Issued: issued}, 3, true},
		{"another object", Purge{Object: 8, Issued: issued}, 3, false},
		{"its group", Purge{Group: 3, Issued: issued}, 3, true},
		{"another group", Purge{Group: 4, Issued: issued}, 3, false},
		{"any group, its own is unknown", Purge{Group: 4, Issued: issued}, invalidation.AnyGroup, true},
	} {
		broker := newBroker(t)
		endpoint := readyEndpoint("c1", "10.0.0.1:1")
		request := &Request{Object: 7, Group: test.group}
		attempt := &Attempt{Request: request, Endpoint: endpoint, Source: endpoint, Deadline: now + time.Second}
		broker.Round(issued, []Event{test.purge})
		want := time.Duration(0)
		if test.limitsAge {
			want = 1005 * time.Millisecond
		}
		age, ok := broker.MaySend(attempt, now+10*time.Millisecond)
		if !ok || age != want {
			t.Errorf("%s: MaySend: got max age %v, %v, want %v, true", test.name, age, ok, want)
		}
	}
}

// readyEndpoint returns a ready endpoint that is in no list.
func readyEndpoint(name, address string) *Endpoint {
	return &Endpoint{Name: name, Address: address, Endpoint: policy.Endpoint{State: policy.Ready}}
}
