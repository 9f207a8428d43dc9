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

var outageDuration = flag.Duration("outage", 2500*time.Millisecond, "duration of the catalogue outages")

// TestServesDuringCatalogueOutage checks that all requests are served while the catalogue's agent fails in each of four
// ways, that the agent is polled at most once a second meanwhile, and that a change made during the outage takes effect
// once the agent is back.
func TestServesDuringCatalogueOutage(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault consul.Fault
	}{
		{"hangs", consul.Hang}, {"refuses connections", consul.Refuse}, {"resets connections", consul.Reset},
		{"responds 500", consul.Status500},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			bed := newCatalogueTestbed(t, answerAsEmptyCaches, "c3")
			cluster, agents := bed.enableCatalogue(1, "")
			bed.start()
			bed.waitEndpointsKnown(5)
			load := bed.startLookups()
			bed.waitInUse("c1")
			agents[0].SetFault(c.fault, 0)
			cluster.SetStatus("archive", "o1", consul.Passing) // ends the open queries; their responses fail
			cluster.SetStatus("trunk", "p1", consul.Passing)
			cluster.SetStatus("cache", "c2", consul.Passing)
			bed.waitLoggedTimes("event=catalogue-unreachable", 3)
			requestsBefore, outageStart := agents[0].Requests(), time.Now()
			time.Sleep(*outageDuration) // the outage that is tested
			cluster.SetStatus("cache", "c1", "maintenance")
			bed.waitInUse("c1") // the proxy cannot know of the change yet
			polls, took := agents[0].Requests()-requestsBefore, time.Since(outageStart)
			agents[0].SetFault(consul.None, 0)
			recoveredAt := time.Now()
			bed.waitUnused("c1", recoveredAt, 1500*time.Millisecond)
			load.stopAndExpectServed(t)
			if limit := int(took/time.Second) + 2; c.fault != consul.Refuse && polls > limit {
				t.Errorf("the agent got %d requests in %v, want at most %d", polls, took, limit)
			}
			if bed.logged("event=endpoint-removed") {
				t.Error("got event endpoint-removed, want all endpoints kept")
			}
			if n := bed.timesLogged("event=catalogue-reachable"); n != 3 {
				t.Errorf("got event catalogue-reachable %d times, want once for each of 3 services", n)
			}
		})
	}
}

// TestSuspectCatalogueResponseRemovesNoEndpoint checks that no endpoint is removed because of a faulty response that
// lacks it, and that a real removal of most endpoints takes effect within a second.
func TestSuspectCatalogueResponseRemovesNoEndpoint(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault consul.Fault
		age   time.Duration // of stale responses
		log   string        // text that must be logged
	}{
		{"an empty response", consul.EmptyList, 0, "event=list-loss-suspected"},
		{"a list filtered by ACLs", consul.FilteredByACLs, 0, "reason=filtered"},
		{"an index that decreases", consul.IndexWentBack, 0, "reason=index-went-back"},
		{"a stale response", consul.Stale, time.Minute, "reason=index-went-back"},
		{"truncated JSON", consul.Truncated, 0, "event=catalogue-response-rejected"},
		{"one byte at a time", consul.Slow, 0, "event=catalogue-unreachable"},
		{"no leader", consul.NoLeader, 0, "reason=no-leader"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			bed := newCatalogueTestbed(t, answerAsEmptyCaches, "c3", "c4", "c5")
			cluster, agents := bed.enableCatalogue(1, "limit 500ms")
			bed.start()
			bed.waitEndpointsKnown(7)
			load := bed.startLookups()
			// change ends the open blocking queries, and leaves time for their responses.
			change := func() {
				cluster.SetStatus("cache", "c2", consul.Passing)
				time.Sleep(20 * time.Millisecond)
			}
			agents[0].SetFault(c.fault, c.age)
			bed.waitUntil("the faulty response is logged", func() bool {
				change()
				return bed.logged(c.log)
			})
			for range 20 {
				change()
			}
			agents[0].SetFault(consul.None, 0)
			for _, event := range []string{"event=endpoint-removed", "event=endpoint-draining"} {
				if bed.logged(event) {
					t.Errorf("got %q in the log, want no endpoint removed or draining", event)
				}
			}
			bed.waitUntil("a change in a valid response takes effect", func() bool {
				cluster.SetStatus("cache", "c2", "maintenance")
				return bed.logged("event=endpoint-draining endpoint=c2")
			})
			cluster.Remove("cache", "c1", "c2", "c3", "c4")
			bed.waitUnused("c3", cluster.ChangedAt("c3"), time.Second)
			bed.waitUnused("c1", cluster.ChangedAt("c1"), time.Second)
			if !bed.logged("event=list-loss-confirmed") {
				t.Error("got no event list-loss-confirmed, want the real loss suspected and confirmed")
			}
			load.stopAndExpectServed(t)
		})
	}
}

