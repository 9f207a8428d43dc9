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

// openRequests are 500 requests that endpoints have read and not answered.
type openRequests struct {
	testbed *testbed
	pending chan *receivedRequest
	clients []*client
}

const (
	openClients       = 20
	requestsPerClient = 25
)

// sendOpenRequests sends 500 requests, each with an id and a key of its own, and waits until all are with the
// endpoints, whose responder must hand them to pending.
func (bed *testbed) sendOpenRequests(pending chan *receivedRequest, class string,
	fields map[string]string) *openRequests {
	bed.t.Helper()
	open := &openRequests{testbed: bed, pending: pending}
	for n := range openClients {
		client := bed.dial()
		open.clients = append(open.clients, client)
		for id := range uint64(requestsPerClient) {
			own := maps.Clone(fields)
			own["unique"], own["txn"] = fmt.Sprintf("u%d.%d", n, id), fmt.Sprintf("%08x%08x", n, id)
			own["limit"], own["ram"] = "60000", "0.1"
			client.send(request(id, class, own, ""))
		}
	}
	bed.waitUntil("all requests are with endpoints", func() bool {
		return len(pending) == openClients*requestsPerClient
	})
	return open
}

// answerAll has the endpoints answer, and fails unless each request is served once.
func (o *openRequests) answerAll() {
	o.testbed.t.Helper()
	for range openClients * requestsPerClient {
		answerDone(<-o.pending)
	}
	for _, client := range o.clients {
		seen := map[uint64]bool{}
		for range requestsPerClient {
			answer := client.mustRead()
			if seen[answer.ID] || answer.Error != "" {
				o.testbed.t.Errorf("%+v, want each open request served once", answer)
			}
			seen[answer.ID] = true
		}
	}
}

// traffic is requests at an even pace, and what came of them.
type traffic struct {
	mu     sync.Mutex
	counts map[string]int // by error and reason; served: empty
	stop   chan struct{}
	done   sync.WaitGroup
}

// startTraffic sends frames on one connection, so many a second, until stopAndExpectServed. frame gives that of the nth
// request, from 1 on, which is its id too.
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

// startLookups is traffic of 150 lookups a second, each for another object.
func (bed *testbed) startLookups() *traffic {
	bed.t.Helper()
	return bed.startTraffic(150, func(n uint64) []byte {
		return request(n, "lookup", map[string]string{"item": hexID(n + 1), "ram": "1"}, "")
	})
}

// read counts the answers until as many have come as were sent, which is told once nothing more will be.
func (load *traffic) read(client *client, sent <-chan int) {
	total, deadline := -1, time.Time{}
	for got := 0; got != total; {
		if total >= 0 && time.Now().After(deadline) {
			load.count("no answer", total-got)
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

// count adds to how many requests have ended in a way.
func (load *traffic) count(outcome string, requests int) {
	load.mu.Lock()
	defer load.mu.Unlock()
	load.counts[outcome] += requests
}

// stopAndExpectServed ends the traffic, and fails unless all of it was served.
func (load *traffic) stopAndExpectServed(t *testing.T) {
	t.Helper()
	close(load.stop)
	load.done.Wait()
	for outcome, n := range load.counts {
		if outcome != "" {
			t.Errorf("%d requests ended with %q, want all served, as %d were", n, outcome, load.counts[""])
		}
	}
	if load.counts[""] == 0 {
		t.Error("no request was served")
	}
}

// teamLoad sends requests of a team at a rate, without waiting for answers, and counts what comes.
type teamLoad struct {
	team          string
	sent          int
	served        int
	onTime        int // served within half a second
	rejected      int // by a budget that the answer names
	budgets       map[string]int
	withoutBudget []reply // other errors
	duplicates    int     // answers to nothing that is open
}

// teamConnections is how many connections a load is spread over, as one has at most 32 requests open.
const teamConnections = 16

// teamConnection is one of them, with the requests that are open on it.
type teamConnection struct {
	*client
	began map[uint64]time.Time
}

// send sends for a time, each request with a limit of 3 s and an id that begins with prefix, and waits for all
// answers.
func (load *teamLoad) send(bed *testbed, perSecond float64, length time.Duration, prefix string) {
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
	total := int(perSecond * length.Seconds())
	for i := range connections {
		readers.Add(1)
		go func() {
			defer readers.Done()
			for n := i; n < total; n += teamConnections {
				answer, err := connections[i].read()
				if err != nil {
					bed.t.Errorf("%s: no answer came: %v", load.team, err)
					return
				}
				mu.Lock()
				began, open := connections[i].began[answer.ID]
				delete(connections[i].began, answer.ID)
				load.count(answer, time.Since(began), open)
				mu.Unlock()
			}
		}()
	}
	start := time.Now()
	for n := range total {
		if early := time.Duration(float64(n)/perSecond*1e9) - time.Since(start); early > time.Millisecond {
			time.Sleep(early)
		}
		connection := connections[n%teamConnections]
		mu.Lock()
		connection.began[uint64(n)] = time.Now()
		load.sent++
		mu.Unlock()
		connection.send(request(uint64(n), "lookup", map[string]string{"team": load.team, "ram": "1", "limit": "3000",
			"txn": fmt.Sprintf("%s%012x", prefix, n), "item": hexID(n%997 + 1)}, ""))
	}
	readers.Wait()
}

// count takes an answer that came after a time, to a request that was open or not.
func (load *teamLoad) count(answer reply, took time.Duration, open bool) {
	switch {
	case !open:
		load.duplicates++
	case answer.Error == "":
		load.served++
		if took < 500*time.Millisecond {
			load.onTime++
		}
	case answer.Fields["budget"] != "":
		load.rejected++
		load.budgets[answer.Fields["budget"]]++
	default:
		load.withoutBudget = append(load.withoutBudget, answer)
	}
}
