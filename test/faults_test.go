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

// A fault case feeds the proxy the bad input of a faulty fleet: malformed responses, reset connections, lists that are
// truncated, late, duplicated or empty, clients that cancel or retry at once. In each case every request that was not
// canceled must get exactly one final response, a served body must be the one that an endpoint sent, and once a round
// is over the proxy must hold as much state as before: rounds are compared, so that slow growth is detected.

const (
	faultRounds      = 5
	faultClients     = 8
	requestsPerRound = 50 // for each client
	openWindow       = 8  // maximum number of open requests of a client
)

// faultCase is one kind of bad input.
type faultCase struct {
	name       string
	respond    func(n int64, attempt *receivedRequest) // to the nth attempt of the case; nil: respondWithObject
	background func(r *faultRun)                       // runs during a round, until roundOver is closed; nil: nothing
	cleanUp    func(r *faultRun)                       // restores a valid state after background; nil: nothing
	client     clientFaults
	minServed  float64 // minimum share of the requests not canceled that must be served
}

// clientFaults is the faulty behaviour of a case's clients; 0 disables each kind.
type clientFaults struct {
	cancelEvery     int // cancel each request whose id is a multiple of this
	disconnectAfter int // requests after which the client disconnects, with open requests, and connects again
	retries         int // how many times a request that is not served is sent again at once
}

// faultRun is the state of a running fault case.
type faultRun struct {
	testbed       *testbed
	roundOver     chan struct{} // closed when all requests of the round have ended
	listVersion   int           // of the last event of the list service
	served, ended atomic.Int64
	ids           atomic.Uint64
}

var faultCases = []faultCase{
	{name: "responses are malformed", respond: respondMalformed, minServed: 0.05},
	{name: "connections are reset", respond: respondOrClose, background: (*faultRun).resetConnections, minServed: 0.05},
	{name: "lists are empty, truncated, duplicated, old and late", background: (*faultRun).sendFaultyLists,
		cleanUp: (*faultRun).sendValidList, minServed: 0.05},
	{name: "clients cancel and disconnect", client: clientFaults{cancelEvery: 3, disconnectAfter: 20},
		respond: respondSlowly, minServed: 0.5},
	{name: "clients retry too often", client: clientFaults{retries: 10}, respond: respondOrReject,
		minServed: 0.05},
	{name: "all faults at once", respond: respondMalformed,
		client: clientFaults{cancelEvery: 4, disconnectAfter: 15, retries: 3},
		background: func(r *faultRun) {
			r.sendFaultyLists()
			r.testbed.endpoints.ResetConnections("c1")
		}, cleanUp: (*faultRun).sendValidList, minServed: 0.02},
}

// respondWithObject serves the requested object.
func respondWithObject(attempt *receivedRequest) {
	attempt.Answer("ACK", fmt.Sprintf("tag=t1,minted=%d,remark=hit", time.Now().UnixMilli()), attempt.Fields["thing"])
}

// respondMalformed responds to nine of 36 attempts with one fault each, which are those that the operators' page lists,
// and serves the others.
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
	case 7: // no response
	case 8:
		raw("%s ACK tag=t1 16\r\n7f3a9c21e0b4d655 and more\r\n", attempt.ID)
	default:
		respondWithObject(attempt)
	}
}

// respondOrClose closes the connection of each ninth attempt, and serves the others.
func respondOrClose(n int64, attempt *receivedRequest) {
	if n%9 == 0 {
		_ = attempt.Conn.Close()
		return
	}
	respondWithObject(attempt)
}

// respondSlowly serves after up to 6 ms.
func respondSlowly(n int64, attempt *receivedRequest) {
	time.Sleep(time.Duration(n%4) * 2 * time.Millisecond)
	respondWithObject(attempt)
}

// respondOrReject serves each third attempt and rejects the others.
func respondOrReject(n int64, attempt *receivedRequest) {
	if n%3 == 0 {
		respondWithObject(attempt)
		return
	}
	attempt.Answer("AGAIN", "-", "")
}

