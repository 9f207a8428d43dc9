package test

import (
	"fmt"
	"maps"
	"net"
	"sync"
	"testing"
	"time"
)

// openRequests is 500 requests that are open, held by the boxes' script.
type openRequests struct {
	testbed *testbed
	held    chan *receivedRequest
	clients []*client
}

const requestsPerClient, openClients = 25, 20

// openMany sends 500 requests, each with an id and a key of its own, and waits until all are with the boxes.
func (w *testbed) openMany(held chan *receivedRequest, class string, fields map[string]string) *openRequests {
	w.t.Helper()
	c := &openRequests{testbed: w, held: held}
	for n := range openClients {
		client := w.dial()
		c.clients = append(c.clients, client)
		for id := range uint64(requestsPerClient) {
			f := maps.Clone(fields)
			f["unique"], f["txn"], f["limit"], f["ram"] = fmt.Sprintf("u%d.%d", n, id), fmt.Sprintf("%08x%08x", n, id), "60000", "0.1"
			client.send(request(id, class, f, ""))
		}
	}
	w.waitUntil("all are open", func() bool { return len(held) == requestsPerClient*openClients })
	return c
}

// answerAll has the boxes answer, and each request be served once.
func (c *openRequests) answerAll() {
	c.testbed.t.Helper()
	for range requestsPerClient * openClients {
		a := <-c.held
		a.Answer("ACK", "tag=t1", "done")
	}
	for _, client := range c.clients {
		seen := map[uint64]bool{}
		for range requestsPerClient {
			a := client.mustRead()
			if seen[a.ID] || a.Error != "" {
				c.testbed.t.Errorf("%+v, want each open request served once", a)
			}
			seen[a.ID] = true
		}
	}
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

// loadGenerator sends requests of a team at a rate, without waiting for answers, and counts what comes.
type loadGenerator struct {
	team                           string
	sent, onTime, served, rejected int
	budgets                        map[string]int
	withoutBudget                  []reply
	duplicates                     int
}

// send sends for a time, each request with a limit, and waits for all answers. One connection has at most 32 open, so several
// are used in turn.
func (s *loadGenerator) send(w *testbed, perSecond float64, length time.Duration, prefix string) {
	w.t.Helper()
	if s.budgets == nil {
		s.budgets = map[string]int{}
	}
	const connections = 16
	var mu sync.Mutex
	var wg sync.WaitGroup
	var clients [connections]*client
	var began [connections]map[uint64]time.Time
	for i := range clients {
		clients[i], began[i] = w.dial(), map[uint64]time.Time{}
	}
	n := int(perSecond * length.Seconds())
	for i := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for k := i; k < n; k += connections {
				a, err := clients[i].read()
				if err != nil {
					w.t.Errorf("%s: no answer: %v", s.team, err)
					return
				}
				mu.Lock()
				at, open := began[i][a.ID]
				delete(began[i], a.ID)
				switch took := time.Since(at); {
				case !open:
					s.duplicates++
				case a.Error == "":
					if s.served++; took < 500*time.Millisecond {
						s.onTime++
					}
				case a.Fields["budget"] != "":
					s.rejected++
					s.budgets[a.Fields["budget"]]++
				default:
					s.withoutBudget = append(s.withoutBudget, a)
				}
				mu.Unlock()
			}
		}()
	}
	start := time.Now()
	for k := range n {
		if early := time.Duration(float64(k)/perSecond*1e9) - time.Since(start); early > time.Millisecond {
			time.Sleep(early)
		}
		i := k % connections
		mu.Lock()
		began[i][uint64(k)] = time.Now()
		s.sent++
		mu.Unlock()
		clients[i].send(request(uint64(k), "lookup", map[string]string{"team": s.team, "ram": "1", "limit": "3000",
			"txn": fmt.Sprintf("%s%012x", prefix, k), "item": fmt.Sprintf("%016x", k%997+1)}, ""))
	}
	wg.Wait()
}
