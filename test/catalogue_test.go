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
func service(id string) (name, class, site string) {
	switch id[0] {
	case 'p':
		return "trunk", "parent", "hub"
	case 'o':
		return "archive", "origin", "hub"
	}
	return "cache", "std", "edge"
}

func (w *world) instance(id, address string) consul.Instance {
	_, class, site := service(id)
	host, port, _ := net.SplitHostPort(address)
	var number int
	_, _ = fmt.Sscan(port, &number)
	name, _, _ := service(id)
	return consul.Instance{Node: "node-" + id, NodeAddress: "127.0.0.1", Service: name, ID: id, Address: host, Port: number,
		Meta: map[string]string{"site": site, "class": class}, Weights: consul.Weights{Passing: 4, Warning: 1}}
}

// catalogue has the world's boxes in a stand-in catalogue with some agents, and the program follow it; further boxes are
// made. extra goes into the block.
func (w *world) catalogue(agents int, extra string, further ...string) (*consul.Cluster, []*consul.Agent) {
	w.t.Helper()
	c := consul.NewCluster()
	for _, id := range further {
		ln, err := w.fleet.Add(id, "127.0.0.1:0")
		if err != nil {
			w.t.Fatal(err)
		}
		w.boxes[id] = ln
	}
	ids := make([]string, 0, len(w.boxes))
	for id := range w.boxes {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		c.Put(w.instance(id, w.boxes[id].Addr().String()))
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
	w.own(text + "service cache {\n}\nservice trunk {\n}\nservice archive {\n}\n" + extra + "\n}")
	return c, all
}

// flow is requests at a steady pace, and what came of them.
type flow struct {
	mu     sync.Mutex
	counts map[string]int // by error; served: empty
	stop   chan struct{}
	done   sync.WaitGroup
}

// flow sends lookups for ever new objects, a hundred and fifty a second, until stop is closed.
func (w *world) flow() *flow {
	w.t.Helper()
	f := &flow{counts: map[string]int{}, stop: make(chan struct{})}
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
			_ = c.c.Send(request(uint64(id), "lookup", map[string]string{"item": fmt.Sprintf("%016x", id+1), "ram": "1"}, ""))
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
			a, err := c.c.Read(100 * time.Millisecond)
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
				until = time.Now().Add(patience / 2)
			default:
			}
		}
	}()
	return f
}

// end stops the flow and gives what came of all of it.
func (f *flow) end() map[string]int {
	close(f.stop)
	f.done.Wait()
	return f.counts
}

// wantServed ends the flow and fails if anything but an answer came.
func (f *flow) wantServed(t *testing.T) {
	t.Helper()
	counts := f.end()
	for what, n := range counts {
		if what != "" {
			t.Errorf("%d requests ended with %q, %d were served", n, what, counts[""])
		}
	}
	if counts[""] == 0 {
		t.Error("no request was served")
	}
}

// uses says whether a line is a send to a box, or one that names it as the source.
func uses(id string) func(*asked) bool {
	return func(a *asked) bool { return a.Word == "ASK" && (a.Endpoint == id || a.Fields["via"] == id) }
}

// used waits until a box is in use.
func (w *world) used(id string) {
	w.t.Helper()
	from := time.Now()
	w.until(id+" is in use", func() bool {
		return len(w.lines(func(a *asked) bool { return uses(id)(a) && a.At.After(from) })) > 0
	})
}

