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
	tryObjects       = 400
	tryRPCInterval   = 10 * time.Millisecond
	tryDNSInterval   = 50 * time.Millisecond
	tryRPCSilence    = 200 * time.Millisecond // after which a stopped client takes what is open for lost
	tryDNSLimit      = 3 * time.Second
	tryZipfExponent  = 1.1
	tryZipfOffset    = 8
	tryObjectRAM     = "20"
	overloadedStatus = "Overloaded" // of an answer by RPC
)

// tryFrontend is the frontend that a request went to.
type tryFrontend int

const (
	byRPC tryFrontend = iota
	byDNS
	tryFrontends
)

// tryOutcome is what became of a request.
type tryOutcome int

const (
	served tryOutcome = iota
	rejected
	failed
	tryOutcomes
)

// tryCounts are requests by frontend and outcome.
type tryCounts [tryFrontends][tryOutcomes]int

// trafficStats counts what becomes of requests. It is safe for concurrent use.
type trafficStats struct {
	mu        sync.Mutex
	row       tryCounts // since the last takeRow
	totals    [tryOutcomes]int
	latencies []time.Duration // of what was served
}

// count adds the end of a request.
func (stats *trafficStats) count(frontend tryFrontend, outcome tryOutcome, latency time.Duration) {
	stats.mu.Lock()
	defer stats.mu.Unlock()
	stats.row[frontend][outcome]++
	stats.totals[outcome]++
	if outcome == served {
		stats.latencies = append(stats.latencies, latency)
	}
}

// takeRow returns what was counted since its last call.
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

// quantile is the latency that a share of what was served has kept.
func (stats *trafficStats) quantile(share float64) time.Duration {
	index := int(share * float64(len(stats.latencies)))
	return roundTime(stats.latencies[min(len(stats.latencies)-1, index)])
}

// rpcTraffic is requests by the platform's frontend, and when those that are open were sent.
type rpcTraffic struct {
	client *emulator.Client
	stats  *trafficStats
	mu     sync.Mutex
	sentAt map[uint64]time.Time
}

// sendRequests sends until stop is closed, and returns once all are answered or given up.
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

// send sends a request at each tick, until stop is closed or the connection is.
func (traffic *rpcTraffic) send(stop <-chan struct{}) {
	objects := rand.NewZipf(rand.New(rand.NewSource(1)), tryZipfExponent, tryZipfOffset, tryObjects-1)
	tick := time.NewTicker(tryRPCInterval)
	defer tick.Stop()
	for id := uint64(1); ; id++ {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		traffic.mu.Lock()
		traffic.sentAt[id] = time.Now()
		traffic.mu.Unlock()
		fields := map[string]string{"item": fmt.Sprintf("%016x", objects.Uint64()+1), "ram": tryObjectRAM}
		if traffic.client.Send(emulator.Request(id, "lookup", fields, "")) != nil {
			return
		}
	}
}

// receive counts answers until stop is closed and nothing has come for tryRPCSilence.
func (traffic *rpcTraffic) receive(stop <-chan struct{}) error {
	for {
		reply, err := traffic.client.Read(tryRPCSilence)
		if err == nil {
			traffic.answered(reply)
			continue
		}
		select {
		case <-stop:
			traffic.abandon()
			return nil
		default:
		}
		var timeout net.Error
		if !errors.As(err, &timeout) || !timeout.Timeout() {
			return err
		}
	}
}

// answered counts an answer.
func (traffic *rpcTraffic) answered(reply emulator.Reply) {
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

// abandon counts what was never answered.
func (traffic *rpcTraffic) abandon() {
	traffic.mu.Lock()
	defer traffic.mu.Unlock()
	for range traffic.sentAt {
		traffic.stats.count(byRPC, failed, 0)
	}
}

// sendQueries asks by DNS, one query after another, until stop is closed.
func sendQueries(address string, stats *trafficStats, stop <-chan struct{}) error {
	conn, err := net.Dial("udp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	client := &dns.Conn{Conn: conn}
	objects := rand.New(rand.NewSource(2))
	tick := time.NewTicker(tryDNSInterval)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return nil
		case <-tick.C:
		}
		name := fmt.Sprintf("n0.%016x.lookup._.%s", objects.Intn(tryObjects)+1, tryZone)
		sentAt := time.Now()
		outcome := query(client, name, sentAt)
		stats.count(byDNS, outcome, time.Since(sentAt))
	}
}

// query asks for the service records of a name.
func query(client *dns.Conn, name string, sentAt time.Time) tryOutcome {
	_ = client.SetDeadline(sentAt.Add(tryDNSLimit))
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
