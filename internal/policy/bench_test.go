package policy

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"sloequay/internal/policy/rendezvous"
)

// BenchmarkCold measures one request while all caches have just started and none has warm-up budget for it.
func BenchmarkCold(b *testing.B) {
	for _, caches := range []int{10, 100, 1000, 4000} {
		b.Run(fmt.Sprintf("caches/%d", caches), func(b *testing.B) {
			cfg := testConfig()
			cfg.ColdStartShare, cfg.WarmupTime = 0.001, time.Hour
			engine, err := New(cfg, 1)
			if err != nil {
				b.Fatal(err)
			}
			now := 100 * sec
			list := testEndpoints()[:3]
			for i := range caches {
				id := EndpointID(rendezvous.Hash(uint64(i)))
				list = append(list, Endpoint{ID: id, Zone: 2, State: Ready, Weight: 1, StartedAt: now})
			}
			engine.Handle(now, ListEvent{Kind: ListFull, Endpoints: list})
			benchmarkRequests(b, engine, now)
		})
	}
}

// BenchmarkRequest measures one request and the response to its only attempt, by number of caches in the zone.
func BenchmarkRequest(b *testing.B) {
	for _, caches := range []int{10, 100, 1000, 4000, 10000} {
		b.Run(fmt.Sprintf("caches/%d", caches), func(b *testing.B) {
			engine, err := New(testConfig(), 1)
			if err != nil {
				b.Fatal(err)
			}
			list := testEndpoints()
			for i := range caches {
				id := EndpointID(rendezvous.Hash(uint64(i)))
				list = append(list, Endpoint{ID: id, Zone: 2, State: Ready, Weight: 8})
			}
			now := 100 * sec
			engine.Handle(now, ListEvent{Kind: ListFull, Endpoints: list})
			benchmarkRequests(b, engine, now)
		})
	}
}

// BenchmarkTick measures one tick without requests, by number of caches in the zone.
func BenchmarkTick(b *testing.B) {
	for _, caches := range []int{1000, 4000, 10000} {
		b.Run(fmt.Sprintf("caches/%d", caches), func(b *testing.B) {
			engine, err := New(testConfig(), 1)
			if err != nil {
				b.Fatal(err)
			}
			list := testEndpoints()
			for i := range caches {
				id := EndpointID(rendezvous.Hash(uint64(i)))
				list = append(list, Endpoint{ID: id, Zone: 2, State: Ready, Weight: 8})
			}
			now := 100 * sec
			engine.Handle(now, ListEvent{Kind: ListFull, Endpoints: list})
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				now += tickInterval
				engine.Handle(now, TimerEvent{tickToken})
			}
		})
	}
}

// benchmarkRequests passes one request each millisecond to an engine, and responds to the first attempt of each.
func benchmarkRequests(b *testing.B, engine *Engine, now time.Duration) {
	zipf := rand.NewZipf(rand.New(rand.NewSource(1)), 1.1, 4, 50000)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now += ms
		if i%10 == 0 {
			engine.Handle(now, TimerEvent{tickToken})
		}
		id := RequestID(i + 1)
		request := RequestEvent{ID: id, Object: zipf.Uint64() + 1, Remaining: 3 * sec, SizeKB: 40}
		for _, action := range engine.Handle(now, request) {
			if sent, ok := action.(SendAttempt); ok {
				engine.Handle(now, hitResponse(sent, ms))
				break
			}
		}
	}
}
