package liveness

import (
	"testing"
	"time"
)

// BenchmarkStep steps a connection with a check out and nothing past due, as most are.
func BenchmarkStep(b *testing.B) {
	const now = time.Minute
	var monitor Monitor
	monitor.BytesRead(now)
	monitor.CheckSent(now, "p1")
	b.ReportAllocs()
	for b.Loop() {
		if monitor.Step(now, Facts{ChecksAllowed: true}) != Healthy {
			b.Fatal("the connection is not healthy")
		}
	}
}
