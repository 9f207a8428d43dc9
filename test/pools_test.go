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
	bed := newTestbed(t, func(attempt *receivedRequest) {
		if attempt.Endpoint != "c2" || !hung.Load() {
			answerDone(attempt)
		}
	})
	bed.addSettings("services {",
		"pool main {", "boxes id=c1", "boxes class=parent,origin", "}",
		"pool pictures {", "boxes id=c2", "boxes class=parent,origin", "part 0.5", "}",
		"service cams pictures", "rule cams team=cams", "}")
	bed.start()
	caller, id := bed.dial(), uint64(0)
	prefix := map[string]string{"cams": "c0", "lanes": "a0"} // of the attempts' ids, by team
	ask := func(team string) reply {
		id++
		return caller.call(id, "lookup", map[string]string{"team": team, "ram": "1", "limit": "2000",
			"txn": fmt.Sprintf("%s%014x", prefix[team], id), "item": hexID(id%50 + 1)})
	}
	for range 40 {
		for _, team := range []string{"cams", "lanes"} {
			if answer := ask(team); answer.Error != "" {
				t.Fatalf("%s: %+v, want it served", team, answer)
			}
		}
	}
	hung.Store(true)
	var stuck []*client
	for n := range 10 {
		c := bed.dial()
		stuck = append(stuck, c)
		for k := range uint64(32) {
			fields := map[string]string{"team": "cams", "ram": "1", "limit": "30000",
				"txn": fmt.Sprintf("%s%06x%08x", prefix["cams"], n+1, k)}
			c.send(request(k, "lookup", fields, ""))
		}
	}
	for range 200 {
		if answer := ask("lanes"); answer.Error != "" {
			t.Fatalf("beside a pool that hangs: %+v, want it served", answer)
		}
	}
	sent := map[string]int{}
	for _, attempt := range bed.attempts() {
		sent[attempt.ID[:2]+" "+attempt.Endpoint]++
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
	bed := newTestbed(t, func(attempt *receivedRequest) {
		if attempt.Endpoint == "c2" && failing.Load() {
			attempt.Answer("EIO", "-", "")
			return
		}
		answerDone(attempt)
	})
	steps := strings.Join([]string{"hold 20ms", "least 10", "steps 0.3 1"}, "\n")
	bed.addSettings("services {", "pool main {", "}", "pool pictures {", "boxes id=c2", "part 0.5", "}",
		"service cams pictures", "rule cams team=cams",
		"move lanes pictures {", steps, "}", "move staff pictures {", steps, "}", "}")
	bed.start()
	client, id := bed.dial(), uint64(0)
	ask := func(team string) reply {
		id++
		return client.call(id, "lookup", map[string]string{"team": team, "ram": "1", "item": hexID(id),
			"limit": "2000"})
	}
	bed.waitUntil("all of the lanes' is moved", func() bool {
		if answer := ask("lanes"); answer.Error != "" {
			t.Fatalf("while it moves: %+v, want it served", answer)
		}
		return bed.logged("event=team-migration team=lanes share=1 phase=moving")
	})
	before := len(bed.attemptsAt("c2"))
	for range 20 {
		ask("lanes")
	}
	if sent := len(bed.attemptsAt("c2")) - before; sent != 20 {
		t.Errorf("%d of 20 went to the new pool, want all", sent)
	}
	failing.Store(true)
	bed.waitUntil("the staff's move is given up", func() bool {
		ask("staff")
		return bed.logged("team=staff share=0 phase=given-up")
	})
	if n := bed.timesLogged("event=team-migration team=staff"); n > 8 {
		t.Errorf("the share of the staff changed %d times, want at most 8", n)
	}
	for range 20 {
		if answer := ask("staff"); answer.Error != "" {
			t.Errorf("back in the old pool: %+v, want it served", answer)
		}
	}
}
