package test

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// The platform kills a proxy that takes more memory than its limit. These tests have clients and endpoints make it hold
// as much as the protocol allows.

const (
	largestWrite      = 48_000 // bytes of a write, by the protocol
	openPerConnection = 32     // requests, by the protocol
)

// memoryLimit is a limit on a proxy's memory and descriptors.
type memoryLimit struct{ megabytes, sockets int }

// memoryLimits are limits that the platform sets: the smallest, with the most descriptors, and one between.
var memoryLimits = []memoryLimit{{32, 1024}, {64, 512}}

// config returns the limit as the platform's configuration has it.
func (l memoryLimit) config() map[string]any {
	return map[string]any{"cores": 1, "memory_mb": l.megabytes, "sockets": l.sockets}
}

// clients returns how many connections send writes: their bodies take twice the memory, and they are fewer than the
// third of the descriptors that clients hold.
func (l memoryLimit) clients() int { return 2 * l.megabytes << 20 / (openPerConnection * largestWrite) }

// silentClients returns how many connections stop in the middle of a message: a third of the descriptors.
func (l memoryLimit) silentClients() int { return l.sockets / 3 }

// newMemoryTestbed returns a testbed with a limit. Its endpoints hold back their answers to writes until the function
// that it returns is called.
func newMemoryTestbed(t *testing.T, limit memoryLimit) (bed *testbed, release func()) {
	released := make(chan struct{})
	bed = newTestbed(t, func(attempt *receivedRequest) {
		if attempt.Fields["profile"] == "charge" {
			<-released
		}
		attempt.Answer("ACK", "-", attempt.ID)
	})
	bed.config["limits"] = limit.config()
	var once sync.Once
	release = func() { once.Do(func() { close(released) }) }
	t.Cleanup(release)
	return bed, release
}

// forMemoryLimits runs a test for each limit.
func forMemoryLimits(t *testing.T, test func(t *testing.T, limit memoryLimit)) {
	for _, limit := range memoryLimits {
		t.Run(fmt.Sprintf("%d MB, %d sockets", limit.megabytes, limit.sockets), func(t *testing.T) { test(t, limit) })
	}
}

// writeID returns an id for a write that no other write of the test has.
func writeID(client, index int) uint64 { return uint64(client)<<16 + uint64(index) + 1 }

// write returns the frame of a write of the largest size.
func write(client, index int) []byte {
	id := writeID(client, index)
	fields := map[string]string{"txn": hexID(id), "unique": hexID(id), "limit": "20000"}
	return request(uint64(index+1), "charge", fields, strings.Repeat("x", largestWrite))
}

// sendWrites sends as many of the largest writes as may be open, or as many as the program reads.
func (c *client) sendWrites(client int) {
	for index := range openPerConnection {
		if c.protocol.Send(write(client, index)) != nil {
			return
		}
	}
}

// answerCounts counts how requests ended.
type answerCounts struct{ served, rejected, failed, unanswered atomic.Int64 }

func (c *answerCounts) count(answer reply, err error) {
	switch {
	case err != nil:
		c.unanswered.Add(1)
	case answer.Error == "":
		c.served.Add(1)
	case answer.Error == "Overloaded":
		c.rejected.Add(1)
	default:
		c.failed.Add(1)
	}
}

// expectServedOrRejected fails the test if a request failed or had no answer.
func (c *answerCounts) expectServedOrRejected(t *testing.T) {
	t.Helper()
	if failed, unanswered := c.failed.Load(), c.unanswered.Load(); failed > 0 || unanswered > 0 {
		t.Errorf("got %d requests failed and %d unanswered, want all served or rejected", failed, unanswered)
	}
}

// startWriters connects clients that each send as many of the largest writes as may be open, and count the answers. It
// returns groups that wait until all have been sent and until all have been answered.
func (bed *testbed) startWriters(clients int, counts *answerCounts) (senders, readers *sync.WaitGroup) {
	bed.t.Helper()
	senders, readers = &sync.WaitGroup{}, &sync.WaitGroup{}
	for client := range clients {
		connected := bed.dial()
		senders.Go(func() { connected.sendWrites(client) })
		readers.Go(func() {
			for range openPerConnection {
				answer, err := connected.read()
				counts.count(answer, err)
			}
		})
	}
	return senders, readers
}

// TestOpenWritesStayWithinMemory guards against bodies of open writes that take more memory than the process may use:
// clients send as many of the largest writes as may be open at once, while the endpoints are slow. Each write must have
// one answer, and other clients' requests must be served meanwhile.
func TestOpenWritesStayWithinMemory(t *testing.T) {
	forMemoryLimits(t, func(t *testing.T, limit memoryLimit) {
		bed, release := newMemoryTestbed(t, limit)
		bed.start()
		watch := bed.watchMemory(limit.megabytes)
		usual := bed.startUsualClient()
		var counts answerCounts
		senders, readers := bed.startWriters(limit.clients(), &counts)
		senders.Wait()
		usual.expectServed()
		release()
		readers.Wait()
		watch.expectWithinLimit()
		t.Logf("served %d, rejected %d", counts.served.Load(), counts.rejected.Load())
		counts.expectServedOrRejected(t)
	})
}

