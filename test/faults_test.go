package test

import (
	"fmt"
	"maps"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"sloequay/internal/emulator"
)

// A bad day plays the input that the fleet's days bring: spoilt answers, connections reset, lists torn, late, doubled and
// empty, clients that give up or come again at once. On each, every request that was not taken back gets exactly one
// final answer, what is served is what a box made, and once a round is over the doorman holds what it held before: rounds
// are compared, so that what grows by a little each time is seen.

const (
	faultRounds      = 5
	faultClients     = 8
	requestsPerRound = 50 // requests of a client in a round
	openWindow       = 8  // that it has open
)

// faultCase is one kind of bad input.
type faultCase struct {
	name      string
	script    func(n int64, a *receivedRequest) // what the nth attempt of the day meets
	beside    func(d *faultRun)                 // runs beside the requests of a round, until d.over is closed
	after     func(d *faultRun)                 // puts right what beside has left
	client    clientFaults
	minServed float64 // of the requests that were not taken back, the share that is to be served
}

// clientFaults is how the day's clients behave.
type clientFaults struct {
	withdrawEvery int // each so manieth request is taken back at once
	leaveAfter    int // and after each so manieth the client is gone, with what it has open
	retries       int // a request that is not served comes again at once, so often
}

// faultRun is a day as it runs.
type faultRun struct {
	testbed       *testbed
	over          chan struct{}
	listVersion   int // of the bulletin
	served, ended atomic.Int64
	ids           atomic.Uint64
}

func answerServed(a *receivedRequest) {
	a.Answer("ACK", fmt.Sprintf("tag=t1,minted=%d,remark=hit", time.Now().UnixMilli()), a.Fields["thing"])
}

// answerMalformed gives a box's answers one after another in each of the ways that the operators' page lists.
func answerMalformed(n int64, a *receivedRequest) {
	raw := func(format string, args ...any) { _, _ = fmt.Fprintf(a.Conn, format, args...) }
	switch n % 36 {
	case 0:
		_, _ = a.Conn.Write([]byte{0x00, 0xff, 0x0d, 0x0a, 0x93, 0x0d, 0x0a})
	case 1:
		raw("%s ACK %s", a.ID, strings.Repeat("x", 3<<10)) // a line that does not end
	case 2:
		raw("%s ACK - 3000000000\r\n%s", a.ID, strings.Repeat("x", 1<<10))
	case 3:
		raw("%s ACK tag=t1 16\r\nhalf", a.ID)
		_ = a.Conn.Close()
	case 4:
		raw("%s ACK tag=t1 -7\r\n", a.ID)
	case 5:
		raw("ffffffffffffffff ACK tag=t1,minted=1 3\r\nbad\r\n")
		answerServed(a)
	case 6:
		answerServed(a)
		answerServed(a)
	case 7: // never comes
	case 8:
		raw("%s ACK tag=t1 16\r\n7f3a9c21e0b4d655 and more\r\n", a.ID)
	default:
		answerServed(a)
	}
}

