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

// The system refuses to watch a connection, or to change what it is watched for, in an order that each test forces. An
// accepted connection is watched twice: by the poller of Go's runtime, then by gnet's.

// refusal is a fault that a test switches on and off by a file.
type refusal struct {
	bed  *testbed
	name string // of the call, as faultsVariable has it
	path string
}

// newRefusal makes one that is off.
func newRefusal(bed *testbed, name string) refusal {
	bed.t.Helper()
	file := strings.ReplaceAll(name, "/", "-")
	return refusal{bed: bed, name: name, path: filepath.Join(bed.t.TempDir(), file)}
}

// fault is the fault that the program has to be started with.
func (r refusal) fault(errno string) string { return r.name + "=" + errno + "?" + r.path }

// begin has calls refused by a script from now on; empty: all.
func (r refusal) begin(script string) {
	r.bed.t.Helper()
	writeFile(r.bed.t, r.path+".new", script)
	if err := os.Rename(r.path+".new", r.path); err != nil {
		r.bed.t.Fatal(err)
	}
}

// end has calls let through again.
func (r refusal) end() {
	r.bed.t.Helper()
	if err := os.Remove(r.path); err != nil {
		r.bed.t.Fatal(err)
	}
}

// count is how many calls were refused so far.
func (r refusal) count() int { return r.bed.timesLogged(injectedFailureText(r.name)) }

// wait waits until so many calls were refused.
func (r refusal) wait(count int) {
	r.bed.t.Helper()
	r.bed.waitUntil(strconv.Itoa(count)+" calls of "+r.name+" were refused", func() bool { return r.count() >= count })
}

// watchedTestbed is a testbed whose program's watches can be refused.
type watchedTestbed struct {
	*testbed
	add    map[string]refusal // of connections, by the poller
	remove refusal            // from Go's poller
	change refusal            // of what gnet's poller watches for
	accept refusal            // for want of descriptors, as are the duplicates
	dup    refusal
	lastID uint64 // of sendFirst
}

// bothPollers are those that an accepted connection is watched by.
var bothPollers = []string{goPoller, gnetPoller}

// newWatchedTestbed starts a program that has connected its endpoints.
func newWatchedTestbed(t *testing.T, respond func(*receivedRequest)) *watchedTestbed {
	t.Helper()
	bed := newTestbed(t, respond)
	var faults []string
	fail := func(name, errno string) refusal {
		r := newRefusal(bed, name)
		faults = append(faults, r.fault(errno))
		return r
	}
	watched := &watchedTestbed{testbed: bed, add: map[string]refusal{}}
	for _, poller := range bothPollers {
		watched.add[poller] = fail("epoll_ctl_add/"+poller, "ENOMEM")
	}
	watched.remove = fail("epoll_ctl_del/"+goPoller, "ENOMEM")
	watched.change = fail("epoll_ctl_mod/"+gnetPoller, "ENOMEM")
	watched.accept = fail("accept4", "EMFILE")
	watched.dup = fail("fcntl_dupfd", "EMFILE")
	bed.startWithFaults(strings.Join(faults, ","))
	watched.askAllEndpoints()
	return watched
}

// askAllEndpoints has a client ask for objects that are spread over the endpoints, and waits for the answers.
func (bed *watchedTestbed) askAllEndpoints() {
	bed.t.Helper()
	client := bed.dial()
	for id := range uint64(20) {
		client.call(id+1, "footage", map[string]string{"item": hexID(id + 1), "limit": "3000"})
	}
	_ = client.conn.Close()
}

// sendFirst connects a client and sends its first request, with an id that no other one has.
func (bed *watchedTestbed) sendFirst() *client {
	bed.t.Helper()
	client := bed.dial()
	bed.lastID++
	client.send(request(bed.lastID, "lookup", nil, ""))
	return client
}

// expectServed takes a client's next answer.
func expectServed(c *client) {
	c.t.Helper()
	if answer, err := c.read(); err != nil || answer.Error != "" {
		c.t.Errorf("answer %+v (%v), want the request served", answer, err)
	}
}

