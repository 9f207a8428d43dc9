package test

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
)

const twoPoolsSettings = "services {\npool main {\nboxes id=c1\nboxes class=parent,origin\n}\npool pictures {\nboxes id=c2\nboxes class=parent,origin\npart 0.5\n}\nservice cams pictures\nrule cams team=cams\n"

// TestPoolIsolation: each service's requests go to its own pool's boxes alone. One pool hangs with all that it may have open; the other
// serves every request as before, and what the hung one can't take is refused at once.
func TestPoolIsolation(t *testing.T) {
	t.Parallel()
	var hung atomic.Bool
	w := newTestbed(t, func(a *receivedRequest) {
		if a.Endpoint != "c2" || !hung.Load() {
			a.Answer("ACK", "tag=t1", "done")
		}
	})
	w.addSettings(twoPoolsSettings + "}")
	w.start()
	caller, id := w.dial(), uint64(0)
	ask := func(team string) reply {
		id++
		caller.send(request(id, "lookup", map[string]string{"team": team, "ram": "1", "txn": fmt.Sprintf("%s%014x", map[string]string{"cams": "c0", "lanes": "a0"}[team], id), "item": fmt.Sprintf("%016x", id%50+1), "limit": "2000"}, ""))
		return caller.mustRead()
	}
	for range 40 {
		for _, team := range []string{"cams", "lanes"} {
			if a := ask(team); a.Error != "" {
				t.Fatalf("%s: %+v", team, a)
			}
		}
	}
	hung.Store(true)
	var stuck []*client
	for c := range 10 {
		s := w.dial()
		stuck = append(stuck, s)
		for k := range uint64(32) {
			s.send(request(k, "lookup", map[string]string{"team": "cams", "txn": fmt.Sprintf("c0%06x%08x", c+1, k), "ram": "1", "limit": "30000"}, ""))
		}
	}
	for range 200 {
		if a := ask("lanes"); a.Error != "" {
			t.Fatalf("beside a pool that hangs: %+v", a)
		}
	}
	seen := map[string]int{}
	for _, a := range w.received(hasWord("ASK")) {
		seen[a.ID[:2]+" "+a.Endpoint]++
	}
	if seen["c0 c1"] > 0 || seen["a0 c2"] > 0 || seen["c0 c2"] < 40 || seen["a0 c1"] < 100 {
		t.Errorf("asked by service and box: %v", seen)
	}
	for _, s := range stuck {
		_ = s.conn.Close()
	}
}

// TestTeamMigration: a team moves by steps to another pool and stays; another one's new pool fails it, and it goes back, three
// times, and then for good. Whoever asks meanwhile is served or told that it failed, once.
func TestTeamMigration(t *testing.T) {
	t.Parallel()
	var sick atomic.Bool
	w := newTestbed(t, func(a *receivedRequest) {
		if a.Endpoint == "c2" && sick.Load() {
			a.Answer("EIO", "-", "")
			return
		}
		a.Answer("ACK", "tag=t1", "done")
	})
	move := "hold 20ms\nleast 10\nsteps 0.3 1\n}\n"
	w.addSettings(strings.Replace(twoPoolsSettings, "boxes id=c1\nboxes class=parent,origin\n}\npool pictures {\nboxes id=c2\nboxes class=parent,origin", "}\npool pictures {\nboxes id=c2", 1) + "move lanes pictures {\n" + move + "move staff pictures {\n" + move + "}")
	w.start()
	client, id := w.dial(), uint64(0)
	ask := func(team string) reply {
		id++
		client.send(request(id, "lookup", map[string]string{"team": team, "ram": "1", "item": fmt.Sprintf("%016x", id), "limit": "2000"}, ""))
		return client.mustRead()
	}
	w.waitUntil("all of the lanes' is moved", func() bool {
		if a := ask("lanes"); a.Error != "" {
			t.Fatalf("while it moves: %+v", a)
		}
		return strings.Contains(w.log.String(), "event=team-migration team=lanes share=1 phase=moving")
	})
	before := len(w.received(func(a *receivedRequest) bool { return a.Word == "ASK" && a.Endpoint == "c2" }))
	for range 20 {
		ask("lanes")
	}
	if after := len(w.received(func(a *receivedRequest) bool { return a.Word == "ASK" && a.Endpoint == "c2" })); after != before+20 {
		t.Errorf("%d of 20 went to the new pool", after-before)
	}
	sick.Store(true)
	w.waitUntil("the staff's move is given up", func() bool {
		ask("staff")
		return strings.Contains(w.log.String(), "team=staff share=0 phase=given-up")
	})
	if n := strings.Count(w.log.String(), "event=team-migration team=staff"); n > 8 {
		t.Errorf("the share of the staff changed %d times", n)
	}
	for range 20 {
		if a := ask("staff"); a.Error != "" {
			t.Errorf("back in the old pool: %+v", a)
		}
	}
}