// unused waits until nothing was sent to a box for a while, and fails if anything was later than within after since.
func (w *world) unused(id string, since time.Time, within time.Duration) {
	w.t.Helper()
	last := func() time.Time {
		lines := w.lines(uses(id))
		if len(lines) == 0 {
			return since
		}
		return lines[len(lines)-1].At
	}
	end := time.Now().Add(patience)
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

// filling is a script by which caches hold nothing: each request is filled.
func filling(a *asked) {
	if a.Fields["via"] == "" && a.Endpoint[0] == 'c' {
		a.Answer("NOENT", "-", "")
		return
	}
	a.Answer("ACK", "tag=t1,minted=1,remark=filled,lag=1", a.Fields["thing"])
}

// TestCatalogueStates: what the catalogue says of a box holds, under load, as target and as source.
func TestCatalogueStates(t *testing.T) {
	t.Parallel()
	w := newWorld(t, filling, "c1", "c2", "p1", "o1")
	c, _ := w.catalogue(1, "", "c3", "p2")
	w.own("list {\nflap-cut 0\n}")
	w.run()
	w.until("all boxes are known", func() bool { return strings.Count(w.log.String(), "event=endpoint-added") == 6 })
	f := w.flow()
	for _, id := range []string{"c1", "p1"} {
		name, _, _ := service(id)
		for _, status := range []string{"maintenance", consul.Critical} {
			w.used(id)
			c.Mark(name, id, status)
			w.unused(id, c.Written(id), time.Second)
			c.Mark(name, id, consul.Passing)
		}
		w.used(id)
		c.MarkNode("node-"+id, consul.Critical)
		w.unused(id, c.Written(id), time.Second)
		c.MarkNode("node-"+id, consul.Passing)
		w.used(id)
		in := c.Instances(name)
		c.Remove(name, id)
		w.unused(id, c.Written(id), time.Second)
		for _, i := range in {
			if i.ID == id {
				c.Put(i)
			}
		}
		w.used(id)
	}
	f.wantServed(t)
}

// TestCatalogueDownWhileWaiting is the first hard case: a box is marked critical while fills from it are under way and
// attempts wait for its connection. What waits goes elsewhere at once, and nothing new goes there.
func TestCatalogueDownWhileWaiting(t *testing.T) {
	t.Parallel()
	held := make(chan *asked, 1000)
	w := newWorld(t, func(a *asked) {
		if a.Fields["via"] == "p1" {
			held <- a // a fill that is under way
			return
		}
		filling(a)
	}, "c1", "c2", "p1", "o1")
	c, _ := w.catalogue(1, "")
	address := w.fullListener() // no connection to c1 comes up
	c.Put(w.instance("c1", address))
	w.config["settings"].(map[string]any)["limits"].(map[string]any)["dial-timeout-ms"] = 60000
	w.run()
	w.until("all boxes are known", func() bool { return strings.Count(w.log.String(), "event=endpoint-added") == 4 })
	client := w.dial()
	for id := range uint64(20) {
		client.send(request(id, "footage", map[string]string{"limit": "60000", "item": fmt.Sprintf("%016x", id+1), "ram": "1"}, ""))
	}
	w.until("attempts wait for c1", func() bool { return len(w.lines(word("ASK"))) > 0 }) // c2 has no copies, and c1 is next
	c.Mark("cache", "c1", consul.Critical)
	w.until("c1 is gone", func() bool { return strings.Contains(w.log.String(), "event=endpoint-removed endpoint=c1") })
	w.until("a fill is under way", func() bool { return len(held) > 0 })
	fill := <-held
	c.Mark("trunk", "p1", consul.Critical)
	w.until("p1 is gone", func() bool { return strings.Contains(w.log.String(), "event=endpoint-removed endpoint=p1") })
	marked := time.Now()
	go func() { // the fills that are under way end well
		for a := fill; ; a = <-held {
			a.Answer("ACK", "tag=t1,minted=1,remark=filled,lag=1", a.Fields["thing"])
		}
	}()
	for range 20 {
		if a := client.want(); a.Error != "" {
			t.Errorf("%+v, want it served", a)
		}
	}
	for id := uint64(100); id < 140; id++ {
		client.send(request(id, "footage", map[string]string{"item": fmt.Sprintf("%016x", id+1), "ram": "1"}, ""))
		client.want()
	}
	for _, id := range []string{"c1", "p1"} {
		if late := w.lines(func(a *asked) bool { return uses(id)(a) && a.At.After(marked) }); len(late) > 0 {
			t.Errorf("%s was used after it was gone: %+v", id, late[0])
		}
	}
}

// TestCatalogueOutage is the second hard case: the agent fails in four ways. Every request is served as before, the agent
// is asked no more than once a second, and what changed meanwhile holds once it is back.
func TestCatalogueOutage(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault consul.Fault
	}{{"hangs", consul.Hang}, {"refuses", consul.Refuse}, {"resets", consul.Reset}, {"says 500", consul.Status500}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, filling, "c1", "c2", "p1", "o1")
			cluster, agents := w.catalogue(1, "", "c3")
			w.run()
			w.until("all boxes are known", func() bool { return strings.Count(w.log.String(), "event=endpoint-added") == 5 })
			f := w.flow()
			w.used("c1")
			agents[0].SetFault(c.fault, 0)
			cluster.Mark("archive", "o1", consul.Passing) // so that what blocks is answered, and fails
			cluster.Mark("trunk", "p1", consul.Passing)
			cluster.Mark("cache", "c2", consul.Passing)
			w.until("the outage is found", func() bool { return strings.Count(w.log.String(), "event=catalogue-unreachable") == 3 })
			before, from := agents[0].Requests(), time.Now()
			time.Sleep(*outageFor) // the case's own length
			cluster.Mark("cache", "c1", "maintenance")
			w.used("c1") // nobody can know
			asked, took := agents[0].Requests()-before, time.Since(from)
			agents[0].SetFault(consul.None, 0)
			back := time.Now()
			w.unused("c1", back, 1500*time.Millisecond)
			f.wantServed(t)
			if most := int(took/time.Second) + 2; c.fault != consul.Refuse && asked > most {
				t.Errorf("%d questions in %v, want at most %d", asked, took, most)
			}
			if log := w.log.String(); strings.Contains(log, "event=endpoint-removed") || strings.Count(log, "event=catalogue-reachable") != 3 {
				t.Error("a box left, or the agent's return is not in the log")
			}
		})
	}
}

