package test

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
)

// TestPoolIsolation: each service's requests go to its own pool's endpoints alone. One pool hangs with all that it
// may have open; the other serves every request as before, and what the hung one can't take is rejected at once.
func TestPoolIsolation(t *testing.T) {
	t.Parallel()
	var hung atomic.Bool
	w := newTestbed(t, func(a *receivedRequest) {
		if a.Endpoint != "c2" || !hung.Load() {
			answerDone(a)
		}
	})
	w.addSettings("services {",
		"pool main {", "boxes id=c1", "boxes class=parent,origin", "}",
		"pool pictures {", "boxes id=c2", "boxes class=parent,origin", "part 0.5", "}",
		"service cams pictures", "rule cams team=cams", "}")
	w.start()
	caller, id := w.dial(), uint64(0)
	prefix := map[string]string{"cams": "c0", "lanes": "a0"} // of the attempts' ids, by team
	ask := func(team string) reply {
		id++
		return caller.ask(id, "lookup", map[string]string{"team": team, "ram": "1", "limit": "2000",
			"txn": fmt.Sprintf("%s%014x", prefix[team], id), "item": hexID(id%50 + 1)})
	}
	for range 40 {
		for _, team := range []string{"cams", "lanes"} {
			if a := ask(team); a.Error != "" {
				t.Fatalf("%s: %+v, want it served", team, a)
			}
		}
	}
	hung.Store(true)
	var stuck []*client
	for n := range 10 {
		c := w.dial()
		stuck = append(stuck, c)
		for k := range uint64(32) {
			fields := map[string]string{"team": "cams", "ram": "1", "limit": "30000",
				"txn": fmt.Sprintf("%s%06x%08x", prefix["cams"], n+1, k)}
			c.send(request(k, "lookup", fields, ""))
		}
	}
	for range 200 {
		if a := ask("lanes"); a.Error != "" {
			t.Fatalf("beside a pool that hangs: %+v, want it served", a)
		}
	}
	sent := map[string]int{}
	for _, a := range w.attempts() {
		sent[a.ID[:2]+" "+a.Endpoint]++
	}
	if sent["c0 c1"] > 0 || sent["a0 c2"] > 0 || sent["c0 c2"] < 40 || sent["a0 c1"] < 100 {
		t.Errorf("attempts by service and endpoint: %v, want c0 at c2, a0 at c1 alone", sent)
	}
	for _, c := range stuck {
		_ = c.conn.Close()
	}
}

// TestTeamMigration: a team moves by steps to another pool and stays; another one's new pool fails it, and it goes
// back, three times, and then for good. Whoever asks meanwhile is served or told that it failed, once.
func TestTeamMigration(t *testing.T) {
	t.Parallel()
	var failing atomic.Bool
	w := newTestbed(t, func(a *receivedRequest) {
		if a.Endpoint == "c2" && failing.Load() {
			a.Answer("EIO", "-", "")
			return
		}
		answerDone(a)
	})
	steps := strings.Join([]string{"hold 20ms", "least 10", "steps 0.3 1"}, "\n")
	w.addSettings("services {", "pool main {", "}", "pool pictures {", "boxes id=c2", "part 0.5", "}",
		"service cams pictures", "rule cams team=cams",
		"move lanes pictures {", steps, "}", "move staff pictures {", steps, "}", "}")
	w.start()
	client, id := w.dial(), uint64(0)
	ask := func(team string) reply {
		id++
		return client.ask(id, "lookup", map[string]string{"team": team, "ram": "1", "item": hexID(id), "limit": "2000"})
	}
	w.waitUntil("all of the lanes' is moved", func() bool {
		if a := ask("lanes"); a.Error != "" {
			t.Fatalf("while it moves: %+v, want it served", a)
		}
		return w.logged("event=team-migration team=lanes share=1 phase=moving")
	})
	before := len(w.attemptsAt("c2"))
	for range 20 {
		ask("lanes")
	}
	if sent := len(w.attemptsAt("c2")) - before; sent != 20 {
		t.Errorf("%d of 20 went to the new pool, want all", sent)
	}
	failing.Store(true)
	w.waitUntil("the staff's move is given up", func() bool {
		ask("staff")
		return w.logged("team=staff share=0 phase=given-up")
	})
	if n := w.timesLogged("event=team-migration team=staff"); n > 8 {
		t.Errorf("the share of the staff changed %d times, want at most 8", n)
	}
	for range 20 {
		if a := ask("staff"); a.Error != "" {
			t.Errorf("back in the old pool: %+v, want it served", a)
		}
	}
}
