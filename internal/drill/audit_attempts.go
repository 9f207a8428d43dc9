package drill

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Limits from emulator.Settings that the audit expects the proxies to keep.
const (
	maxAttempts = 6               // per request
	keyedWindow = 3 * time.Second // within which a keyed request may be repeated
)

// checkRepeats checks the attempts of each request: no two in flight at once, none after a successful one, at most
// maxAttempts, and a keyed request that may have run is repeated only within its window.
func (r *Record) checkRepeats(_ Invariant, found *findings) string {
	byRequest := map[string][]*Attempt{}
	for _, attempt := range r.Attempts {
		byRequest[attempt.ID] = append(byRequest[attempt.ID], attempt)
	}
	for id, attempts := range byRequest {
		slices.SortStableFunc(attempts, func(a, b *Attempt) int { return int(a.ReceivedAt - b.ReceivedAt) })
		if len(attempts) > maxAttempts {
			found.add("%s: got %d attempts, want at most %d: %s", id, len(attempts), maxAttempts,
				describeAttempts(attempts))
		}
		for i, attempt := range attempts[1:] {
			checkRepeat(attempts[i], attempt, found)
		}
		checkKeyedRepeats(attempts, found)
	}
	return fmt.Sprintf("%d attempts", len(r.Attempts))
}

// describeAttempts lists when attempts were received, their senders and endpoints, and when each ended.
func describeAttempts(attempts []*Attempt) string {
	var words []string
	for _, attempt := range attempts {
		words = append(words, fmt.Sprintf("%.3f %s>%s answered %.3f canceled %.3f closed %.3f",
			attempt.ReceivedAt.Seconds(), attempt.From, attempt.Endpoint, attempt.AnsweredAt.Seconds(),
			attempt.CanceledAt.Seconds(), attempt.conn.ended().Seconds()))
	}
	return strings.Join(words, ", ")
}

// checkRepeat checks an attempt against the next one of the same request.
func checkRepeat(before, next *Attempt, found *findings) {
	if ended := before.endedAt(); ended == 0 || ended > next.ReceivedAt+socketSlack {
		found.add("%s was still in flight at %s (received at %.3f s) when it was sent to %s at %.3f s",
			next.ID, before.Endpoint, before.ReceivedAt.Seconds(), next.Endpoint, next.ReceivedAt.Seconds())
	}
	isAnswered := before.AnsweredAt > 0 && before.AnsweredAt+socketSlack < next.ReceivedAt
	if isAnswered && before.Executed && before.CanceledAt == 0 && before.conn.ended() == 0 {
		found.add("%s was answered successfully by %s and then sent to %s", next.ID, before.Endpoint, next.Endpoint)
	}
}

// checkKeyedRepeats checks the attempts of one request if it has a key.
func checkKeyedRepeats(attempts []*Attempt, found *findings) {
	first := attempts[0]
	mayHaveRun := first.AnsweredAt == 0 || first.Executed
	if first.Key == "" || !mayHaveRun {
		return
	}
	for _, attempt := range attempts[1:] {
		if after := attempt.ReceivedAt - first.ReceivedAt; after > keyedWindow+socketSlack {
			found.add("%s may have run at %.2f s and was repeated %.2f s later", first.Key, first.ReceivedAt.Seconds(),
				after.Seconds())
		}
	}
}

// checkDrains checks that an endpoint receives no attempt later than the bound after its drain was published.
func (r *Record) checkDrains(invariant Invariant, found *findings) string {
	limit := invariant.boundTime() + socketSlack
	for _, drain := range r.Drains {
		end := r.drainEnd(drain)
		for _, attempt := range r.Attempts {
			isForbidden := attempt.ReceivedAt > drain.At+limit && attempt.ReceivedAt < end
			if attempt.Endpoint == drain.Endpoint && isForbidden {
				found.add("%s has been draining since %.2f s, but received %s at %.2f s from %s", drain.Endpoint,
					drain.At.Seconds(), attempt.ID, attempt.ReceivedAt.Seconds(), attempt.From)
			}
		}
	}
	return fmt.Sprintf("%d drains", len(r.Drains))
}

// drainEnd returns when an endpoint was up again after a drain, or forever.
func (r *Record) drainEnd(drain EndpointEvent) time.Duration {
	end := forever
	for _, undrain := range r.Undrains {
		if undrain.Endpoint == drain.Endpoint && undrain.At > drain.At {
			end = min(end, undrain.At)
		}
	}
	return end
}

// checkDeadlines checks that no endpoint is given more time than the client has left plus the bound.
func (r *Record) checkDeadlines(invariant Invariant, found *findings) string {
	requests := map[string]*Request{}
	for _, request := range r.Requests {
		requests[request.ID] = request
	}
	excess := invariant.boundTime() + socketSlack
	for _, attempt := range r.Attempts {
		request := requests[attempt.ID]
		if request == nil {
			continue
		}
		if left := request.SentAt + r.clientLimit - attempt.ReceivedAt; attempt.Timeout > left+excess {
			found.add("%s got a timeout of %v from %s at %.3f s with %v left; sent at %.3f s to proxy %d, first on "+
				"its connection %v, resent %v", attempt.ID, attempt.Timeout, attempt.From,
				attempt.ReceivedAt.Seconds(), left, request.SentAt.Seconds(), request.Proxy, request.FirstOfConn,
				request.Resent)
		}
	}
	return fmt.Sprintf("%d attempts", len(r.Attempts))
}
