package upstream

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"sloequay/internal/broker"
	"sloequay/internal/eventloop"
	"sloequay/internal/memory"
	"sloequay/internal/policy"
)

const (
	// testStandstill is how long the process stands still in a test.
	testStandstill = 400 * time.Millisecond
	// timeLeftSlack is how much the time left that an endpoint is told may exceed the client's.
	timeLeftSlack = 150 * time.Millisecond
	testTimeLeft  = 2 * time.Second
	testWait      = 10 * time.Second
)

// receivedAttempt is an attempt as an endpoint received it.
type receivedAttempt struct {
	endpoint string
	id       string
	timeLeft time.Duration
	at       time.Duration
}

// sendTest is a pool on a loop, with endpoints that report the attempts they receive.
type sendTest struct {
	pool      *Pool
	loop      *eventloop.Loop
	received  chan receivedAttempt
	startedAt time.Time
}

func (w *sendTest) now() time.Duration { return time.Since(w.startedAt) + time.Minute }

// runOnLoop runs a task on the loop and waits for its end.
func (w *sendTest) runOnLoop(task func()) {
	done := make(chan struct{})
	w.loop.Post(func() {
		task()
		w.loop.RequestRound()
		close(done)
	})
	<-done
}

// startSendTest starts a loop whose rounds flush the pool.
func startSendTest(t *testing.T) *sendTest {
	t.Helper()
	test := &sendTest{received: make(chan receivedAttempt, 100), startedAt: time.Now()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	refuse := func(net.Addr) eventloop.Handler { return nil }
	ready, ended := make(chan struct{}), make(chan error, 1)
	go func() {
		ended <- eventloop.Run([]eventloop.Listener{{Network: "tcp", Address: address, Accept: refuse}},
			func(loop *eventloop.Loop) {
				loop.Memory = memory.NewAccount(64 << 20)
				test.loop = loop
				test.pool = &Pool{
					Loop:           loop,
					Now:            test.now,
					Log:            func(string, ...any) {},
					Emit:           func(broker.Event) {},
					MaySend:        func(*broker.Attempt, time.Duration) (time.Duration, bool) { return 0, true },
					DeferWrites:    func() bool { return false },
					AddressBlocked: func(string) bool { return false },
					Classes:        []policy.Class{{Name: "lookup"}},
					DialTimeout:    time.Second,
					Streams:        64,
					MaxConnections: 10,
				}
				close(ready)
			}, func() { test.pool.Flush() })
	}()
	select {
	case <-ready:
	case err := <-ended:
		t.Fatal(err)
	}
	t.Cleanup(func() {
		test.loop.Stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return test
}

// startEndpoint starts an endpoint that reports the attempts it receives.
func (w *sendTest) startEndpoint(t *testing.T, name string, id policy.EndpointID) *broker.Endpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go w.readAttempts(name, conn)
		}
	}()
	endpoint := &broker.Endpoint{Name: name, Address: listener.Addr().String()}
	endpoint.ID = id
	return endpoint
}

// readAttempts reports the attempts that arrive on a connection to an endpoint.
func (w *sendTest) readAttempts(name string, conn net.Conn) {
	lines := bufio.NewScanner(conn)
	for lines.Scan() {
		words := strings.Fields(lines.Text())
		if len(words) < 3 || words[0] != commandRequest {
			continue
		}
		for _, field := range strings.Split(words[2], ",") {
			if value, ok := strings.CutPrefix(field, fieldTimeLeft+"="); ok {
				milliseconds, _ := strconv.Atoi(value)
				w.received <- receivedAttempt{name, words[1], time.Duration(milliseconds) * time.Millisecond, w.now()}
			}
		}
	}
}

// newAttempt returns an attempt whose request has testTimeLeft left.
func (w *sendTest) newAttempt(id string, endpoint *broker.Endpoint) *broker.Attempt {
	request := &broker.Request{ID: id, ObjectName: "7f3a9c21e0b4d655"}
	return &broker.Attempt{
		Request: request, Endpoint: endpoint, Source: endpoint, Deadline: w.now() + testTimeLeft,
	}
}

// nextReceived waits for the next attempt that an endpoint receives, and returns it.
func (w *sendTest) nextReceived(t *testing.T) receivedAttempt {
	t.Helper()
	select {
	case got := <-w.received:
		return got
	case <-time.After(testWait):
		t.Fatal("no endpoint received an attempt")
		return receivedAttempt{}
	}
}

