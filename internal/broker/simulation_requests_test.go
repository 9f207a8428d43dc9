package broker_test

import (
	"fmt"
	"slices"
	"time"

	"sloequay/internal/broker"
	"sloequay/internal/digesttest"
	"sloequay/internal/policy"
)

// simulatedRequest is a request with the state that the simulation keeps of it.
type simulatedRequest struct {
	*broker.Request
	attempts  []*simulatedAttempt
	responses int
}

// simulatedAttempt is an attempt with the state that the simulation keeps of it.
type simulatedAttempt struct {
	*broker.Attempt
	canceled bool // by the broker
	ended    bool // its end was reported
}

// respond receives the response to a request. Some of the rejected clients retry.
func (s *simulation) respond(request *simulatedRequest, response broker.Response) {
	request.responses++
	if request.responses > 1 {
		s.t.Errorf("request %s: got %d responses, want 1", request.ID, request.responses)
	}
	s.counts["responses: "+kindText(response.Kind)]++
	if response.Budget != "" {
		s.counts["budget exhausted"]++
	}
	if response.Kind == broker.ResponseRejected && s.random.IntN(3) == 0 {
		s.schedule(response.RetryAfter+s.randomMilliseconds(50), func() {
			repeated := s.newRequest()
			repeated.Class = request.Class
			repeated.Object = request.Object
			repeated.Part = request.Part
			repeated.MarkedRetry = true
			s.receive(repeated)
		})
	}
}

// sendAttempt schedules the write of an attempt once its connection is up, or its end if no connection comes up.
func (s *simulation) sendAttempt(sent *broker.Attempt) {
	request := s.requests[sent.Request]
	attempt := &simulatedAttempt{Attempt: sent}
	s.counts["sends"]++
	switch {
	case slices.ContainsFunc(request.attempts, func(other *simulatedAttempt) bool { return other.Open() }):
		s.counts["hedges"]++
	case sent.Number > 0:
		s.counts["retries"]++
	}
	s.attempts[sent] = attempt
	request.attempts = append(request.attempts, attempt)
	wait := s.randomMilliseconds(10)
	switch mode := s.modes[sent.Endpoint.Name]; {
	case mode == unreachable:
		s.schedule(wait, func() { s.end(attempt, broker.AttemptEnded{End: broker.ConnectFailed}) })
	case s.random.IntN(60) == 0:
		s.schedule(wait, func() { s.end(attempt, broker.AttemptEnded{End: broker.NoConnectionCapacity}) })
	case s.random.IntN(60) == 0:
		s.schedule(wait, func() { s.end(attempt, broker.AttemptEnded{End: broker.NotSent}) })
	case s.random.IntN(25) == 0: // the connection comes up late
		s.schedule(wait+s.randomMilliseconds(1000), func() { s.write(attempt) })
	default:
		s.schedule(wait, func() { s.write(attempt) })
	}
}

// write writes an attempt if MaySend allows it.
func (s *simulation) write(attempt *simulatedAttempt) {
	if attempt.ended {
		return
	}
	maxAge, maySend := s.broker.MaySend(attempt.Attempt, s.now)
	s.recorder.AddUncounted("%d may %s %d %d %s",
		int64(s.now), attempt.Request.ID, attempt.Number, int64(maxAge), digesttest.Flags(maySend))
	if !maySend {
		s.counts["blocked at writing"]++
		s.end(attempt, broker.AttemptEnded{End: broker.Blocked})
		return
	}
	if maxAge > 0 {
		s.counts["written with a max age"]++
	}
	attempt.Written = true
	s.scheduleEnd(attempt)
}

// scheduleEnd schedules the end of a written attempt according to the behaviour of its endpoint.
func (s *simulation) scheduleEnd(attempt *simulatedAttempt) {
	took := time.Duration(attempt.Request.SizeKB*float64(millisecond)) + s.randomMilliseconds(30)
	event := s.healthyEnd(attempt)
	mode := s.modes[attempt.Endpoint.Name]
	if s.random.IntN(40) == 0 {
		mode = behaviour(s.random.IntN(int(behaviourCount)))
	}
	switch mode {
	case slow:
		took += s.randomMilliseconds(1500)
	case silent:
		if s.random.IntN(3) > 0 {
			return
		}
		event = broker.AttemptEnded{End: broker.Unresponsive}
		took = 600 * millisecond
	case rejecting:
		event = broker.AttemptEnded{End: broker.Rejected, Note: policy.NoteSourceRejected}
	case failing:
		event = broker.AttemptEnded{End: broker.Failed}
	case misbehaving:
		ends := []broker.End{broker.ConnectionReset, broker.ProtocolError, broker.AlreadyEnded}
		event = broker.AttemptEnded{End: ends[s.random.IntN(len(ends))]}
	}
	event.MayHaveRun = s.random.IntN(20) == 0
	s.schedule(took, func() { s.end(attempt, event) })
	if s.random.IntN(40) == 0 { // a second end of the same attempt
		s.schedule(took+s.randomMilliseconds(50), func() {
			s.events = append(s.events, broker.AttemptEnded{Attempt: attempt.Attempt})
		})
	}
}