// TestCatalogueAgentFailover checks that the proxy polls the second agent, and learns of a change within a second, when
// the agent in use fails just as the change is made.
func TestCatalogueAgentFailover(t *testing.T) {
	t.Parallel()
	bed := newCatalogueTestbed(t, answerAsEmptyCaches)
	cluster, agents := bed.enableCatalogue(2, "")
	bed.start()
	load := bed.startLookups()
	bed.waitInUse("c1")
	agents[0].SetFault(consul.Refuse, 0)
	cluster.SetStatus("cache", "c1", consul.Critical)
	bed.waitUnused("c1", cluster.ChangedAt("c1"), time.Second)
	if !bed.logged("event=catalogue-agent-changed") {
		t.Error("got no event catalogue-agent-changed, want the failover logged")
	}
	if bed.logged("event=catalogue-unreachable") {
		t.Error("got event catalogue-unreachable, want the other agent used")
	}
	load.stopAndExpectServed(t)
}

// TestStartFromSnapshot checks a start while the catalogue does not respond, with a snapshot that is valid, truncated,
// or of a newer version. Only the valid one may be used.
func TestStartFromSnapshot(t *testing.T) {
	t.Parallel()
	bed := newCatalogueTestbed(t, nil)
	_, agents := bed.enableCatalogue(1, "")
	path := filepath.Join(t.TempDir(), "list")
	bed.addSettings("snapshot {", "file "+path, "every 100ms", "}")
	bed.start()
	serves := func() bool { return bed.dial().call(1, "footage", nil).Error == "" }
	bed.waitUntil("the proxy serves", serves)
	var valid string
	bed.waitUntil("the snapshot has all endpoints", func() bool {
		text, _ := os.ReadFile(path)
		valid = string(text)
		return strings.Count(valid, `"id"`) == 4
	})
	agents[0].SetFault(consul.Refuse, 0)
	for _, c := range []struct {
		name, text, log string
		served          bool
	}{
		{"valid", valid, "event=snapshot-loaded", true},
		{"truncated", valid[:len(valid)/2], "event=snapshot-rejected", false},
		{
			"newer version", strings.Replace(valid, "list 1 ", "list 2 ", 1),
			"unsupported snapshot version: got 2, want 1", false,
		},
	} {
		bed.kill()
		bed.log.reset()
		writeFile(t, path, c.text)
		bed.start()
		if got := serves(); got != c.served || !bed.logged(c.log) {
			t.Errorf("%s: got served %v, want %v and %q in the log", c.name, got, c.served, c.log)
		}
	}
	agents[0].SetFault(consul.None, 0)
	bed.waitUntil("the proxy serves once the catalogue responds", serves)
}

// TestNotReadyWithoutEndpoints checks that the proxy does not become ready before the catalogue has responded: all
// endpoints must be known by then.
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
		t.Errorf("got %d known endpoints when the proxy became ready, want 4", n)
	}
}
