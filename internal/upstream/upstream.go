// Package upstream speaks to caches, parents and the origin: lines of words, many requests on a connection, answers in
// any order. It keeps a pool of connections to each box, keyed by the box's id and not by its address.
package upstream

import (
	"fmt"
	"net"
	"net/netip"
	"slices"
	"time"

	"sloequay/internal/broker"
	"sloequay/internal/eventloop"
	"sloequay/internal/policy"
)

const (
	// spread is the part of what the settings allow on a connection after which another one is opened beside it.
	// Nothing waits for that one: on a day of 2,900 requests a second at each doorman, attempts that waited for new
	// connections took 78 ms at the 99th percentile to leave, and the module held the boxes for slow.
	spread = 2
	// quitKept is how long an id that was given up is remembered, to drop its late answer, and saidKept how long what was
	// answered under an id is, to know it when it comes twice: seen doubled were answers some milliseconds apart.
	quitKept  = 10 * time.Second
	saidKept  = time.Second
	probeMost = time.Second
)

// Pool is all connections to boxes.
type Pool struct {
	Loop                *eventloop.Loop
	Emit                func(broker.Event)
	Now                 func() time.Duration
	MaySend             func(*broker.Attempt, time.Duration) (time.Duration, bool)
	Resolve             func(name string, done func(netip.Addr, error))
	AddressBlocked      func(address string) bool // that a name server gave
	Log                 func(event string, fields ...any)
	Classes             []policy.Class
	DialTimeout         time.Duration
	IdleTimeout         time.Duration // after which the boxes close an idle connection; 0: never
	Streams             int
	MaxConnections      int  // descriptors
	HealthChecksAllowed bool // whether the settings allow it
	CancelAllowed       bool // whether they allow that an attempt is called off
	// SecureDialer gives how a box is to be connected to where that is not by plain TCP: the function runs beside the loop and ends in
	// its own time. Nil, or a nil function: plain.
	SecureDialer func(*broker.Endpoint) func(address string) (net.Conn, error)
	FlowKBps     float64 // of one answer; 0: not told

	Stats Stats // see Take

	boxes  map[policy.EndpointID]*depot
	ready  []*link // connections that are up and have attempts to be written, see Flush
	links  int     // up or being dialled
	probes int     // numbers their tags
	seen   time.Duration
}

// depot is one box with the connections to it.
type depot struct {
	box   *broker.Endpoint
	links []*link
}

// link is one connection, or the dial of one.
type link struct {
	pool    *Pool
	depot   *depot
	conn    *eventloop.Conn // nil while it is dialled
	listed  string          // the address or name in the list
	address string          // the same resolved
	begun   time.Duration   // when it was dialled
	// dialedAt is when it was dialled last: a dial that failed may be tried again.
	dialedAt time.Duration
	waiting  []*broker.Attempt
	open     map[string]*pending
	past     map[string]past // ids that were given up here, or whose answer was not their request's last
	heard    time.Duration   // when something was last read
	awaits   time.Duration   // since when something is open without a break
	used     time.Duration
	alive    time.Duration // when a check was last answered
	doubted  bool          // a check is out for long
	coming   string        // the id of an answer of which a part has come
	since    time.Duration // when that began; 0: none has
	queue    unflushed
	again    bool          // it was dialled a second time
	pause    time.Duration // before it was dialled last, as something was lacking here
	inReady  bool          // it is in the pool's ready
	retired  bool          // takes nothing new, and closes when nothing is open on it
	closed   bool
}

// pending is an attempt, a probe or a check that was put on a connection.
type pending struct {
	attempt *broker.Attempt // nil: a probe or a check
	sent    time.Duration
	due     time.Duration        // of an attempt: its answer is overdue then
	start   uint64               // of its bytes on the connection
	check   bool                 // of the connection itself
	looks   int                  // at the check since it was sent
	off     string               // the check behind the QUIT of an attempt that was called off
	doubt   *broker.AttemptEnded // an answer that may be the second to the attempt before
}