// healthyEnd draws the response of a healthy endpoint. A fill fails if its source does.
func (s *simulation) healthyEnd(attempt *simulatedAttempt) broker.AttemptEnded {
	served := broker.AttemptEnded{
		End:     broker.Served,
		Note:    policy.NoteHit,
		Address: attempt.Endpoint.Address,
		Body:    []byte(attempt.Request.ID),
		Fields:  []broker.Field{{Name: "tag", Value: attempt.Request.ObjectName}},
	}
	if attempt.Request.ETag != "" && s.random.IntN(2) == 0 {
		served.End = broker.NotModified
		served.Body = nil
	}
	if attempt.Source == attempt.Endpoint {
		if s.random.IntN(2) == 0 && attempt.Endpoint.Kind == cacheKind {
			return broker.AttemptEnded{End: broker.CacheMiss}
		}
		return served
	}
	switch s.modes[attempt.Source.Name] {
	case silent, unreachable:
		return broker.AttemptEnded{End: broker.Failed, Note: policy.NoteSourceLost}
	case rejecting:
		return broker.AttemptEnded{End: broker.Rejected, Note: policy.NoteSourceRejected}
	case failing, misbehaving:
		return broker.AttemptEnded{End: broker.Failed, Note: policy.NoteOriginFailed}
	}
	if attempt.CachedOnly && s.random.IntN(2) == 0 {
		return broker.AttemptEnded{End: broker.CacheMiss, Note: policy.NoteSourceMiss}
	}
	notes := []policy.Note{policy.NoteFilled, policy.NoteFilledOrigin, policy.NoteJoined, policy.NoteNoCapacity}
	served.Note = notes[s.random.IntN(len(notes))]
	s.randomMilliseconds(50) // unused draw, which keeps the random sequence of the recorded digests
	return served
}

// end reports the end of an attempt. Half of the canceled attempts report none.
func (s *simulation) end(attempt *simulatedAttempt, event broker.AttemptEnded) {
	if attempt.ended || attempt.canceled && s.random.IntN(2) == 0 {
		return
	}
	if attempt.canceled {
		s.counts["ends after cancels"]++
	}
	attempt.ended = true
	event.Attempt = attempt.Attempt
	s.events = append(s.events, event)
}

// cancelAttempt cancels an attempt as the broker asked. With awaitEnd its end must still be reported.
func (s *simulation) cancelAttempt(attempt *simulatedAttempt, awaitEnd bool) {
	if attempt == nil { // the broker blocked it, so it was never sent
		return
	}
	s.counts["cancels"]++
	attempt.canceled = true
	if awaitEnd {
		s.counts["cancels that await the end"]++
		s.schedule(s.randomMilliseconds(20), func() {
			if attempt.ended {
				return
			}
			attempt.ended = true
			s.events = append(s.events, broker.AttemptEnded{Attempt: attempt.Attempt, End: broker.Canceled})
		})
	}
}

// newRequest draws a request.
func (s *simulation) newRequest() *broker.Request {
	teams := []string{"small", "large", "other"}
	request := &broker.Request{
		ID:         fmt.Sprintf("%08x", len(s.arrivals)+1),
		Object:     s.objects.Uint64() + 1,
		Part:       s.random.IntN(2),
		Group:      s.random.IntN(9) - 1,
		SizeKB:     5 + 100*s.random.Float64(),
		ReceivedAt: s.now - s.randomMilliseconds(5),
		Timeout:    300*millisecond + s.randomMilliseconds(2000),
		Team:       teams[s.random.IntN(len(teams))],
	}
	if s.random.IntN(3) == 0 {
		request.Class = s.random.IntN(len(s.config.Classes))
	}
	request.ObjectName = fmt.Sprintf("object %d", request.Object)
	if s.random.IntN(5) == 0 {
		request.ETag = "known"
	}
	switch s.random.IntN(10) {
	case 0:
		request.SizeKB = 0 // unknown
	case 1:
		request.SizeKB *= 6
	}
	if n := len(s.arrivals); n > 0 && s.random.IntN(100) == 0 {
		request.ID = s.arrivals[n-1].ID // a duplicate, if that request is still open
	}
	return request
}

// receive adds a request to the next round. Some clients cancel early, a few of them in the same round.
func (s *simulation) receive(request *broker.Request) {
	if class := s.config.Classes[request.Class]; class.Idempotency == policy.IdempotentByKey {
		request.Key = request.ID
	}
	simulated := &simulatedRequest{Request: request}
	s.requests[request] = simulated
	s.arrivals = append(s.arrivals, simulated)
	s.events = append(s.events, broker.RequestReceived{Request: request})
	if s.random.IntN(25) > 0 {
		return
	}
	if s.random.IntN(4) == 0 {
		s.cancel(simulated)
		return
	}
	s.schedule(s.randomMilliseconds(200), func() { s.cancel(simulated) })
}

func (s *simulation) cancel(request *simulatedRequest) {
	if request.responses > 0 {
		return
	}
	s.counts["clients that canceled"]++
	request.Canceled = true
	s.events = append(s.events, broker.RequestCanceled{Request: request.Request})
}