// TestUnreadAttemptsStayWithinMemory guards against encoded attempts that take more memory than the process may use,
// beside the bodies that they are made of: the endpoints read nothing.
func TestUnreadAttemptsStayWithinMemory(t *testing.T) {
	limit := memoryLimits[0]
	bed, _ := newMemoryTestbed(t, limit)
	bed.listenUnread("o1")
	bed.start()
	watch := bed.watchMemory(limit.megabytes)
	senders, readers := bed.startWriters(limit.clients(), &answerCounts{})
	senders.Wait()
	time.Sleep(500 * time.Millisecond) // for retries of the attempts that are not read
	watch.expectWithinLimit()
	bed.kill()
	readers.Wait()
}

// listenUnread replaces an endpoint's listener by one whose connections are accepted and never read.
func (bed *testbed) listenUnread(id string) {
	listener := bed.listenOn(bed.ip + ":0")
	for _, entry := range bed.listedEndpoints {
		if entry["host"] == id {
			entry["dial"] = listener.Addr().String()
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			bed.t.Cleanup(func() { _ = conn.Close() })
		}
	}()
}

// TestStoppedWritesStayWithinMemory guards against incomplete messages that take more memory than the process may use:
// clients send the largest writes but for their last byte, or heads of very many short fields, beside requests that
// are open on each connection. A write that is completed later must have an answer.
func TestStoppedWritesStayWithinMemory(t *testing.T) {
	t.Run("body", func(t *testing.T) {
		testStoppedMessages(t, func(client int) (front, rest []byte) {
			frame := write(client, 1)
			return frame[:len(frame)-1], frame[len(frame)-1:]
		})
	})
	t.Run("fields", func(t *testing.T) {
		testStoppedMessages(t, func(int) (front, rest []byte) { return longHead(), nil })
	})
}

// testStoppedMessages has clients that each send a write and the front of a message, and later the rest of it, if it
// has one.
func testStoppedMessages(t *testing.T, message func(client int) (front, rest []byte)) {
	limit := memoryLimits[0]
	bed, release := newMemoryTestbed(t, limit)
	bed.start()
	watch := bed.watchMemory(limit.megabytes)
	usual := bed.startUsualClient()
	var senders, readers sync.WaitGroup
	var counts answerCounts
	finish := make(chan struct{})
	for number := range limit.silentClients() - 1 {
		connected := bed.dial()
		front, rest := message(number)
		senders.Go(func() {
			_ = connected.protocol.Send(write(number, 0))
			_ = connected.protocol.Send(front)
		})
		readers.Go(func() {
			<-finish
			answer, err := connected.read()
			counts.count(answer, err)
			if rest != nil {
				_ = connected.protocol.Send(rest)
				answer, err := connected.read()
				counts.count(answer, err)
			}
		})
	}
	senders.Wait()
	usual.expectServed()
	release()
	close(finish)
	readers.Wait()
	watch.expectWithinLimit()
	counts.expectServedOrRejected(t)
}

// longHead returns the front of a request with as many fields as a request may have, each as long as it may be, without
// the last one.
func longHead() []byte {
	const fields, bytes = 64, 250
	frame := append(requestPrefix(2), 0xde, 0, fields)
	for range 2*fields - 1 {
		frame = append(frame, 0xd9, bytes)
		frame = append(frame, strings.Repeat("f", bytes)...)
	}
	return frame
}

// TestIncompleteResponsesStayWithinMemory guards against incomplete responses of endpoints that take more memory than
// the process may use. Each request must have one answer, and other clients' requests must be served meanwhile.
func TestIncompleteResponsesStayWithinMemory(t *testing.T) {
	const requests, bodyBytes = 300, 240_000
	limit := memoryLimit{32, 1024}
	finish := make(chan struct{})
	var begun atomic.Int64
	bed, _ := newMemoryTestbed(t, limit)
	bed.setResponder(func(attempt *receivedRequest) {
		if attempt.Fields["profile"] == "lookup" {
			attempt.Answer("ACK", "-", attempt.ID)
			return
		}
		body := strings.Repeat("b", bodyBytes)
		_, _ = fmt.Fprintf(attempt.Conn, "%s ACK - %d\r\n%s", attempt.ID, len(body), body)
		begun.Add(1)
		<-finish
		_, _ = attempt.Conn.Write([]byte("\r\n"))
	})
	bed.platformLimits()["streams-per-conn"] = 1
	bed.start()
	watch := bed.watchMemory(limit.megabytes)
	usual := bed.startUsualClient()
	var counts answerCounts
	var readers sync.WaitGroup
	for number := range uint64(requests) {
		connected := bed.dial()
		connected.send(request(1, "footage", map[string]string{
			"txn": hexID(number + 1), "item": hexID(number + 1), "limit": "20000", "ram": "2000"}, ""))
		readers.Go(func() {
			answer, err := connected.read()
			counts.count(answer, err)
		})
	}
	bed.waitUntil("each request has its answer or the front of one", func() bool {
		answered := counts.served.Load() + counts.rejected.Load() + counts.failed.Load()
		return begun.Load()+answered >= requests
	})
	usual.expectServed()
	close(finish)
	readers.Wait()
	watch.expectWithinLimit()
	t.Logf("served %d, rejected %d, failed %d", counts.served.Load(), counts.rejected.Load(), counts.failed.Load())
	if counts.unanswered.Load() > 0 {
		t.Errorf("got %d requests unanswered, want none", counts.unanswered.Load())
	}
}
