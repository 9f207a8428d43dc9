package membership

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestIdentity checks which changes of IDs, addresses and incarnations count as starts, moves and renames.
func TestIdentity(t *testing.T) {
	now := start + time.Second
	at := func(id, address string, incarnation uint64) Endpoint {
		return Endpoint{ID: id, Address: address, State: Up, Incarnation: incarnation}
	}
	for _, c := range []struct {
		name      string
		before    []Endpoint
		after     []Endpoint
		log       []string
		startedAt map[string]time.Duration
	}{
		{
			name:      "a known ID at a new address: moved and restarted",
			before:    []Endpoint{at("a", "x:1", 1)},
			after:     []Endpoint{at("a", "x:2", 1)},
			log:       []string{"moved a up by 0 word"},
			startedAt: map[string]time.Duration{"a": now},
		},
		{
			name:      "a new incarnation: restarted",
			before:    []Endpoint{at("a", "x:1", 1)},
			after:     []Endpoint{at("a", "x:1", 9)},
			log:       []string{"restarted a up by 0 word"},
			startedAt: map[string]time.Duration{"a": now},
		},
		{
			name:      "a new ID at a known address replaces the old ID",
			before:    []Endpoint{at("a", "x:1", 1), at("c", "y:1", 1)},
			after:     []Endpoint{at("b", "x:1", 2), at("c", "y:1", 1)},
			log:       []string{"removed a gone by -1 unnamed", "added b up by 0 word"},
			startedAt: map[string]time.Duration{"b": now, "c": 0},
		},
		{
			name:   "a new ID at a known address with the old ID still listed: the old one drains",
			before: []Endpoint{at("a", "x:1", 1)},
			after:  []Endpoint{at("a", "x:1", 1), at("b", "x:1", 2)},
			log:    []string{"draining a draining by 0 replaced", "added b up by 0 word"},
		},
		{
			name:   "renaming all endpoints is not a loss",
			before: []Endpoint{at("a", "x:1", 1), at("b", "x:2", 1), at("c", "x:3", 1), at("d", "x:4", 1)},
			after:  []Endpoint{at("a2", "x:1", 2), at("b2", "x:2", 2), at("c2", "x:3", 2), at("d2", "x:4", 2)},
			log: []string{
				"removed a gone by -1 unnamed", "removed b gone by -1 unnamed",
				"removed c gone by -1 unnamed", "removed d gone by -1 unnamed",
				"added a2 up by 0 word", "added b2 up by 0 word",
				"added c2 up by 0 word", "added d2 up by 0 word",
			},
		},
		{
			name:   "two endpoints swap their addresses",
			before: []Endpoint{at("a", "x:1", 1), at("b", "x:2", 1)},
			after:  []Endpoint{at("a", "x:2", 1), at("b", "x:1", 1)},
			log:    []string{"moved b up by 0 word", "moved a up by 0 word"},
		},
		{
			name:      "endpoints of the first list do not count as just started",
			after:     []Endpoint{at("a", "x:1", 7)},
			log:       []string{"added a up by 0 word"},
			startedAt: map[string]time.Duration{"a": 0},
		},
	} {
		f := newFollower(Config{
			Sources:      []Source{{Name: "consul", FirstSeenIsStart: true, ConfirmLosses: true}},
			MaxLossShare: 0.2,
		})
		if c.before != nil {
			f.replace(start, c.before...)
		}
		f.log = nil
		f.replace(now, c.after...)
		if diff := cmp.Diff(c.log, f.log); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
		for id, want := range c.startedAt {
			if got := f.published[id].StartedAt; got != want {
				t.Errorf("%s: endpoint %s: got start %v, want %v", c.name, id, got, want)
			}
		}
	}
}

