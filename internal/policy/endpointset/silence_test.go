package endpointset

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sloequay/internal/policy/outlier"
)

// silenceModel is a simple model of SilentCaches: it keeps the silence of each endpoint and checks all of them.
type silenceModel struct {
	set          *Set[int]
	now          time.Duration
	suspicion    map[ID]float64
	waitingSince map[ID]time.Duration
}

// silent returns the silent caches in the order of their ranking's members, and clears all suspicion.
func (m *silenceModel) silent() []ID {
	var silent []ID
	for _, cache := range m.set.Caches.Members() {
		waited := m.now - m.waitingSince[cache.ID]
		if m.suspicion[cache.ID] > 7 && waited > 400*time.Millisecond && !cache.Health.Ejected() {
			silent = append(silent, cache.ID)
		}
		m.suspicion[cache.ID] = 0
	}
	return silent
}

// TestSilentCachesMatchesFullScan applies random silence, responses, ejections and list changes, and compares the
// silent caches with those that the model finds by a scan over all.
func TestSilentCachesMatchesFullScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := New[int](Config{Zone: 1, ParentKind: 1, OriginKind: 2})
		model := &silenceModel{set: set, now: time.Hour, suspicion: map[ID]float64{},
			waitingSince: map[ID]time.Duration{}}
		var entries []Entry
		for id := ID(1); id <= 8; id++ {
			entries = append(entries, Entry{ID: id, Zone: 1, Kind: int(id) / 7, State: Ready})
		}
		set.Apply(model.now, ListFull, entries)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			model.now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
			entry := &entries[rapid.IntRange(0, len(entries)-1).Draw(t, "endpoint")]
			endpoint := set.Get(entry.ID)
			steps := []string{"wait", "wait", "wait", "wait", "response", "eject", "list", "check"}
			switch rapid.SampledFrom(steps).Draw(t, "step") {
			case "wait":
				sentAt := model.now - time.Duration(rapid.IntRange(0, 1000).Draw(t, "sent ms ago"))*time.Millisecond
				expected := rapid.SampledFrom([]float64{0.03, 0.3}).Draw(t, "expected seconds")
				set.AddSilence(model.now, endpoint, sentAt, expected)
				silence := model.now - max(sentAt, model.waitingSince[entry.ID])
				model.suspicion[entry.ID] += silence.Seconds() / expected
			case "response":
				endpoint.Health.RestartWait(model.now)
				model.waitingSince[entry.ID] = model.now
			case "eject":
				set.Eject(model.now, endpoint, outlier.Failing)
			case "list":
				entry.State = State(rapid.IntRange(0, 2).Draw(t, "state"))
				if rapid.Bool().Draw(t, "restart") {
					entry.StartedAt = model.now
					if endpoint.StartedAt != model.now {
						model.suspicion[entry.ID] = 0
						model.waitingSince[entry.ID] = model.now
					}
				}
				set.Apply(model.now, ListDelta, []Entry{*entry})
			case "check":
				var got []ID
				for _, cache := range set.SilentCaches(model.now) {
					got = append(got, cache.ID)
				}
				if want := model.silent(); !slices.Equal(got, want) {
					t.Fatalf("got silent caches %v, want %v", got, want)
				}
			}
			if len(set.suspects) > len(entries) {
				t.Fatalf("got %d suspects, want at most one for each of %d endpoints", len(set.suspects), len(entries))
			}
		}
	})
}