// TestTimeLeftIsComputedAtWrite guards against telling an endpoint more time than the client has left. The process
// stands still while a round's attempts are prepared: after the first, and during the second.
func TestTimeLeftIsComputedAtWrite(t *testing.T) {
	test := startSendTest(t)
	first, second := test.startEndpoint(t, "first", 1), test.startEndpoint(t, "second", 2)
	test.runOnLoop(func() { // opens both connections
		test.pool.Send(test.newAttempt("a1", first))
		test.pool.Send(test.newAttempt("a2", second))
	})
	test.nextReceived(t)
	test.nextReceived(t)
	var deadline time.Duration
	test.runOnLoop(func() {
		hasStoodStill := false
		test.pool.MaySend = func(attempt *broker.Attempt, _ time.Duration) (time.Duration, bool) {
			if attempt.Request.ID == "b2" && !hasStoodStill {
				hasStoodStill = true
				time.Sleep(testStandstill)
			}
			return 0, true
		}
		firstAttempt, secondAttempt := test.newAttempt("b1", first), test.newAttempt("b2", second)
		deadline = firstAttempt.Deadline
		test.pool.Send(firstAttempt)
		test.pool.Send(secondAttempt)
	})
	for range 2 {
		got := test.nextReceived(t)
		if excess := got.at + got.timeLeft - deadline; excess > timeLeftSlack {
			t.Errorf("%s: got time left %v, which is %v more than its client had left", got.id, got.timeLeft, excess)
		}
	}
}

// TestAttemptsArePreparedAgainAfterStandstill guards against sending an attempt that was allowed by the endpoint list
// and the purges only before a standstill: one that happens while the next attempt on the connection is prepared.
func TestAttemptsArePreparedAgainAfterStandstill(t *testing.T) {
	test := startSendTest(t)
	endpoint := test.startEndpoint(t, "first", 1)
	test.runOnLoop(func() { test.pool.Send(test.newAttempt("a1", endpoint)) })
	test.nextReceived(t)
	ended := make(chan broker.AttemptEnded, 100)
	test.runOnLoop(func() {
		hasStoodStill := false
		test.pool.Emit = func(event broker.Event) {
			if end, isEnd := event.(broker.AttemptEnded); isEnd {
				ended <- end
			}
		}
		test.pool.MaySend = func(attempt *broker.Attempt, _ time.Duration) (time.Duration, bool) {
			if attempt.Request.ID == "b2" && !hasStoodStill {
				hasStoodStill = true
				time.Sleep(testStandstill)
			}
			// During the standstill b1 becomes blocked, as if its endpoint drained.
			return 0, attempt.Request.ID == "b2" || !hasStoodStill
		}
		test.pool.Send(test.newAttempt("b1", endpoint))
		test.pool.Send(test.newAttempt("b2", endpoint))
	})
	if got := test.nextReceived(t); got.id != "b2" {
		t.Errorf("got attempt %s written, want only b2", got.id)
	}
	if end := <-ended; end.Attempt.Request.ID != "b1" || end.End != broker.Blocked {
		t.Errorf("got attempt %s ended as %v, want b1 as blocked", end.Attempt.Request.ID, end.End)
	}
}

// TestDeferredWritesGoOutInLaterRound checks that a deferred attempt is written in a later round, and only once, and
// that one which was canceled meanwhile is not written at all. Writes are deferred after a standstill.
func TestDeferredWritesGoOutInLaterRound(t *testing.T) {
	test := startSendTest(t)
	endpoint := test.startEndpoint(t, "first", 1)
	test.runOnLoop(func() { test.pool.Send(test.newAttempt("a1", endpoint)) })
	test.nextReceived(t)
	var canceled *broker.Attempt
	asked := make(chan struct{}, 1)
	test.runOnLoop(func() {
		test.pool.DeferWrites = func() bool {
			select {
			case asked <- struct{}{}:
			default:
			}
			return true
		}
		canceled = test.newAttempt("b1", endpoint)
		test.pool.Send(canceled)
		test.pool.Send(test.newAttempt("b2", endpoint))
	})
	<-asked
	test.runOnLoop(func() {
		test.pool.Cancel(broker.CancelAttempt{Attempt: canceled})
		test.pool.DeferWrites = func() bool { return false }
	})
	if got := test.nextReceived(t); got.id != "b2" {
		t.Errorf("got attempt %s written, want only b2", got.id)
	}
	test.runOnLoop(func() { test.pool.Send(test.newAttempt("c1", endpoint)) })
	if got := test.nextReceived(t); got.id != "c1" {
		t.Errorf("got attempt %s written after b2, want c1", got.id)
	}
}
