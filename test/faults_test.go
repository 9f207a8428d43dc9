package test

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"sloequay/internal/emulator"
)

// A fault case plays the input that the fleet's bad days bring: answers that can't be read, connections reset, lists
// torn, late, doubled and empty, clients that give up or come again at once. On each, every request that was not
// taken back gets exactly one final answer, what is served is what an endpoint made, and once a round is over the
// proxy holds what it held before: rounds are compared, so that what grows by a little each time is seen.

const (
	faultRounds      = 5
	faultClients     = 8
	requestsPerRound = 50 // of a client
	openWindow       = 8  // requests that a client has open
)

// faultCase is one kind of bad input.
type faultCase struct {
	name       string
	respond    func(n int64, attempt *receivedRequest) // what the nth attempt of the case meets; nil: it is served
	background func(r *faultRun)                       // runs beside a round, until over is closed; nil: nothing
	cleanUp    func(r *faultRun)                       // puts right what beside has left; nil: nothing
	client     clientFaults
	minServed  float64 // of the requests that were not taken back, the share that is to be served
}

// clientFaults is how the case's clients behave; 0: none of it.
type clientFaults struct {
	cancelEvery     int // each so manieth request is taken back at once
	disconnectAfter int // after so many requests the client is gone, with what it has open, and comes anew
	retries         int // a request that is not served comes again at once, so often
}

// faultRun is a case as it runs.
type faultRun struct {
	testbed       *testbed
	roundOver     chan struct{} // closed when the requests of a round have ended
	listVersion   int           // that the list service has told last
	served, ended atomic.Int64
	ids           atomic.Uint64
}

var faultCases = []faultCase{
	{name: "answers come malformed", respond: respondMalformed, minServed: 0.05},
	{name: "connections are reset", respond: respondOrClose, background: (*faultRun).resetConnections, minServed: 0.05},
	{name: "lists are empty, torn, doubled, old and late", background: (*faultRun).sendFaultyLists,
		cleanUp: (*faultRun).sendValidList, minServed: 0.05},
	{name: "clients give up", client: clientFaults{cancelEvery: 3, disconnectAfter: 20}, respond: respondSlowly,
		minServed: 0.5},
	{name: "clients come again too often", client: clientFaults{retries: 10}, respond: respondOrReject,
		minServed: 0.05},
	{name: "all of it at once", respond: respondMalformed,
		client: clientFaults{cancelEvery: 4, disconnectAfter: 15, retries: 3},
		background: func(r *faultRun) {
			r.sendFaultyLists()
			r.testbed.endpoints.ResetConnections("c1")
		}, cleanUp: (*faultRun).sendValidList, minServed: 0.02},
}

// respondWithObject answers with the object that was asked for.
func respondWithObject(attempt *receivedRequest) {
	attempt.Answer("ACK", fmt.Sprintf("tag=t1,minted=%d,remark=hit", time.Now().UnixMilli()), attempt.Fields["thing"])
}

// respondMalformed answers one attempt after another in each of the ways that the operators' page lists.
func respondMalformed(n int64, attempt *receivedRequest) {
	raw := func(format string, args ...any) { _, _ = fmt.Fprintf(attempt.Conn, format, args...) }
	switch n % 36 {
	case 0:
		_, _ = attempt.Conn.Write([]byte{0x00, 0xff, 0x0d, 0x0a, 0x93, 0x0d, 0x0a})
	case 1:
		raw("%s ACK %s", attempt.ID, strings.Repeat("x", 3<<10)) // a line that does not end
	case 2:
		raw("%s ACK - 3000000000\r\n%s", attempt.ID, strings.Repeat("x", 1<<10))
	case 3:
		raw("%s ACK tag=t1 16\r\nhalf", attempt.ID)
		_ = attempt.Conn.Close()
	case 4:
		raw("%s ACK tag=t1 -7\r\n", attempt.ID)
	case 5:
		raw("ffffffffffffffff ACK tag=t1,minted=1 3\r\nbad\r\n")
		respondWithObject(attempt)
	case 6:
		respondWithObject(attempt)
		respondWithObject(attempt)
	case 7: // never comes
	case 8:
		raw("%s ACK tag=t1 16\r\n7f3a9c21e0b4d655 and more\r\n", attempt.ID)
	default:
		respondWithObject(attempt)
	}
}

// respondOrClose closes each ninth attempt's connection once the attempt was read.
func respondOrClose(n int64, attempt *receivedRequest) {
	if n%9 == 0 {
		_ = attempt.Conn.Close()
		return
	}
	respondWithObject(attempt)
}

// respondSlowly takes up to six milliseconds.
func respondSlowly(n int64, attempt *receivedRequest) {
	time.Sleep(time.Duration(n%4) * 2 * time.Millisecond)
	respondWithObject(attempt)
}

// respondOrReject serves each third attempt.
func respondOrReject(n int64, attempt *receivedRequest) {
	if n%3 == 0 {
		respondWithObject(attempt)
		return
	}
	attempt.Answer("AGAIN", "-", "")
}

