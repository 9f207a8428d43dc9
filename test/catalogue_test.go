package test

import (
	"flag"
	"fmt"
	"math/rand"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"sloequay/internal/emulator/consul"
)

var (
	outageFor = flag.Duration("outage", 2500*time.Millisecond, "how long the catalogue's outages last")
	drains    = flag.Int("drains", 6, "how many seeded changes of the catalogue are measured")
	drainSeed = flag.Int64("drain-seed", 7, "their seed")
)

// services are where the stand-in boxes are registered.
func catalogueService(id string) (name, class, site string) {
	switch id[0] {
	case 'p':
		return "trunk", "parent", "hub"
	case 'o':
		return "archive", "origin", "hub"
	}
	return "cache", "std", "edge"
}

func (w *testbed) catalogueInstance(id, address string) consul.Instance {
	_, class, site := catalogueService(id)
	host, port, _ := net.SplitHostPort(address)
	var number int
	_, _ = fmt.Sscan(port, &number)
	name, _, _ := catalogueService(id)
	return consul.Instance{Node: "node-" + id, NodeAddress: "127.0.0.1", Service: name, ID: id, Address: host, Port: number,
		Meta: map[string]string{"site": site, "class": class}, Weights: consul.Weights{Passing: 4, Warning: 1}}
}

// enableCatalogue has the world's boxes in a stand-in catalogue with some agents, and the program follow it; further boxes are
// made. extra goes into the block.
func (w *testbed) enableCatalogue(agents int, extra string, further ...string) (*consul.Cluster, []*consul.Agent) {
	w.t.Helper()
	c := consul.NewCluster()
	for _, id := range further {
		ln, err := w.endpoints.Add(id, "127.0.0.1:0")
		if err != nil {
			w.t.Fatal(err)
		}
		w.listeners[id] = ln
	}
	ids := make([]string, 0, len(w.listeners))
	for id := range w.listeners {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		c.Put(w.catalogueInstance(id, w.listeners[id].Addr().String()))
	}
	var all []*consul.Agent
	text := "catalogue {\n"
	for i := range agents {
		a, err := c.NewAgent(fmt.Sprint("agent", i))
		if err != nil {
			w.t.Fatal(err)
		}
		w.t.Cleanup(a.Close)
		all = append(all, a)
		text += "agent " + a.Address() + "\n"
	}
	w.addSettings(text + "service cache {\n}\nservice trunk {\n}\nservice archive {\n}\n" + extra + "\n}")
	return c, all
}

// traffic is requests at a steady pace, and what came of them.
type traffic struct {
	mu     sync.Mutex
	counts map[string]int // by error; served: empty
	stop   chan struct{}
	done   sync.WaitGroup
}

// startTraffic sends lookups for ever new objects, a hundred and fifty a second, until stop is closed.
func (w *testbed) startTraffic() *traffic {
	w.t.Helper()
	f := &traffic{counts: map[string]int{}, stop: make(chan struct{})}
	c := w.dial()
	f.done.Add(2)
	sent := make(chan int, 1)
	go func() {
		defer f.done.Done()
		tick := time.NewTicker(time.Second / 150)
		defer tick.Stop()
		for id := 1; ; id++ {
			select {
			case <-tick.C:
			case <-f.stop:
				sent <- id - 1
				return
			}
			_ = c.protocol.Send(request(uint64(id), "lookup", map[string]string{"item": fmt.Sprintf("%016x", id+1), "ram": "1"}, ""))
		}
	}()
	go func() {
		defer f.done.Done()
		total, until := -1, time.Time{}
		for got := 0; got != total; {
			if total >= 0 && time.Now().After(until) {
				f.mu.Lock()
				f.counts["no answer"] = total - got
				f.mu.Unlock()
				return
			}
			a, err := c.protocol.Read(100 * time.Millisecond)
			if err == nil {
				got++
				f.mu.Lock()
				f.counts[a.Error]++
				f.mu.Unlock()
			} else if ne, ok := err.(net.Error); !ok || !ne.Timeout() {
				f.mu.Lock()
				f.counts[err.Error()]++
				f.mu.Unlock()
				return
			}
			select {
			case total = <-sent:
				until = time.Now().Add(waitLimit / 2)
			default:
			}
		}
	}()
	return f
}

