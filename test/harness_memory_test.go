package test

import (
	"fmt"
	"os"
	"regexp"
	"strconv"
	"sync"
	"testing"
	"time"
)

// memoryLookInterval is how often the program's memory is looked at.
const memoryLookInterval = 5 * time.Millisecond

// memoryWatch looks at the memory of a running program until it is stopped.
type memoryWatch struct {
	t       *testing.T
	pid     int
	limitMB float64
	stop    chan struct{}
	looks   sync.WaitGroup
	peakMB  float64 // valid once stopped
}

// watchMemory begins to look at the program's memory. When the test ends or expectWithinLimit is called, it stops.
func (bed *testbed) watchMemory(limitMB int) *memoryWatch {
	bed.t.Helper()
	watch := &memoryWatch{t: bed.t, pid: bed.cmd.Process.Pid, limitMB: float64(limitMB), stop: make(chan struct{})}
	watch.looks.Go(func() {
		for {
			watch.peakMB = max(watch.peakMB, anonymousMB(watch.pid))
			select {
			case <-watch.stop:
				return
			case <-time.After(memoryLookInterval):
			}
		}
	})
	return watch
}

// expectWithinLimit stops the watch, and fails the test if the platform would have killed the program for its memory.
func (w *memoryWatch) expectWithinLimit() {
	w.t.Helper()
	close(w.stop)
	w.looks.Wait()
	w.t.Logf("the program took %.1f MB of %.0f at most", w.peakMB, w.limitMB)
	if w.peakMB == 0 {
		w.t.Error("the program's memory could not be read")
	}
	if w.peakMB > w.limitMB {
		w.t.Errorf("the program took %.1f MB, want at most %.0f", w.peakMB, w.limitMB)
	}
}

// anonymousPattern matches the memory of a process that no file backs, in /proc/PID/status.
var anonymousPattern = regexp.MustCompile(`RssAnon:\s+(\d+) kB`)

// anonymousMB returns the memory of a process but for the pages of its program, in MB, or 0 if it has ended.
func anonymousMB(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	found := anonymousPattern.FindSubmatch(text)
	if found == nil {
		return 0
	}
	kilobytes, _ := strconv.Atoi(string(found[1]))
	return float64(kilobytes) / 1024
}

// usualClient sends one small request after another until it is stopped.
type usualClient struct {
	t      *testing.T
	stop   chan struct{}
	done   chan struct{}
	served int
	other  map[string]int // requests that were answered by an error, by its code
	slow   time.Duration  // the longest time to an answer
	err    error          // that ended it
}

const (
	usualPause   = 10 * time.Millisecond // of a usualClient between its requests
	usualTimeout = 2 * time.Second       // after which it no longer waits for an answer
)

// startUsualClient starts a usualClient on a new connection.
func (bed *testbed) startUsualClient() *usualClient {
	bed.t.Helper()
	return bed.startUsualClientOn(bed.dial())
}

// startUsualClientOn starts a usualClient on a connection.
func (bed *testbed) startUsualClientOn(c *client) *usualClient {
	usual := &usualClient{t: bed.t, stop: make(chan struct{}), done: make(chan struct{}), other: map[string]int{}}
	go usual.run(c)
	return usual
}

func (u *usualClient) run(c *client) {
	defer close(u.done)
	for id := uint64(1); ; id++ {
		began := time.Now()
		u.err = c.protocol.Send(request(id, "lookup", map[string]string{"txn": hexID(1<<60 + id)}, ""))
		var answer reply
		if u.err == nil {
			answer, u.err = c.read()
		}
		if u.err != nil {
			return
		}
		u.slow = max(u.slow, time.Since(began))
		if answer.Error == "" {
			u.served++
		} else {
			u.other[answer.Error]++
		}
		select {
		case <-u.stop:
			return
		case <-time.After(usualPause):
		}
	}
}

// expectServed stops the client, and fails the test unless all of its requests were served.
func (u *usualClient) expectServed() {
	u.t.Helper()
	close(u.stop)
	<-u.done
	u.t.Logf("usual client: served %d, slowest %v, errors %v", u.served, u.slow, u.other)
	if u.err != nil {
		u.t.Errorf("usual client: got error %v after %d answers, want none", u.err, u.served)
	}
	if u.slow > usualTimeout {
		u.t.Errorf("usual client: got an answer after %v, want each within %v", u.slow, usualTimeout)
	}
	if u.served == 0 || len(u.other) > 0 {
		u.t.Errorf("usual client: got %d requests served and errors %v, want all served", u.served, u.other)
	}
}
