package test

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
)

// TestPoolIsolation checks that each service's requests go only to the endpoints of its own pool. When one pool hangs
// with as many requests open as it may have, further ones for it are rejected at once, and the other pool still serves
// every request.
func TestPoolIsolation(t *testing.T) {
	t.Parallel()
	var hanging atomic.Bool
	bed := newTestbed(t, func(attempt *receivedRequest) {
		if attempt.Endpoint != "c2" || !hanging.Load() {
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
	lookup := func(team string) reply {
		id++
		return caller.call(id, "lookup", map[string]string{"team": team, "ram": "1", "limit": "2000",
			"txn": fmt.Sprintf("%s%014x", prefix[team], id), "item": hexID(id%50 + 1)})
	}
	for range 40 {
		for _, team := range []string{"cams", "lanes"} {
			if answer := lookup(team); answer.Error != "" {
				t.Fatalf("team %s: got %+v, want it served", team, answer)
			}
		}
	}
	hanging.Store(true)
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
		if answer := lookup("lanes"); answer.Error != "" {
			t.Fatalf("while the other pool hangs: got %+v, want it served", answer)
		}
	}
	attemptCounts := map[string]int{}
	for _, attempt := range bed.attempts() {
		attemptCounts[attempt.ID[:2]+" "+attempt.Endpoint]++
	}
	if attemptCounts["c0 c1"] > 0 || attemptCounts["a0 c2"] > 0 || attemptCounts["c0 c2"] < 40 ||
		attemptCounts["a0 c1"] < 100 {
		t.Errorf("attempts by id prefix and endpoint: got %v, want c0 only at c2 and a0 only at c1", attemptCounts)
	}
	for _, c := range stuck {
		_ = c.conn.Close()
	}
}

// TestTeamMigration moves a team in steps to another pool, where it stays. The new pool of a second team fails, so that
// the team is moved back three times, the last time for good. Each request meanwhile is answered once, served or
// failed.
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
	lookup := func(team string) reply {
		id++
		return client.call(id, "lookup", map[string]string{"team": team, "ram": "1", "item": hexID(id),
			"limit": "2000"})
	}
	bed.waitUntil("the migration of team lanes is complete", func() bool {
		if answer := lookup("lanes"); answer.Error != "" {
			t.Fatalf("during the migration: got %+v, want it served", answer)
		}
		return bed.logged("event=team-migration team=lanes share=1 phase=moving")
	})
	before := len(bed.attemptsAt("c2"))
	for range 20 {
		lookup("lanes")
	}
	if sent := len(bed.attemptsAt("c2")) - before; sent != 20 {
		t.Errorf("requests sent to the new pool: got %d of 20, want all", sent)
	}
	failing.Store(true)
	bed.waitUntil("the migration of team staff is given up", func() bool {
		lookup("staff")
		return bed.logged("team=staff share=0 phase=given-up")
	})
	if n := bed.timesLogged("event=team-migration team=staff"); n > 8 {
		t.Errorf("share of team staff: got %d changes, want at most 8", n)
	}
	for range 20 {
		if answer := lookup("staff"); answer.Error != "" {
			t.Errorf("after the migration was given up: got %+v, want it served", answer)
		}
	}
}
