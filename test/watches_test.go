package test

import (
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"
)

// In these tests the kernel refuses to watch a connection, or to change the watched events, in an order that each test
// determines. An accepted connection is watched twice: first by the poller of Go's runtime, then by that of gnet.

// switchableFault is a failure of a system call that a test switches on and off by creating and removing a file.
type switchableFault struct {
	bed  *testbed
	name string // of the system call, in the form of faultsVariable
	path string
}

// newSwitchableFault returns a fault that is switched off.
func newSwitchableFault(bed *testbed, name string) switchableFault {
	bed.t.Helper()
	file := strings.ReplaceAll(name, "/", "-")
	return switchableFault{bed: bed, name: name, path: filepath.Join(bed.t.TempDir(), file)}
}

// spec returns the fault in the form of faultsVariable, for the start of the program.
func (r switchableFault) spec(errno string) string { return r.name + "=" + errno + "?" + r.path }

// enable makes calls fail from now on as a script determines; empty: all calls.
func (r switchableFault) enable(script string) {
	r.bed.t.Helper()
	writeFile(r.bed.t, r.path+".new", script)
	if err := os.Rename(r.path+".new", r.path); err != nil {
		r.bed.t.Fatal(err)
	}
}

// disable makes calls pass again.
func (r switchableFault) disable() {
	r.bed.t.Helper()
	if err := os.Remove(r.path); err != nil {
		r.bed.t.Fatal(err)
	}
}

// count returns how many calls were refused.
func (r switchableFault) count() int { return r.bed.timesLogged(injectedFailureText(r.name)) }

// waitCount waits until at least count calls were refused.
func (r switchableFault) waitCount(count int) {
	r.bed.t.Helper()
	r.bed.waitUntil(strconv.Itoa(count)+" calls of "+r.name+" were refused", func() bool { return r.count() >= count })
}

// watchTestbed is a testbed with switchable faults of the program's watches.
type watchTestbed struct {
	*testbed
	addWatch    map[string]switchableFault // adding a watch, by poller
	removeWatch switchableFault            // removing a watch from Go's poller
	modifyWatch switchableFault            // changing the events that gnet's poller watches
	accept      switchableFault            // for lack of descriptors
	dup         switchableFault
	lastID      uint64 // the last request id of sendFirstRequest
}

// bothPollers are the pollers that watch each accepted connection.
var bothPollers = []string{goPoller, gnetPoller}

// newWatchTestbed starts the program with all faults disabled, and makes it connect to all endpoints.
func newWatchTestbed(t *testing.T, respond func(*receivedRequest)) *watchTestbed {
	t.Helper()
	bed := newTestbed(t, respond)
	var faults []string
	fail := func(name, errno string) switchableFault {
		r := newSwitchableFault(bed, name)
		faults = append(faults, r.spec(errno))
		return r
	}
	watched := &watchTestbed{testbed: bed, addWatch: map[string]switchableFault{}}
	for _, poller := range bothPollers {
		watched.addWatch[poller] = fail("epoll_ctl_add/"+poller, "ENOMEM")
	}
	watched.removeWatch = fail("epoll_ctl_del/"+goPoller, "ENOMEM")
	watched.modifyWatch = fail("epoll_ctl_mod/"+gnetPoller, "ENOMEM")
	watched.accept = fail("accept4", "EMFILE")
	watched.dup = fail("fcntl_dupfd", "EMFILE")
	bed.startWithFaults(strings.Join(faults, ","))
	watched.queryAllEndpoints()
	return watched
}

// queryAllEndpoints sends requests for objects that are spread over the endpoints, and waits for the answers.
func (bed *watchTestbed) queryAllEndpoints() {
	bed.t.Helper()
	client := bed.dial()
	for id := range uint64(20) {
		client.call(id+1, "footage", map[string]string{"item": hexID(id + 1), "limit": "3000"})
	}
	_ = client.conn.Close()
}

// sendFirstRequest connects a client and sends its first request, with a unique id.
func (bed *watchTestbed) sendFirstRequest() *client {
	bed.t.Helper()
	client := bed.dial()
	bed.lastID++
	client.send(request(bed.lastID, "lookup", nil, ""))
	return client
}

// expectServed fails the test unless a client's next answer is without an error.
func expectServed(c *client) {
	c.t.Helper()
	if answer, err := c.read(); err != nil || answer.Error != "" {
		c.t.Errorf("answer: got %+v (error %v), want the request served", answer, err)
	}
}