// resetConnections resets the connections of one endpoint after another, whether new, idle or in use.
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

// sendFaultyLists makes the list service send invalid events, then lists without endpoints, and disconnect in between.
func (r *faultRun) sendFaultyLists() {
	bed := r.testbed
	for {
		next := r.listVersion + 1
		for _, line := range []string{
			`{"no":` + strconv.Itoa(next) + `,"roster":{"seq":1,"who`, // truncated
			"!",
			listEvent(next, true), // hosts is null
			"!",
			listEvent(next, true, listEntry("c1", "nowhere", "edge", "std", "up", 0)), // not an address
			"!",
			emptyListEvent(next), // no endpoints
			emptyListEvent(next), // duplicate
			strconv.Itoa(next),
			listEvent(1, false, listEntry("c9", "127.0.0.1:1", "edge", "std", "up", 0)), // old
			strconv.Itoa(next + 5), // says that events were missed
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

// sendValidList makes the list service send the complete list, and waits until an endpoint serves again.
func (r *faultRun) sendValidList() {
	bed := r.testbed
	idleClient := bed.dial()
	idleClient.waitRequestsRead(1)
	bed.waitUntil("an endpoint serves again", func() bool {
		// If the program already has this event number, or the number skips some, the program polls again and a later
		// number is accepted.
		r.listVersion++
		for _, line := range []string{listEvent(r.listVersion, true, bed.listedEndpoints...), "!"} {
			select {
			case bed.listFeed <- line:
			default:
			}
		}
		connection, err := emulator.Dial(bed.address)
		if err != nil {
			return false
		}
		defer connection.Conn.Close()
		id := r.ids.Add(1)
		_ = connection.Send(request(id, "footage", map[string]string{"item": faultObject(id)}, ""))
		answer, err := connection.Read(waitLimit)
		return err == nil && answer.Error == ""
	})
	_ = idleClient.conn.Close()
}

// faultObject returns the id of the object that a request asks for, one of fifty.
func faultObject(request uint64) string { return hexID(request%50 + 1) }

// round runs the clients until each has sent all of its requests.
func (r *faultRun) round(c *faultCase) {
	r.roundOver = make(chan struct{})
	var background, clients sync.WaitGroup
	if c.background != nil {
		background.Add(1)
		go func() { defer background.Done(); c.background(r) }()
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
	background.Wait()
}

// faultClient sends its requests, up to openWindow at a time, and fails the test unless each gets one response.
type faultClient struct {
	run    *faultRun
	faults clientFaults
	unsent int // number of requests not sent yet

	// State of the current connection.
	connection *emulator.Client
	open       map[uint64]int // remaining retries of the open requests, by id
	retryQueue []int          // remaining retries of each request to be sent again
	canceled   map[uint64]bool
	sent       int
}

// connect sends requests on a new connection until all have ended or the client disconnects, and reports whether the
// client may connect again.
func (c *faultClient) connect() bool {
	t := c.run.testbed.t
	var err error
	if c.connection, err = emulator.Dial(c.run.testbed.address); err != nil {
		t.Errorf("connecting a client: %v", err)
		return false
	}
	defer c.connection.Conn.Close()
	c.open, c.retryQueue, c.canceled, c.sent = map[uint64]int{}, nil, map[uint64]bool{}, 0
	for c.unsent > 0 || len(c.open) > 0 || len(c.retryQueue) > 0 {
		if err := c.fillWindow(); err != nil {
			t.Errorf("sending a request: %v", err)
			return false
		}
		if c.shouldDisconnect() {
			return true // with open requests
		}
		if len(c.open) == 0 {
			continue
		}
		answer, err := c.connection.Read(waitLimit)
		if err != nil {
			t.Errorf("got no response to %d requests: %v", len(c.open), err)
			return true
		}
		c.handleAnswer(answer)
	}
	return true
}

// shouldDisconnect reports whether the client must disconnect now.
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

// handleAnswer checks and counts a response.
func (c *faultClient) handleAnswer(answer reply) {
	t := c.run.testbed.t
	retries, open := c.open[answer.ID]
	switch {
	case c.canceled[answer.ID]: // the response crossed the cancellation, and may arrive once
		delete(c.canceled, answer.ID)
		return
	case !open:
		t.Errorf("got response %+v, want none that is a second one or to an unknown request", answer)
		return
	}
	delete(c.open, answer.ID)
	c.run.ended.Add(1)
	switch {
	case answer.Error == "":
		c.run.served.Add(1)
		if want := faultObject(answer.ID); answer.Body != want {
			t.Errorf("request %d: got body %q, want %q", answer.ID, answer.Body, want)
		}
	case retries > 0:
		c.retryQueue = append(c.retryQueue, retries-1) // without the wait that the field later asks for
	}
}

// TestFaultsLeakNoResources runs the fault cases, and checks that the state of the program does not grow with each
// round.
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
			go func() { // discards the polls of the list service
				for range bed.listPolls {
				}
			}()
			run := &faultRun{testbed: bed, listVersion: 1}
			var states []map[string]int // state counts at the end of each round
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
				t.Errorf("got a share of %.2f of %d requests served, want at least %.2f", share, run.ended.Load(),
					c.minServed)
			}
			bed.expectRunning()
		})
	}
}