// past is an id that was open on a connection.
type past struct {
	at   time.Duration
	said string // its answer's words; empty: it was given up
}

func (p *Pool) depot(box *broker.Endpoint) *depot {
	if p.boxes == nil {
		p.boxes = map[policy.EndpointID]*depot{}
	}
	d := p.boxes[box.ID]
	if d == nil {
		d = &depot{}
		p.boxes[box.ID] = d
	}
	d.box = box
	return d
}

// Send sends an attempt at the end of the round, or when a connection is up.
func (p *Pool) Send(a *broker.Attempt) {
	l := p.pick(p.depot(a.Endpoint), a.Request.ID)
	switch {
	case l == nil:
		p.Log("upstream-connection-limit", "endpoint", a.Endpoint.Name)
		p.Emit(broker.AttemptEnded{Attempt: a, End: broker.NoConnectionCapacity})
	default:
		l.waiting = append(l.waiting, a)
		if l.conn != nil {
			l.writeAtFlush()
		}
	}
}

// pick chooses the connection for an attempt: the least loaded that is sound, or a new one.
func (p *Pool) pick(d *depot, id string) *link {
	var best *link
	dialling := false
	for _, l := range d.links {
		dialling = dialling || l.conn == nil && !l.retired
		// An id that was given up on a connection does not go out there again: its late answer could not be told
		// from the new one.
		if l.stale(id) || l.open[id] != nil || l.retired || l.load() >= p.Streams || l.doubted || l.trickles(p.Now()) {
			continue
		}
		up := best != nil && best.conn != nil
		if best == nil || l.conn != nil && !up || (l.conn != nil) == up && l.load() < best.load() {
			best = l
		}
	}
	switch {
	case best != nil && (best.load() < max(1, p.Streams/spread) || dialling || !p.room()):
		return best
	case best != nil:
		p.dial(d)
		return best
	case p.room():
		return p.dial(d)
	}
	return nil
}

// room says whether one more connection may be opened; an idle one elsewhere makes way for it.
func (p *Pool) room() bool {
	if p.links+p.Loop.PendingDials() < p.MaxConnections {
		return true
	}
	var idle *link
	for _, d := range p.boxes {
		for _, l := range d.links {
			if l.conn != nil && !l.retired && l.load() == 0 && (idle == nil || l.used < idle.used) {
				idle = l
			}
		}
	}
	if idle != nil {
		idle.retire()
	}
	return idle != nil
}

// stale says whether a late answer under the id could be taken for that of a new attempt. A second copy of an answer that was taken is
// known by its words and asked about, where that is possible.
func (l *link) stale(id string) bool {
	old, ok := l.past[id]
	return ok && (old.said == "" || !l.pool.HealthChecksAllowed || !l.pool.CancelAllowed)
}

func (l *link) load() int { return len(l.open) + len(l.waiting) }

// gone takes the link out of the pool.
func (l *link) gone() {
	if l.closed {
		return
	}
	l.closed = true
	l.pool.links--
	l.depot.links = slices.DeleteFunc(l.depot.links, func(o *link) bool { return o == l })
}

// unsent ends what waits for the connection.
func (l *link) unsent(end broker.End) {
	for _, a := range l.waiting {
		l.pool.Emit(broker.AttemptEnded{Attempt: a, End: end})
	}
	l.waiting = nil
}

// Opened notes the connection. What has waited for it goes out at the end of the round: what comes beside it, as that the client has left
// or the box drains, counts first.
func (l *link) Opened(c *eventloop.Conn) {
	l.conn, l.heard = c, l.pool.Now()
	l.writeAtFlush()
	l.rest()
}

// writeAtFlush has Flush write what waits for the connection.
func (l *link) writeAtFlush() {
	if !l.inReady {
		l.inReady = true
		l.pool.ready = append(l.pool.ready, l)
	}
}

