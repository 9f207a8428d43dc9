package bootstrap

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sloequay/internal/membership"
)

// hintHarness is a machine that has no list, while the service is silent, with peers that serve what they advertise.
type hintHarness struct {
	*Machine
	now       time.Duration
	lists     map[string]*endpointList // by peer: what it last advertised
	fetched   map[string]*endpointList // by peer: what it last served
	namedBy   map[string][]string      // by endpoint: the peers that have served a list with it
	published map[string]membership.Endpoint
	contested bool // the log has an entry about contradicting lists
}

func newHintHarness(peers ...string) *hintHarness {
	h := &hintHarness{
		Machine: New(0, Config{
			Name: "own", Zone: "z", PeersEnabled: true, ListCount: 1, FleetSize: len(peers) + 1,
		}),
		lists:     map[string]*endpointList{},
		fetched:   map[string]*endpointList{},
		namedBy:   map[string][]string{},
		published: map[string]membership.Endpoint{},
	}
	h.setPeers(peers...)
	return h
}

func (h *hintHarness) setPeers(names ...string) {
	var peers []Peer
	for _, name := range names {
		peers = append(peers, Peer{Name: name, Zone: "z"})
	}
	h.handle(h.PeersChanged(h.now, peers))
}

// advertise makes a peer advertise a list, and serve it when the machine fetches it.
func (h *hintHarness) advertise(peer string, version uint64, endpoints ...membership.Endpoint) {
	h.lists[peer] = newEndpointList(0, version, endpoints)
	digest := []Advertisement{{ListVersion: h.lists[peer].ListVersion}}
	h.handle(h.MessageReceived(h.now, Message{From: peer, Digest: digest}))
}

// wait steps the machine for a time.
func (h *hintHarness) wait(duration time.Duration) {
	for until := h.now + duration; h.now < until; {
		h.now += busyTick
		h.handle(h.Step(h.now))
	}
}

func (h *hintHarness) handle(effects []Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case Send:
			h.serve(effect)
		case Adopt:
			for _, endpoint := range effect.Endpoints {
				h.published[endpoint.ID] = endpoint
			}
		case LogEntry:
			h.contested = h.contested || effect.Event == HintsContradict
		case SetPolling, SourceStatus:
		}
	}
}

// serve answers a fetch of what the peer advertises.
func (h *hintHarness) serve(sent Send) {
	list := h.lists[sent.To]
	if fetch := sent.Message.Fetch; fetch == nil || list == nil || fetch.Sum != list.Sum {
		return
	}
	h.fetched[sent.To] = list
	for _, endpoint := range list.endpoints {
		if !slices.Contains(h.namedBy[endpoint.ID], sent.To) {
			h.namedBy[endpoint.ID] = append(h.namedBy[endpoint.ID], sent.To)
		}
	}
	part := &Part{ListVersion: list.ListVersion, Total: 1, Endpoints: list.endpoints}
	h.handle(h.MessageReceived(h.now, Message{From: sent.To, Part: part}))
}

