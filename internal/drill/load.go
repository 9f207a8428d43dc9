package drill

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"sloequay/internal/emulator"
)

const (
	// maxOpenRequests is how many requests the generator keeps open on one connection, of the 32 that the protocol
	// allows.
	maxOpenRequests = 24
	// crossingWindow is the time between the sending of a request and the close of its connection within which the two
	// cross, so that the protocol has the request resent once.
	crossingWindow = 50 * time.Millisecond
	// closeNoticeTime is how long a client continues to use a connection after its socket has received the close:
	// requests sent in this time still cross the close.
	closeNoticeTime = crossingWindow / 2
	// answerGrace is how long after the client's limit an answer is still accepted, to allow for delays of the machine
	// itself.
	answerGrace = 2 * time.Second
	// maxCancelDelay is the longest time from a request to its client's cancellation.
	maxCancelDelay = 120 * time.Millisecond
	// zoneSalt is added to a zone's number to seed the random draws of its clients.
	zoneSalt = 100
	// zipfExponent and zipfOffset shape the distribution of the requested objects.
	zipfExponent = 1.1
	zipfOffset   = 8
)

// loadGenerator sends the clients' requests in an open loop: the arrivals do not depend on the outcome of earlier
// requests.
type loadGenerator struct {
	cluster *Cluster
	stop    chan struct{}
	senders sync.WaitGroup

	mu    sync.Mutex
	conns map[int][]*clientConn // by the proxy's number
}

func newLoadGenerator(c *Cluster) *loadGenerator {
	return &loadGenerator{cluster: c, stop: make(chan struct{}), conns: map[int][]*clientConn{}}
}

// start sends requests to the proxies of one zone until stop is closed.
func (g *loadGenerator) start(zone int) {
	g.senders.Add(1)
	go func() {
		defer g.senders.Done()
		g.run(zone)
	}()
}

func (g *loadGenerator) run(zone int) {
	plan := g.cluster.Plan
	rng := g.cluster.newRand(uint64(zone) + zoneSalt)
	proxies := g.cluster.proxiesOf(zone)
	if len(proxies) == 0 {
		return
	}
	objects := rand.NewZipf(rng, zipfExponent, zipfOffset, uint64(plan.Objects-1))
	rate := plan.RequestRate * float64(len(proxies))
	for next := time.Now(); ; {
		next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		select {
		case <-g.stop:
			return
		case <-time.After(time.Until(next)):
		}
		targets := g.targets(proxies)
		if len(targets) == 0 {
			continue
		}
		target := targets[rng.IntN(len(targets))]
		object := objects.Uint64() + 1
		class := lookupClass
		if rng.Float64() < plan.ChargeShare {
			class = chargeClass
		}
		pending := g.newRequest(target, class, object, g.drawCancellation(rng))
		pending.readsSlowly = g.drawSlowReader(rng)
		g.send(target, pending)
	}
}

// proxiesOf returns the proxies of a zone.
func (c *Cluster) proxiesOf(zone int) []*proxy {
	var proxies []*proxy
	for _, p := range c.proxies {
		if p.zone == zone {
			proxies = append(proxies, p)
		}
	}
	return proxies
}

// targets returns the proxies to which clients send: those that clients may dial, and draining ones to which there is
// still a connection.
func (g *loadGenerator) targets(proxies []*proxy) []*proxy {
	var targets []*proxy
	for _, p := range proxies {
		if p.mayDial() || p.isDraining() && g.isConnected(p) {
			targets = append(targets, p)
		}
	}
	return targets
}

// isConnected reports whether there is a connection to a proxy that has room for another request.
func (g *loadGenerator) isConnected(to *proxy) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pruneConns(to) != nil
}

// otherServingProxy returns another serving proxy of the same zone; nil: there is none.
func (g *loadGenerator) otherServingProxy(excluded *proxy) *proxy {
	for _, p := range servingProxies(g.cluster.proxiesOf(excluded.zone)) {
		if p != excluded {
			return p
		}
	}
	return nil
}

func servingProxies(proxies []*proxy) []*proxy {
	var serving []*proxy
	for _, p := range proxies {
		if p.isServing() {
			serving = append(serving, p)
		}
	}
	return serving
}

// cancellation says whether and how a client cancels a request before it has its answer.
type cancellation struct {
	cancels bool
	closes  bool // by closing a connection that the request has to itself, instead of by a cancel message
	after   time.Duration
}

// drawCancellation draws a cancellation at random. If the plan has no CancelShare, it draws nothing, so that the other
// random draws stay the same.
func (g *loadGenerator) drawCancellation(rng *rand.Rand) cancellation {
	share := g.cluster.Plan.CancelShare
	if share == 0 {
		return cancellation{}
	}
	after := time.Duration(rng.Float64() * float64(maxCancelDelay))
	return cancellation{cancels: rng.Float64() < share, closes: rng.IntN(2) == 0, after: after}
}

// drawSlowReader draws at random whether a connection is read slowly. If the plan has no SlowReaderShare, it draws
// nothing.
func (g *loadGenerator) drawSlowReader(rng *rand.Rand) bool {
	share := g.cluster.Plan.SlowReaderShare
	return share > 0 && rng.Float64() < share
}

