package test

import (
	"fmt"
	"maps"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// openRequests holds 500 requests that endpoints have read and not answered.
type openRequests struct {
	testbed *testbed
	pending chan *receivedRequest // the attempts, as endpoints have read them
	clients []*client
}

const (
	openClients       = 20
	requestsPerClient = 25
)

// sendOpenRequests sends 500 requests, each with its own request id and idempotency key, and waits until endpoints
// have read all of them. The endpoints' responder must send the attempts to pending.
func (bed *testbed) sendOpenRequests(pending chan *receivedRequest, class string,
	fields map[string]string) *openRequests {
	bed.t.Helper()
	open := &openRequests{testbed: bed, pending: pending}
	for n := range openClients {
		client := bed.dial()
		open.clients = append(open.clients, client)
		for id := range uint64(requestsPerClient) {
			requestFields := maps.Clone(fields)
			requestFields["unique"], requestFields["txn"] = fmt.Sprintf("u%d.%d", n, id), fmt.Sprintf("%08x%08x", n, id)
			requestFields["limit"], requestFields["ram"] = "60000", "0.1"
			client.send(request(id, class, requestFields, ""))
		}
	}
	bed.waitUntil("endpoints have read all requests", func() bool {
		return len(pending) == openClients*requestsPerClient
	})
	return open
}

// answerAll has the endpoints answer all open requests, and fails the test unless each is served exactly once.
func (o *openRequests) answerAll() {
	o.testbed.t.Helper()
	for range openClients * requestsPerClient {
		answerDone(nextReceived(o.testbed.t, o.pending))
	}
	for _, client := range o.clients {
		seen := map[uint64]bool{}
		for range requestsPerClient {
			answer := client.mustRead()
			if seen[answer.ID] || answer.Error != "" {
				o.testbed.t.Errorf("got response %+v, want each open request served once", answer)
			}
			seen[answer.ID] = true
		}
	}
}

// traffic sends requests at a constant rate and counts their outcomes.
type traffic struct {
	mu     sync.Mutex
	counts map[string]int // by "ERROR REASON"; empty if served
	stop   chan struct{}
	done   sync.WaitGroup
}

// startTraffic sends perSecond requests a second on one connection until stopAndExpectServed is called. frame returns
// the frame of the nth request, counted from 1; n is also its id.
func (bed *testbed) startTraffic(perSecond int, frame func(n uint64) []byte) *traffic {
	bed.t.Helper()
	load := &traffic{counts: map[string]int{}, stop: make(chan struct{})}
	client := bed.dial()
	sent := make(chan int, 1)
	load.done.Add(2)
	go func() {
		defer load.done.Done()
		tick := time.NewTicker(time.Second / time.Duration(perSecond))
		defer tick.Stop()
		for n := 1; ; n++ {
			select {
			case <-tick.C:
			case <-load.stop:
				sent <- n - 1
				return
			}
			_ = client.protocol.Send(frame(uint64(n)))
		}
	}()
	go func() {
		defer load.done.Done()
		load.read(client, sent)
	}()
	return load
}

// startLookups starts traffic of 150 lookups a second, each for a different object.
func (bed *testbed) startLookups() *traffic {
	bed.t.Helper()
	return bed.startTraffic(150, func(n uint64) []byte {
		return request(n, "lookup", map[string]string{"item": hexID(n + 1), "ram": "1"}, "")
	})
}

// read counts the responses until there is one for each request. sent delivers the number of requests once the last one
// was sent.
func (load *traffic) read(client *client, sent <-chan int) {
	total, deadline := -1, time.Time{}
	for got := 0; got != total; {
		if total >= 0 && time.Now().After(deadline) {
			load.count("no response", total-got)
			return
		}
		answer, err := client.protocol.Read(100 * time.Millisecond)
		if err == nil {
			got++
			load.count(strings.TrimSpace(answer.Error+" "+answer.Fields["reason"]), 1)
		} else if ne, ok := err.(net.Error); !ok || !ne.Timeout() {
			load.count(err.Error(), 1)
			return
		}
		select {
		case total = <-sent:
			deadline = time.Now().Add(waitLimit / 2)
		default:
		}
	}
}

// count adds requests to the number of those that ended with the given outcome.
func (load *traffic) count(outcome string, requests int) {
	load.mu.Lock()
	defer load.mu.Unlock()
	load.counts[outcome] += requests
}

// stopAndExpectServed stops the traffic, and fails the test unless all of its requests were served.
func (load *traffic) stopAndExpectServed(t *testing.T) {
	t.Helper()
	close(load.stop)
	load.done.Wait()
	for outcome, n := range load.counts {
		if outcome != "" {
			t.Errorf("%d requests ended with %q and %d were served, want all served", n, outcome, load.counts[""])
		}
	}
	if load.counts[""] == 0 {
		t.Error("no request was served, want at least one")
	}
}

// teamLoad sends requests of a team at a fixed rate, without waiting for responses, and counts the outcomes.
type teamLoad struct {
	team          string
	sent          int
	served        int
	onTime        int            // served within half a second
	rejected      int            // by a budget that the response names
	budgets       map[string]int // rejected requests by the name of the budget
	withoutBudget []reply        // other errors
	duplicates    int            // responses to requests that are not open
}

// teamConnections is the number of connections of a load: one connection can have at most 32 requests open.
const teamConnections = 16

// teamConnection is one connection of a load and the send times of its open requests, by id.
type teamConnection struct {
	*client
	sentAt map[uint64]time.Time
}

// send sends perSecond requests a second for duration and waits for all responses. Each request has a time limit of 3 s
// and a request id (txn) that begins with prefix.
func (load *teamLoad) send(bed *testbed, perSecond float64, duration time.Duration, prefix string) {
	bed.t.Helper()
	if load.budgets == nil {
		load.budgets = map[string]int{}
	}
	var mu sync.Mutex
	var readers sync.WaitGroup
	var connections [teamConnections]teamConnection
	for i := range connections {
		connections[i] = teamConnection{bed.dial(), map[uint64]time.Time{}}
	}
	total := int(perSecond * duration.Seconds())
	for i := range connections {
		readers.Add(1)
		go func() {
			defer readers.Done()
			for n := i; n < total; n += teamConnections {
				answer, err := connections[i].read()
				if err != nil {
					bed.t.Errorf("team %s: read response: %v", load.team, err)
					return
				}
				mu.Lock()
				sentAt, open := connections[i].sentAt[answer.ID]
				delete(connections[i].sentAt, answer.ID)
				load.count(answer, time.Since(sentAt), open)
				mu.Unlock()
			}
		}()
	}
	start := time.Now()
	for n := range total {
		if delay := time.Duration(float64(n)/perSecond*1e9) - time.Since(start); delay > time.Millisecond {
			time.Sleep(delay)
		}
		connection := connections[n%teamConnections]
		mu.Lock()
		connection.sentAt[uint64(n)] = time.Now()
		load.sent++
		mu.Unlock()
		connection.send(request(uint64(n), "lookup", map[string]string{"team": load.team, "ram": "1", "limit": "3000",
			"txn": fmt.Sprintf("%s%012x", prefix, n), "item": hexID(n%997 + 1)}, ""))
	}
	readers.Wait()
}

// count records a response, its latency, and whether the request that it answers was open.
func (load *teamLoad) count(answer reply, latency time.Duration, open bool) {
	switch {
	case !open:
		load.duplicates++
	case answer.Error == "":
		load.served++
		if latency < 500*time.Millisecond {
			load.onTime++
		}
	case answer.Fields["budget"] != "":
		load.rejected++
		load.budgets[answer.Fields["budget"]]++
	default:
		load.withoutBudget = append(load.withoutBudget, answer)
	}
}
