package test

import (
	"crypto/tls"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// largestAnswer is the size of the largest answer, in bytes, by the protocol.
	largestAnswer = 240_000
	// slowReaderBytes are read in every slowReaderPause by a client that reads slowly but without a stop.
	slowReaderBytes = 16 << 10
	slowReaderPause = time.Millisecond
)

// slowReader is a connection whose peer reads at a limited pace.
type slowReader struct{ net.Conn }

// Read waits for the pace, and reads what is there then.
func (r slowReader) Read(data []byte) (int, error) {
	time.Sleep(slowReaderPause)
	return r.Conn.Read(data[:min(len(data), slowReaderBytes)])
}

// answersTestbed has endpoints that answer at once, with the largest answers, once the function that it returns is
// called. Until then they answer with few bytes.
func answersTestbed(t *testing.T, limit memoryLimit) (bed *testbed, enlarge func()) {
	var largest sync.Map
	body := strings.Repeat("x", largestAnswer)
	bed = newTestbed(t, func(attempt *receivedRequest) {
		if _, isLarge := largest.Load("now"); isLarge {
			attempt.Answer("ACK", "tag=t1", body)
			return
		}
		attempt.Answer("ACK", "tag=t1", "small")
	})
	bed.config["limits"] = limit.config()
	return bed, func() { largest.Store("now", true) }
}

// startSlowReaders connects clients, given their numbers, that each have as many requests of a class open as they may,
// and read the answers slowly. The group ends when all have their answers, or their connections have ended.
func (bed *testbed) startSlowReaders(clients []int, class string, counts *answerCounts) *sync.WaitGroup {
	bed.t.Helper()
	return startSlowReadersOn(clients, class, counts, func() *client {
		return newClient(bed.t, slowReader{dialWithOptions(bed.t, bed.address, setSmallReceiveBuffer)})
	})
}

// startSlowReadersOn is like startSlowReaders, for connections that connect makes.
func startSlowReadersOn(clients []int, class string, counts *answerCounts, connect func() *client) *sync.WaitGroup {
	var readers sync.WaitGroup
	for _, number := range clients {
		connected := connect()
		for index := range openPerConnection {
			id := writeID(number, index)
			fields := map[string]string{"txn": hexID(id), "unique": hexID(id), "item": hexID(id), "limit": "20000"}
			connected.send(request(uint64(index+1), class, fields, ""))
		}
		readers.Go(func() {
			for range openPerConnection {
				answer, err := connected.read()
				counts.count(answer, err)
			}
		})
	}
	return &readers
}

// numbers returns consecutive numbers of clients.
func numbers(first, count int) (numbers []int) {
	for i := range count {
		numbers = append(numbers, first+i)
	}
	return numbers
}

// TestLargestAnswersToSlowReaders guards against answers that are dropped or turned into errors after their attempts
// have run, because no room was reserved for them: clients have as many requests open as they may, with the largest
// answers, and read them slowly. Once the class has had such an answer, what does not fit must be rejected before an
// attempt.
func TestLargestAnswersToSlowReaders(t *testing.T) {
	t.Parallel()
	for _, limit := range []memoryLimit{{32, 256}, {192, 1024}} {
		for _, clients := range []int{1, 30} {
			for _, class := range []string{"footage", "charge"} {
				t.Run(fmt.Sprintf("%d MB, %d clients, %s", limit.megabytes, clients, class), func(t *testing.T) {
					testLargestAnswers(t, limit, clients, class)
				})
			}
		}
	}
}

// attemptedRequests returns the number of requests that endpoints have read attempts for. A request may have several
// attempts, if a connection to an endpoint was closed.
func (bed *testbed) attemptedRequests() int {
	ids := map[string]bool{}
	for _, attempt := range bed.attempts() {
		ids[attempt.ID] = true
	}
	return len(ids)
}

// callClass has requests of a class served, one after another, before others.
func (bed *testbed) callClass(class string, requests uint64) {
	bed.t.Helper()
	usual := bed.dial()
	for id := range requests {
		txn := hexID(1<<60 + id)
		answer := usual.call(id+1, class, map[string]string{"txn": txn, "unique": txn, "item": txn})
		if answer.Error != "" {
			bed.t.Fatalf("got error %q to a request before the others, want none", answer.Error)
		}
	}
}