// stopAndCount stops the flow and gives what came of all of it.
func (f *traffic) stopAndCount() map[string]int {
	close(f.stop)
	f.done.Wait()
	return f.counts
}

// stopAllServed ends the flow and fails if anything but an answer came.
func (f *traffic) stopAllServed(t *testing.T) {
	t.Helper()
	counts := f.stopAndCount()
	for what, n := range counts {
		if what != "" {
			t.Errorf("%d requests ended with %q, %d were served", n, what, counts[""])
		}
	}
	if counts[""] == 0 {
		t.Error("no request was served")
	}
}

// sentOrSourced says whether a line is a send to a box, or one that names it as the source.
func sentOrSourced(id string) func(*receivedRequest) bool {
	return func(a *receivedRequest) bool { return a.Word == "ASK" && (a.Endpoint == id || a.Fields["via"] == id) }
}

// waitInUse waits until a box is in use.
func (w *testbed) waitInUse(id string) {
	w.t.Helper()
	from := time.Now()
	w.waitUntil(id+" is in use", func() bool {
		return len(w.received(func(a *receivedRequest) bool { return sentOrSourced(id)(a) && a.At.After(from) })) > 0
	})
}

// waitUnused waits until nothing was sent to a box for a while, and fails if anything was later than within after since.
func (w *testbed) waitUnused(id string, since time.Time, within time.Duration) {
	w.t.Helper()
	last := func() time.Time {
		lines := w.received(sentOrSourced(id))
		if len(lines) == 0 {
			return since
		}
		return lines[len(lines)-1].At
	}
	end := time.Now().Add(waitLimit)
	for time.Since(last()) < 400*time.Millisecond || time.Since(since) < within+300*time.Millisecond {
		if time.Now().After(end) {
			w.t.Fatalf("%s is in use still, %v after it was marked", id, time.Since(since))
		}
		time.Sleep(5 * time.Millisecond)
	}
	if late := last().Sub(since); late > within {
		w.t.Errorf("%s was used %v after it was marked, want at most %v", id, late, within)
	}
}

// answerFilled is a script by which caches hold nothing: each request is filled.
func answerFilled(a *receivedRequest) {
	if a.Fields["via"] == "" && a.Endpoint[0] == 'c' {
		a.Answer("NOENT", "-", "")
		return
	}
	a.Answer("ACK", "tag=t1,minted=1,remark=filled,lag=1", a.Fields["thing"])
}

// TestCatalogueStatusStopsTraffic: what the catalogue says of a box holds, under load, as target and as source.
func TestCatalogueStatusStopsTraffic(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, answerFilled, "c1", "c2", "p1", "o1")
	c, _ := w.enableCatalogue(1, "", "c3", "p2")
	w.addSettings("list {\nflap-cut 0\n}")
	w.start()
	w.waitUntil("all boxes are known", func() bool { return strings.Count(w.log.String(), "event=endpoint-added") == 6 })
	f := w.startTraffic()
	for _, id := range []string{"c1", "p1"} {
		name, _, _ := catalogueService(id)
		for _, status := range []string{"maintenance", consul.Critical} {
			w.waitInUse(id)
			c.Mark(name, id, status)
			w.waitUnused(id, c.Written(id), time.Second)
			c.Mark(name, id, consul.Passing)
		}
		w.waitInUse(id)
		c.MarkNode("node-"+id, consul.Critical)
		w.waitUnused(id, c.Written(id), time.Second)
		c.MarkNode("node-"+id, consul.Passing)
		w.waitInUse(id)
		in := c.Instances(name)
		c.Remove(name, id)
		w.waitUnused(id, c.Written(id), time.Second)
		for _, i := range in {
			if i.ID == id {
				c.Put(i)
			}
		}
		w.waitInUse(id)
	}
	f.stopAllServed(t)
}

