package broker

import (
	"fmt"
	"testing"
	"time"

	"sloequay/internal/membership"
	"sloequay/internal/policy"
)

const benchStart = 1000 * time.Second

// BenchmarkWrite measures the checks of the list and the purges at one write, and then a whole request.
func BenchmarkWrite(b *testing.B) {
	for _, n := range []int{0, 100, 10_000} {
		b.Run(fmt.Sprintf("endpoints+purges/%d", n), func(b *testing.B) { benchmarkMaySend(b, n) })
	}
	for _, purges := range []int{0, 10_000} {
		b.Run(fmt.Sprintf("request/purges-%d", purges), func(b *testing.B) { benchmarkRequest(b, purges) })
	}
}

// benchmarkMaySend measures the checks at a write with n endpoints and n purges.
func benchmarkMaySend(b *testing.B, n int) {
	broker := newBroker(b)
	var list membership.List
	var events []Event
	for i := range n {
		address := fmt.Sprintf("10.0.%d.%d:1", i>>8, i&255)
		list.Endpoints = append(list.Endpoints, testEndpoint(fmt.Sprint("c", i), address, membership.Up))
		events = append(events, Purge{Object: uint64(i + 1), Issued: benchStart - time.Duration(i)*time.Microsecond})
	}
	broker.Round(benchStart, append(events, EndpointList{List: list}))
	endpoint := readyEndpoint("x", "10.9.9.9:1")
	request := &Request{Object: 1 << 40, Group: 3}
	attempt := &Attempt{Request: request, Endpoint: endpoint, Source: endpoint, Deadline: benchStart + time.Second}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		broker.MaySend(attempt, benchStart)
		broker.AddressBlocked("10.0.0.7:1")
		broker.EndpointByName("c7")
	}
}

// benchmarkRequest measures a request with one attempt, through the broker and the policy.
func benchmarkRequest(b *testing.B, purges int) {
	broker := newBroker(b)
	var events []Event
	for i := range 10 {
		endpoint := testEndpoint(fmt.Sprint("c", i), fmt.Sprintf("10.0.0.%d:1", i), membership.Up)
		events = append(events, EndpointDelta{Endpoints: []membership.Endpoint{endpoint}})
	}
	for i := range purges {
		issued := benchStart - time.Duration(i)*time.Microsecond
		events = append(events, Purge{Object: uint64(1<<50 + i), Issued: issued})
	}
	broker.Round(benchStart, events)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		request := &Request{
			ID:         "a",
			Object:     uint64(i%5000 + 1),
			Group:      3,
			SizeKB:     40,
			ReceivedAt: benchStart,
			Timeout:    3 * time.Second,
		}
		for _, effect := range broker.Round(benchStart, []Event{RequestReceived{request}}) {
			if send, ok := effect.(SendAttempt); ok {
				broker.MaySend(send.Attempt, benchStart)
				served := AttemptEnded{Attempt: send.Attempt, End: Served, Note: policy.NoteHit}
				broker.Round(benchStart, []Event{served})
				break
			}
		}
	}
}

// BenchmarkList measures how long lists occupy the event loop, through membership table, broker and policy: a first
// list in parts, a list that changes 1% of the endpoints, and a source that falls silent and responds again. hold-ms is
// the duration of the longest round, in milliseconds.
func BenchmarkList(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000, 100_000} {
		bench := &listBench{endpoints: manyEndpoints(n)}
		b.Run(fmt.Sprintf("first/%d", n), bench.benchmarkFirstList)
		bench.reset(b)
		half := bench.endpoints[:n/2]
		bench.broker.Round(bench.now, []Event{consulList(bench.endpoints), EndpointDelta{Endpoints: half}})
		bench.applyAllChangesUnmeasured()
		b.Run(fmt.Sprintf("changed/%d", n), bench.benchmarkChangedList)
		b.Run(fmt.Sprintf("silent+seen/%d", n), bench.benchmarkSilentSource)
	}
}

// listBench passes lists to a broker and measures its rounds.
type listBench struct {
	endpoints    []membership.Endpoint
	broker       *Broker
	now          time.Duration
	longestRound time.Duration // since the start of a benchmark
}

// reset replaces the broker with a new one.
func (l *listBench) reset(b *testing.B) {
	l.broker = newTwoSourceBroker(b)
	l.now = benchStart
}

// round plays one round and measures it.
func (l *listBench) round(events ...Event) {
	startedAt := time.Now()
	l.broker.Round(l.now, events)
	l.longestRound = max(l.longestRound, time.Since(startedAt))
}

// applyAllChanges plays rounds until all changes are applied.
func (l *listBench) applyAllChanges() {
	for range len(l.endpoints)/maxChangesPerRound + 4 {
		l.round()
	}
}

// applyAllChangesUnmeasured is applyAllChanges without measuring the rounds.
func (l *listBench) applyAllChangesUnmeasured() {
	longest := l.longestRound
	l.applyAllChanges()
	l.longestRound = longest
}

func (l *listBench) report(b *testing.B) {
	b.ReportMetric(float64(l.longestRound.Microseconds())/1000, "hold-ms")
}

func (l *listBench) benchmarkFirstList(b *testing.B) {
	const partSize = 500
	b.ReportAllocs()
	l.longestRound = 0
	for range b.N {
		l.reset(b)
		for from := 0; from < len(l.endpoints); from += partSize {
			part := l.endpoints[from:min(len(l.endpoints), from+partSize)]
			l.round(EndpointList{Source: consulSource, List: membership.List{Endpoints: part, Part: true}})
			for range 4 {
				l.round()
			}
		}
		l.round(consulList(l.endpoints))
		l.applyAllChanges()
		if n := len(l.broker.endpoints.byID); n != len(l.endpoints) {
			b.Fatalf("got %d endpoints, want %d", n, len(l.endpoints))
		}
	}
	l.report(b)
}

func (l *listBench) benchmarkChangedList(b *testing.B) {
	b.ReportAllocs()
	l.longestRound = 0
	n := len(l.endpoints)
	for iteration := range b.N {
		l.now += time.Second
		for i := range n / 100 {
			endpoint := &l.endpoints[(i*97+iteration*31)%n]
			endpoint.State = membership.Up + membership.Draining - endpoint.State
		}
		l.round(consulList(l.endpoints))
		l.applyAllChanges()
	}
	l.report(b)
}

func (l *listBench) benchmarkSilentSource(b *testing.B) {
	l.longestRound = 0
	for range b.N {
		l.now += time.Second
		l.round(SourceStatus{Source: consulSource, Silent: true})
		l.applyAllChangesUnmeasured()
		l.round(SourceStatus{Source: consulSource})
		l.applyAllChangesUnmeasured()
	}
	l.report(b)
}
