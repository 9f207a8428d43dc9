package test

import (
	"flag"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"sloequay/internal/emulator/consul"
)

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

var (
	drains    = flag.Int("drains", 6, "how many seeded changes of the catalogue are measured")
	drainSeed = flag.Int64("drain-seed", 7, "their seed")
)

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