// TestCriticalEndpointReleasesWaitingAttempts is the first hard case: a box is marked critical while fills from it are under way and
// attempts wait for its connection. What waits goes elsewhere at once, and nothing new goes there.
func TestCriticalEndpointReleasesWaitingAttempts(t *testing.T) {
	t.Parallel()
	held := make(chan *receivedRequest, 1000)
	w := newTestbed(t, func(a *receivedRequest) {
		if a.Fields["via"] == "p1" {
			held <- a // a fill that is under way
			return
		}
		answerFilled(a)
	}, "c1", "c2", "p1", "o1")
	c, _ := w.enableCatalogue(1, "")
	address := w.listenWithFullBacklog() // no connection to c1 comes up
	c.Put(w.catalogueInstance("c1", address))
	w.config["settings"].(map[string]any)["limits"].(map[string]any)["dial-timeout-ms"] = 60000
	w.start()
	w.waitUntil("all boxes are known", func() bool { return strings.Count(w.log.String(), "event=endpoint-added") == 4 })
	client := w.dial()
	for id := range uint64(20) {
		client.send(request(id, "footage", map[string]string{"limit": "60000", "item": fmt.Sprintf("%016x", id+1), "ram": "1"}, ""))
	}
	w.waitUntil("attempts wait for c1", func() bool { return len(w.received(hasWord("ASK"))) > 0 }) // c2 has no copies, and c1 is next
	c.Mark("cache", "c1", consul.Critical)
	w.waitUntil("c1 is gone", func() bool { return strings.Contains(w.log.String(), "event=endpoint-removed endpoint=c1") })
	w.waitUntil("a fill is under way", func() bool { return len(held) > 0 })
	fill := <-held
	c.Mark("trunk", "p1", consul.Critical)
	w.waitUntil("p1 is gone", func() bool { return strings.Contains(w.log.String(), "event=endpoint-removed endpoint=p1") })
	marked := time.Now()
	go func() { // the fills that are under way end well
		for a := fill; ; a = <-held {
			a.Answer("ACK", "tag=t1,minted=1,remark=filled,lag=1", a.Fields["thing"])
		}
	}()
	for range 20 {
		if a := client.mustRead(); a.Error != "" {
			t.Errorf("%+v, want it served", a)
		}
	}
	for id := uint64(100); id < 140; id++ {
		client.send(request(id, "footage", map[string]string{"item": fmt.Sprintf("%016x", id+1), "ram": "1"}, ""))
		client.mustRead()
	}
	for _, id := range []string{"c1", "p1"} {
		if late := w.received(func(a *receivedRequest) bool { return sentOrSourced(id)(a) && a.At.After(marked) }); len(late) > 0 {
			t.Errorf("%s was used after it was gone: %+v", id, late[0])
		}
	}
}

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

// TestListServiceAndCatalogueDisagree is the fourth hard case: bulletin and catalogue say different things, and one of them is silent.
func TestListServiceAndCatalogueDisagree(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, answerFilled)
	c, agents := w.enableCatalogue(1, "")
	w.addSettings("list {\nflap-cut 0\n}")
	w.start()
	<-w.listPolls
	var last atomic.Int64
	last.Store(1)
	over := make(chan struct{})
	defer close(over)
	go func() { // a bulletin says each second that it is there
		for {
			select {
			case <-over:
				return
			case w.listFeed <- fmt.Sprint(last.Load()):
				time.Sleep(400 * time.Millisecond)
			}
		}
	}()
	tell := func(no int, health string) {
		last.Store(int64(no))
		w.listFeed <- listEvent(no, false, listEntry("c1", w.listeners["c1"].Addr().String(), "edge", "std", health, 0))
	}
	f := w.startTraffic()
	w.waitInUse("c1")
	c.Mark("cache", "c1", consul.Critical) // the bulletin has it up
	w.waitUnused("c1", c.Written("c1"), time.Second)
	c.Mark("cache", "c1", consul.Passing)
	w.waitInUse("c1")
	tell(2, "draining") // the catalogue has it up
	w.waitUnused("c1", time.Now(), time.Second)
	agents[0].SetFault(consul.Refuse, 0)
	w.waitUntil("the catalogue is silent", func() bool { return strings.Count(w.log.String(), "event=catalogue-unreachable") == 3 })
	tell(3, "up") // and the catalogue's last word is up
	w.waitInUse("c1")
	agents[0].SetFault(consul.None, 0)
	w.waitUntil("the catalogue is back", func() bool { return strings.Count(w.log.String(), "event=catalogue-reachable") == 3 })
	c.Mark("cache", "c1", consul.Critical)
	w.waitUnused("c1", c.Written("c1"), time.Second)
	agents[0].SetFault(consul.Refuse, 0)
	w.waitUntil("the catalogue is silent again", func() bool { return strings.Count(w.log.String(), "event=catalogue-unreachable") == 6 })
	tell(4, "draining")
	tell(5, "up") // said after the catalogue fell silent: it overrules its last word
	w.waitInUse("c1")
	f.stopAllServed(t)
}

