package broker

import "time"

// The times of a request count from Request.ReceivedAt, the earliest time at which its last byte may have arrived. The
// frontend sets that time. While the process drains, package shutdown shortens Request.Timeout.
const (
	// responseMargin is subtracted from a client's timeout because the event loop may write the response late.
	responseMargin = 50 * time.Millisecond
	// rejectionMargin is subtracted from half of a timeout because a rejection after the half time costs more.
	rejectionMargin = 20 * time.Millisecond
	// For a short timeout, which the margins would use up, the margin is the timeout divided by these.
	responseMarginDivisor  = 8
	rejectionMarginDivisor = 16
)

// responseDeadline returns the time by which the response to a request must be sent, of whatever kind it is. It is also
// the latest deadline of the request's attempts, and endpoints are told the time left until then.
func responseDeadline(receivedAt, timeout time.Duration) time.Duration {
	return receivedAt + timeout - min(responseMargin, timeout/responseMarginDivisor)
}

// RejectionDeadline returns the half time of a request, at which it is rejected if no attempt of it has been written:
// a response would hardly arrive in time, and the client can still try another proxy.
func RejectionDeadline(receivedAt, timeout time.Duration) time.Duration {
	return receivedAt + timeout/2 - min(rejectionMargin, timeout/rejectionMarginDivisor)
}