// Flush writes the attempts that wait for connections which are up. It is called once what the round brought is known, and just before
// all is written to the sockets: an attempt whose client leaves, or whose box drains, until then is not sent.
func (p *Pool) Flush() {
	ready := p.ready
	p.ready = nil
	for _, l := range ready {
		l.inReady = false
		waiting := l.waiting
		l.waiting = nil
		for _, a := range waiting {
			if l.retired { // since the attempt was put there
				p.Emit(broker.AttemptEnded{Attempt: a, End: broker.NotSent})
				continue
			}
			l.write(a)
		}
		l.rest()
	}
}

// write puts an attempt on the connection, if the list and the purges still allow it.
func (l *link) write(a *broker.Attempt) {
	now := l.pool.Now()
	age, ok := l.pool.MaySend(a, now)
	if named := l.address != l.depot.box.Address; named && l.pool.AddressBlocked(l.address) {
		ok = false
		l.retired = true // the next one asks the name server anew
	}
	if !ok || l.closed {
		l.pool.Emit(broker.AttemptEnded{Attempt: a, End: broker.Blocked})
		return
	}
	a.Written = true
	l.pool.Stats.Written++
	l.put(a.Request.ID, &pending{attempt: a, due: now + 2*l.pool.expected(a)})
	l.send(ask(nil, a, l.pool.Classes[a.Request.Class].Name, age, a.Deadline-now))
}

// expected is how long the answer to an attempt may take where nothing is slow.
func (p *Pool) expected(a *broker.Attempt) time.Duration {
	d := hitWithin
	if a.Source != a.Endpoint {
		d = fillWithin
	}
	if p.FlowKBps > 0 {
		d += time.Duration(a.Request.SizeKB / p.FlowKBps * float64(time.Second))
	}
	return d
}

// put notes what is about to be sent.
func (l *link) put(id string, o *pending) {
	now := l.pool.Now()
	if len(l.open) == 0 {
		l.awaits = now
	}
	o.sent, o.start = now, l.conn.Queued()
	l.used = now
	l.open[id] = o
}

// send leaves bytes to be written at the end of the round.
func (l *link) send(data []byte) {
	l.conn.Send(data)
	l.queue.queued(l.pool.Now(), l.conn.Queued())
}

// check asks whether the connection lives and all before it was read, and gives the tag of the answer.
func (l *link) check() string {
	l.pool.Stats.LivenessChecks++
	l.pool.probes++
	tag := fmt.Sprintf("p%d", l.pool.probes)
	l.put(tag, &pending{check: true})
	l.send([]byte("NOOP " + tag + "\r\n"))
	return tag
}

// Received takes the answers that have come whole.
func (l *link) Received(c *eventloop.Conn) {
	l.heard, l.doubted = l.pool.Now(), false
	used := 0
	for {
		a, n, err := parse(c.In[used:])
		if err != nil {
			l.garbled(err)
			c.Consume(len(c.In))
			return
		}
		if n == 0 {
			break
		}
		used += n
		if err := l.answer(&a); err != nil {
			l.garbled(err)
			c.Consume(len(c.In))
			return
		}
	}
	if used > 0 {
		l.since = 0
	}
	if rest := c.In[used:]; len(rest) > 0 {
		if l.coming = begun(rest); l.since == 0 {
			l.since = l.heard
		}
	}
	c.Consume(used)
	l.rest()
}

func (l *link) answer(a *answer) error {
	o := l.open[a.id]
	if o == nil {
		if _, known := l.past[a.id]; !known {
			l.pool.Log("upstream-unsolicited-response", "endpoint", l.depot.box.Name, "id", fmt.Sprintf("%.32s", a.id))
		}
		return nil // a late answer, or one too many; another may follow, so the id stays known
	}
	_, isEnd := ends[a.word]
	l.pool.Stats.word(a.word, notes[a.field("remark")])
	switch {
	case o.check && !isEnd:
		l.alive = l.heard
		l.confirmed(a.id)
	case o.attempt == nil && !isEnd:
		l.pool.Emit(broker.HealthChecked{Endpoint: l.depot.box.ID, Status: probes[a.word], Elapsed: l.heard - o.sent})
	case o.attempt == nil || !isEnd || a.word == "NOMOD" && o.attempt.Request.ETag == "":
		return fmt.Errorf("%s does not answer what was asked", a.word)
	default:
		e := a.ending(o.attempt)
		e.Address = l.address
		if !e.End.Succeeded() {
			if l.past[a.id].said == a.said && o.off == "" {
				l.ask(a.id, o, e)
				return nil
			}
			l.past[a.id] = past{l.heard, a.said}
		}
		e.Body = l.pool.Loop.CopyForRound(e.Body) // until the round has passed it on
		l.pool.Emit(e)
	}
	delete(l.open, a.id)
	l.used = l.heard
	return nil
}