// resetConnections resets those of one endpoint after another, whether new, idle or under a request.
func (r *faultRun) resetConnections() {
	for n := 0; ; n++ {
		select {
		case <-r.roundOver:
			return
		case <-time.After(5 * time.Millisecond):
			r.testbed.endpoints.ResetConnections([]string{"c1", "c2", "p1", "o1"}[n%4])
		}
	}
}

// sendFaultyLists has the list service tell what can't be used, then what takes all endpoints away, and break off in
// between.
func (r *faultRun) sendFaultyLists() {
	bed := r.testbed
	for {
		next := r.listVersion + 1
		for _, line := range []string{
			`{"no":` + strconv.Itoa(next) + `,"roster":{"seq":1,"who`, // torn
			"!",
			listEvent(next, true), // hosts are none at all
			"!",
			listEvent(next, true, listEntry("c1", "nowhere", "edge", "std", "up", 0)), // no address
			"!",
			emptyListEvent(next), // all endpoints are gone
			emptyListEvent(next), // twice
			strconv.Itoa(next),
			listEvent(1, false, listEntry("c9", "127.0.0.1:1", "edge", "std", "up", 0)), // old
			strconv.Itoa(next + 5), // five were missed, it says
			listEvent(next+1, true, bed.listedEndpoints[0], bed.listedEndpoints[0], bed.listedEndpoints[1],
				bed.listedEndpoints[2], bed.listedEndpoints[3]),
		} {
			select {
			case bed.listFeed <- line:
			case <-r.roundOver:
			}
		}
		r.listVersion += 2
		select {
		case <-r.roundOver:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// sendValidList has the list service tell the complete list, and waits until an endpoint serves again.
func (r *faultRun) sendValidList() {
	bed := r.testbed
	standing := bed.dial()
	standing.waitRequestsRead(1)
	bed.waitUntil("an endpoint serves again", func() bool {
		// Numbers that the program has already, or that skip some, have it ask again: then the next one will do.
		r.listVersion++
		for _, line := range []string{listEvent(r.listVersion, true, bed.listedEndpoints...), "!"} {
			select {
			case bed.listFeed <- line:
			default:
			}
		}
		protocol, err := emulator.Dial(bed.address)
		if err != nil {
			return false
		}
		defer protocol.Conn.Close()
		id := r.ids.Add(1)
		_ = protocol.Send(request(id, "footage", map[string]string{"item": faultObject(id)}, ""))
		answer, err := protocol.Read(waitLimit)
		return err == nil && answer.Error == ""
	})
	_ = standing.conn.Close()
}

// faultObject is the object that a request asks for: one of fifty.
func faultObject(request uint64) string { return hexID(request%50 + 1) }

// round has all clients send what they have to send.
func (r *faultRun) round(c *faultCase) {
	r.roundOver = make(chan struct{})
	var beside, clients sync.WaitGroup
	if c.background != nil {
		beside.Add(1)
		go func() { defer beside.Done(); c.background(r) }()
	}
	for range faultClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			client := &faultClient{run: r, faults: c.client, unsent: requestsPerRound}
			for client.unsent > 0 && client.connect() {
			}
		}()
	}
	clients.Wait()
	close(r.roundOver)
	beside.Wait()
}

// faultClient sends its requests, a window of them at a time, and holds the proxy to one answer each.
type faultClient struct {
	run    *faultRun
	faults clientFaults
	unsent int // requests that were not sent yet

	// Of the connection that stands:
	connection *emulator.Client
	open       map[uint64]int // retries that are left, by the request's id
	retryQueue []int          // the same, of requests that are to come again
	canceled   map[uint64]bool
	sent       int
}

// connect sends requests on a new connection until all have ended or the client leaves, and says whether it may come
// anew.
func (c *faultClient) connect() bool {
	t := c.run.testbed.t
	var err error
	if c.connection, err = emulator.Dial(c.run.testbed.address); err != nil {
		t.Errorf("a client was not let in: %v", err)
		return false
	}
	defer c.connection.Conn.Close()
	c.open, c.retryQueue, c.canceled, c.sent = map[uint64]int{}, nil, map[uint64]bool{}, 0
	for c.unsent > 0 || len(c.open) > 0 || len(c.retryQueue) > 0 {
		if err := c.fillWindow(); err != nil {
			t.Errorf("a request could not be sent: %v", err)
			return false
		}
		if c.shouldDisconnect() {
			return true // with what it has open
		}
		if len(c.open) == 0 {
			continue
		}
		answer, err := c.connection.Read(waitLimit)
		if err != nil {
			t.Errorf("%d requests have no answer: %v", len(c.open), err)
			return true
		}
		c.handleAnswer(answer)
	}
	return true
}

// shouldDisconnect says whether the client is to leave now.
func (c *faultClient) shouldDisconnect() bool {
	return c.faults.disconnectAfter > 0 && c.sent >= c.faults.disconnectAfter
}

// fillWindow sends requests until the window is full.
func (c *faultClient) fillWindow() error {
	for len(c.open) < openWindow && (c.unsent > 0 || len(c.retryQueue) > 0) && !c.shouldDisconnect() {
		retries := c.faults.retries
		if len(c.retryQueue) > 0 {
			retries, c.retryQueue = c.retryQueue[0], c.retryQueue[1:]
		} else {
			c.unsent--
		}
		id := c.run.ids.Add(1)
		c.open[id] = retries
		c.sent++
		fields := map[string]string{"item": faultObject(id), "limit": "1500"}
		if err := c.connection.Send(request(id, "footage", fields, "")); err != nil {
			return err
		}
		if c.faults.cancelEvery > 0 && id%uint64(c.faults.cancelEvery) == 0 {
			_ = c.connection.Send(cancelNotification(id))
			delete(c.open, id)
			c.canceled[id] = true
		}
	}
	return nil
}

// handleAnswer takes an answer.
func (c *faultClient) handleAnswer(answer reply) {
	t := c.run.testbed.t
	retries, open := c.open[answer.ID]
	switch {
	case c.canceled[answer.ID]: // it crossed the withdrawal, and may come once
		delete(c.canceled, answer.ID)
		return
	case !open:
		t.Errorf("%+v is a second answer, or one to nothing", answer)
		return
	}
	delete(c.open, answer.ID)
	c.run.ended.Add(1)
	switch {
	case answer.Error == "":
		c.run.served.Add(1)
		if want := faultObject(answer.ID); answer.Body != want {
			t.Errorf("request %d was served %q, want %q", answer.ID, answer.Body, want)
		}
	case retries > 0:
		c.retryQueue = append(c.retryQueue, retries-1) // whatever `later` says
	}
}

// TestFaultsLeakNoResources plays the fault cases.
func TestFaultsLeakNoResources(t *testing.T) {
	for _, c := range faultCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var attempts atomic.Int64
			bed := newTestbed(t, func(attempt *receivedRequest) {
				if c.respond == nil {
					respondWithObject(attempt)
				} else {
					c.respond(attempts.Add(1), attempt)
				}
			})
			socket := socketPath(t)
			bed.addSettings("control " + socket)
			bed.start()
			go func() { // what the program asks of the list service is not looked at
				for range bed.listPolls {
				}
			}()
			run := &faultRun{testbed: bed, listVersion: 1}
			var states []map[string]int // at the end of each round
			for round := range faultRounds {
				run.round(&c)
				if c.cleanUp != nil {
					c.cleanUp(run)
				}
				states = append(states, run.waitNoOpenRequests(round, socket))
			}
			expectNoGrowth(t, states[1], states[faultRounds-1])
			share := float64(run.served.Load()) / float64(run.ended.Load())
			if share < c.minServed {
				t.Errorf("%.2f of %d requests were served, want at least %.2f", share, run.ended.Load(), c.minServed)
			}
			bed.expectRunning()
		})
	}
}