// TestEndpointRegisteredAtNewAddress is the fifth hard case: an id comes back within 100 ms on another port, under another registration.
func TestEndpointRegisteredAtNewAddress(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, answerFilled, "c1", "c2", "p1", "o1")
	c, _ := w.enableCatalogue(1, "")
	w.start()
	f := w.startTraffic()
	w.waitInUse("c1")
	old := w.listeners["c1"].Addr().String()
	c.Remove("cache", "c1")
	ln, err := w.endpoints.Add("c1", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(80 * time.Millisecond)
	c.Put(w.catalogueInstance("c1", ln.Addr().String()))
	at := func(address string) func(*receivedRequest) bool {
		return func(a *receivedRequest) bool {
			return sentOrSourced("c1")(a) && a.Endpoint == "c1" && a.Conn.LocalAddr().String() == address
		}
	}
	w.waitUntil("the new address is in use", func() bool { return len(w.received(at(ln.Addr().String()))) > 3 })
	if late := w.received(func(a *receivedRequest) bool { return at(old)(a) && a.At.After(c.Written("c1").Add(time.Second)) }); len(late) > 0 {
		t.Errorf("the old address was sent %d lines a second after the new registration", len(late))
	}
	first := w.received(at(ln.Addr().String()))[0].At
	if late := w.received(func(a *receivedRequest) bool { return at(old)(a) && a.At.After(first) }); len(late) > 0 {
		t.Errorf("the old address was sent %d lines after the new one was in use", len(late))
	}
	f.stopAllServed(t)
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

// TestCatalogueRegistration: the doorman is in the catalogue while it runs, also after its agent has forgotten it, and takes itself
// out first thing at its end.
func TestCatalogueRegistration(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, nil)
	c, agents := w.enableCatalogue(1, "register {\nservice doorman\nttl 1s\n}")
	w.start()
	there := func() bool {
		in := c.Instances("doorman")
		return len(in) == 1 && in[0].ID == "n1" && in[0].Checks[0].Status == consul.Passing && fmt.Sprint(in[0].Address, ":", in[0].Port) == w.address
	}
	w.waitUntil("it is registered", there)
	agents[0].Restart()
	w.waitUntil("it is registered again", there)
	time.Sleep(1200 * time.Millisecond) // longer than the TTL
	if !there() {
		t.Errorf("it is not kept: %+v", c.Instances("doorman"))
	}
	client := w.dial()
	w.setResponder(func(a *receivedRequest) { time.Sleep(300 * time.Millisecond); a.Answer("ACK", "tag=t1", "late") })
	client.send(request(1, "footage", nil, ""))
	w.waitUntil("a request is open", func() bool { return len(w.received(hasWord("ASK"))) > 0 })
	w.signal(syscall.SIGTERM)
	w.waitUntil("it has taken itself out", func() bool { return len(c.Instances("doorman")) == 0 })
	if a := client.mustRead(); a.Body != "late" {
		t.Errorf("%+v, want the open request served after that", a)
	}
	if err := <-w.exited; err != nil {
		t.Errorf("it ended with %v", err)
	}
	w.cmd = nil
}