// TestFaultsLeaveNothingHeld plays them.
func TestFaultsLeaveNothingHeld(t *testing.T) {
	for _, day := range []faultCase{
		{name: "answers come spoilt", script: answerMalformed, minServed: 0.05},
		{name: "connections are reset", minServed: 0.05, script: func(n int64, a *receivedRequest) {
			if n%9 == 0 {
				_ = a.Conn.Close() // once the request was read
				return
			}
			answerServed(a)
		}, beside: func(d *faultRun) {
			for box := 0; ; box++ { // new, idle or under a request
				select {
				case <-d.over:
					return
				case <-time.After(5 * time.Millisecond):
					d.testbed.endpoints.Drop([]string{"c1", "c2", "p1", "o1"}[box%4])
				}
			}
		}},
		{name: "lists are empty, torn, doubled, old and late", minServed: 0.05, beside: (*faultRun).sendFaultyLists, after: (*faultRun).sendSoundList},
		{name: "clients give up", client: clientFaults{withdrawEvery: 3, leaveAfter: 20}, minServed: 0.5, script: func(n int64, a *receivedRequest) {
			time.Sleep(time.Duration(n%4) * 2 * time.Millisecond)
			answerServed(a)
		}},
		{name: "clients come again too often", client: clientFaults{retries: 10}, script: func(n int64, a *receivedRequest) {
			if n%3 == 0 {
				answerServed(a)
				return
			}
			a.Answer("AGAIN", "-", "")
		}, minServed: 0.05},
		{name: "all of it at once", script: answerMalformed, client: clientFaults{withdrawEvery: 4, leaveAfter: 15, retries: 3},
			beside: func(d *faultRun) {
				d.sendFaultyLists()
				d.testbed.endpoints.Drop("c1")
			}, after: (*faultRun).sendSoundList, minServed: 0.02},
	} {
		t.Run(day.name, func(t *testing.T) {
			t.Parallel()
			var n atomic.Int64
			w := newTestbed(t, func(a *receivedRequest) {
				if day.script == nil {
					answerServed(a)
				} else {
					day.script(n.Add(1), a)
				}
			})
			socket := socketPath(t)
			w.addSettings("control " + socket)
			w.start()
			go func() { // what the program asks of the bulletin is not looked at
				for range w.listPolls {
				}
			}()
			d := &faultRun{testbed: w, listVersion: 1}
			var held []map[string]int
			for round := range faultRounds {
				d.round(&day)
				if day.after != nil {
					day.after(d)
				}
				var state map[string]int
				w.waitUntil(fmt.Sprintf("what round %d left is gone: %v", round, state), func() bool {
					state = w.heldState(socket)
					return state["pool.0.open"]+state["pool.0.module"]+state["pool.0.sent"] == 0
				})
				state["descriptors"] = w.descriptors()
				held = append(held, state)
			}
			first, last := held[1], held[faultRounds-1]
			for kind, n := range last {
				if kind == "pool.0.given-up" { // kept for 10 s, as late answers may come
					continue
				}
				// Rounds differ by what is just being closed; what is kept would be there for each request.
				if most := first[kind] + faultClients*requestsPerRound/4; kind != "pool.0.timers" && n > most {
					t.Errorf("%s: %d after round 2, %d after round %d", kind, first[kind], n, faultRounds)
				}
			}
			if n := last["pool.0.timers"]; n > 2*faultClients*requestsPerRound+1024 {
				t.Errorf("%d timers are held with nothing open", n)
			}
			if share := float64(d.served.Load()) / float64(d.ended.Load()); share < day.minServed {
				t.Errorf("%.2f of %d requests were served, at least %.2f wanted", share, d.ended.Load(), day.minServed)
			}
			select {
			case err := <-w.exited:
				w.cmd = nil
				t.Errorf("the program ended: %v", err)
			default:
			}
		})
	}
}

// round has all clients send what they have to send.
func (d *faultRun) round(day *faultCase) {
	d.over = make(chan struct{})
	var beside, clients sync.WaitGroup
	if day.beside != nil {
		beside.Add(1)
		go func() { defer beside.Done(); day.beside(d) }()
	}
	for range faultClients {
		clients.Add(1)
		go func() { defer clients.Done(); d.client(day.client) }()
	}
	clients.Wait()
	close(d.over)
	beside.Wait()
}

// client sends its requests, a window of them at a time, and holds the doorman to one answer each.
func (d *faultRun) client(how clientFaults) {
	t := d.testbed.t
	for left := requestsPerRound; left > 0; {
		c, err := emulator.Dial(d.testbed.address)
		if err != nil {
			t.Errorf("a client was not let in: %v", err)
			return
		}
		open, again, taken := map[uint64]int{}, []int{}, map[uint64]bool{} // open and again: tries that are left
		gone := 0
		if how.leaveAfter > 0 {
			gone = how.leaveAfter
		}
		for left > 0 || len(open) > 0 || len(again) > 0 {
			for len(open) < openWindow && (left > 0 || len(again) > 0) {
				tries := how.retries
				if len(again) > 0 {
					tries, again = again[0], again[1:]
				} else {
					left--
				}
				id := d.ids.Add(1)
				open[id] = tries
				object := fmt.Sprintf("%016x", id%50+1)
				if err := c.Send(request(id, "footage", map[string]string{"item": object, "limit": "1500"}, "")); err != nil {
					t.Errorf("request %d could not be sent: %v", id, err)
					return
				}
				if how.withdrawEvery > 0 && id%uint64(how.withdrawEvery) == 0 {
					_ = c.Send(withdrawal(id))
					delete(open, id)
					taken[id] = true
				}
				if gone--; how.leaveAfter > 0 && gone == 0 {
					break
				}
			}
			if how.leaveAfter > 0 && gone <= 0 {
				break // with what it has open
			}
			if len(open) == 0 {
				continue
			}
			a, err := c.Read(waitLimit)
			if err != nil {
				t.Errorf("%d requests have no answer: %v", len(open), err)
				break
			}
			tries, is := open[a.ID]
			switch {
			case taken[a.ID]: // it crossed the withdrawal, and may come once
				delete(taken, a.ID)
				continue
			case !is:
				t.Errorf("a second answer, or one to nothing: %+v", a)
				continue
			}
			delete(open, a.ID)
			d.ended.Add(1)
			switch {
			case a.Error == "":
				d.served.Add(1)
				if want := fmt.Sprintf("%016x", a.ID%50+1); a.Body != want {
					t.Errorf("request %d was served %q, want %q", a.ID, a.Body, want)
				}
			case tries > 0:
				again = append(again, tries-1) // whatever `later` says
			}
		}
		_ = c.Conn.Close()
	}
}

