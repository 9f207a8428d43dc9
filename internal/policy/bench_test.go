package policy

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"sloequay/internal/policy/rendezvous"
)

// BenchmarkCold is one request where all caches have just started and the guard lets it pass to none of them.
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
			drive(b, engine, now)
		})
	}
}

// BenchmarkRequest is one request through the module and the end of its one attempt, with a zone of so many caches.
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
			drive(b, engine, now)
		})
	}
}

// BenchmarkTick is one tick without requests, with a zone of so many caches.
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

// drive puts requests through an engine, a millisecond apart, and ends the first attempt of each.
func drive(b *testing.B, engine *Engine, now time.Duration) {
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
				engine.Handle(now, hit(sent, ms))
				break
			}
		}
	}
}
