package test

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sloequay/internal/emulator/consul"
)

var outageFor = flag.Duration("outage", 2500*time.Millisecond, "how long the catalogue's outages last")

// TestCatalogueOutageKeepsServing is the second hard case: the agent fails in four ways. Every request is served as before, the agent
// is asked no more than once a second, and what changed meanwhile holds once it is back.
func TestCatalogueOutageKeepsServing(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault consul.Fault
	}{{"hangs", consul.Hang}, {"refuses", consul.Refuse}, {"resets", consul.Reset}, {"says 500", consul.Status500}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newTestbed(t, answerFilled, "c1", "c2", "p1", "o1")
			cluster, agents := w.enableCatalogue(1, "", "c3")
			w.start()
			w.waitUntil("all boxes are known", func() bool { return strings.Count(w.log.String(), "event=endpoint-added") == 5 })
			f := w.startTraffic()
			w.waitInUse("c1")
			agents[0].SetFault(c.fault, 0)
			cluster.Mark("archive", "o1", consul.Passing) // so that what blocks is answered, and fails
			cluster.Mark("trunk", "p1", consul.Passing)
			cluster.Mark("cache", "c2", consul.Passing)
			w.waitUntil("the outage is found", func() bool { return strings.Count(w.log.String(), "event=catalogue-unreachable") == 3 })
			before, from := agents[0].Requests(), time.Now()
			time.Sleep(*outageFor) // the case's own length
			cluster.Mark("cache", "c1", "maintenance")
			w.waitInUse("c1") // nobody can know
			asked, took := agents[0].Requests()-before, time.Since(from)
			agents[0].SetFault(consul.None, 0)
			back := time.Now()
			w.waitUnused("c1", back, 1500*time.Millisecond)
			f.stopAllServed(t)
			if most := int(took/time.Second) + 2; c.fault != consul.Refuse && asked > most {
				t.Errorf("%d questions in %v, want at most %d", asked, took, most)
			}
			if log := w.log.String(); strings.Contains(log, "event=endpoint-removed") || strings.Count(log, "event=catalogue-reachable") != 3 {
				t.Error("a box left, or the agent's return is not in the log")
			}
		})
	}
}

// TestSuspectCatalogueResponseLosesNoEndpoint is the third hard case: answers that lack boxes without their being gone lose none, and a real loss of
// most is believed within a second.
func TestSuspectCatalogueResponseLosesNoEndpoint(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault consul.Fault
		by    time.Duration
		log   string // what must be there
	}{
		{"an empty answer", consul.Empty200, 0, "event=list-loss-suspected"},
		{"filtered by rights", consul.FilteredBy, 0, "reason=filtered"},
		{"an index that goes back", consul.IndexBack, 0, "reason=index-went-back"},
		{"a stale answer", consul.StaleBy, time.Minute, "reason=index-went-back"},
		{"JSON that ends too soon", consul.Truncated, 0, "event=catalogue-response-rejected"},
		{"a byte at a time", consul.Slow, 0, "event=catalogue-unreachable"},
		{"no leader", consul.NoLeader, 0, "reason=no-leader"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newTestbed(t, answerFilled, "c1", "c2", "p1", "o1")
			cluster, agents := w.enableCatalogue(1, "limit 500ms", "c3", "c4", "c5")
			w.start()
			w.waitUntil("all boxes are known", func() bool { return strings.Count(w.log.String(), "event=endpoint-added") == 7 })
			f := w.startTraffic()
			agents[0].SetFault(c.fault, c.by)
			w.waitUntil("the odd answer is noted", func() bool {
				cluster.Mark("cache", "c2", consul.Passing) // a change, so that what blocks is answered
				time.Sleep(20 * time.Millisecond)
				return strings.Contains(w.log.String(), c.log)
			})
			for range 20 {
				cluster.Mark("cache", "c2", consul.Passing)
				time.Sleep(20 * time.Millisecond)
			}
			agents[0].SetFault(consul.None, 0)
			if log := w.log.String(); strings.Contains(log, "event=endpoint-removed") || strings.Contains(log, "event=endpoint-draining") {
				t.Error("a box was lost by it")
			}
			w.waitUntil("the true list is believed again", func() bool {
				cluster.Mark("cache", "c2", "maintenance")
				return strings.Contains(w.log.String(), "event=endpoint-draining endpoint=c2")
			})
			cluster.Remove("cache", "c1", "c2", "c3", "c4")
			w.waitUnused("c3", cluster.Written("c3"), time.Second)
			w.waitUnused("c1", cluster.Written("c1"), time.Second)
			if !strings.Contains(w.log.String(), "event=list-loss-confirmed") {
				t.Error("the real loss was not doubted and confirmed")
			}
			f.stopAllServed(t)
		})
	}
}