// TestRefusedWatchesAreTriedAgain guards against a client that loses its first request with its connection: the
// watch that one of the pollers, or both in turn, refuses is tried again.
func TestRefusedWatchesAreTriedAgain(t *testing.T) {
	for _, c := range []struct{ name, goScript, gnetScript string }{
		{"Go's poller refuses once", "x-", ""},
		{"gnet's poller refuses once", "", "x-"},
		{"Go's poller refuses five times", "xxxxx-", ""},
		{"gnet's poller refuses five times", "", "xxxxx-"},
		{"both refuse in turn", "x-x-x-", "xxx-"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			bed := newWatchedTestbed(t, nil)
			scripts := map[string]string{goPoller: c.goScript, gnetPoller: c.gnetScript}
			for poller, script := range scripts {
				if script != "" {
					bed.add[poller].begin(script)
				}
			}
			expectServed(bed.sendFirst())
			for poller, script := range scripts {
				if got, want := bed.add[poller].count(), strings.Count(script, string(scriptFails)); got != want {
					t.Errorf("%s's poller refused %d times, want %d as the test has it", poller, got, want)
				}
			}
		})
	}
}

// TestWatchesBeyondTheUsersLimitAreTriedAgain: the user that the program runs as has as many watches as the system
// allows one (max_user_watches), until others end.
func TestWatchesBeyondTheUsersLimitAreTriedAgain(t *testing.T) {
	for _, poller := range bothPollers {
		t.Run(poller, func(t *testing.T) {
			t.Parallel()
			bed := &watchedTestbed{testbed: newTestbed(t, nil)}
			name := "epoll_ctl_add/" + poller
			limit := refusal{bed: bed.testbed, name: name, path: filepath.Join(t.TempDir(), "limit")}
			bed.startWithFaults(name + "=ENOSPC?" + limit.path)
			bed.askAllEndpoints()
			limit.begin("xx-")
			expectServed(bed.sendFirst())
			if got := limit.count(); got != 2 {
				t.Errorf("%d watches were refused, want 2 as the test has it", got)
			}
		})
	}
}

// TestRefusedWatchesAreTriedAgainWhereOneRemains: what holds an accepted connection for the next try keeps its watch in
// Go's poller as well, where the system refuses to remove it. The same number can't be watched again then (EEXIST).
func TestRefusedWatchesAreTriedAgainWhereOneRemains(t *testing.T) {
	t.Parallel()
	bed := newWatchedTestbed(t, nil)
	bed.remove.begin("")
	bed.add[gnetPoller].begin("xx-")
	expectServed(bed.sendFirst())
}

// TestWatchesThatRemainHoldFewDescriptors guards against descriptors that grow for as long as the system refuses both
// to watch a connection and to end a watch. The connection ends with a line in the log, and a later one is served.
func TestWatchesThatRemainHoldFewDescriptors(t *testing.T) {
	t.Parallel()
	bed := newWatchedTestbed(t, nil)
	before := bed.openDescriptors()
	bed.remove.begin("")
	bed.add[gnetPoller].begin("")
	client := bed.sendFirst()
	bed.waitLogMatches("event=accept-failed .*too many watches of the connection could not be ended")
	if answer, err := client.read(); err == nil {
		t.Errorf("answer %+v, want the connection closed", answer)
	}
	bed.remove.end()
	bed.add[gnetPoller].end()
	later := bed.sendFirst()
	expectServed(later)
	_ = later.conn.Close()
	bed.waitUntil("the descriptors of both are closed", func() bool { return bed.openDescriptors() <= before })
}

// TestRefusedWatchesHoldAsManyAsMayWait guards against refused connections that take the places of later ones for good,
// or lose them: more clients connect than may wait for the loop, twice.
func TestRefusedWatchesHoldAsManyAsMayWait(t *testing.T) {
	for _, poller := range bothPollers {
		t.Run(poller, func(t *testing.T) {
			t.Parallel()
			bed := newWatchedTestbed(t, nil)
			const clients = 6 // beyond maxPendingAccepts
			for range 2 {
				refused := bed.add[poller].count()
				bed.add[poller].begin("")
				var waiting []*client
				for range clients {
					waiting = append(waiting, bed.sendFirst())
				}
				bed.add[poller].wait(refused + clients)
				bed.add[poller].end()
				for _, client := range waiting {
					expectServed(client)
				}
			}
		})
	}
}

// lookupWithin is a request whose client waits so long.
func lookupWithin(id uint64, limit time.Duration) []byte {
	return request(id, "lookup", map[string]string{"limit": strconv.FormatInt(limit.Milliseconds(), 10)}, "")
}