func testLargestAnswers(t *testing.T, limit memoryLimit, clients int, class string) {
	t.Parallel()
	bed, enlarge := answersTestbed(t, limit)
	enlarge()
	bed.start()
	bed.callClass(class, 1)
	watch := bed.watchMemory(limit.megabytes)
	var counts answerCounts
	bed.startSlowReaders(numbers(0, clients), class, &counts).Wait()
	watch.expectWithinLimit()
	served, attempts := counts.served.Load(), bed.attemptedRequests()-1
	t.Logf("served %d, rejected %d, attempts for %d", served, counts.rejected.Load(), attempts)
	counts.expectServedOrRejected(t)
	if attempts != int(served) {
		t.Errorf("got attempts for %d requests and %d served, want none for the rejected ones", attempts, served)
	}
	const minAnswers = 16 // of the largest, for which there is room with 32 MB
	if served < minAnswers {
		t.Errorf("got %d requests served, want at least %d", served, minAnswers)
	}
}

// TestLargestAnswersByTLS guards against the same as TestLargestAnswersToSlowReaders for clients by TLS, whose answers
// pass through a relay.
func TestLargestAnswersByTLS(t *testing.T) {
	t.Parallel()
	const clients = 10
	limit := memoryLimit{32, 256}
	body := strings.Repeat("x", largestAnswer)
	bed := newTLSTestbed(t, func(attempt *receivedRequest) { attempt.Answer("ACK", "tag=t1", body) })
	bed.config["limits"] = limit.config()
	bed.start()
	watch := bed.watchMemory(limit.megabytes)
	var counts answerCounts
	startSlowReadersOn(numbers(0, clients), "charge", &counts, func() *client {
		plain := dialWithOptions(t, bed.tlsAddress, setSmallReceiveBuffer)
		return newClient(t, tls.Client(slowReader{plain}, bed.clientConfig("lane3.lanes.test")))
	}).Wait()
	watch.expectWithinLimit()
	served, attempts := counts.served.Load(), bed.attemptedRequests()
	t.Logf("served %d, rejected %d, attempts for %d", served, counts.rejected.Load(), attempts)
	counts.expectServedOrRejected(t)
	if attempts != int(served) {
		t.Errorf("got attempts for %d requests and %d served, want none for the rejected ones", attempts, served)
	}
}

// TestAnswersLargerThanExpected guards against answers that turn into errors because they are larger than those before
// them: all come at once, the room that is expected for them is too small, and clients read slowly. What is not kept is
// rejected where a second execution does no harm, and kept elsewhere.
func TestAnswersLargerThanExpected(t *testing.T) {
	t.Parallel()
	for _, classes := range [][]string{{"footage"}, {"charge"}, {"footage", "charge"}} {
		t.Run(strings.Join(classes, " and "), func(t *testing.T) {
			t.Parallel()
			testAnswersLargerThanExpected(t, classes)
		})
	}
}

func testAnswersLargerThanExpected(t *testing.T, classes []string) {
	const clients, firstCalls = 15, 3 // of each class
	limit := memoryLimit{32, 256}
	bed, enlarge := answersTestbed(t, limit)
	bed.start()
	for _, class := range classes {
		bed.callClass(class, firstCalls)
	}
	var released sync.WaitGroup
	released.Add(1)
	release := sync.OnceFunc(released.Done)
	t.Cleanup(release)
	body := strings.Repeat("x", largestAnswer)
	bed.setResponder(func(attempt *receivedRequest) {
		released.Wait()
		attempt.Answer("ACK", "tag=t1", body)
	})
	enlarge()
	watch := bed.watchMemory(limit.megabytes)
	var counts answerCounts
	var readers []*sync.WaitGroup
	for i, class := range classes {
		readers = append(readers, bed.startSlowReaders(numbers(i*clients, clients), class, &counts))
	}
	bed.waitUntil("each request is rejected or at an endpoint", func() bool {
		attempts := len(bed.attempts()) - firstCalls*len(classes)
		return int(counts.rejected.Load())+attempts >= clients*openPerConnection*len(classes)
	})
	release()
	for _, group := range readers {
		group.Wait()
	}
	watch.expectWithinLimit()
	t.Logf("served %d, rejected %d, attempts %d", counts.served.Load(), counts.rejected.Load(), len(bed.attempts()))
	counts.expectServedOrRejected(t)
}
