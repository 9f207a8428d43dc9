package policy

import (
	"math"
	"testing"
	"time"
)

// TestRestartsKeepWarmupBudget: rule 4 limits what a fleet sends in total, even if seven in ten of its proxies are
// killed and restarted within a window and so know nothing about what they sent before.
func TestRestartsKeepWarmupBudget(t *testing.T) {
	cfg := testConfig()
	cfg.Instances, cfg.ZoneInstances, cfg.Hedging = 10, []int{0, 0, 10, 0}, false
	const weight, requestsPerTick = 40, 2
	list := testEndpoints()[:4]
	list[3].Weight = weight
	list[3].StartedAt = 100 * sec
	fleet := make([]*harness, cfg.Instances)
	start := func(now time.Duration) *harness {
		h := newHarnessAt(t, cfg, now)
		h.handle(ListEvent{Kind: ListFull, Endpoints: list})
		return h
	}
	for n := range fleet {
		fleet[n] = start(list[3].StartedAt - sec)
	}
	var sent []time.Duration // to the cold cache, by the whole fleet
	id := RequestID(0)
	restartAt := list[3].StartedAt + cfg.OverloadWindow*6/10
	for now := list[3].StartedAt; now < list[3].StartedAt+3*cfg.OverloadWindow; now += 10 * ms {
		for n, h := range fleet {
			if now == restartAt && n < 7 {
				h = start(now)
				fleet[n] = h
			}
			h.now = now
			for range requestsPerTick {
				id++
				h.request(id, 0, uint64(id))
				if len(h.sent[id]) > 0 && h.lastSent(id).Endpoint == list[3].ID {
					sent = append(sent, now)
					h.respond(id, StatusOK, NoteHit)
				}
			}
		}
	}
	cost := fleet[0].engine.classes[0].cost.Cost()
	for first, last := 0, 0; last < len(sent); last++ {
		for sent[last]-sent[first] > cfg.OverloadWindow {
			first++
		}
		age := float64(sent[last]-list[3].StartedAt) / float64(cfg.WarmupTime)
		share := cfg.ColdStartShare + (1-cfg.ColdStartShare)*age
		allowed := cfg.OverloadMultiple * weight * share * cfg.OverloadWindow.Seconds() / cost
		if got, limit := float64(last-first+1), allowed+2*math.Sqrt(allowed)+2; got > limit {
			t.Fatalf("got %.0f requests within a window, %v after the start, want at most %.0f with the slack",
				got, sent[last]-list[3].StartedAt, limit)
		}
	}
	if len(sent) < 500 {
		t.Errorf("got %d requests sent, want at least 500", len(sent))
	}
}
