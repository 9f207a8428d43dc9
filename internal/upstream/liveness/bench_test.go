package liveness

import (
	"testing"
	"time"
)

// BenchmarkStep measures a step of a connection with an outstanding check and nothing past due, the most common case.
func BenchmarkStep(b *testing.B) {
	const now = time.Minute
	var monitor Monitor
	monitor.BytesRead(now)
	monitor.CheckSent(now, "p1")
	b.ReportAllocs()
	for b.Loop() {
		if monitor.Step(now, Facts{ChecksAllowed: true}) != Healthy {
			b.Fatal("got another verdict, want Healthy")
		}
	}
}
