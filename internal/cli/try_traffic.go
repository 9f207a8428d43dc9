package cli

import (
	"errors"
	"fmt"
	"math/rand"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/miekg/dns"

	"sloequay/internal/emulator"
)

const (
	tryObjects        = 400
	tryRPCInterval    = 10 * time.Millisecond
	tryDNSInterval    = 50 * time.Millisecond
	tryRPCIdleTimeout = 200 * time.Millisecond // read timeout; after the stop, it ends the wait for replies
	tryDNSTimeout     = 3 * time.Second
	tryZipfExponent   = 1.1
	tryZipfOffset     = 8
	tryObjectSizeKB   = "20"
	overloadedStatus  = "Overloaded" // error of an RPC reply to a rejected request
)

// tryFrontend is the frontend to which a request was sent.
type tryFrontend int

const (
	byRPC tryFrontend = iota
	byDNS
	tryFrontends
)

// tryOutcome is the outcome of a request.
type tryOutcome int

const (
	served tryOutcome = iota
	rejected
	failed
	tryOutcomes
)

// tryCounts holds numbers of requests by frontend and outcome.
type tryCounts [tryFrontends][tryOutcomes]int

// trafficStats counts the outcomes of requests. Its methods count and takeRow are safe for concurrent use.
type trafficStats struct {
	mu        sync.Mutex
	row       tryCounts // since the last takeRow
	totals    [tryOutcomes]int
	latencies []time.Duration // of served requests
}

// count records the outcome of a request.
func (stats *trafficStats) count(frontend tryFrontend, outcome tryOutcome, latency time.Duration) {
	stats.mu.Lock()
	defer stats.mu.Unlock()
	stats.row[frontend][outcome]++
	stats.totals[outcome]++
	if outcome == served {
		stats.latencies = append(stats.latencies, latency)
	}
}

// takeRow returns the counts since the last call.
func (stats *trafficStats) takeRow() tryCounts {
	stats.mu.Lock()
	defer stats.mu.Unlock()
	row := stats.row
	stats.row = tryCounts{}
	return row
}

// sortLatencies sorts the latencies for quantile, and reports whether there are any.
func (stats *trafficStats) sortLatencies() bool {
	slices.Sort(stats.latencies)
	return len(stats.latencies) > 0
}

// quantile returns the latency that a share of the served requests did not exceed. The latencies must be sorted.
func (stats *trafficStats) quantile(share float64) time.Duration {
	index := int(share * float64(len(stats.latencies)))
	return roundTime(stats.latencies[min(len(stats.latencies)-1, index)])
}

// rpcTraffic sends requests to the RPC frontend and counts their outcomes. sentAt holds the send times of open requests
// by their ids.
type rpcTraffic struct {
	client *emulator.Client
	stats  *trafficStats
	mu     sync.Mutex
	sentAt map[uint64]time.Time
}

// sendRequests sends RPC requests until stop is closed, and returns when the outcomes of all are counted.
func sendRequests(address string, stats *trafficStats, stop <-chan struct{}) error {
	client, err := emulator.Dial(address)
	if err != nil {
		return err
	}
	traffic := &rpcTraffic{client: client, stats: stats, sentAt: map[uint64]time.Time{}}
	var sender sync.WaitGroup
	defer sender.Wait()
	defer client.Conn.Close()
	sender.Go(func() { traffic.send(stop) })
	return traffic.receive(stop)
}

// send sends a request every tryRPCInterval, until stop or the connection is closed.
func (traffic *rpcTraffic) send(stop <-chan struct{}) {
	objects := rand.NewZipf(rand.New(rand.NewSource(1)), tryZipfExponent, tryZipfOffset, tryObjects-1)
	ticker := time.NewTicker(tryRPCInterval)
	defer ticker.Stop()
	for id := uint64(1); ; id++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		traffic.mu.Lock()
		traffic.sentAt[id] = time.Now()
		traffic.mu.Unlock()
		fields := map[string]string{"item": fmt.Sprintf("%016x", objects.Uint64()+1), "ram": tryObjectSizeKB}
		if traffic.client.Send(emulator.Request(id, "lookup", fields, "")) != nil {
			return
		}
	}
}

// receive counts replies until stop is closed and no reply has arrived for tryRPCIdleTimeout.
func (traffic *rpcTraffic) receive(stop <-chan struct{}) error {
	for {
		reply, err := traffic.client.Read(tryRPCIdleTimeout)
		if err == nil {
			traffic.countReply(reply)
			continue
		}
		select {
		case <-stop:
			traffic.countUnanswered()
			return nil
		default:
		}
		var timeout net.Error
		if !errors.As(err, &timeout) || !timeout.Timeout() {
			return err
		}
	}
}

// countReply counts the outcome and latency of the request that a reply answers.
func (traffic *rpcTraffic) countReply(reply emulator.Reply) {
	traffic.mu.Lock()
	latency := time.Since(traffic.sentAt[reply.ID])
	delete(traffic.sentAt, reply.ID)
	traffic.mu.Unlock()
	outcome := failed
	switch reply.Error {
	case "":
		outcome = served
	case overloadedStatus:
		outcome = rejected
	}
	traffic.stats.count(byRPC, outcome, latency)
}

// countUnanswered counts the open requests as failed.
func (traffic *rpcTraffic) countUnanswered() {
	traffic.mu.Lock()
	defer traffic.mu.Unlock()
	for range traffic.sentAt {
		traffic.stats.count(byRPC, failed, 0)
	}
}

// sendQueries sends DNS queries, one after another, until stop is closed.
func sendQueries(address string, stats *trafficStats, stop <-chan struct{}) error {
	conn, err := net.Dial("udp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	client := &dns.Conn{Conn: conn}
	objects := rand.New(rand.NewSource(2))
	ticker := time.NewTicker(tryDNSInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return nil
		case <-ticker.C:
		}
		name := fmt.Sprintf("n0.%016x.lookup._.%s", objects.Intn(tryObjects)+1, tryZone)
		sentAt := time.Now()
		outcome := query(client, name, sentAt)
		stats.count(byDNS, outcome, time.Since(sentAt))
	}
}

// query asks for the SRV records of a name and returns the outcome.
func query(client *dns.Conn, name string, sentAt time.Time) tryOutcome {
	_ = client.SetDeadline(sentAt.Add(tryDNSTimeout))
	if client.WriteMsg(new(dns.Msg).SetQuestion(name, dns.TypeSRV)) != nil {
		return failed
	}
	answer, err := client.ReadMsg()
	switch {
	case err == nil && answer.Rcode == dns.RcodeSuccess && len(answer.Answer) > 0:
		return served
	case err == nil && answer.Rcode == dns.RcodeRefused:
		return rejected
	}
	return failed
}