// TestRefusedWatchesAreRetried guards against a client that loses its connection and first request. A watch that one of
// the pollers, or both in turn, refuses must be retried.
func TestRefusedWatchesAreRetried(t *testing.T) {
	for _, c := range []struct{ name, goScript, gnetScript string }{
		{"Go's poller refuses once", "x-", ""},
		{"gnet's poller refuses once", "", "x-"},
		{"Go's poller refuses five times", "xxxxx-", ""},
		{"gnet's poller refuses five times", "", "xxxxx-"},
		{"both refuse in turn", "x-x-x-", "xxx-"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			bed := newWatchTestbed(t, nil)
			scripts := map[string]string{goPoller: c.goScript, gnetPoller: c.gnetScript}
			for poller, script := range scripts {
				if script != "" {
					bed.addWatch[poller].enable(script)
				}
			}
			expectServed(bed.sendFirstRequest())
			for poller, script := range scripts {
				if got, want := bed.addWatch[poller].count(), strings.Count(script, string(scriptFails)); got != want {
					t.Errorf("watches refused by %s's poller: got %d, want %d", poller, got, want)
				}
			}
		})
	}
}

// TestWatchesBeyondUserLimitAreRetried refuses watches with ENOSPC, as the kernel does when the program's user has
// reached its limit (max_user_watches). They must be retried until other watches are removed.
func TestWatchesBeyondUserLimitAreRetried(t *testing.T) {
	for _, poller := range bothPollers {
		t.Run(poller, func(t *testing.T) {
			t.Parallel()
			bed := &watchTestbed{testbed: newTestbed(t, nil)}
			name := "epoll_ctl_add/" + poller
			limit := switchableFault{bed: bed.testbed, name: name, path: filepath.Join(t.TempDir(), "limit")}
			bed.startWithFaults(name + "=ENOSPC?" + limit.path)
			bed.queryAllEndpoints()
			limit.enable("xx-")
			expectServed(bed.sendFirstRequest())
			if got := limit.count(); got != 2 {
				t.Errorf("refused watches: got %d, want 2", got)
			}
		})
	}
}

// TestRefusedWatchesAreRetriedWhenRemovalFails refuses a watch while the connection's watch in Go's poller cannot be
// removed either. The same descriptor number then cannot be watched again (EEXIST), and the retry must succeed all the
// same.
func TestRefusedWatchesAreRetriedWhenRemovalFails(t *testing.T) {
	t.Parallel()
	bed := newWatchTestbed(t, nil)
	bed.removeWatch.enable("")
	bed.addWatch[gnetPoller].enable("xx-")
	expectServed(bed.sendFirstRequest())
}

// TestUnremovableWatchesHoldFewDescriptors guards against a number of descriptors that grows for as long as the kernel
// refuses both to add and to remove watches. The connection must be closed with a log line, and a later one served.
func TestUnremovableWatchesHoldFewDescriptors(t *testing.T) {
	t.Parallel()
	bed := newWatchTestbed(t, nil)
	before := bed.openDescriptors()
	bed.removeWatch.enable("")
	bed.addWatch[gnetPoller].enable("")
	client := bed.sendFirstRequest()
	bed.waitLogMatches("event=accept-failed .*too many watches of the connection could not be ended")
	if answer, err := client.read(); err == nil {
		t.Errorf("got answer %+v, want the connection closed", answer)
	}
	bed.removeWatch.disable()
	bed.addWatch[gnetPoller].disable()
	later := bed.sendFirstRequest()
	expectServed(later)
	_ = later.conn.Close()
	bed.waitUntil("the descriptors of both connections are closed", func() bool {
		return bed.openDescriptors() <= before
	})
}

// TestRefusedWatchesFreePendingAccepts guards against connections with refused watches that permanently occupy the
// places of pending accepts, or that get lost. Twice, more clients connect than may wait for the event loop.
func TestRefusedWatchesFreePendingAccepts(t *testing.T) {
	for _, poller := range bothPollers {
		t.Run(poller, func(t *testing.T) {
			t.Parallel()
			bed := newWatchTestbed(t, nil)
			const clients = 6 // more than maxPendingAccepts
			for range 2 {
				refused := bed.addWatch[poller].count()
				bed.addWatch[poller].enable("")
				var waiting []*client
				for range clients {
					waiting = append(waiting, bed.sendFirstRequest())
				}
				bed.addWatch[poller].waitCount(refused + clients)
				bed.addWatch[poller].disable()
				for _, client := range waiting {
					expectServed(client)
				}
			}
		})
	}
}

// lookupWithLimit returns a lookup request with a time limit.
func lookupWithLimit(id uint64, limit time.Duration) []byte {
	return request(id, "lookup", map[string]string{"limit": strconv.FormatInt(limit.Milliseconds(), 10)}, "")
}

