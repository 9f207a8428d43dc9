package membership

import (
	"fmt"
	"testing"
	"time"
)

// benchmarkConfig returns a Config with two sources. Only the first one reports in the benchmarks.
func benchmarkConfig() Config {
	consul := Source{Name: "consul", ConfirmLosses: true, FirstSeenIsStart: true}
	return Config{Sources: []Source{consul, {Name: "bulletin"}}, MaxLossShare: 0.3}
}

func fleet(n int) []Endpoint {
	endpoints := make([]Endpoint, n)
	for i := range endpoints {
		endpoints[i] = Endpoint{
			ID:          fmt.Sprintf("cache-%06d", i),
			Address:     fmt.Sprintf("10.%d.%d.%d:8443", i>>16, i>>8&255, i&255),
			Zone:        i % 40,
			Weight:      8,
			State:       Up,
			Incarnation: uint64(i),
		}
	}
	return endpoints
}

// naiveTable is the baseline of the benchmarks: it builds a map from each list and compares it with the previous one.
type naiveTable map[string]Endpoint

func (p *naiveTable) replaceList(endpoints []Endpoint) (changes []Change) {
	next := make(naiveTable, len(endpoints))
	for _, endpoint := range endpoints {
		next[endpoint.ID] = endpoint
	}
	for id, endpoint := range next {
		if old := (*p)[id]; old != endpoint {
			changes = append(changes, Change{Endpoint: endpoint, Previous: old})
		}
	}
	for id, old := range *p {
		if _, ok := next[id]; !ok {
			changes = append(changes, Change{Kind: Removed, Previous: old})
		}
	}
	*p = next
	return changes
}

// BenchmarkReplaceList applies complete lists, unchanged or with 1% of the endpoints changed, to a naive table and to a
// Table, and first lists to a Table.
func BenchmarkReplaceList(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000, 100_000} {
		endpoints := fleet(n)
		for _, changed := range []int{0, n / 100} {
			change := func(round int) {
				for i := range changed {
					endpoint := &endpoints[(i*97+round*31)%n]
					endpoint.State = Up + Draining - endpoint.State
				}
			}
			b.Run(fmt.Sprintf("plain/%d/changed-%d", n, changed), func(b *testing.B) {
				var p naiveTable
				p.replaceList(endpoints)
				b.ReportAllocs()
				for i := range b.N {
					change(i)
					p.replaceList(endpoints)
				}
			})
			b.Run(fmt.Sprintf("table/%d/changed-%d", n, changed), func(b *testing.B) {
				t := New(benchmarkConfig())
				now := start
				t.ReplaceList(now, 0, List{Endpoints: endpoints})
				t.TakeChanges(now, n)
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					change(i)
					now += ms
					t.ReplaceList(now, 0, List{Endpoints: endpoints})
					t.TakeChanges(now, n)
				}
			})
		}
		b.Run(fmt.Sprintf("table/%d/first", n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				t := New(benchmarkConfig())
				t.ReplaceList(start, 0, List{Endpoints: endpoints})
				t.TakeChanges(start, n)
			}
		})
	}
}

// BenchmarkOneAddress applies a list of 6,000 endpoints, each at its own address or all at one, and takes all changes.
func BenchmarkOneAddress(b *testing.B) {
	for _, c := range []struct {
		name    string
		address func(i int) string
	}{
		{"own", func(i int) string { return fmt.Sprintf("10.0.%d.%d:1", i>>8, i&255) }},
		{"one", func(int) string { return "10.0.0.1:1" }},
	} {
		b.Run(c.name, func(b *testing.B) {
			var list List
			for i := range 6000 {
				list.Endpoints = append(list.Endpoints,
					Endpoint{ID: fmt.Sprint("x", i), Address: c.address(i), State: Up, Weight: 1})
			}
			for b.Loop() {
				t := New(Config{Sources: make([]Source, 1)})
				t.ReplaceList(time.Second, 0, list)
				for t.HasChanges() {
					t.TakeChanges(time.Second, 200)
				}
			}
		})
	}
}
