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
	"sloequay/internal/policy"
)

const (
	// testStandstill is how long a process stands still, and timeLeftSlack by how much the time that an endpoint is
	// given may be over what the client has left.
	testStandstill = 400 * time.Millisecond
	timeLeftSlack  = 150 * time.Millisecond
	testTimeLeft   = 2 * time.Second
	testWait       = 10 * time.Second
)

// written is an attempt as it came to an endpoint.
type written struct {
	endpoint string
	id       string
	timeLeft time.Duration
	at       time.Duration
}

// writeTest is a pool on a loop, with endpoints that say what comes to them.
type writeTest struct {
	pool     *Pool
	loop     *eventloop.Loop
	received chan written
	began    time.Time
}

func (w *writeTest) now() time.Duration { return time.Since(w.began) + time.Minute }

// on runs a task on the loop.
func (w *writeTest) on(task func()) {
	done := make(chan struct{})
	w.loop.Post(func() {
		task()
		w.loop.RequestRound()
		close(done)
	})
	<-done
}

// startWriteTest starts a loop whose rounds flush the pool.
func startWriteTest(t *testing.T) *writeTest {
	t.Helper()
	test := &writeTest{received: make(chan written, 100), began: time.Now()}
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
				loop.MemoryLimit = 64 << 20
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

// endpoint listens for attempts.
func (w *writeTest) endpoint(t *testing.T, name string, id policy.EndpointID) *broker.Endpoint {
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
			go w.read(name, conn)
		}
	}()
	endpoint := &broker.Endpoint{Name: name, Address: listener.Addr().String()}
	endpoint.ID = id
	return endpoint
}

// read reports the attempts that come on a connection to an endpoint.
func (w *writeTest) read(name string, conn net.Conn) {
	lines := bufio.NewScanner(conn)
	for lines.Scan() {
		words := strings.Fields(lines.Text())
		if len(words) < 3 || words[0] != commandRequest {
			continue
		}
		for _, field := range strings.Split(words[2], ",") {
			if value, ok := strings.CutPrefix(field, fieldTimeLeft+"="); ok {
				millis, _ := strconv.Atoi(value)
				w.received <- written{name, words[1], time.Duration(millis) * time.Millisecond, w.now()}
			}
		}
	}
}

// attempt is one for a request with some time left.
func (w *writeTest) attempt(id string, endpoint *broker.Endpoint) *broker.Attempt {
	request := &broker.Request{ID: id, ObjectName: "7f3a9c21e0b4d655"}
	return &broker.Attempt{
		Request: request, Endpoint: endpoint, Source: endpoint, Deadline: w.now() + testTimeLeft,
	}
}

// next waits for what comes to an endpoint next.
func (w *writeTest) next(t *testing.T) written {
	t.Helper()
	select {
	case got := <-w.received:
		return got
	case <-time.After(testWait):
		t.Fatal("no attempt came")
		return written{}
	}
}

// TestTimeLeftIsThatOfTheWrite guards against an attempt that is given more time than its client has left: the process
// stands still while a round's attempts are composed, after the first of them and within the second.
func TestTimeLeftIsThatOfTheWrite(t *testing.T) {
	test := startWriteTest(t)
	first, second := test.endpoint(t, "first", 1), test.endpoint(t, "second", 2)
	test.on(func() { // so that both connections are up
		test.pool.Send(test.attempt("a1", first))
		test.pool.Send(test.attempt("a2", second))
	})
	test.next(t)
	test.next(t)
	var deadline time.Duration
	test.on(func() {
		hasStoodStill := false
		test.pool.MaySend = func(attempt *broker.Attempt, _ time.Duration) (time.Duration, bool) {
			if attempt.Request.ID == "b2" && !hasStoodStill {
				hasStoodStill = true
				time.Sleep(testStandstill)
			}
			return 0, true
		}
		one, two := test.attempt("b1", first), test.attempt("b2", second)
		deadline = one.Deadline
		test.pool.Send(one)
		test.pool.Send(two)
	})
	for range 2 {
		got := test.next(t)
		if over := got.at + got.timeLeft - deadline; over > timeLeftSlack {
			t.Errorf("%s came with %v, which is %v more than its client had left", got.id, got.timeLeft, over)
		}
	}
}

// TestDraftOfAStandstillIsMadeAnew guards against an attempt that goes out by a look at the list and the purges from
// before the process stood still: after its own draft, while another one's on the same connection is made.
func TestDraftOfAStandstillIsMadeAnew(t *testing.T) {
	test := startWriteTest(t)
	endpoint := test.endpoint(t, "first", 1)
	test.on(func() { test.pool.Send(test.attempt("a1", endpoint)) })
	test.next(t)
	ended := make(chan broker.AttemptEnded, 100)
	test.on(func() {
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
			// The endpoint drains meanwhile for b1.
			return 0, attempt.Request.ID == "b2" || !hasStoodStill
		}
		test.pool.Send(test.attempt("b1", endpoint))
		test.pool.Send(test.attempt("b2", endpoint))
	})
	if got := test.next(t); got.id != "b2" {
		t.Errorf("%s was written, want b2 alone", got.id)
	}
	if end := <-ended; end.Attempt.Request.ID != "b1" || end.End != broker.Blocked {
		t.Errorf("%s ended as %v, want b1 as blocked", end.Attempt.Request.ID, end.End)
	}
}

// TestDeferredWritesWaitForAnotherRound: after a standstill an attempt that was about to be written goes out in a later
// round, once; and not at all where it was canceled meanwhile.
func TestDeferredWritesWaitForAnotherRound(t *testing.T) {
	test := startWriteTest(t)
	endpoint := test.endpoint(t, "first", 1)
	test.on(func() { test.pool.Send(test.attempt("a1", endpoint)) })
	test.next(t)
	var canceled *broker.Attempt
	asked := make(chan struct{}, 1)
	test.on(func() {
		test.pool.DeferWrites = func() bool {
			select {
			case asked <- struct{}{}:
			default:
			}
			return true
		}
		canceled = test.attempt("b1", endpoint)
		test.pool.Send(canceled)
		test.pool.Send(test.attempt("b2", endpoint))
	})
	<-asked
	test.on(func() {
		test.pool.Cancel(broker.CancelAttempt{Attempt: canceled})
		test.pool.DeferWrites = func() bool { return false }
	})
	if got := test.next(t); got.id != "b2" {
		t.Errorf("%s was written, want b2 alone", got.id)
	}
	test.on(func() { test.pool.Send(test.attempt("c1", endpoint)) })
	if got := test.next(t); got.id != "c1" {
		t.Errorf("%s was written after b2, want c1", got.id)
	}
}
