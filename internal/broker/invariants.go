package broker

import (
	"slices"
	"time"

	"sloequay/internal/invariant"
)

// SetMonitor makes the broker check its invariants at run time and report violations to monitor.
func (b *Broker) SetMonitor(monitor *invariant.Monitor) { b.monitor = monitor }

// checkWrite checks an attempt that MaySend has allowed. It derives the rules from the current state of the request and
// its endpoints, independently of the guards that should enforce them.
func (b *Broker) checkWrite(attempt *Attempt, now time.Duration) {
	request := attempt.Request
	if request.state != requestAdmitted || request.Canceled || b.open[request.id] != request {
		b.monitor.RecordViolation(invariant.RequestOpenAtWrite, request.ID)
	}
	if !attempt.Endpoint.usable() || !attempt.Source.usable() {
		b.monitor.RecordViolation(invariant.EndpointReadyAtWrite, request.ID)
	}
	if attempt.Deadline > request.ReceivedAt+request.Timeout || now >= attempt.Deadline {
		b.monitor.RecordViolation(invariant.DeadlineInTime, request.ID)
	}
	isAnotherInFlight := slices.ContainsFunc(request.attempts, func(other *Attempt) bool {
		return other != attempt && other.Written && other.Open()
	})
	if isAnotherInFlight && !b.config.Hedging {
		b.monitor.RecordViolation(invariant.OneAttemptInFlight, request.ID)
	}
}
