package test

import (
	"fmt"
	"path/filepath"
	"testing"
	"time"
)

// TestClockSteps: the Unix clock steps back an hour and forward a day while requests are under way. None is lost or
// late; what goes by stamps, tokens, revocations and purges, goes by the clock as it is.
func TestClockSteps(t *testing.T) {
	t.Parallel()
	bed := newTestbed(t, nil)
	keys := bed.enableIdentity("")
	bed.addSettings("snapshot {", "file "+filepath.Join(t.TempDir(), "list"), "every 100ms", "}")
	var err error
	if bed.programPath, err = buildClockstepProgram(); err != nil {
		t.Fatal(err)
	}
	driftFile, nextDrift := filepath.Join(t.TempDir(), "drift"), filepath.Join(t.TempDir(), "next")
	bed.env = append(bed.env, "SLOEQUAY_CLOCK="+driftFile)
	bed.start()
	steps := 0
	setDrift := func(drift time.Duration) {
		t.Helper()
		writeFile(t, nextDrift, fmt.Sprint(int64(drift)))
		replaceFile(t, nextDrift, driftFile)
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
				t.Fatalf("%s: %+v, want it served", when, answer)
			}
		}
	}
	expectReason := func(when, token, want string) {
		t.Helper()
		if answer := lookup(token); answer.Fields["reason"] != want {
			t.Errorf("%s: %+v, want it rejected for the reason %q", when, answer, want)
		}
	}
	expectServed("before the first step")
	pending := make(chan *receivedRequest, 1)
	hold := func() {
		bed.setResponder(func(attempt *receivedRequest) { pending <- attempt })
		id++
		client.send(request(id, "lookup", map[string]string{"token": valid, "limit": "5000"}, ""))
	}
	release := func(when string) {
		t.Helper()
		attempt := <-pending
		bed.setResponder(nil)
		answerDone(attempt)
		if answer := client.mustRead(); answer.Error != "" || answer.ID != id {
			t.Errorf("the request that was open %s: %+v, want it served", when, answer)
		}
	}
	hold()
	setDrift(-time.Hour)
	release("when the clock stepped back an hour")
	expectServed("an hour back")
	expectReason("a revoked token an hour back", stolen, "revoked")
	hold()
	setDrift(24 * time.Hour)
	release("when the clock stepped forward a day")
	expectReason("a token of two hours a day later", valid, "expired")
	// A purge is stamped by a right clock; a day ahead the proxy must not take it for a day old.
	setDrift(0)
	expectServed("back at the right time")
	expectReason("a token whose revocation had ended a day ahead", stolen, "revoked")
	bed.listFeed <- objectInvalidation(2, "7f3a9c21e0b4d655", time.Now().UnixMilli())
	bed.waitUntil("a purge holds", func() bool {
		lookup(valid)
		return bed.lastAttempt().Fields["fresh"] != ""
	})
	for _, fault := range []string{"snapshot-write-failed", "event=keys-rejected"} {
		if bed.logged(fault) {
			t.Errorf("%q is logged, want the steps to break nothing", fault)
		}
	}
}
