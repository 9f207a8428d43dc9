package readiness

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"sloequay/internal/bootstrap"
)

// TestStartup compares random startups with a model that is written as separate conditions.
func TestStartup(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		proxies := rapid.IntRange(0, 100).Draw(t, "proxies")
		limit := 3*time.Second + time.Duration(proxies)*bootstrap.PollWindowPerProxy
		startup := NewStartup(proxies)
		uptime := time.Duration(0)
		wasComplete := false
		for range rapid.IntRange(1, 40).Draw(t, "observations") {
			uptime += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			sources := Sources{
				AllSeen:    rapid.Bool().Draw(t, "all seen"),
				HasPeers:   rapid.Bool().Draw(t, "has peers"),
				PeersAgree: rapid.Bool().Draw(t, "peers agree"),
				Restored:   rapid.Bool().Draw(t, "restored"),
			}
			want := wasComplete || uptime > limit
			if sources.AllSeen && !sources.HasPeers {
				want = true
			}
			if sources.AllSeen && sources.HasPeers && (sources.PeersAgree || sources.Restored) {
				want = true
			}
			if got := startup.Observe(uptime, sources); got != want || startup.Complete() != want {
				t.Fatalf("complete at %v with %+v: got %v, want %v", uptime, sources, got, want)
			}
			wasComplete = want
		}
	})
}

// TestStartupWithoutSources checks that a proxy without a catalogue is ready immediately.
func TestStartupWithoutSources(t *testing.T) {
	startup := NewCompletedStartup()
	if !startup.Complete() || !startup.Observe(0, Sources{}) {
		t.Error("startup without sources: got incomplete, want complete")
	}
}