// sendFaultyLists has the bulletin tell what can't be used, then what takes all boxes away, and break off in between.
func (d *faultRun) sendFaultyLists() {
	tell := func(line string) {
		select {
		case d.testbed.listFeed <- line:
		case <-d.over:
		}
	}
	for {
		next := d.listVersion + 1
		for _, line := range []string{
			`{"no":` + strconv.Itoa(next) + `,"roster":{"seq":1,"who`, // torn
			"!",
			listEvent(next, true), // hosts are none at all
			"!",
			listEvent(next, true, listEntry("c1", "nowhere", "edge", "std", "up", 0)), // no address
			"!",
			emptyList(next), // all boxes are gone
			emptyList(next), // twice
			strconv.Itoa(next),
			listEvent(1, false, listEntry("c9", "127.0.0.1:1", "edge", "std", "up", 0)), // old
			strconv.Itoa(next + 5), // five were missed, it says
			listEvent(next+1, true, d.testbed.listed[0], d.testbed.listed[0], d.testbed.listed[1], d.testbed.listed[2], d.testbed.listed[3]),
		} {
			tell(line)
		}
		d.listVersion += 2
		select {
		case <-d.over:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// sendSoundList has the bulletin tell the whole list, and waits until a box serves again.
func (d *faultRun) sendSoundList() {
	hosts := make([]map[string]any, 0, len(d.testbed.listed))
	for _, h := range d.testbed.listed {
		hosts = append(hosts, maps.Clone(h))
	}
	c := d.testbed.dial()
	c.send(request(1, "status", nil, ""))
	c.mustRead()
	d.testbed.waitUntil("a box serves again", func() bool {
		// Numbers that the program has already, or that skip some, have it ask again: then the next one will do.
		d.listVersion++
		select {
		case d.testbed.listFeed <- listEvent(d.listVersion, true, hosts...):
		default:
		}
		select {
		case d.testbed.listFeed <- "!":
		default:
		}
		c, err := emulator.Dial(d.testbed.address)
		if err != nil {
			return false
		}
		defer c.Conn.Close()
		_ = c.Send(request(d.ids.Add(1), "footage", map[string]string{"item": fmt.Sprintf("%016x", d.ids.Load()%50+1)}, ""))
		a, err := c.Read(waitLimit)
		return err == nil && a.Error == ""
	})
	_ = c.conn.Close()
}

// TestWithdrawnRequestsReleaseTimers: a client that tells limits of an hour and takes each request back left two timers each, with
// the request, for that hour.
func TestWithdrawnRequestsReleaseTimers(t *testing.T) {
	w := newTestbed(t, func(*receivedRequest) {})
	socket := socketPath(t)
	w.addSettings("control " + socket)
	w.start()
	c := w.dial()
	for id := uint64(1); id <= 3000; id++ {
		c.send(request(id, "footage", map[string]string{"limit": "3600000"}, ""))
		c.send(withdrawal(id))
		if id%16 == 0 { // else they would be taken back in the round they came in, and not be taken up
			c.send(request(id, "status", nil, ""))
			c.mustRead()
			w.waitUntil("it is out", func() bool { return w.heldState(socket)["pool.0.open"] == 0 })
		}
	}
	if n := w.heldState(socket)["pool.0.timers"]; n > 1100 {
		t.Errorf("%d timers are held with nothing open", n)
	}
	w.signal(syscall.SIGTERM)
	if err := <-w.exited; err != nil {
		t.Errorf("it ended with %v", err)
	}
	w.cmd = nil
}