// TestCatalogueInvalidations: a key below the prefix has copies of before its time refused, and what is no purge is logged once.
func TestCatalogueInvalidations(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, nil)
	c, _ := w.enableCatalogue(1, "purges our/purges")
	w.start()
	c.SetKV("our/purges/object/7f3a9c21e0b4d655", fmt.Append(nil, time.Now().UnixMilli()))
	c.SetKV("our/purges/object/nonsense", []byte("1"))
	client := w.dial()
	id := uint64(0)
	w.waitUntil("the purge holds", func() bool {
		id++
		client.send(request(id, "footage", nil, ""))
		client.mustRead()
		asks := w.received(hasWord("ASK"))
		return asks[len(asks)-1].Fields["fresh"] != ""
	})
	client.send(request(id+1, "footage", map[string]string{"item": "00000000000000aa"}, ""))
	client.mustRead()
	if asks := w.received(hasWord("ASK")); asks[len(asks)-1].Fields["fresh"] != "" {
		t.Error("another object is asked for as if it were purged")
	}
	w.waitUntil("the odd key is logged", func() bool { return strings.Contains(w.log.String(), "event=catalogue-purge-key-rejected") })
	c.SetKV("our/purges/group/3", fmt.Append(nil, time.Now().UnixMilli()))
	w.waitUntil("a purge of the group holds for others of it", func() bool {
		id++
		client.send(request(id+1, "footage", map[string]string{"item": "00000000000000ab"}, ""))
		client.mustRead()
		asks := w.received(hasWord("ASK"))
		return asks[len(asks)-1].Fields["fresh"] != ""
	})
	if n := strings.Count(w.log.String(), "event=catalogue-purge-key-rejected"); n != 1 {
		t.Errorf("the odd key is logged %d times", n)
	}
}

