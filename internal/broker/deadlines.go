package broker

import "time"

// The times of a request count from Request.ReceivedAt, the earliest time at which its last byte may have come. Its
// frontend knows that time; how much of Request.Timeout is left while the process drains is shutdown's to say.
const (
	// responseMargin is taken off a client's time-out: the loop may come to write the response late.
	responseMargin = 50 * time.Millisecond
	// rejectionMargin is taken off the half of a time-out: a rejection after that half costs more.
	rejectionMargin = 20 * time.Millisecond
	// A short time-out, which the margins would use up, is divided by these instead.
	responseMarginDivisor  = 8
	rejectionMarginDivisor = 16
)

// responseDeadline is when the response to a request must be on its way, whatever it is. It is the deadline of the
// request's attempts, too, and what is left until then is told to the endpoints.
func responseDeadline(receivedAt, timeout time.Duration) time.Duration {
	return receivedAt + timeout - min(responseMargin, timeout/responseMarginDivisor)
}

// rejectionDeadline is when a request is rejected of which nothing has reached an endpoint, at half of its time: a
// response would hardly come in time any more, and the client may still try another proxy.
func rejectionDeadline(receivedAt, timeout time.Duration) time.Duration {
	return receivedAt + timeout/2 - min(rejectionMargin, timeout/rejectionMarginDivisor)
}
