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

var outageDuration = flag.Duration("outage", 2500*time.Millisecond, "how long the catalogue's outages last")

// TestServesDuringCatalogueOutage: the agent fails in four ways. Every request is served as before, the agent is
// asked no more than once a second, and what changed meanwhile holds once it is back.
func TestServesDuringCatalogueOutage(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault consul.Fault
	}{{"hangs", consul.Hang}, {"refuses", consul.Refuse}, {"resets", consul.Reset}, {"says 500", consul.Status500}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			bed := newCatalogueTestbed(t, answerAsEmptyCaches, "c3")
			cluster, agents := bed.enableCatalogue(1, "")
			bed.start()
			bed.waitEndpointsKnown(5)
			load := bed.startLookups()
			bed.waitInUse("c1")
			agents[0].SetFault(c.fault, 0)
			cluster.Mark("archive", "o1", consul.Passing) // so that what blocks is answered, and fails
			cluster.Mark("trunk", "p1", consul.Passing)
			cluster.Mark("cache", "c2", consul.Passing)
			bed.waitLoggedTimes("event=catalogue-unreachable", 3)
			before, from := agents[0].Requests(), time.Now()
			time.Sleep(*outageDuration) // the case's own length
			cluster.Mark("cache", "c1", "maintenance")
			bed.waitInUse("c1") // nobody can know
			polls, took := agents[0].Requests()-before, time.Since(from)
			agents[0].SetFault(consul.None, 0)
			back := time.Now()
			bed.waitUnused("c1", back, 1500*time.Millisecond)
			load.stopAndExpectServed(t)
			if limit := int(took/time.Second) + 2; c.fault != consul.Refuse && polls > limit {
				t.Errorf("the agent was asked %d times in %v, want at most %d", polls, took, limit)
			}
			if bed.logged("event=endpoint-removed") {
				t.Error("an endpoint was removed, want all kept")
			}
			if n := bed.timesLogged("event=catalogue-reachable"); n != 3 {
				t.Errorf("the agent's return is logged %d times, want once for each of 3 services", n)
			}
		})
	}
}

// TestSuspectCatalogueResponseRemovesNoEndpoint: answers that lack endpoints without their being gone lose none, and a
// real loss of most is believed within a second.
func TestSuspectCatalogueResponseRemovesNoEndpoint(t *testing.T) {
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
			bed := newCatalogueTestbed(t, answerAsEmptyCaches, "c3", "c4", "c5")
			cluster, agents := bed.enableCatalogue(1, "limit 500ms")
			bed.start()
			bed.waitEndpointsKnown(7)
			load := bed.startLookups()
			// A change, so that what blocks is answered, and time for the answer.
			change := func() {
				cluster.Mark("cache", "c2", consul.Passing)
				time.Sleep(20 * time.Millisecond)
			}
			agents[0].SetFault(c.fault, c.by)
			bed.waitUntil("the odd answer is noted", func() bool {
				change()
				return bed.logged(c.log)
			})
			for range 20 {
				change()
			}
			agents[0].SetFault(consul.None, 0)
			for _, event := range []string{"event=endpoint-removed", "event=endpoint-draining"} {
				if bed.logged(event) {
					t.Errorf("%q is logged, want no endpoint lost", event)
				}
			}
			bed.waitUntil("the true list is believed again", func() bool {
				cluster.Mark("cache", "c2", "maintenance")
				return bed.logged("event=endpoint-draining endpoint=c2")
			})
			cluster.Remove("cache", "c1", "c2", "c3", "c4")
			bed.waitUnused("c3", cluster.Written("c3"), time.Second)
			bed.waitUnused("c1", cluster.Written("c1"), time.Second)
			if !bed.logged("event=list-loss-confirmed") {
				t.Error("the real loss was not suspected and confirmed")
			}
			load.stopAndExpectServed(t)
		})
	}
}

// TestCatalogueAgentFailover: the agent in use dies between a change and its answer.
func TestCatalogueAgentFailover(t *testing.T) {
	t.Parallel()
	bed := newCatalogueTestbed(t, answerAsEmptyCaches)
	cluster, agents := bed.enableCatalogue(2, "")
	bed.start()
	load := bed.startLookups()
	bed.waitInUse("c1")
	agents[0].SetFault(consul.Refuse, 0)
	cluster.Mark("cache", "c1", consul.Critical)
	bed.waitUnused("c1", cluster.Written("c1"), time.Second)
	if !bed.logged("event=catalogue-agent-changed") {
		t.Error("the change of agents is not in the log")
	}
	if bed.logged("event=catalogue-unreachable") {
		t.Error("the catalogue counts as unreachable, want the other agent used")
	}
	load.stopAndExpectServed(t)
}

// TestStartFromSnapshot: a start while no source answers, with a snapshot that is sound, torn, or of a newer version.
func TestStartFromSnapshot(t *testing.T) {
	t.Parallel()
	bed := newCatalogueTestbed(t, nil)
	_, agents := bed.enableCatalogue(1, "")
	path := filepath.Join(t.TempDir(), "list")
	bed.addSettings("snapshot {", "file "+path, "every 100ms", "}")
	bed.start()
	serves := func() bool { return bed.dial().call(1, "footage", nil).Error == "" }
	bed.waitUntil("it serves", serves)
	var sound string
	bed.waitUntil("the snapshot has all endpoints", func() bool {
		text, _ := os.ReadFile(path)
		sound = string(text)
		return strings.Count(sound, `"id"`) == 4
	})
	agents[0].SetFault(consul.Refuse, 0)
	for _, c := range []struct {
		name, text, log string
		served          bool
	}{
		{"sound", sound, "event=snapshot-loaded", true},
		{"torn", sound[:len(sound)/2], "event=snapshot-rejected", false},
		{"newer", strings.Replace(sound, "list 1 ", "list 2 ", 1), "another version", false},
	} {
		bed.kill()
		bed.log.reset()
		writeFile(t, path, c.text)
		bed.start()
		if got := serves(); got != c.served || !bed.logged(c.log) {
			t.Errorf("%s: served %v, want %v and %q in the log", c.name, got, c.served, c.log)
		}
	}
	agents[0].SetFault(consul.None, 0)
	bed.waitUntil("it serves once the catalogue answers", serves)
}

// TestNotReadyWithoutEndpoints: while the catalogue has not answered, clients are not taken in; once they are, the
// endpoints are known.
func TestNotReadyWithoutEndpoints(t *testing.T) {
	t.Parallel()
	bed := newCatalogueTestbed(t, nil)
	_, agents := bed.enableCatalogue(1, "")
	agents[0].SetFault(consul.Refuse, 0)
	go func() {
		for !bed.logged("event=catalogue-unreachable") {
			time.Sleep(time.Millisecond)
		}
		agents[0].SetFault(consul.None, 0)
	}()
	bed.start()
	if n := bed.timesLogged("event=endpoint-added"); n != 4 {
		t.Errorf("%d endpoints were known when it was ready, want 4", n)
	}
}
