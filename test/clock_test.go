package test

import (
	"fmt"
	"path/filepath"
	"testing"
	"time"
)

// TestClockSteps checks that requests are neither lost nor late when the Unix clock steps back an hour and forward a
// day while they are open, and that timestamps, tokens, revocations and purges are judged by the current Unix time.
func TestClockSteps(t *testing.T) {
	t.Parallel()
	bed := newTestbed(t, nil)
	keys := bed.enableIdentity("")
	bed.addSettings("snapshot {", "file "+filepath.Join(t.TempDir(), "list"), "every 100ms", "}")
	var err error
	if bed.programPath, err = buildClockstepProgram(); err != nil {
		t.Fatal(err)
	}
	offsetFile, nextOffsetFile := filepath.Join(t.TempDir(), "offset"), filepath.Join(t.TempDir(), "next")
	bed.env = append(bed.env, "SLOEQUAY_CLOCK="+offsetFile)
	bed.start()
	steps := 0
	setOffset := func(offset time.Duration) {
		t.Helper()
		writeFile(t, nextOffsetFile, fmt.Sprint(int64(offset)))
		replaceFile(t, nextOffsetFile, offsetFile)
		steps++
		bed.waitLoggedTimes("event=clock-stepped", steps)
	}
	valid, stolen := keys.token("lane-1", "lanes", 2*time.Hour), keys.token("lane-2", "lanes", 2*time.Hour)
	keys.mustRun("key", "revoke", "subject", "lane-2", "--for", "3h")
	client, id := bed.dial(), uint64(0)
	lookup := func(token string) reply {
		id++
		return client.call(id, "lookup", map[string]string{"token": token})
	}
	bed.waitUntil("the stolen token is revoked", func() bool { return lookup(stolen).Fields["reason"] == "revoked" })
	expectServed := func(when string) {
		t.Helper()
		for range 20 {
			if answer := lookup(valid); answer.Error != "" {
				t.Fatalf("%s: got response %+v, want the request served", when, answer)
			}
		}
	}
	expectReason := func(when, token, want string) {
		t.Helper()
		if answer := lookup(token); answer.Fields["reason"] != want {
			t.Errorf("%s: got response %+v, want a rejection with the reason %q", when, answer, want)
		}
	}
	expectServed("before the first step")
	// hold opens a request. It is at an endpoint when hold returns, so that its token is judged before the next step.
	hold := func() *receivedRequest {
		t.Helper()
		pending := make(chan *receivedRequest, 1)
		bed.setResponder(func(attempt *receivedRequest) { pending <- attempt })
		id++
		client.send(request(id, "lookup", map[string]string{"token": valid, "limit": "5000"}, ""))
		return nextReceived(t, pending)
	}
	release := func(when string, attempt *receivedRequest) {
		t.Helper()
		bed.setResponder(nil)
		answerDone(attempt)
		if answer := client.mustRead(); answer.Error != "" || answer.ID != id {
			t.Errorf("request that was open %s: got response %+v, want it served", when, answer)
		}
	}
	held := hold()
	setOffset(-time.Hour)
	release("when the clock stepped back an hour", held)
	expectServed("after the step back")
	expectReason("a revoked token after the step back", stolen, "revoked")
	held = hold()
	setOffset(24 * time.Hour)
	release("when the clock stepped forward a day", held)
	expectReason("a token of two hours after the step forward", valid, "expired")
	// The purge has the timestamp of a correct clock. The proxy, whose clock was a day ahead, must not treat it as a
	// day old.
	setOffset(0)
	expectServed("after the step to the correct time")
	expectReason("a token whose revocation ended at the step forward", stolen, "revoked")
	bed.listFeed <- objectInvalidation(2, "7f3a9c21e0b4d655", time.Now().UnixMilli())
	bed.waitUntil("the purge applies", func() bool {
		lookup(valid)
		return bed.lastAttempt().Fields["fresh"] != ""
	})
	for _, fault := range []string{"snapshot-write-failed", "event=keys-rejected"} {
		if bed.logged(fault) {
			t.Errorf("got %q in the log, want no failure because of the steps", fault)
		}
	}
}