// waitNoOpenRequests waits until no request of a round is open, and returns the counts of the state that remains.
func (r *faultRun) waitNoOpenRequests(round int, socket string) (state map[string]int) {
	r.testbed.t.Helper()
	r.testbed.waitUntil(fmt.Sprintf("no request of round %d is open", round), func() bool {
		state = r.testbed.stateCounts(socket)
		return state["pool.0.open"]+state["pool.0.module"]+state["pool.0.sent"] == 0
	})
	state["descriptors"] = r.testbed.openDescriptors()
	return state
}

// expectNoGrowth compares the state counts after the second round and after the last. Rounds may differ by state that
// is just being released; a leak would remain for each request.
func expectNoGrowth(t *testing.T, second, last map[string]int) {
	t.Helper()
	const roundRequests = faultClients * requestsPerRound
	for kind, n := range last {
		switch kind {
		case "pool.0.given-up": // kept for 10 s, because late responses may arrive
			continue
		case "pool.0.timers": // checked below
			continue
		}
		if limit := second[kind] + roundRequests/4; n > limit {
			t.Errorf("%s: got %d after round 2 and %d after round %d, want at most %d", kind, second[kind], n,
				faultRounds, limit)
		}
	}
	if n, limit := last["pool.0.timers"], 2*roundRequests+1024; n > limit {
		t.Errorf("got %d timers without open requests, want at most %d", n, limit)
	}
}

// TestCanceledRequestsReleaseTimers guards against two timers per canceled request that, together with the request, are
// kept until the time limit of the request, here an hour.
func TestCanceledRequestsReleaseTimers(t *testing.T) {
	bed := newTestbed(t, func(*receivedRequest) {})
	socket := socketPath(t)
	bed.addSettings("control " + socket)
	bed.start()
	client := bed.dial()
	for id := uint64(1); id <= 3000; id++ {
		client.send(request(id, "footage", map[string]string{"limit": "3600000"}, ""))
		client.send(cancelNotification(id))
		if id%16 == 0 { // a request canceled in the round in which it arrives is not processed
			client.waitRequestsRead(id)
			bed.waitUntil("nothing is open", func() bool { return bed.stateCounts(socket)["pool.0.open"] == 0 })
		}
	}
	if n, limit := bed.stateCounts(socket)["pool.0.timers"], 1100; n > limit {
		t.Errorf("got %d timers without open requests, want at most %d", n, limit)
	}
	bed.signal(syscall.SIGTERM)
	bed.waitExit()
}