// TestRefusedWatchesCountAgainstDeadlines checks that the time of a request runs from when it was sent, even if the
// watch of its connection is added later.
func TestRefusedWatchesCountAgainstDeadlines(t *testing.T) {
	for _, poller := range bothPollers {
		t.Run(poller, func(t *testing.T) {
			t.Parallel()
			bed := newWatchTestbed(t, nil)
			const limit, refused = 1500 * time.Millisecond, 300 * time.Millisecond
			const shortLimit = 150 * time.Millisecond // a time limit that is over when the watch is added
			bed.addWatch[poller].enable("")
			sent := time.Now()
			client := bed.dial()
			client.send(append(lookupWithLimit(1, limit), lookupWithLimit(2, shortLimit)...))
			bed.addWatch[poller].waitCount(1)
			time.Sleep(time.Until(sent.Add(refused)))
			bed.addWatch[poller].disable()
			answers := map[uint64]string{}
			for range 2 {
				answer := client.mustRead()
				answers[answer.ID] = answer.Error
			}
			if answers[1] != "" || answers[2] != "Overloaded" {
				t.Errorf("errors by request: got %v, want 1 served and 2, whose time was over, rejected", answers)
			}
			deadline, err := strconv.Atoi(bed.lastAttempt().Fields["max"])
			maxDeadline := limit - refused + deadlineSlack
			if err != nil || time.Duration(deadline)*time.Millisecond > maxDeadline {
				t.Errorf("deadline: got max=%d (%v) after %v of %v, want at most %v",
					deadline, err, refused, limit, maxDeadline)
			}
		})
	}
}

// TestClientLeavesBeforeWatchIsAdded makes clients close or reset their connections before the program watches them.
// The program must close all of their descriptors and serve later clients.
func TestClientLeavesBeforeWatchIsAdded(t *testing.T) {
	for _, poller := range bothPollers {
		for _, way := range abandonWays[1:] {
			t.Run(poller+" "+way.name, func(t *testing.T) {
				t.Parallel()
				bed := newWatchTestbed(t, nil)
				const clients = 6 // more than maxPendingAccepts
				before := bed.openDescriptors()
				bed.addWatch[poller].enable("")
				for range clients {
					way.abandon(bed.sendFirstRequest(), bed.lastID)
				}
				bed.addWatch[poller].waitCount(clients)
				bed.addWatch[poller].disable()
				client := bed.sendFirstRequest()
				expectServed(client)
				_ = client.conn.Close()
				bed.waitUntil("the descriptors of the clients that left are closed", func() bool {
					return bed.openDescriptors() <= before
				})
				if bed.logged("panic") {
					t.Error("the log contains a panic, want none")
				}
				bed.expectRunning()
			})
		}
	}
}

// TestShutdownWaitsForRefusedWatches sends SIGTERM while an accepted connection is not watched yet. Its request must be
// served before the exit, but a connection whose watch is refused for good must not delay the exit forever.
func TestShutdownWaitsForRefusedWatches(t *testing.T) {
	for _, poller := range bothPollers {
		t.Run(poller, func(t *testing.T) {
			t.Parallel()
			bed := newWatchTestbed(t, nil)
			bed.addWatch[poller].enable("")
			client := bed.sendFirstRequest()
			bed.addWatch[poller].waitCount(1)
			bed.terminate()
			bed.addWatch[poller].disable()
			expectServed(client)
			_ = client.conn.Close()
			bed.waitExit()
		})
		t.Run(poller+" never", func(t *testing.T) {
			t.Parallel()
			bed := newWatchTestbed(t, nil)
			bed.addWatch[poller].enable("")
			bed.sendFirstRequest()
			bed.addWatch[poller].waitCount(1)
			bed.terminate()
			bed.waitExit()
		})
	}
}

// TestRefusedWatchesSurviveExhaustedDescriptors makes descriptors run out while a refused watch is retried. The
// connection must be kept and served, and so must those that arrive meanwhile.
func TestRefusedWatchesSurviveExhaustedDescriptors(t *testing.T) {
	for _, poller := range bothPollers {
		t.Run(poller, func(t *testing.T) {
			t.Parallel()
			bed := newWatchTestbed(t, nil)
			bed.addWatch[poller].enable("")
			first := bed.sendFirstRequest()
			bed.addWatch[poller].waitCount(1)
			bed.accept.enable("xx-")
			bed.dup.enable("xxx-")
			bed.addWatch[poller].disable()
			second := bed.sendFirstRequest()
			expectServed(first)
			expectServed(second)
			if bed.accept.count() == 0 || bed.dup.count() == 0 {
				t.Errorf("refused calls: got %d of accept and %d of fcntl, want some of both",
					bed.accept.count(), bed.dup.count())
			}
		})
	}
}

// The large answers exceed the socket buffers between a client and the program, but not what the program buffers for a
// client.
const (
	largeAnswerCount = 20
	largeAnswerSize  = 200 << 10
	firstLargeObject = 100
)