// TestUnusableCatalogueInstances: instances of no use are left out, each logged once and not with every answer; and the token is read
// again for each question.
func TestUnusableCatalogueInstances(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, nil, "c1", "c2", "p1", "o1")
	token := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(token, []byte("wrong\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	c, _ := w.enableCatalogue(1, "token-file "+token)
	c.SetTokens(map[string][]string{"right": {"cache", "trunk", "archive"}})
	bad := w.catalogueInstance("c9", "127.0.0.1:1")
	bad.Port = 0
	c.Put(bad)
	bad = w.catalogueInstance("c8", "127.0.0.1:1")
	bad.Meta["site"] = "nowhere"
	c.Put(bad)
	w.start()
	w.waitUntil("the lack of rights is logged", func() bool { return strings.Contains(w.log.String(), "reason=filtered") })
	if err := os.WriteFile(token, []byte("right\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	w.waitUntil("the boxes are known", func() bool { return strings.Count(w.log.String(), "event=endpoint-added") == 4 })
	for range 10 {
		c.Mark("cache", "c2", consul.Warning)
		c.Mark("cache", "c2", consul.Passing)
		time.Sleep(30 * time.Millisecond)
	}
	log := w.log.String()
	for _, want := range []string{"instance=node-c9/c9 error=\"c9: port 0\"", "site \\\"nowhere\\\" is not in the settings"} {
		if strings.Count(log, want) != 1 {
			t.Errorf("%q is logged %d times, want once", want, strings.Count(log, want))
		}
	}
	if strings.Contains(log, "right") && strings.Contains(log, "wrong") {
		t.Error("a token is in the log")
	}
}

// TestFlappingCheckIsDamped: a check that flaps a hundred times a second costs a bounded number of changes, and the box is down when
// it is marked down for good.
func TestFlappingCheckIsDamped(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, answerFilled, "c1", "c2", "p1", "o1")
	c, _ := w.enableCatalogue(1, "")
	w.start()
	f := w.startTraffic()
	w.waitInUse("c1")
	for range 150 {
		c.Mark("cache", "c1", consul.Critical)
		time.Sleep(5 * time.Millisecond)
		c.Mark("cache", "c1", consul.Passing)
		time.Sleep(5 * time.Millisecond)
	}
	c.Mark("cache", "c1", consul.Critical)
	w.waitUnused("c1", c.Written("c1"), time.Second)
	log := w.log.String()
	if n := strings.Count(log, "endpoint=c1"); n > 30 {
		t.Errorf("%d lines of a box that flapped", n)
	}
	f.stopAllServed(t)
}

// TestEndpointsCommand: the command prints the merged view, with who decided.
func TestEndpointsCommand(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, nil)
	c, agents := w.enableCatalogue(1, "")
	c.Mark("cache", "c1", "maintenance")
	w.configPath = filepath.Join(t.TempDir(), "config.json")
	w.writeConfig()
	w.listFeed <- listEvent(2, false, listEntry("c2", w.listeners["c2"].Addr().String(), "edge", "std", "removed", 0))
	w.listFeed <- "2"
	view := func() string {
		out, err := exec.Command(program, "boxes", "--config", w.configPath, "--conf", w.settingsPath, "--wait", "1s").CombinedOutput()
		if err != nil {
			t.Fatalf("%v: %s", err, out)
		}
		return string(out)
	}
	out := view()
	for _, want := range []string{"bulletin +speaks +4 ", "consul:cache +speaks +2 ", "c1 +draining +127.0.0.1:\\d+ +edge +std +consul:cache +\\S+ +word +up +draining",
		"c2 +gone .* bulletin +\\S+ +word +gone +up", "p1 +up +127.0.0.1:\\d+ +hub +parent +bulletin"} {
		if !matches(want, out) {
			t.Errorf("no line fits %q in\n%s", want, out)
		}
	}
	agents[0].SetFault(consul.Refuse, 0)
	w.listFeed <- "!"
	w.listFeed <- "2"
	if out = view(); !matches("consul:cache +unheard", out) || !matches("# catalogue-unreachable", out) {
		t.Errorf("without its agent:\n%s", out)
	}
}

// TestDrainLatency measures how long after the catalogue's change of a box the last new send to it goes out, over seeded
// changes under 150 requests a second. -drains sets how many.
func TestDrainLatency(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, answerFilled, "c1", "c2", "p1", "o1")
	c, _ := w.enableCatalogue(1, "", "c3", "c4", "c5", "c6", "p2")
	w.addSettings("list {\nflap-cut 0\n}")
	w.start()
	f := w.startTraffic()
	rng := rand.New(rand.NewSource(*drainSeed))
	var times []time.Duration
	for range *drains {
		id := []string{"c1", "c2", "c3", "c4", "c5", "c6", "p1", "p2"}[rng.Intn(8)]
		name, _, _ := catalogueService(id)
		w.waitInUse(id)
		time.Sleep(time.Duration(rng.Intn(250)) * time.Millisecond)
		in := w.catalogueInstance(id, w.listeners[id].Addr().String())
		switch rng.Intn(3) {
		case 0:
			c.Mark(name, id, "maintenance")
		case 1:
			c.Mark(name, id, consul.Critical)
		default:
			c.Remove(name, id)
		}
		marked := c.Written(id)
		w.waitUnused(id, marked, time.Second)
		lines := w.received(sentOrSourced(id))
		times = append(times, max(0, lines[len(lines)-1].At.Sub(marked)))
		if len(c.Instances(name)) == 0 || !slices.ContainsFunc(c.Instances(name), func(i consul.Instance) bool { return i.ID == id }) {
			c.Put(in)
		} else {
			c.Mark(name, id, consul.Passing)
		}
	}
	f.stopAllServed(t)
	slices.Sort(times)
	t.Logf("all: %v", times)
	at := func(q float64) time.Duration { return times[min(len(times)-1, int(q*float64(len(times))))] }
	t.Logf("%d changes: median %v, 99th percentile %v, worst %v", len(times), at(0.5), at(0.99), times[len(times)-1])
}

// TestTryCommand: the newcomer's command runs to its end, and all it shows is as it should be.
func TestTryCommand(t *testing.T) {
	t.Parallel()
	out, err := exec.Command(program, "try").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for _, want := range []string{"c1 drains", "c2 is killed", "the catalogue stops answering", "failed 0", "last send to c1"} {
		if !strings.Contains(string(out), want) {
			t.Errorf("%q is not in\n%s", want, out)
		}
	}
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