// TestRefusedWatchesCountAgainstDeadlines: the time of a request that waits for its connection to be watched has run
// since it was sent.
func TestRefusedWatchesCountAgainstDeadlines(t *testing.T) {
	for _, poller := range bothPollers {
		t.Run(poller, func(t *testing.T) {
			t.Parallel()
			bed := newWatchedTestbed(t, nil)
			const limit, refused = 1500 * time.Millisecond, 300 * time.Millisecond
			const outdated = 150 * time.Millisecond // a limit that is over when the watch is taken
			bed.add[poller].begin("")
			sent := time.Now()
			client := bed.dial()
			client.send(append(lookupWithin(1, limit), lookupWithin(2, outdated)...))
			bed.add[poller].wait(1)
			time.Sleep(time.Until(sent.Add(refused)))
			bed.add[poller].end()
			answers := map[uint64]string{}
			for range 2 {
				answer := client.mustRead()
				answers[answer.ID] = answer.Error
			}
			if answers[1] != "" || answers[2] != "Overloaded" {
				t.Errorf("answers %v, want the first served and the second, whose time was over, rejected", answers)
			}
			given, err := strconv.Atoi(bed.lastAttempt().Fields["max"])
			maxGiven := limit - refused + deadlineSlack
			if err != nil || time.Duration(given)*time.Millisecond > maxGiven {
				t.Errorf("max=%d (%v) after %v of %v, want %v at the most", given, err, refused, limit, maxGiven)
			}
		})
	}
}

// TestClientLeavesBeforeItsWatch: clients close or reset their connections before these are watched. Nothing is kept of
// them, and later clients are served.
func TestClientLeavesBeforeItsWatch(t *testing.T) {
	for _, poller := range bothPollers {
		for _, way := range abandonWays[1:] {
			t.Run(poller+" "+way.name, func(t *testing.T) {
				t.Parallel()
				bed := newWatchedTestbed(t, nil)
				const clients = 6 // beyond maxPendingAccepts
				before := bed.openDescriptors()
				bed.add[poller].begin("")
				for range clients {
					way.abandon(bed.sendFirst(), bed.lastID)
				}
				bed.add[poller].wait(clients)
				bed.add[poller].end()
				client := bed.sendFirst()
				expectServed(client)
				_ = client.conn.Close()
				bed.waitUntil("the descriptors of those who left are closed", func() bool {
					return bed.openDescriptors() <= before
				})
				if bed.logged("panic") {
					t.Error("a panic is logged, want none")
				}
				bed.expectRunning()
			})
		}
	}
}

// TestStopWaitsForRefusedWatches: SIGTERM comes while a connection that was accepted is not watched yet. It is served
// before the exit; and one that is never watched doesn't hold the exit back for ever.
func TestStopWaitsForRefusedWatches(t *testing.T) {
	for _, poller := range bothPollers {
		t.Run(poller, func(t *testing.T) {
			t.Parallel()
			bed := newWatchedTestbed(t, nil)
			bed.add[poller].begin("")
			client := bed.sendFirst()
			bed.add[poller].wait(1)
			bed.terminate()
			bed.add[poller].end()
			expectServed(client)
			_ = client.conn.Close()
			bed.waitExit()
		})
		t.Run(poller+" never", func(t *testing.T) {
			t.Parallel()
			bed := newWatchedTestbed(t, nil)
			bed.add[poller].begin("")
			bed.sendFirst()
			bed.add[poller].wait(1)
			bed.terminate()
			bed.waitExit()
		})
	}
}

// TestRefusedWatchesOutlastExhaustedDescriptors: descriptors run out while a refused watch is tried again. The
// connection is held, and so are those that come meanwhile.
func TestRefusedWatchesOutlastExhaustedDescriptors(t *testing.T) {
	for _, poller := range bothPollers {
		t.Run(poller, func(t *testing.T) {
			t.Parallel()
			bed := newWatchedTestbed(t, nil)
			bed.add[poller].begin("")
			first := bed.sendFirst()
			bed.add[poller].wait(1)
			bed.accept.begin("xx-")
			bed.dup.begin("xxx-")
			bed.add[poller].end()
			second := bed.sendFirst()
			expectServed(first)
			expectServed(second)
			if bed.accept.count() == 0 || bed.dup.count() == 0 {
				t.Errorf("%d accepts and %d duplicates were refused, want some", bed.accept.count(), bed.dup.count())
			}
		})
	}
}

// Large answers: beyond what the sockets between a client and the program hold, and within what it keeps for one.
const (
	largeAnswerCount = 20
	largeAnswerSize  = 200 << 10
	firstLargeObject = 100
)