// pendingRequest is a request that waits for its answer.
type pendingRequest struct {
	record *Request
	frame  func(messageID uint64) []byte
	sentAt time.Time
	cancellation
	readsSlowly bool // whether the client reads slowly, if a connection is dialed for the request
}

// ownsConn reports whether the request has a connection to itself.
func (p *pendingRequest) ownsConn() bool { return p.cancels && p.closes }

// newRequest creates a request. It is not recorded until it is sent.
func (g *loadGenerator) newRequest(to *proxy, class string, object uint64, cancel cancellation) *pendingRequest {
	cluster := g.cluster
	id := cluster.requestIDs.Add(1)
	request := &Request{ID: fmt.Sprintf("%016x", id), Class: class, Proxy: to.number, SentAt: cluster.now()}
	fields := map[string]string{
		"txn":   request.ID,
		"item":  fmt.Sprintf("%016x", object),
		"ram":   fmt.Sprint(cluster.Plan.SizeKB),
		"limit": fmt.Sprint(cluster.Plan.ClientLimit.Milliseconds()),
	}
	if class == chargeClass {
		request.Key = fmt.Sprintf("k%d", id)
		fields["unique"] = request.Key
	}
	frame := func(messageID uint64) []byte { return emulator.Request(messageID, request.Class, fields, "") }
	return &pendingRequest{record: request, frame: frame, cancellation: cancel}
}

// errNoConnection is returned for a draining proxy if clients may no longer dial it and no open connection has room.
var errNoConnection = errors.New("no connection to a draining proxy")

// send sends a request, and schedules its cancellation if there is one.
func (g *loadGenerator) send(to *proxy, pending *pendingRequest) {
	conn, err := g.connFor(to, pending)
	if errors.Is(err, errNoConnection) {
		return // the client would go to another proxy
	}
	record := g.cluster.Record
	record.update(func() { record.Requests = append(record.Requests, pending.record) })
	if err != nil {
		g.recordOutcome(pending, OutcomeDisconnected)
		return
	}
	messageID := conn.send(pending)
	if pending.cancels {
		go conn.cancelLater(messageID, pending)
	}
}

// resend sends a request again after it crossed the close of its connection.
func (g *loadGenerator) resend(to *proxy, pending *pendingRequest) {
	pending.record.Resent = true
	g.cluster.Record.update(func() { pending.record.Proxy = to.number })
	conn, err := g.connFor(to, pending)
	if err != nil {
		g.recordOutcome(pending, OutcomeDisconnected)
		return
	}
	conn.send(pending)
}

// connFor returns a connection for a request: an open one with room, or a newly dialed one if there is none or the
// request needs one to itself.
func (g *loadGenerator) connFor(to *proxy, pending *pendingRequest) (*clientConn, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	shared := g.pruneConns(to)
	// A resent request uses a new connection.
	if shared != nil && !pending.ownsConn() && !pending.record.Resent {
		return shared, nil
	}
	if to.isDraining() && !to.mayDial() {
		return nil, errNoConnection
	}
	inner, err := g.cluster.network.dial(clientsNode, to.name, to.listen)
	if err != nil {
		return nil, err
	}
	if pending.readsSlowly {
		inner = newSlowConn(inner)
	}
	conn := newClientConn(g, to, inner)
	conn.exclusive = pending.ownsConn()
	g.conns[to.number] = append(g.conns[to.number], conn)
	go conn.read()
	return conn, nil
}

// pruneConns drops the closed connections to a proxy, and returns a shareable one that has room, or nil. The caller
// holds the lock.
func (g *loadGenerator) pruneConns(to *proxy) *clientConn {
	var shared *clientConn
	alive := g.conns[to.number][:0]
	for _, conn := range g.conns[to.number] {
		isClosed, open := conn.state()
		if isClosed {
			continue
		}
		alive = append(alive, conn)
		if conn.hasRoom(open) && !conn.exclusive && !conn.hasNoticedClose() {
			shared = conn
		}
	}
	g.conns[to.number] = alive
	return shared
}

// recordOutcome records the end of a request for its client.
func (g *loadGenerator) recordOutcome(pending *pendingRequest, outcome Outcome) {
	at := g.cluster.now()
	g.cluster.Record.update(func() {
		pending.record.Answers++
		pending.record.Outcome = outcome
		pending.record.EndedAt = at
	})
}

// finish stops sending and waits until all open requests have ended, within a time limit.
func (g *loadGenerator) finish() {
	close(g.stop)
	g.senders.Wait()
	deadline := time.Now().Add(g.cluster.Plan.ClientLimit + 2*answerGrace)
	for g.openRequests() > 0 && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
	}
}

func (g *loadGenerator) openRequests() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	total := 0
	for _, conns := range g.conns {
		for _, conn := range conns {
			_, open := conn.state()
			total += open
		}
	}
	return total
}

// isStopped reports whether the generator has been stopped, at the drill's end.
func (g *loadGenerator) isStopped() bool {
	select {
	case <-g.stop:
		return true
	default:
		return false
	}
}

// close closes all connections. Requests that are still open then get no outcome in the record.
func (g *loadGenerator) close() {
	if !g.isStopped() {
		close(g.stop)
	}
	g.senders.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, conns := range g.conns {
		for _, conn := range conns {
			_ = conn.client.Conn.Close()
		}
	}
	clear(g.conns)
}