// TestReplacedEndpointReturns checks that an endpoint whose address another one had claimed is up again once the other
// is gone.
func TestReplacedEndpointReturns(t *testing.T) {
	f := newFollower(Config{Sources: []Source{{}}})
	first, second := testEndpoint("a", Up), testEndpoint("b", Up)
	second.Address = first.Address
	f.replace(start, first)
	f.replace(start+time.Second, first, second)
	if f.state("a") != Draining || f.state("b") != Up {
		t.Errorf("with both at one address: got a %v and b %v, want draining and up", f.state("a"), f.state("b"))
	}
	f.replace(start+time.Second, first)
	if f.state("a") != Up || f.state("b") != Gone {
		t.Errorf("with b removed: got a %v and b %v, want up and gone", f.state("a"), f.state("b"))
	}
}

// TestOneUpPerAddress drives two random sources with few IDs at few addresses, and checks point 5 of the rule after
// every step.
func TestOneUpPerAddress(t *testing.T) {
	ids := rapid.SampledFrom([]string{"1", "2", "3", "4", "5", "6"})
	addresses := rapid.SampledFrom([]string{"x:1", "x:2", "x:3"})
	states := rapid.SampledFrom([]State{Gone, Draining, Up, Up, Up})
	rapid.Check(t, func(t *rapid.T) {
		f := newFollower(Config{Sources: make([]Source, 2)})
		now := start
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * ms
			var endpoints []Endpoint
			for range rapid.IntRange(0, 5).Draw(t, "endpoints") {
				endpoint := testEndpoint(ids.Draw(t, "id"), states.Draw(t, "state"))
				endpoint.Address = addresses.Draw(t, "address")
				endpoint.Incarnation = uint64(rapid.IntRange(1, 2).Draw(t, "incarnation"))
				endpoints = append(endpoints, endpoint)
			}
			f.ReplaceList(now, rapid.IntRange(0, 1).Draw(t, "source"), List{Endpoints: endpoints})
			f.advance(now)
			checkAddresses(t, f, now)
		}
	})
}

// checkAddresses checks that the published states are those that the rule decides, that at most one endpoint is up at
// an address, and that an endpoint is replaced only if another is at its address.
func checkAddresses(t *rapid.T, f *follower, now time.Duration) {
	up := map[string]int{}      // endpoints that are up, by address
	present := map[string]int{} // endpoints that are not gone, by address
	for _, endpoint := range f.published {
		present[endpoint.Address]++
		if endpoint.State == Up {
			up[endpoint.Address]++
		}
	}
	for _, view := range f.All(now) {
		id, address := view.Endpoint.ID, view.Endpoint.Address
		if f.state(id) != view.Endpoint.State {
			t.Fatalf("endpoint %s: got published state %v, want %v", id, f.state(id), view.Endpoint.State)
		}
		if up[address] > 1 {
			t.Fatalf("got %d endpoints up at %s, want at most 1", up[address], address)
		}
		if view.Reason == Replaced && present[address] < 2 {
			t.Fatalf("endpoint %s is replaced at %s, but no other endpoint is there", id, address)
		}
	}
}

// TestGoneEndpointsHaveNoAddress registers endpoints again while they are reported as gone, as a catalogue does with
// instances that stay critical. Once they are forgotten, nothing of them may remain, in particular no index entry under
// the empty address.
func TestGoneEndpointsHaveNoAddress(t *testing.T) {
	const endpoints = 50
	f := newFollower(Config{Sources: []Source{{}}})
	now := start
	list := func(id string, state State, incarnation uint64) {
		now += time.Second
		f.replace(now, Endpoint{ID: id, Address: "10.0.0.1:1", State: state, Incarnation: incarnation})
	}
	for _, id := range numberedIDs(endpoints) {
		list(id, Up, 1)
		list(id, Gone, 1)
		list(id, Gone, 2)
	}
	f.replace(now + time.Second)
	for range 20 {
		now += time.Minute
		f.advance(now)
	}
	if f.Len() != 0 || len(f.addresses.records) != 0 {
		t.Errorf("got %d endpoints and records at %d addresses left, want none",
			f.Len(), len(f.addresses.records))
		for address, records := range f.addresses.records {
			t.Errorf("address %q: got %d records, want none", address, len(records))
		}
	}
}
