package upstream

import (
	"fmt"
	"testing"
	"time"

	"sloequay/internal/broker"
)

// The benchmarked endpoint has benchmarkConnections connections, each with benchmarkLoad outstanding attempts.
const (
	benchmarkConnections = 8
	benchmarkLoad        = 16
)

func benchmarkAttempt(id string) *broker.Attempt {
	endpoint := &broker.Endpoint{Name: "s-00c41f7a", Address: "10.1.0.9:8443"}
	request := &broker.Request{ID: id, ObjectName: "7f3a9c21e0b4d655", Key: "k1", Body: make([]byte, 100)}
	return &broker.Attempt{
		Request:   request,
		Endpoint:  endpoint,
		Source:    &broker.Endpoint{Name: "p-00c41f7a"},
		CacheRank: 2,
		JoinFill:  true,
	}
}

func BenchmarkChoose(b *testing.B) {
	now := time.Minute
	pool := &Pool{Now: func() time.Duration { return now }, Streams: 64}
	group := &endpointConnections{pool: pool}
	for i := range benchmarkConnections {
		c := &connection{
			pool:     pool,
			group:    group,
			state:    stateUp,
			attempts: map[string]*outstandingAttempt{},
			history:  newIDHistory(),
		}
		for j := range benchmarkLoad {
			id := fmt.Sprint("r", i, "-", j)
			c.attempts[id] = &outstandingAttempt{attempt: benchmarkAttempt(id), dueAt: now + time.Second}
		}
		group.connections = append(group.connections, c)
	}
	b.ReportAllocs()
	for b.Loop() {
		group.choose("another")
	}
}

func BenchmarkAppendRequest(b *testing.B) {
	attempt := benchmarkAttempt("r1")
	b.ReportAllocs()
	for b.Loop() {
		appendRequest(nil, attempt, "web", time.Second, time.Second)
	}
}

func BenchmarkParseResponse(b *testing.B) {
	const line = "r1 ACK tag=7f3a,minted=1764576000123,remark=hit,lag=1.5 1000"
	data := fmt.Appendf(nil, "%s\r\n%s\r\n", line, make([]byte, 1000))
	attempt := benchmarkAttempt("r1")
	b.ReportAllocs()
	for b.Loop() {
		r, _, err := parseResponse(data)
		if err != nil {
			b.Fatal(err)
		}
		r.attemptEnded(attempt)
	}
}