// TestCatalogueDoubts is the third hard case: answers that lack boxes without their being gone lose none, and a real loss of
// most is believed within a second.
func TestCatalogueDoubts(t *testing.T) {
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
			w := newWorld(t, filling, "c1", "c2", "p1", "o1")
			cluster, agents := w.catalogue(1, "limit 500ms", "c3", "c4", "c5")
			w.run()
			w.until("all boxes are known", func() bool { return strings.Count(w.log.String(), "event=endpoint-added") == 7 })
			f := w.flow()
			agents[0].SetFault(c.fault, c.by)
			w.until("the odd answer is noted", func() bool {
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
			w.until("the true list is believed again", func() bool {
				cluster.Mark("cache", "c2", "maintenance")
				return strings.Contains(w.log.String(), "event=endpoint-draining endpoint=c2")
			})
			cluster.Remove("cache", "c1", "c2", "c3", "c4")
			w.unused("c3", cluster.Written("c3"), time.Second)
			w.unused("c1", cluster.Written("c1"), time.Second)
			if !strings.Contains(w.log.String(), "event=list-loss-confirmed") {
				t.Error("the real loss was not doubted and confirmed")
			}
			f.wantServed(t)
		})
	}
}

// TestSourcesDisagree is the fourth hard case: bulletin and catalogue say different things, and one of them is silent.
func TestSourcesDisagree(t *testing.T) {
	t.Parallel()
	w := newWorld(t, filling)
	c, agents := w.catalogue(1, "")
	w.own("list {\nflap-cut 0\n}")
	w.run()
	<-w.after
	var last atomic.Int64
	last.Store(1)
	over := make(chan struct{})
	defer close(over)
	go func() { // a bulletin says each second that it is there
		for {
			select {
			case <-over:
				return
			case w.feed <- fmt.Sprint(last.Load()):
				time.Sleep(400 * time.Millisecond)
			}
		}
	}()
	tell := func(no int, health string) {
		last.Store(int64(no))
		w.feed <- roster(no, false, host("c1", w.boxes["c1"].Addr().String(), "edge", "std", health, 0))
	}
	f := w.flow()
	w.used("c1")
	c.Mark("cache", "c1", consul.Critical) // the bulletin has it up
	w.unused("c1", c.Written("c1"), time.Second)
	c.Mark("cache", "c1", consul.Passing)
	w.used("c1")
	tell(2, "draining") // the catalogue has it up
	w.unused("c1", time.Now(), time.Second)
	agents[0].SetFault(consul.Refuse, 0)
	w.until("the catalogue is silent", func() bool { return strings.Count(w.log.String(), "event=catalogue-unreachable") == 3 })
	tell(3, "up") // and the catalogue's last word is up
	w.used("c1")
	agents[0].SetFault(consul.None, 0)
	w.until("the catalogue is back", func() bool { return strings.Count(w.log.String(), "event=catalogue-reachable") == 3 })
	c.Mark("cache", "c1", consul.Critical)
	w.unused("c1", c.Written("c1"), time.Second)
	agents[0].SetFault(consul.Refuse, 0)
	w.until("the catalogue is silent again", func() bool { return strings.Count(w.log.String(), "event=catalogue-unreachable") == 6 })
	tell(4, "draining")
	tell(5, "up") // said after the catalogue fell silent: it overrules its last word
	w.used("c1")
	f.wantServed(t)
}