// ask meets an answer with the words of the one before under the same id. It may be that one's second copy, with the attempt still out
// at the box: so the attempt is given up, and counts as answered once the box has read that.
func (l *link) ask(id string, o *pending, e broker.AttemptEnded) {
	e.Body, e.MayHaveRun = nil, true
	o.doubt = &e
	l.send([]byte("QUIT " + id + "\r\n"))
	l.pool.Stats.CancelConfirms++
	o.off = l.check()
}

// confirmed ends the attempts whose QUIT came before a check that was answered: the box has read it, so that they are
// not out any more and the next ones may be sent.
func (l *link) confirmed(tag string) {
	for id, o := range l.open {
		if o.off == tag {
			e := broker.AttemptEnded{Attempt: o.attempt, End: broker.Canceled}
			if o.doubt != nil {
				e = *o.doubt
			}
			l.pool.Emit(e)
			l.past[id] = past{at: l.heard}
			delete(l.open, id)
		}
	}
}

// Sizes is how much a pool holds: boxes that were spoken to, connections up or being dialled, what waits or is open on them, and
// ids that were given up there in the last 10 s.
type Sizes struct{ Endpoints, Connections, Open, Canceled int }

// Sizes tells what is held, by a walk over all connections: for operators, and for tests that nothing grows.
func (p *Pool) Sizes() Sizes {
	s := Sizes{Endpoints: len(p.boxes), Connections: p.links}
	for _, d := range p.boxes {
		for _, l := range d.links {
			s.Open += l.load()
			s.Canceled += len(l.past)
		}
	}
	return s
}

// garbled ends the connection whose answers can't be read.
func (l *link) garbled(err error) {
	l.pool.Log("upstream-protocol-error", "endpoint", l.depot.box.Name, "error", err)
	l.endAll(func(*pending) broker.End { return broker.ProtocolError })
	l.retire()
}

// endAll ends all that is open on the link.
func (l *link) endAll(how func(*pending) broker.End) {
	for id, o := range l.open {
		if o.attempt != nil {
			l.pool.Emit(broker.AttemptEnded{Attempt: o.attempt, End: how(o)})
		} else if !o.check {
			l.pool.Emit(broker.HealthChecked{Endpoint: l.depot.box.ID, Status: policy.StatusConnectFailed,
				Elapsed: l.pool.Now() - o.sent})
		}
		delete(l.open, id)
	}
}

// Closed ends what was open: what was not written for certain never ran, the rest may have.
func (l *link) Closed(c *eventloop.Conn, err error) {
	taken := c.Written()
	if len(l.open) > 0 {
		l.pool.Log("upstream-connection-reset", "endpoint", l.depot.box.Name, "open", len(l.open), "error", fmt.Sprint(err))
		l.pool.Stats.Resets++
	}
	l.endAll(func(o *pending) broker.End {
		if o.start >= taken {
			if o.attempt != nil {
				o.attempt.Written = false
			}
			return broker.NotSent
		}
		return broker.ConnectionReset
	})
	l.gone()
}

// retire takes the link out of use; it closes when nothing is open on it.
func (l *link) retire() {
	l.retired = true
	l.rest()
}

func (l *link) rest() {
	if l.retired && l.conn != nil && l.load() == 0 {
		l.conn.Close()
		l.gone()
	}
}