func (h *hintHarness) publishedIDs() []string {
	ids := []string{}
	for id := range h.published {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (h *hintHarness) check(t *testing.T, wantReady bool, wantIDs ...string) {
	t.Helper()
	if got := h.publishedIDs(); !slices.Equal(got, wantIDs) {
		t.Errorf("got endpoints %v in use, want %v", got, wantIDs)
	}
	if got := h.Ready(); got != wantReady {
		t.Errorf("got ready %v, want %v", got, wantReady)
	}
}

func testEndpoint(id string) membership.Endpoint {
	return membership.Endpoint{ID: id, Address: id + ":80", State: membership.Up, Weight: 1}
}

func drainingEndpoint(id string) membership.Endpoint {
	endpoint := testEndpoint(id)
	endpoint.State = membership.Draining
	return endpoint
}

// movedEndpoint returns an endpoint with a true ID and a false address.
func movedEndpoint(id string) membership.Endpoint {
	endpoint := testEndpoint(id)
	endpoint.Address = "false:80"
	return endpoint
}

const forgedVersion = 1 << 40

// TestOnePeersListAloneMakesReady checks that a proxy that starts while the service is silent becomes ready by the list
// of the only peer that has one, and follows what that peer adds.
func TestOnePeersListAloneMakesReady(t *testing.T) {
	h := newHintHarness("honest", "empty")
	h.advertise("honest", 3, testEndpoint("t1"), testEndpoint("t2"), drainingEndpoint("t3"))
	h.check(t, false)
	h.wait(HintDelay + busyTick)
	h.check(t, true, "t1", "t2")
	h.advertise("honest", 4, testEndpoint("t1"), testEndpoint("t2"), testEndpoint("t4"))
	h.check(t, true, "t1", "t2", "t4")
}

// TestLaterPeerAddsNoEndpoint guards against requests to endpoints that a lying peer has invented: the list of a second
// peer was used as a hint in addition to the first one's.
func TestLaterPeerAddsNoEndpoint(t *testing.T) {
	h := newHintHarness("honest", "byzantine")
	h.advertise("honest", 3, testEndpoint("t1"), testEndpoint("t2"))
	h.wait(HintDelay + busyTick)
	h.advertise("byzantine", forgedVersion, testEndpoint("f1"), movedEndpoint("t2"))
	h.wait(time.Second)
	h.check(t, true, "t1", "t2")
	if got := h.published["t2"].Address; got != "t2:80" {
		t.Errorf("t2: got address %s, want the one of the first list", got)
	}
	h.setPeers("byzantine") // the honest peer leaves
	h.advertise("byzantine", forgedVersion+1, testEndpoint("f2"))
	h.wait(5 * time.Second)
	h.check(t, true, "t1", "t2")
	if !h.contested {
		t.Error("the log has no entry about contradicting lists, want one")
	}
}

// TestContradictingFirstLists guards against requests to endpoints that a lying peer has invented, where its list
// arrives first or with an honest one, and against a peer that keeps a proxy from what others agree on.
func TestContradictingFirstLists(t *testing.T) {
	honest := []membership.Endpoint{testEndpoint("t1"), testEndpoint("t2"), testEndpoint("t3")}
	for _, c := range []struct {
		name      string
		forged    []membership.Endpoint
		wantReady bool
		wantIDs   []string
	}{
		{"invented endpoints", []membership.Endpoint{testEndpoint("f1"), testEndpoint("f2")}, false, nil},
		{"true endpoints at false addresses", []membership.Endpoint{movedEndpoint("t1"), movedEndpoint("t2")}, false,
			nil},
		{"one true endpoint", []membership.Endpoint{testEndpoint("t1")}, false, []string{"t1"}},
		{"true and invented endpoints", append(slices.Clone(honest), testEndpoint("f1")), true,
			[]string{"t1", "t2", "t3"}},
		{"no endpoint", nil, true, []string{"t1", "t2", "t3"}},
		{"every endpoint is draining", []membership.Endpoint{drainingEndpoint("t1"), drainingEndpoint("t2")}, true,
			[]string{"t1", "t2", "t3"}},
		{"all but one are draining", []membership.Endpoint{drainingEndpoint("t1"), testEndpoint("t2"),
			drainingEndpoint("t3")}, true, []string{"t1", "t2", "t3"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, forgedIsFirst := range []bool{true, false} {
				h := newHintHarness("honest", "byzantine")
				if forgedIsFirst {
					h.advertise("byzantine", forgedVersion, c.forged...)
				}
				h.advertise("honest", 3, honest...)
				h.advertise("byzantine", forgedVersion, c.forged...)
				h.wait(MaxHintDelay + time.Second)
				h.check(t, c.wantReady, c.wantIDs...)
			}
		})
	}
}

// TestLonePeerIsBelieved documents the limit of hints: a byzantine peer whose list is the only one for HintDelay is
// believed, and an honest peer that appears later can't correct it. Only a quorum or the service can.
func TestLonePeerIsBelieved(t *testing.T) {
	h := newHintHarness("honest", "byzantine", "second")
	h.advertise("byzantine", forgedVersion, testEndpoint("f1"))
	h.wait(HintDelay + busyTick)
	h.check(t, true, "f1")
	h.advertise("honest", 3, testEndpoint("t1"))
	h.wait(time.Second)
	h.check(t, true, "f1")
	h.advertise("second", 3, testEndpoint("t1"))
	if version, known := h.Version(0); !known || version.Version != 3 {
		t.Errorf("got version %d in force (known: %v), want version 3 of two peers", version.Version, known)
	}
}

// TestHintWaitsForAdvertisedList checks that a proxy that has fetched one list does not use it while it fetches the
// list of another peer, for MaxHintDelay at the longest.
func TestHintWaitsForAdvertisedList(t *testing.T) {
	h := newHintHarness("honest", "mute")
	h.advertise("honest", 3, testEndpoint("t1"))
	muteList := newEndpointList(0, 5, []membership.Endpoint{testEndpoint("f1")})
	digest := []Advertisement{{ListVersion: muteList.ListVersion}}
	h.handle(h.MessageReceived(h.now, Message{From: "mute", Digest: digest}))
	h.wait(MaxHintDelay - 2*busyTick)
	h.check(t, false)
	h.wait(3 * busyTick)
	h.check(t, true, "t1")
}

// TestHintProperties plays random peers of which one lies, and guards against the use of endpoints on the word of one
// peer. After each step, what one peer alone has named must be in use only if that peer was the first one in use.
func TestHintProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		peers := []string{"honest1", "honest2", "honest3", "byzantine"}
		h := newHintHarness(peers...)
		version := uint64(1)
		firstPeer := "" // whose list was the only one when the hint came into use
		steps := rapid.IntRange(1, 25).Draw(t, "steps")
		for range steps {
			before := h.publishedIDs()
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				version++
				h.advertise("byzantine", forgedVersion+version, drawEndpoints(t, "f1", "f2", "t1", "t2")...)
			case 1, 2:
				version++
				peer := rapid.SampledFrom(peers[:3]).Draw(t, "peer")
				h.advertise(peer, version, drawEndpoints(t, "t1", "t2", "t3")...)
			case 3:
				h.wait(time.Duration(rapid.IntRange(1, 40).Draw(t, "ticks")) * busyTick)
			}
			if _, inForce := h.Version(0); inForce {
				return // a quorum has decided
			}
			if len(before) == 0 && len(h.published) > 0 {
				firstPeer = h.onlyPeerWithEndpoints()
			}
			h.checkSupport(t, firstPeer)
			if h.Ready() && len(h.published) == 0 {
				t.Fatal("the machine is ready without an endpoint")
			}
		}
	})
}