// TestCatalogueAgentFailover is the sixth hard case: the agent in use dies between a change and its answer.
func TestCatalogueAgentFailover(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, answerFilled, "c1", "c2", "p1", "o1")
	c, agents := w.enableCatalogue(2, "")
	w.start()
	f := w.startTraffic()
	w.waitInUse("c1")
	agents[0].SetFault(consul.Refuse, 0)
	c.Mark("cache", "c1", consul.Critical)
	w.waitUnused("c1", c.Written("c1"), time.Second)
	if !strings.Contains(w.log.String(), "event=catalogue-agent-changed") || strings.Contains(w.log.String(), "event=catalogue-unreachable") {
		t.Error("the change of agents is not in the log, or the catalogue counts as lost")
	}
	f.stopAllServed(t)
}

// TestStartFromSnapshot is the seventh hard case: a start while no source answers, with a snapshot that is sound, torn, or of a
// newer version.
func TestStartFromSnapshot(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, nil, "c1", "c2", "p1", "o1")
	_, agents := w.enableCatalogue(1, "")
	path := filepath.Join(t.TempDir(), "list")
	w.addSettings("snapshot {\nfile " + path + "\nevery 100ms\n}")
	w.start()
	ask := func() string {
		client := w.dial()
		client.send(request(1, "footage", nil, ""))
		a := client.mustRead()
		return a.Error
	}
	w.waitUntil("it serves", func() bool { return ask() == "" })
	var sound []byte
	w.waitUntil("the snapshot has all boxes", func() bool {
		sound, _ = os.ReadFile(path)
		return strings.Count(string(sound), `"id"`) == 4
	})
	agents[0].SetFault(consul.Refuse, 0)
	for _, c := range []struct {
		name   string
		data   []byte
		log    string
		served bool
	}{
		{"sound", sound, "event=snapshot-loaded", true},
		{"torn", sound[:len(sound)/2], "event=snapshot-rejected", false},
		{"newer", []byte(strings.Replace(string(sound), "list 1 ", "list 2 ", 1)), "another version", false},
	} {
		w.kill()
		w.log.reset()
		if err := os.WriteFile(path, c.data, 0o600); err != nil {
			t.Fatal(err)
		}
		w.start()
		if got := ask() == ""; got != c.served || !strings.Contains(w.log.String(), c.log) {
			t.Errorf("%s: served %v, want %v and %s in the log", c.name, got, c.served, c.log)
		}
	}
	agents[0].SetFault(consul.None, 0)
	w.waitUntil("it serves once the catalogue answers", func() bool { return ask() == "" })
}

// TestNotReadyWithoutEndpoints: while the catalogue has not answered, clients are not taken in; once they are, the boxes are known.
func TestNotReadyWithoutEndpoints(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, nil, "c1", "c2", "p1", "o1")
	_, agents := w.enableCatalogue(1, "")
	agents[0].SetFault(consul.Refuse, 0)
	go func() {
		for !strings.Contains(w.log.String(), "event=catalogue-unreachable") {
			time.Sleep(time.Millisecond)
		}
		agents[0].SetFault(consul.None, 0)
	}()
	w.start()
	if n := strings.Count(w.log.String(), "event=endpoint-added"); n != 4 {
		t.Errorf("%d boxes were known when it was ready, want 4", n)
	}
}