// askLargeAnswers plays a client that asks for large answers, with the ids from 1 on, and doesn't read them. It gives
// the client once all of them have come to the program.
func (bed *watchedTestbed) askLargeAnswers() *client {
	bed.t.Helper()
	before := len(bed.attempts())
	client := bed.dialSmallBuffer()
	for id := range uint64(largeAnswerCount) {
		fields := map[string]string{"item": hexID(id + firstLargeObject), "limit": "60000", "ram": "2000"}
		client.send(request(id+1, "footage", fields, ""))
	}
	bed.waitAttempts(before + largeAnswerCount)
	bed.askAllEndpoints() // their answers come behind the large ones
	return client
}

// answerLarge serves the objects from firstLargeObject on with large bodies.
func answerLarge(attempt *receivedRequest) {
	body := "small"
	if number, _ := strconv.ParseUint(attempt.Fields["thing"], 16, 64); number >= firstLargeObject {
		body = strings.Repeat("x", largeAnswerSize)
	}
	attempt.Answer("ACK", "tag=t1", body)
}

// readLargeAnswers counts those that come whole, and gives why no more came; nil: all did.
func readLargeAnswers(c *client) (whole int, err error) {
	for range largeAnswerCount {
		answer, err := c.read()
		if err != nil {
			return whole, err
		}
		if answer.Error == "" && len(answer.Body) == largeAnswerSize {
			whole++
		}
	}
	return whole, nil
}

// TestRefusedChangeOfWatchLosesNothing guards against answers that are lost with their connection, as the system
// refuses to tell when a client that reads slowly can take more of them.
func TestRefusedChangeOfWatchLosesNothing(t *testing.T) {
	for _, c := range []struct {
		name, script string
		ends         bool // before the client reads
	}{
		{"once", "x-", false},
		{"until the client reads", "", true},
		{"to the end", "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			bed := newWatchedTestbed(t, answerLarge)
			bed.change.begin(c.script)
			client := bed.askLargeAnswers()
			if c.ends {
				bed.change.end()
			}
			if whole, err := readLargeAnswers(client); whole != largeAnswerCount || err != nil {
				t.Errorf("%d of %d answers came whole (%v), want all; %d changes were refused",
					whole, largeAnswerCount, err, bed.change.count())
			}
			client.waitRequestsRead(largeAnswerCount + 1) // the connection lives on
		})
	}
}

// TestRefusedChangeOfWatchBackDoesNotSpin guards against a loop that spins: the system refuses to stop telling that a
// client that has read all its answers could take more.
func TestRefusedChangeOfWatchBackDoesNotSpin(t *testing.T) {
	t.Parallel()
	bed := newWatchedTestbed(t, answerLarge)
	bed.change.begin("-x")
	client := bed.askLargeAnswers()
	if whole, err := readLargeAnswers(client); whole != largeAnswerCount || err != nil {
		t.Fatalf("%d of %d answers came whole (%v), want all", whole, largeAnswerCount, err)
	}
	client.waitRequestsRead(largeAnswerCount + 1)
	if share := cpuShare(t, bed.cmd.Process.Pid, time.Second); share > maxIdleCPUShare {
		t.Errorf("it used %.2f of a core with nothing to do, want at most %.2f; %d changes were refused",
			share, maxIdleCPUShare, bed.change.count())
	}
	client.waitRequestsRead(largeAnswerCount + 2) // the connection lives on
}

// TestLogTellsOfRefusedWatches: a client loses patience while its connection is not watched, or loses its connection.
// The log says why.
func TestLogTellsOfRefusedWatches(t *testing.T) {
	const told = `event=\S+ .*cannot allocate memory`
	for _, poller := range bothPollers {
		t.Run(poller, func(t *testing.T) {
			t.Parallel()
			bed := newWatchedTestbed(t, nil)
			bed.add[poller].begin("")
			client := bed.sendFirst()
			bed.add[poller].wait(1)
			_ = client.conn.Close()
			bed.waitLogMatches(told)
		})
	}
	t.Run("change", func(t *testing.T) {
		t.Parallel()
		bed := newWatchedTestbed(t, answerLarge)
		bed.change.begin("")
		client := bed.askLargeAnswers()
		_, err := readLargeAnswers(client)
		var timeout net.Error
		isClosed := errors.Is(err, io.EOF) || err != nil && !(errors.As(err, &timeout) && timeout.Timeout())
		if isClosed && !regexp.MustCompile(told).MatchString(bed.log.String()) {
			t.Errorf("the program closed the connection (%v) and its log doesn't say why", err)
		}
	})
}