// TestSameIDElsewhere is the fifth hard case: an id comes back within 100 ms on another port, under another registration.
func TestSameIDElsewhere(t *testing.T) {
	t.Parallel()
	w := newWorld(t, filling, "c1", "c2", "p1", "o1")
	c, _ := w.catalogue(1, "")
	w.run()
	f := w.flow()
	w.used("c1")
	old := w.boxes["c1"].Addr().String()
	c.Remove("cache", "c1")
	ln, err := w.fleet.Add("c1", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(80 * time.Millisecond)
	c.Put(w.instance("c1", ln.Addr().String()))
	at := func(address string) func(*asked) bool {
		return func(a *asked) bool {
			return uses("c1")(a) && a.Endpoint == "c1" && a.Conn.LocalAddr().String() == address
		}
	}
	w.until("the new address is in use", func() bool { return len(w.lines(at(ln.Addr().String()))) > 3 })
	if late := w.lines(func(a *asked) bool { return at(old)(a) && a.At.After(c.Written("c1").Add(time.Second)) }); len(late) > 0 {
		t.Errorf("the old address was sent %d lines a second after the new registration", len(late))
	}
	first := w.lines(at(ln.Addr().String()))[0].At
	if late := w.lines(func(a *asked) bool { return at(old)(a) && a.At.After(first) }); len(late) > 0 {
		t.Errorf("the old address was sent %d lines after the new one was in use", len(late))
	}
	f.wantServed(t)
}

// TestAgentDies is the sixth hard case: the agent in use dies between a change and its answer.
func TestAgentDies(t *testing.T) {
	t.Parallel()
	w := newWorld(t, filling, "c1", "c2", "p1", "o1")
	c, agents := w.catalogue(2, "")
	w.run()
	f := w.flow()
	w.used("c1")
	agents[0].SetFault(consul.Refuse, 0)
	c.Mark("cache", "c1", consul.Critical)
	w.unused("c1", c.Written("c1"), time.Second)
	if !strings.Contains(w.log.String(), "event=catalogue-agent-changed") || strings.Contains(w.log.String(), "event=catalogue-unreachable") {
		t.Error("the change of agents is not in the log, or the catalogue counts as lost")
	}
	f.wantServed(t)
}

// TestSnapshotStart is the seventh hard case: a start while no source answers, with a snapshot that is sound, torn, or of a
// newer version.
func TestSnapshotStart(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil, "c1", "c2", "p1", "o1")
	_, agents := w.catalogue(1, "")
	path := filepath.Join(t.TempDir(), "list")
	w.own("snapshot {\nfile " + path + "\nevery 100ms\n}")
	w.run()
	ask := func() string {
		client := w.dial()
		client.send(request(1, "footage", nil, ""))
		a := client.want()
		return a.Error
	}
	w.until("it serves", func() bool { return ask() == "" })
	var sound []byte
	w.until("the snapshot has all boxes", func() bool {
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
		w.run()
		if got := ask() == ""; got != c.served || !strings.Contains(w.log.String(), c.log) {
			t.Errorf("%s: served %v, want %v and %s in the log", c.name, got, c.served, c.log)
		}
	}
	agents[0].SetFault(consul.None, 0)
	w.until("it serves once the catalogue answers", func() bool { return ask() == "" })
}

// TestRegistration: the doorman is in the catalogue while it runs, also after its agent has forgotten it, and takes itself
// out first thing at its end.
func TestRegistration(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	c, agents := w.catalogue(1, "register {\nservice doorman\nttl 1s\n}")
	w.run()
	there := func() bool {
		in := c.Instances("doorman")
		return len(in) == 1 && in[0].ID == "n1" && in[0].Checks[0].Status == consul.Passing && fmt.Sprint(in[0].Address, ":", in[0].Port) == w.listen
	}
	w.until("it is registered", there)
	agents[0].Restart()
	w.until("it is registered again", there)
	time.Sleep(1200 * time.Millisecond) // longer than the TTL
	if !there() {
		t.Errorf("it is not kept: %+v", c.Instances("doorman"))
	}
	client := w.dial()
	w.setScript(func(a *asked) { time.Sleep(300 * time.Millisecond); a.Answer("ACK", "tag=t1", "late") })
	client.send(request(1, "footage", nil, ""))
	w.until("a request is open", func() bool { return len(w.lines(word("ASK"))) > 0 })
	w.signal(syscall.SIGTERM)
	w.until("it has taken itself out", func() bool { return len(c.Instances("doorman")) == 0 })
	if a := client.want(); a.Body != "late" {
		t.Errorf("%+v, want the open request served after that", a)
	}
	if err := <-w.exited; err != nil {
		t.Errorf("it ended with %v", err)
	}
	w.cmd = nil
}

// TestCataloguePurges: a key below the prefix has copies of before its time refused, and what is no purge is logged once.
func TestCataloguePurges(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	c, _ := w.catalogue(1, "purges our/purges")
	w.run()
	c.SetKV("our/purges/object/7f3a9c21e0b4d655", fmt.Append(nil, time.Now().UnixMilli()))
	c.SetKV("our/purges/object/nonsense", []byte("1"))
	client := w.dial()
	id := uint64(0)
	w.until("the purge holds", func() bool {
		id++
		client.send(request(id, "footage", nil, ""))
		client.want()
		asks := w.lines(word("ASK"))
		return asks[len(asks)-1].Fields["fresh"] != ""
	})
	client.send(request(id+1, "footage", map[string]string{"item": "00000000000000aa"}, ""))
	client.want()
	if asks := w.lines(word("ASK")); asks[len(asks)-1].Fields["fresh"] != "" {
		t.Error("another object is asked for as if it were purged")
	}
	w.until("the odd key is logged", func() bool { return strings.Contains(w.log.String(), "event=catalogue-purge-key-rejected") })
	c.SetKV("our/purges/group/3", fmt.Append(nil, time.Now().UnixMilli()))
	w.until("a purge of the group holds for others of it", func() bool {
		id++
		client.send(request(id+1, "footage", map[string]string{"item": "00000000000000ab"}, ""))
		client.want()
		asks := w.lines(word("ASK"))
		return asks[len(asks)-1].Fields["fresh"] != ""
	})
	if n := strings.Count(w.log.String(), "event=catalogue-purge-key-rejected"); n != 1 {
		t.Errorf("the odd key is logged %d times", n)
	}
}

// TestCatalogueEntries: instances of no use are left out, each logged once and not with every answer; and the token is read
// again for each question.
func TestCatalogueEntries(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil, "c1", "c2", "p1", "o1")
	token := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(token, []byte("wrong\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	c, _ := w.catalogue(1, "token-file "+token)
	c.SetTokens(map[string][]string{"right": {"cache", "trunk", "archive"}})
	bad := w.instance("c9", "127.0.0.1:1")
	bad.Port = 0
	c.Put(bad)
	bad = w.instance("c8", "127.0.0.1:1")
	bad.Meta["site"] = "nowhere"
	c.Put(bad)
	w.run()
	w.until("the lack of rights is logged", func() bool { return strings.Contains(w.log.String(), "reason=filtered") })
	if err := os.WriteFile(token, []byte("right\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	w.until("the boxes are known", func() bool { return strings.Count(w.log.String(), "event=endpoint-added") == 4 })
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

// TestFlappingCheck: a check that flaps a hundred times a second costs a bounded number of changes, and the box is down when
// it is marked down for good.
func TestFlappingCheck(t *testing.T) {
	t.Parallel()
	w := newWorld(t, filling, "c1", "c2", "p1", "o1")
	c, _ := w.catalogue(1, "")
	w.run()
	f := w.flow()
	w.used("c1")
	for range 150 {
		c.Mark("cache", "c1", consul.Critical)
		time.Sleep(5 * time.Millisecond)
		c.Mark("cache", "c1", consul.Passing)
		time.Sleep(5 * time.Millisecond)
	}
	c.Mark("cache", "c1", consul.Critical)
	w.unused("c1", c.Written("c1"), time.Second)
	log := w.log.String()
	if n := strings.Count(log, "endpoint=c1"); n > 30 {
		t.Errorf("%d lines of a box that flapped", n)
	}
	f.wantServed(t)
}

// TestBoxes: the command prints the merged view, with who decided.
func TestBoxes(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	c, agents := w.catalogue(1, "")
	c.Mark("cache", "c1", "maintenance")
	w.path = filepath.Join(t.TempDir(), "config.json")
	w.configure()
	w.feed <- roster(2, false, host("c2", w.boxes["c2"].Addr().String(), "edge", "std", "removed", 0))
	w.feed <- "2"
	view := func() string {
		out, err := exec.Command(program, "boxes", "--config", w.path, "--conf", w.conf, "--wait", "1s").CombinedOutput()
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
	w.feed <- "!"
	w.feed <- "2"
	if out = view(); !matches("consul:cache +unheard", out) || !matches("# catalogue-lost", out) {
		t.Errorf("without its agent:\n%s", out)
	}
}

// TestDrainTimes measures how long after the catalogue's change of a box the last new send to it goes out, over seeded
// changes under 150 requests a second. -drains sets how many.
func TestDrainTimes(t *testing.T) {
	t.Parallel()
	w := newWorld(t, filling, "c1", "c2", "p1", "o1")
	c, _ := w.catalogue(1, "", "c3", "c4", "c5", "c6", "p2")
	w.own("list {\nflap-cut 0\n}")
	w.run()
	f := w.flow()
	rng := rand.New(rand.NewSource(*drainSeed))
	var times []time.Duration
	for range *drains {
		id := []string{"c1", "c2", "c3", "c4", "c5", "c6", "p1", "p2"}[rng.Intn(8)]
		name, _, _ := service(id)
		w.used(id)
		time.Sleep(time.Duration(rng.Intn(250)) * time.Millisecond)
		in := w.instance(id, w.boxes[id].Addr().String())
		switch rng.Intn(3) {
		case 0:
			c.Mark(name, id, "maintenance")
		case 1:
			c.Mark(name, id, consul.Critical)
		default:
			c.Remove(name, id)
		}
		marked := c.Written(id)
		w.unused(id, marked, time.Second)
		lines := w.lines(uses(id))
		times = append(times, max(0, lines[len(lines)-1].At.Sub(marked)))
		if len(c.Instances(name)) == 0 || !slices.ContainsFunc(c.Instances(name), func(i consul.Instance) bool { return i.ID == id }) {
			c.Put(in)
		} else {
			c.Mark(name, id, consul.Passing)
		}
	}
	f.wantServed(t)
	slices.Sort(times)
	t.Logf("all: %v", times)
	at := func(q float64) time.Duration { return times[min(len(times)-1, int(q*float64(len(times))))] }
	t.Logf("%d changes: median %v, 99th percentile %v, worst %v", len(times), at(0.5), at(0.99), times[len(times)-1])
}

// TestTry: the newcomer's command runs to its end, and all it shows is as it should be.
func TestTry(t *testing.T) {
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

// TestNotReadyWithoutBoxes: while the catalogue has not answered, clients are not taken in; once they are, the boxes are known.
func TestNotReadyWithoutBoxes(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil, "c1", "c2", "p1", "o1")
	_, agents := w.catalogue(1, "")
	agents[0].SetFault(consul.Refuse, 0)
	go func() {
		for !strings.Contains(w.log.String(), "event=catalogue-unreachable") {
			time.Sleep(time.Millisecond)
		}
		agents[0].SetFault(consul.None, 0)
	}()
	w.run()
	if n := strings.Count(w.log.String(), "event=endpoint-added"); n != 4 {
		t.Errorf("%d boxes were known when it was ready, want 4", n)
	}
}