// drawEndpoints draws some of the endpoints, in random states.
func drawEndpoints(t *rapid.T, ids ...string) []membership.Endpoint {
	var drawn []membership.Endpoint
	for _, id := range ids {
		switch rapid.IntRange(0, 3).Draw(t, "state of "+id) {
		case 0, 1:
			drawn = append(drawn, testEndpoint(id))
		case 2:
			drawn = append(drawn, drainingEndpoint(id))
		}
	}
	return drawn
}

// onlyPeerWithEndpoints returns the peer that alone has served a list with endpoints that are up, or "".
func (h *hintHarness) onlyPeerWithEndpoints() string {
	only := ""
	for peer, list := range h.fetched {
		if len(upEndpoints(list.endpoints)) == 0 {
			continue
		}
		if only != "" {
			return ""
		}
		only = peer
	}
	return only
}

// checkSupport checks that each endpoint in use was named by the first peer in use, or by a quorum of peers.
func (h *hintHarness) checkSupport(t *rapid.T, firstPeer string) {
	for id, endpoint := range h.published {
		if endpoint.State != membership.Up {
			t.Fatalf("%s is in use with state %v, want only endpoints that are up", id, endpoint.State)
		}
		if names := h.namedBy[id]; len(names) < Quorum && !slices.Contains(names, firstPeer) {
			t.Fatalf("%s is in use, which only %v has named; the first peer in use was %q", id, names, firstPeer)
		}
	}
}

// TestHintsAreBounded guards against memory that grows with what one peer sends: a lone peer that names ever new
// endpoints is ignored from the maximum on.
func TestHintsAreBounded(t *testing.T) {
	h := newHintHarness("byzantine")
	h.config.MaxEndpoints = 10
	for version := range uint64(30) {
		first, second := testEndpoint(fmt.Sprint("a", version)), testEndpoint(fmt.Sprint("b", version))
		h.advertise("byzantine", version+1, first, second)
		h.wait(HintDelay)
	}
	if got, most := len(h.state().hint.published), h.config.MaxEndpoints; got > most || len(h.published) > most {
		t.Errorf("got %d endpoints kept and %d in use, want at most %d", got, len(h.published), most)
	}
}

// TestFirstPeersListIsKept guards against the loss of the list whose endpoints are in use: it counts towards the quorum
// on each endpoint, however many other lists come.
func TestFirstPeersListIsKept(t *testing.T) {
	h := newHintHarness("first", "p1", "p2", "p3", "p4", "p5")
	h.advertise("first", 1, testEndpoint("t1"), drainingEndpoint("t2"))
	h.wait(HintDelay + busyTick)
	h.check(t, true, "t1")
	for i, peer := range []string{"p1", "p2", "p3", "p4"} {
		h.advertise(peer, uint64(i+2), testEndpoint("f"+peer))
	}
	h.advertise("p5", 9, testEndpoint("t2"))
	h.check(t, true, "t1", "t2")
	if got := len(h.state().candidates); got > MaxCandidates {
		t.Errorf("got %d candidates, want at most %d", got, MaxCandidates)
	}
}

// state returns the machine's state of the only list.
func (h *hintHarness) state() *listState { return &h.Machine.lists[0] }
