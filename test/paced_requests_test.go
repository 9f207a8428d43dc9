package test

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

const (
	// waitingNeighbours is a number of rate-limited connections with which a connection waits longer for its turn than
	// messages may wait, and neighbourMessages how many messages each of them sends.
	waitingNeighbours = 200
	neighbourMessages = 8
)

// pacedTestbed is a program that rate-limits all new clients of this address, as others of them flood it.
type pacedTestbed struct {
	*testbed
	token string // a valid token
	stop  chan struct{}
	ended []chan struct{} // of the floods
}

// newPacedTestbed starts a program and floods on it, and returns once new clients are rate-limited.
func newPacedTestbed(t *testing.T, floods int) *pacedTestbed {
	t.Helper()
	bed := &pacedTestbed{testbed: newTestbed(t, nil), stop: make(chan struct{})}
	bed.token = bed.enableIdentity("").token("lane-1", "lanes", time.Hour)
	bed.start()
	for range floods {
		ended := make(chan struct{})
		bed.ended = append(bed.ended, ended)
		flood := &tokenFlood{testbed: bed.testbed, token: bed.token, reads: true}
		go func() { defer close(ended); flood.run(bed.stop) }()
	}
	t.Cleanup(bed.stopFloods)
	time.Sleep(*floodDuration)
	return bed
}

// stopFloods ends the floods. Further calls have no effect.
func (bed *pacedTestbed) stopFloods() {
	if bed.ended == nil {
		return
	}
	close(bed.stop)
	for _, ended := range bed.ended {
		<-ended
	}
	bed.ended = nil
}

// sendCharges sends as many of the largest charges as may be open, with the valid token, and counts the answers.
func (bed *pacedTestbed) sendCharges(afterwards func()) *answerCounts {
	bed.t.Helper()
	connected := bed.dial()
	sent := make(chan error, 1)
	go func() {
		for index := range uint64(openPerConnection) {
			fields := map[string]string{"token": bed.token, "txn": hexID(index + 1), "unique": hexID(index + 1),
				"limit": "20000"}
			body := strings.Repeat("x", largestWrite)
			if err := connected.protocol.Send(request(index+1, "charge", fields, body)); err != nil {
				sent <- fmt.Errorf("charge %d: %w", index+1, err)
				return
			}
		}
		sent <- nil
	}()
	if err := <-sent; err != nil {
		bed.t.Error(err)
	}
	afterwards()
	counts := &answerCounts{}
	for range openPerConnection {
		answer, err := connected.read()
		counts.count(answer, err)
	}
	bed.t.Logf("served %d, rejected %d", counts.served.Load(), counts.rejected.Load())
	return counts
}

// TestRateLimitedRequestsAreAnswered guards against requests that are dropped with their connection: a client that
// keeps the protocol is rate-limited because of others at its address, and has as many requests wait for its turn as
// it may have open, with the largest bodies. Each must get an answer, also if it waits too long and if the program is
// told to end meanwhile.
func TestRateLimitedRequestsAreAnswered(t *testing.T) {
	t.Parallel()
	t.Run("one flood", func(t *testing.T) {
		t.Parallel()
		newPacedTestbed(t, 1).sendCharges(func() {}).expectServedOrRejected(t)
	})
	t.Run("many connections wait for longer than messages may", func(t *testing.T) {
		t.Parallel()
		bed := newPacedTestbed(t, 1)
		for neighbour := range waitingNeighbours {
			bed.sendBadTokens(neighbour)
		}
		bed.sendCharges(func() {}).expectServedOrRejected(t)
		bed.waitLogMatches(`event=client-rate-limited from=\S+ waited=\S+ rejected=[1-9]`)
	})
	t.Run("clients wait for less than messages may", func(t *testing.T) {
		t.Parallel()
		bed := newPacedTestbed(t, 1)
		for neighbour := range waitingNeighbours {
			bed.sendBadTokens(neighbour)
		}
		bed.expectAnsweredInTime()
	})
	t.Run("planned restart", func(t *testing.T) {
		t.Parallel()
		bed := newPacedTestbed(t, 1)
		bed.sendCharges(func() {
			bed.stopFloods()
			bed.terminate()
		}).expectServedOrRejected(t)
		bed.waitExit()
	})
}

// expectAnsweredInTime has a client send requests with short timeouts, and fails the test unless each is answered in
// its time.
func (bed *pacedTestbed) expectAnsweredInTime() {
	bed.t.Helper()
	const requests = 8
	const timeout = 600 * time.Millisecond
	connected := bed.dial()
	fields := map[string]string{"token": bed.token, "limit": fmt.Sprint(timeout.Milliseconds())}
	sentAt := time.Now()
	for id := range uint64(requests) {
		fields["txn"] = hexID(id + 1)
		connected.send(request(id+1, "lookup", fields, ""))
	}
	for range requests {
		answer, err := connected.read()
		if took := time.Since(sentAt); err != nil || took > timeout {
			bed.t.Fatalf("got error code %q and error %v after %v, want an answer within %v", answer.Error, err, took,
				timeout)
		}
	}
	bed.waitLogMatches(`event=client-rate-limited from=\S+ expired=[1-9]`)
}

// sendBadTokens connects a client that sends some charges with invalid tokens at once, and reads no answer.
func (bed *pacedTestbed) sendBadTokens(client int) {
	bed.t.Helper()
	connected := bed.dial()
	var batch []byte
	for index := range uint64(neighbourMessages) {
		bad := fmt.Sprintf("%s%08d", bed.token[:len(bed.token)-8], uint64(client)<<8+index)
		fields := map[string]string{"token": bad, "txn": hexID(1<<40 + writeID(client, int(index))), "unique": "n",
			"limit": "20000"}
		batch = append(batch, request(index+1, "charge", fields, "")...)
	}
	if _, err := connected.conn.Write(batch); err != nil {
		bed.t.Fatal(err)
	}
}
