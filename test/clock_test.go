package test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// TestClockSteps is the second half of the sixth hard case: the Unix clock steps back an hour and forward a day while requests
// are under way. None is lost or late; what goes by stamps, tokens, revocations and purges, goes by the clock as it is.
func TestClockSteps(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, nil)
	k := w.enableIdentity("")
	w.addSettings("snapshot {\nfile " + filepath.Join(t.TempDir(), "list") + "\nevery 100ms\n}")
	var err error
	if w.program, err = clockstepProgram(); err != nil {
		t.Fatal(err)
	}
	off := filepath.Join(t.TempDir(), "clock")
	w.env = append(w.env, "SLOEQUAY_CLOCK="+off)
	w.start()
	steps := 0
	set := func(by time.Duration) {
		t.Helper()
		if err := os.WriteFile(off+".new", fmt.Append(nil, int64(by)), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(off+".new", off); err != nil {
			t.Fatal(err)
		}
		steps++
		w.waitUntil("the step is logged", func() bool { return strings.Count(w.log.String(), "event=clock-stepped") == steps })
	}
	valid, stolen := k.token("lane-1", "lanes", 2*time.Hour), k.token("lane-2", "lanes", 2*time.Hour)
	k.must("key", "revoke", "subject", "lane-2", "--for", "3h")
	client, id := w.dial(), uint64(0)
	ask := func(fields map[string]string) reply {
		id++
		client.send(request(id, "lookup", fields, ""))
		return client.mustRead()
	}
	w.waitUntil("the theft is known", func() bool { return ask(map[string]string{"token": stolen}).Fields["reason"] == "revoked" })
	served := func(when string) {
		t.Helper()
		for range 20 {
			if a := ask(map[string]string{"token": valid}); a.Error != "" {
				t.Fatalf("%s: %+v", when, a)
			}
		}
	}
	served("before")
	held := make(chan *receivedRequest, 1)
	hold := func() {
		w.setResponder(func(a *receivedRequest) { held <- a })
		id++
		client.send(request(id, "lookup", map[string]string{"token": valid, "limit": "5000"}, ""))
	}
	release := func(when string) {
		t.Helper()
		a := <-held
		w.setResponder(nil)
		a.Answer("ACK", "tag=t1", "done")
		if a := client.mustRead(); a.Error != "" || a.ID != id {
			t.Errorf("what was open %s: %+v", when, a)
		}
	}
	hold()
	set(-time.Hour)
	release("when the clock stepped back an hour")
	served("an hour back")
	if a := ask(map[string]string{"token": stolen}); a.Fields["reason"] != "revoked" {
		t.Errorf("a revoked token an hour back: %+v", a)
	}
	hold()
	set(24 * time.Hour)
	release("when the clock stepped forward a day")
	if a := ask(map[string]string{"token": valid}); a.Fields["reason"] != "expired" {
		t.Errorf("a token of two hours a day later: %+v, want it refused as expired", a)
	}
	// A purge is stamped by a right clock; a day ahead the doorman must not take it for a day old.
	set(0)
	served("back at the right time")
	if a := ask(map[string]string{"token": stolen}); a.Fields["reason"] != "revoked" {
		t.Errorf("a token whose revocation had ended a day ahead: %+v, want it revoked again", a)
	}
	w.listFeed <- fmt.Sprintf(`{"no":2,"recall":{"item":"7f3a9c21e0b4d655","issued":%d}}`, time.Now().UnixMilli())
	w.waitUntil("a purge holds", func() bool {
		ask(map[string]string{"token": valid})
		asks := w.received(hasWord("ASK"))
		return asks[len(asks)-1].Fields["fresh"] != ""
	})
	if log := w.log.String(); strings.Contains(log, "snapshot-write-failed") || strings.Count(log, "event=keys-rejected") > 0 {
		t.Error("the steps broke something beside")
	}
}