// Cancel gives up an attempt that may be out. With confirm its ending comes when it is out no more for certain: the box
// may read the QUIT later than another one reads the next attempt, or never. Where the settings don't allow that attempts are called
// off, it stays where it is until the time that the box was told is up, and takes a place on the connection; what comes for it ends
// nothing any more.
func (p *Pool) Cancel(a *broker.Attempt, confirm bool) {
	id := a.Request.ID
	if d := p.boxes[a.Endpoint.ID]; d != nil {
		for _, l := range slices.Clone(d.links) {
			if i := slices.Index(l.waiting, a); i >= 0 {
				l.waiting = slices.Delete(l.waiting, i, i+1)
				break
			}
			if o := l.open[id]; o != nil && o.attempt == a {
				if !p.CancelAllowed && p.Now() < a.Deadline {
					break
				}
				if p.CancelAllowed {
					l.send([]byte("QUIT " + id + "\r\n"))
				}
				if confirm && p.HealthChecksAllowed {
					p.Stats.CancelConfirms++
					o.off = l.check()
					return
				}
				l.forget(id, p.Now())
				break
			}
		}
	}
	if confirm {
		p.Emit(broker.AttemptEnded{Attempt: a, End: broker.Canceled})
	}
}

// forget has an id that is open be one that was given up.
func (l *link) forget(id string, now time.Duration) {
	delete(l.open, id)
	l.past[id] = past{at: now}
	l.rest()
}

// CheckHealth asks a box whether it is ready.
func (p *Pool) CheckHealth(box *broker.Endpoint) {
	d := p.depot(box)
	l := p.pick(d, "")
	if l == nil || l.conn == nil { // a dial that has begun says more than a probe would
		p.Emit(broker.HealthChecked{Endpoint: box.ID, Status: policy.StatusConnectFailed})
		return
	}
	p.probes++
	p.Stats.HealthChecks++
	tag := fmt.Sprintf("p%d", p.probes)
	l.put(tag, &pending{})
	l.send([]byte("NOOP " + tag + "\r\n"))
}

// EndpointChanged follows the list. A process that has started anew, or a box that is at another address, can't answer what
// was sent before; nor can one that is gone. A new box may be at its address: it has its own connections.
func (p *Pool) EndpointChanged(box *broker.Endpoint, restarted bool) {
	d := p.boxes[box.ID]
	if d == nil {
		return
	}
	for _, l := range slices.Clone(d.links) {
		old := restarted && (l.begun < box.StartedAt || l.listed != box.Address)
		switch {
		case l.conn != nil && (old || box.State == policy.Gone):
			l.unsent(broker.Blocked)
			l.endAll(func(*pending) broker.End { return broker.ConnectionReset })
			l.retire()
		case old || box.State != policy.Ready:
			l.unsent(broker.Blocked) // what waits for a dial goes elsewhere now; it would be barred when it was written
			l.retire()
		}
	}
}

// Housekeep closes what is idle and forgets ids that were given up long ago.
func (p *Pool) Housekeep(now time.Duration) {
	for id, d := range p.boxes {
		for _, l := range slices.Clone(d.links) {
			for id, old := range l.past {
				if since := now - old.at; since > quitKept || old.said != "" && since > saidKept {
					delete(l.past, id)
				}
			}
			for tag, o := range l.open {
				switch {
				case o.attempt == nil && !o.check && now-o.sent > probeMost:
					delete(l.open, tag)
					p.Emit(broker.HealthChecked{Endpoint: id, Status: policy.StatusTimeout, Elapsed: now - o.sent})
				case o.attempt != nil && !o.attempt.Open() && now >= o.attempt.Deadline:
					l.forget(tag, now) // it could not be called off
				}
			}
			// Before the box does: an attempt that crosses its close would be lost.
			if l.conn != nil && l.load() == 0 && p.IdleTimeout > 0 && now-l.used > p.IdleTimeout*7/10 {
				l.retire()
			}
		}
		if d.box.State == policy.Gone && len(d.links) == 0 {
			delete(p.boxes, id)
		}
	}
}
