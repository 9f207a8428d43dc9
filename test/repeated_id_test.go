package test

import (
	"net"
	"testing"
	"time"
)

// repeatedIDCase is a way in which a request comes again under its id.
type repeatedIDCase struct {
	name        string
	idempotency string
	isAnswered  bool          // whether the first one was answered before its client left
	pause       time.Duration // until it comes again
}

var repeatedIDCases = []repeatedIDCase{
	{"once, after its answer", "once", true, 0},
	{"once, its client left while it ran", "once", false, 0},
	{"by key, after the window", "by_key", true, 400 * time.Millisecond},
	{"by key, its client left, after the window", "by_key", false, 400 * time.Millisecond},
}

// TestRepeatedIDIsNotExecutedAgain guards against an id that runs twice when it comes again on a new connection, after
// its first client has left, although its class does not allow that. The repeat must have an answer that does not say
// that a retry is harmless.
func TestRepeatedIDIsNotExecutedAgain(t *testing.T) {
	for _, c := range repeatedIDCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			bed := newTestbed(t, func(attempt *receivedRequest) {
				if c.isAnswered {
					attempt.Answer("ACK", "-", attempt.ID)
				}
			})
			for _, class := range bed.platformSettings()["classes"].([]any) {
				if settings := class.(map[string]any); settings["name"] == "charge" {
					settings["idempotency"] = c.idempotency
					settings["window-ms"] = 200
				}
			}
			bed.start()
			charge := request(1, "charge", map[string]string{"unique": "key1", "limit": "1500"}, "body")
			first := bed.dial()
			first.send(charge)
			bed.waitAttempts(1)
			if c.isAnswered {
				first.mustRead()
			}
			_ = first.conn.(*net.TCPConn).Close()
			time.Sleep(c.pause)
			second := bed.dial()
			second.waitRequestsRead(2) // and that the first client has left
			second.send(charge)
			answer, err := second.read()
			if err != nil || answer.Error != "Internal" {
				t.Errorf("repeat: got response %+v and error %v, want it failed", answer, err)
			}
			if attempts := len(bed.attempts()); attempts != 1 {
				t.Errorf("got %d attempts of one id, want 1", attempts)
			}
		})
	}
}
