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
	// maxOpenRequests is how many requests a connection carries, of 32 that the protocol allows.
	maxOpenRequests = 24
	// crossingWindow is how long after its sending a request that meets the close of its connection is sent again once,
	// as the protocol has it.
	crossingWindow = 50 * time.Millisecond
	// closeNoticeTime is how long a client goes on by a connection whose close its socket has: what it sends so late
	// crosses the close still.
	closeNoticeTime = crossingWindow / 2
	// answerGrace is how long after its limit an answer may still come, for what the machine itself is late.
	answerGrace = 2 * time.Second
	// maxCancelDelay is how long after its request a client that cancels does so at the latest.
	maxCancelDelay = 120 * time.Millisecond
	// zoneSalt is added to a zone's number for the draws of its clients.
	zoneSalt = 100
	// zipfExponent and zipfOffset shape how often each object is asked for.
	zipfExponent = 1.1
	zipfOffset   = 8
)

// loadGenerator sends the clients' requests by open loop: they come when they come, whatever became of those before.
type loadGenerator struct {
	cluster *Cluster
	stop    chan struct{}
	senders sync.WaitGroup

	mu    sync.Mutex
	conns map[int][]*clientConn // by proxy
}

func newLoadGenerator(c *Cluster) *loadGenerator {
	return &loadGenerator{cluster: c, stop: make(chan struct{}), conns: map[int][]*clientConn{}}
}

// start sends to the proxies of one zone until stop is closed.
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

// proxiesOf gives the proxies of a zone.
func (c *Cluster) proxiesOf(zone int) []*proxy {
	var proxies []*proxy
	for _, p := range c.proxies {
		if p.zone == zone {
			proxies = append(proxies, p)
		}
	}
	return proxies
}

// targets gives the proxies that clients send to: those that serve, and of those that drain the ones to which they may
// still connect or have a connection.
func (g *loadGenerator) targets(proxies []*proxy) []*proxy {
	var targets []*proxy
	for _, p := range proxies {
		if p.mayDial() || p.isDraining() && g.isConnected(p) {
			targets = append(targets, p)
		}
	}
	return targets
}

// isConnected reports whether there is a connection to a proxy that requests may share.
func (g *loadGenerator) isConnected(to *proxy) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pruneConns(to) != nil
}

// otherServingProxy is another proxy of the zone that serves; nil: there is none.
func (g *loadGenerator) otherServingProxy(than *proxy) *proxy {
	for _, p := range servingProxies(g.cluster.proxiesOf(than.zone)) {
		if p != than {
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

// cancellation is whether a client cancels before it has its answer, and how.
type cancellation struct {
	cancels bool
	closes  bool // by closing a connection that the request has to itself, not by a notice
	after   time.Duration
}

// drawCancellation draws one. Without the plan's share nothing is drawn, so that the other draws stay as they are.
func (g *loadGenerator) drawCancellation(rng *rand.Rand) cancellation {
	share := g.cluster.Plan.CancelShare
	if share == 0 {
		return cancellation{}
	}
	after := time.Duration(rng.Float64() * float64(maxCancelDelay))
	return cancellation{cancels: rng.Float64() < share, closes: rng.IntN(2) == 0, after: after}
}

// drawSlowReader draws whether a connection is read slowly. Without the plan's share nothing is drawn.
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
	readsSlowly bool // its client, where the request has a connection dialed
}

// ownsConn reports whether the request has a connection to itself.
func (p *pendingRequest) ownsConn() bool { return p.cancels && p.closes }

// newRequest makes a request. It is recorded once it is sent.
func (g *loadGenerator) newRequest(to *proxy, class string, object uint64, plan cancellation) *pendingRequest {
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
	return &pendingRequest{record: request, frame: frame, cancellation: plan}
}

// errNoConnection is returned where clients may not connect any more and have no connection with room.
var errNoConnection = errors.New("no connection to a proxy that drains")

// send puts a request out, and has it canceled later if it is to be.
func (g *loadGenerator) send(to *proxy, pending *pendingRequest) {
	conn, err := g.connFor(to, pending)
	if errors.Is(err, errNoConnection) {
		return // its client goes elsewhere
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

// resend sends a request again that crossed the close of its connection.
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

// connFor finds a connection to a proxy that has room, or dials one, as for a request that has one to itself.
func (g *loadGenerator) connFor(to *proxy, pending *pendingRequest) (*clientConn, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	shared := g.pruneConns(to)
	// What crossed a close goes by a new connection.
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

// pruneConns drops the connections to a proxy that have ended, and gives one that others may share and that has room,
// if there is any. The caller holds the lock.
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

// recordOutcome ends a request for its client.
func (g *loadGenerator) recordOutcome(pending *pendingRequest, outcome Outcome) {
	at := g.cluster.now()
	g.cluster.Record.update(func() {
		pending.record.Answers++
		pending.record.Outcome = outcome
		pending.record.EndedAt = at
	})
}

// finish sends nothing more and waits until what is open has its end.
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

// isStopped reports whether the drill is over.
func (g *loadGenerator) isStopped() bool {
	select {
	case <-g.stop:
		return true
	default:
		return false
	}
}

// close ends all connections. What is open then is left out of the record.
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
