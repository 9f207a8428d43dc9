package policy

import (
	"slices"
	"testing"
)

// TestLostResponseIsHedged guards against a lost response that blocks its request until the client times out.
func TestLostResponseIsHedged(t *testing.T) {
	h := newHarness(t, testConfig())
	h.request(1, 0, 7) // a transfer time of 100 ms; the lookup gets no response
	h.tick(150 * ms)
	if n := len(h.sent[1]); n != 1 {
		t.Fatalf("got %d attempts before twice the transfer time, want 1", n)
	}
	if h.tick(150 * ms); len(h.sent[1]) != 2 {
		t.Errorf("got %d attempts after 300 ms, want 2", len(h.sent[1]))
	}
}

// TestOvertakenAttemptIsCanceled guards against a lost response that blocks its request until the client times out
// where hedging is not allowed. Under overload all responses are late alike, and no attempt is canceled.
func TestOvertakenAttemptIsCanceled(t *testing.T) {
	for _, overtakers := range []int{0, 2} {
		h := newSingleCacheHarness(t)
		h.request(1, 0, 7)
		h.now += ms
		for id := RequestID(2); id < RequestID(2+overtakers); id++ {
			h.handle(RequestEvent{ID: id, Object: uint64(id), Remaining: 3 * sec, SizeKB: 200})
			h.respond(id, StatusOK, NoteHit)
		}
		h.tick(2500 * ms)
		if canceled := slices.Contains(h.actions, Action(CancelAttempt{1, 0})); canceled != (overtakers > 0) {
			t.Errorf("overtaken by %d responses: got canceled %v", overtakers, canceled)
		}
		if len(h.sent[1]) != 1 {
			t.Errorf("overtaken by %d responses: got %d attempts before the first ended, want 1",
				overtakers, len(h.sent[1]))
		}
		if overtakers > 0 {
			if h.respond(1, StatusCanceled, NoteNone); len(h.sent[1]) != 2 {
				t.Error("no second attempt was sent after the first one was canceled")
			}
		}
	}
}

// TestOvertakenAttemptIsCanceledWithoutAttemptLimit guards against a lost response that blocks its request until the
// client times out where the number of attempts is not limited.
func TestOvertakenAttemptIsCanceledWithoutAttemptLimit(t *testing.T) {
	h := newSingleCacheHarness(t)
	h.engine.cfg.MaxAttempts = 0
	h.request(1, 0, 7)
	h.now += ms
	for id := RequestID(2); id < 4; id++ {
		h.handle(RequestEvent{ID: id, Object: uint64(id), Remaining: 3 * sec, SizeKB: 200})
		h.respond(id, StatusOK, NoteHit)
	}
	h.tick(2500 * ms)
	if !slices.Contains(h.actions, Action(CancelAttempt{1, 0})) {
		t.Error("an attempt that two responses have overtaken was not canceled")
	}
}
