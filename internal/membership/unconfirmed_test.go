package membership

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var hintedSources = []Source{
	{Name: "catalogue", ConfirmLosses: true, FirstSeenIsStart: true},
	{Name: "bulletin", ConfirmLosses: true},
}

func (f *follower) hint(now time.Duration, source int, endpoints ...Endpoint) {
	f.ReplaceList(now, source, List{Version: 1 << 40, Endpoints: endpoints, Incomplete: true, Unconfirmed: true})
	f.advance(now)
}

// TestFirstListOverridesHint guards against effects of a lying peer that outlast the first list of the source: false
// endpoints that stay while their loss is suspected, and true ones that count as just started and get few requests.
func TestFirstListOverridesHint(t *testing.T) {
	f := newFollower(Config{Sources: hintedSources, MaxLossShare: 0.3})
	f.hint(start, 0, upEndpoints("1", "7", "8", "9")...)
	if len(f.published) != 4 {
		t.Fatalf("got %d endpoints of the hint in use, want 4", len(f.published))
	}
	if source := f.Sources()[0]; source.HasReported || source.LastSeen != 0 || len(f.Export()) != 0 {
		t.Errorf("got source %+v and %d reports to save after a hint, want no report of the source itself",
			source, len(f.Export()))
	}
	later := start + time.Second
	f.replace(later, upEndpoints("1", "2", "3")...)
	for _, id := range []string{"1", "2", "3"} {
		if endpoint := f.published[id]; endpoint.State != Up || endpoint.StartedAt != 0 {
			t.Errorf("endpoint %s: got state %v and start %v, want it up and started long ago",
				id, endpoint.State, endpoint.StartedAt)
		}
	}
	if len(f.published) != 3 || len(f.SourcesToRefetch()) != 0 {
		t.Errorf("got %d endpoints after the source's list of 3, want no other and no suspicion", len(f.published))
	}
	f.hint(later, 0, upEndpoints("9")...)
	if f.state("9") != Gone {
		t.Error("the hint after the source's list is in use, want it ignored")
	}
}

// TestHintChangesNoConfirmedEndpoint guards against a lying peer that stops requests to endpoints that another source
// reports, by naming other endpoints at their addresses, or gives them false addresses.
func TestHintChangesNoConfirmedEndpoint(t *testing.T) {
	f := newFollower(Config{Sources: hintedSources})
	f.ReplaceList(start, 1, List{Endpoints: upEndpoints("1", "2")})
	f.advance(start)
	atAddressOf1 := testEndpoint("x", Up)
	atAddressOf1.Address = testEndpoint("1", Up).Address
	moved := testEndpoint("2", Up)
	moved.Address = "10.9.9.9:1"
	f.hint(start+ms, 0, atAddressOf1, moved)
	if f.published["1"] != testEndpoint("1", Up) || f.published["2"] != testEndpoint("2", Up) {
		t.Errorf("got %+v and %+v after a hint, want both unchanged", f.published["1"], f.published["2"])
	}
	if f.state("x") == Up {
		t.Error("the hinted endpoint at the address of endpoint 1 is up, want it replaced by that one")
	}
}

// TestHintTakesNoRoom guards against a lying peer that fills the table, so that true endpoints do not fit.
func TestHintTakesNoRoom(t *testing.T) {
	f := newFollower(Config{Sources: hintedSources, MaxEndpoints: 3})
	f.hint(start, 0, upEndpoints("5", "6", "7", "8")...)
	f.replace(start+ms, upEndpoints("1", "2", "3")...)
	if f.state("1") != Up || f.state("2") != Up || f.state("3") != Up {
		t.Errorf("got %v in use, want 1, 2 and 3", f.published)
	}
}

// TestHintsKeepConfirmedView applies random events to two tables, one of which also gets random hints. Each endpoint
// with a confirmed report must be published alike by both.
func TestHintsKeepConfirmedView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := Config{Sources: hintedSources, MaxLossShare: 0.5, MinLoss: 2, MaxSilence: 5 * time.Second}
		plain, hinted := newFollower(config), newFollower(config)
		now := start
		for range rapid.IntRange(1, 20).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "wait")) * ms
			source := rapid.IntRange(0, 1).Draw(t, "source")
			endpoints := drawEndpoints(t)
			event := rapid.IntRange(0, 5).Draw(t, "event")
			if event <= 1 {
				hinted.hint(now, source, endpoints...)
			}
			for _, table := range []*follower{plain, hinted} {
				switch event {
				case 2, 3:
					table.ReplaceList(now, source, List{Endpoints: endpoints, Part: event == 3 && len(endpoints) < 2})
				case 4:
					table.SourceSilent(now, source)
				case 5:
					table.SourceSeen(now, source)
				}
				table.advance(now)
			}
			checkConfirmedAlike(t, plain, hinted)
		}
	})
}

// drawEndpoints draws endpoints, of which some share an address.
func drawEndpoints(t *rapid.T) []Endpoint {
	var endpoints []Endpoint
	for _, id := range numberedIDs(5) {
		if rapid.Bool().Draw(t, "listed") {
			endpoint := testEndpoint(id, State(rapid.IntRange(1, 2).Draw(t, "state")))
			endpoint.Address = rapid.SampledFrom([]string{"a:1", "b:1", id + ":1"}).Draw(t, "address")
			endpoint.Incarnation = uint64(rapid.IntRange(0, 1).Draw(t, "incarnation"))
			endpoints = append(endpoints, endpoint)
		}
	}
	return endpoints
}

func checkConfirmedAlike(t *rapid.T, plain, hinted *follower) {
	for id := range plain.records {
		if !plain.records[id].isConfirmed() {
			continue
		}
		want, got := plain.published[id], hinted.published[id]
		got.Incarnation = want.Incarnation // alone not a change, so it may be that of the hint
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatalf("endpoint %s differs because of hints (-without +with):\n%s", id, diff)
		}
	}
	if diff := cmp.Diff(plain.Export(), hinted.Export()); diff != "" {
		t.Fatalf("saved reports differ because of hints (-without +with):\n%s", diff)
	}
}

// TestHintIsNotExported guards against a snapshot that brings a hint back as the source's own word, where the source
// has so far sent only an incomplete list.
func TestHintIsNotExported(t *testing.T) {
	f := newFollower(Config{Sources: hintedSources})
	f.hint(start, 0, upEndpoints("1", "9")...)
	f.ReplaceList(start+ms, 0, List{Endpoints: upEndpoints("1", "2"), Incomplete: true})
	f.advance(start + ms)
	exported := f.Export()
	if len(exported) != 1 {
		t.Fatalf("got reports of %d sources, want one", len(exported))
	}
	if diff := cmp.Diff(upEndpoints("1", "2"), exported[0].Endpoints); diff != "" {
		t.Errorf("exported endpoints differ (-want +got):\n%s", diff)
	}
}