// waitNoOpenRequests waits until nothing of a round is open any more, and gives how much the program holds then.
func (r *faultRun) waitNoOpenRequests(round int, socket string) (state map[string]int) {
	r.testbed.t.Helper()
	r.testbed.waitUntil(fmt.Sprintf("what round %d left is gone", round), func() bool {
		state = r.testbed.stateCounts(socket)
		return state["pool.0.open"]+state["pool.0.module"]+state["pool.0.sent"] == 0
	})
	state["descriptors"] = r.testbed.openDescriptors()
	return state
}

// expectNoGrowth compares how much the program holds after the second round and after the last. Rounds differ by what
// is just being closed; what is kept would be there for each request.
func expectNoGrowth(t *testing.T, second, last map[string]int) {
	t.Helper()
	const roundRequests = faultClients * requestsPerRound
	for kind, n := range last {
		switch kind {
		case "pool.0.given-up": // kept for 10 s, as late answers may come
			continue
		case "pool.0.timers": // see below
			continue
		}
		if limit := second[kind] + roundRequests/4; n > limit {
			t.Errorf("%s: %d after round 2, %d after round %d, want at most %d", kind, second[kind], n,
				faultRounds, limit)
		}
	}
	if n, limit := last["pool.0.timers"], 2*roundRequests+1024; n > limit {
		t.Errorf("%d timers are held with nothing open, want at most %d", n, limit)
	}
}

// TestCanceledRequestsReleaseTimers: a client that tells limits of an hour and takes each request back left two
// timers each, with the request, for that hour.
func TestCanceledRequestsReleaseTimers(t *testing.T) {
	bed := newTestbed(t, func(*receivedRequest) {})
	socket := socketPath(t)
	bed.addSettings("control " + socket)
	bed.start()
	client := bed.dial()
	for id := uint64(1); id <= 3000; id++ {
		client.send(request(id, "footage", map[string]string{"limit": "3600000"}, ""))
		client.send(cancelNotification(id))
		if id%16 == 0 { // else they would be taken back in the round they came in, and not be taken up
			client.waitRequestsRead(id)
			bed.waitUntil("nothing is open", func() bool { return bed.stateCounts(socket)["pool.0.open"] == 0 })
		}
	}
	if n, limit := bed.stateCounts(socket)["pool.0.timers"], 1100; n > limit {
		t.Errorf("%d timers are held with nothing open, want at most %d", n, limit)
	}
	bed.signal(syscall.SIGTERM)
	bed.waitExit()
}