// requestLargeAnswers connects a client that requests large answers, with ids from 1 on, and does not read them. It
// returns the client once the program has received all of the answers from the endpoints.
func (bed *watchTestbed) requestLargeAnswers() *client {
	bed.t.Helper()
	before := len(bed.attempts())
	client := bed.dialSmallBuffer()
	for id := range uint64(largeAnswerCount) {
		fields := map[string]string{"item": hexID(id + firstLargeObject), "limit": "60000", "ram": "2000"}
		client.send(request(id+1, "footage", fields, ""))
	}
	bed.waitAttempts(before + largeAnswerCount)
	bed.queryAllEndpoints() // their answers follow the large ones
	return client
}

// answerWithLargeBody responds with a large body for the objects from firstLargeObject on, and with a small one for
// others.
func answerWithLargeBody(attempt *receivedRequest) {
	body := "small"
	if number, _ := strconv.ParseUint(attempt.Fields["thing"], 16, 64); number >= firstLargeObject {
		body = strings.Repeat("x", largeAnswerSize)
	}
	attempt.Answer("ACK", "tag=t1", body)
}

// readLargeAnswers reads the large answers and returns how many were complete, and the error that ended reading early.
func readLargeAnswers(c *client) (complete int, err error) {
	for range largeAnswerCount {
		answer, err := c.read()
		if err != nil {
			return complete, err
		}
		if answer.Error == "" && len(answer.Body) == largeAnswerSize {
			complete++
		}
	}
	return complete, nil
}

// TestRefusedWatchChangeLosesNoAnswers guards against answers that are lost with their connection because the kernel
// refuses to report when a slow reader's socket is writable again.
func TestRefusedWatchChangeLosesNoAnswers(t *testing.T) {
	for _, c := range []struct {
		name, script   string
		endsBeforeRead bool // whether the fault is disabled before the client reads
	}{
		{"once", "x-", false},
		{"until the client reads", "", true},
		{"permanently", "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			bed := newWatchTestbed(t, answerWithLargeBody)
			bed.modifyWatch.enable(c.script)
			client := bed.requestLargeAnswers()
			if c.endsBeforeRead {
				bed.modifyWatch.disable()
			}
			if complete, err := readLargeAnswers(client); complete != largeAnswerCount || err != nil {
				t.Errorf("complete answers: got %d of %d (error %v), want all; %d watch changes were refused",
					complete, largeAnswerCount, err, bed.modifyWatch.count())
			}
			client.waitRequestsRead(largeAnswerCount + 1) // the connection is still usable
		})
	}
}

// TestRefusedWatchChangeDoesNotSpin guards against an event loop that spins because the kernel refuses to stop
// reporting that the socket of a client that has read all its answers is writable.
func TestRefusedWatchChangeDoesNotSpin(t *testing.T) {
	t.Parallel()
	bed := newWatchTestbed(t, answerWithLargeBody)
	bed.modifyWatch.enable("-x")
	client := bed.requestLargeAnswers()
	if complete, err := readLargeAnswers(client); complete != largeAnswerCount || err != nil {
		t.Fatalf("complete answers: got %d of %d (error %v), want all", complete, largeAnswerCount, err)
	}
	client.waitRequestsRead(largeAnswerCount + 1)
	if share := cpuShare(t, bed.cmd.Process.Pid, time.Second); share > maxIdleCPUShare {
		t.Errorf("CPU use while idle: got %.2f of a core, want at most %.2f; %d watch changes were refused",
			share, maxIdleCPUShare, bed.modifyWatch.count())
	}
	client.waitRequestsRead(largeAnswerCount + 2) // the connection is still usable
}

// TestRefusedWatchesAreLogged checks that the log names the cause if a client leaves while its connection is not
// watched, or if the program closes a connection because a watch could not be changed.
func TestRefusedWatchesAreLogged(t *testing.T) {
	const logPattern = `event=\S+ .*cannot allocate memory`
	for _, poller := range bothPollers {
		t.Run(poller, func(t *testing.T) {
			t.Parallel()
			bed := newWatchTestbed(t, nil)
			bed.addWatch[poller].enable("")
			client := bed.sendFirstRequest()
			bed.addWatch[poller].waitCount(1)
			_ = client.conn.Close()
			bed.waitLogMatches(logPattern)
		})
	}
	t.Run("change", func(t *testing.T) {
		t.Parallel()
		bed := newWatchTestbed(t, answerWithLargeBody)
		bed.modifyWatch.enable("")
		client := bed.requestLargeAnswers()
		_, err := readLargeAnswers(client)
		var timeout net.Error
		isClosed := errors.Is(err, io.EOF) || err != nil && !(errors.As(err, &timeout) && timeout.Timeout())
		if isClosed && !regexp.MustCompile(logPattern).MatchString(bed.log.String()) {
			t.Errorf("the program closed the connection (%v) without logging the cause", err)
		}
	})
}
