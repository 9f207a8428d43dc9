// Package policy decides for a front of caches of large objects: cache, source, rank, and all in trouble.
// Its interface (Config, events, actions, ids) is in api.go; everything that is decided is in this file.
package policy

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"sloequay/internal/invalidation"
	"sloequay/internal/policy/aimd"
	"sloequay/internal/policy/fairness"
	"sloequay/internal/policy/gaptable"
	"sloequay/internal/policy/outlier"
	"sloequay/internal/policy/rendezvous"
	"sloequay/internal/policy/rto"
	"sloequay/internal/policy/slowstart"
)

// Settings and tuned constants.

const (
	ms = time.Millisecond

	tickEvery = 10 * ms // health, hedges and give-ups are looked at this often; well under any aim
	tickToken = 1

	coldUse     = 0.7     // share of the stated cold budget that is used: estimates are rough
	purgeMargin = 5 * ms  // the clock ticks of both sides
	leastAge    = 1 * ms  // 0 would mean "any age"
	lastCall    = 20 * ms // an answer is never left later than this before the deadline

	baseEjectionTime = time.Second // doubles up to ejectMost while trials fail
	maxEjectionTime  = 4 * time.Second
	silenceLeast     = 400 * ms        // longer than a short stall, which must not eject
	doubtMost        = 7.0             // log odds against so long a silence of a live server
	lostAfter        = 2.0             // sending times after which a kept copy's answer is held for lost
	slowdown         = 1.5             // of a busy server's answers over their sending time
	slowLeast        = 0.7             // links are told roughly; less was measured to let too much in
	usualHalf        = 2 * time.Second // half-life of the average of what is out to a server
	meanWeight       = 0.02            // weight of a new sample in slow averages
	sizeMost         = 10.0            // mean sending times, as one sample of them
	rateWeight       = 0.3             // of a new second in the rate of requests
	goneFor          = time.Minute     // a server that is gone is remembered
	defaultWeight    = 8.0             // flows, where weights are not told

	shutMost = 250 * ms // that a cold server is passed over for without a look: costs are learnt meanwhile

	aimUse       = 0.85        // part of the wanted time that an answer may take by the estimate
	quickRefusal = 50 * ms     // a full cache says so at once; later it is its source
	lookSpare    = 4           // attempts that looks leave for the fill and its retries
	writeUse     = 0.6         // of a write's wanted time; later the origin has too many fills
	joinAfter    = time.Second // of a purge: most fills that began before it are over
	valueSwing   = 0.5         // how much of the limit depends on a request's worth for its cost
)

// neverRan are the outcomes that prove that an attempt had no effect.
var neverRan = []Status{StatusAtCapacity, StatusConnectFailed, StatusNotExecuted, StatusMiss}

// noSign are the outcomes that say nothing of the way behind a cache.
var noSign = []Status{StatusCanceled, StatusNotExecuted, StatusConnectFailed, StatusReset}

// Engine makes the decisions of one front. It is not safe for concurrent use.
type Engine struct {
	cfg       Config
	now       time.Duration
	out       []Action
	endpoints map[EndpointID]*endpoint
	roles     map[int]int // by kind; a cache where none is given
	all       []*endpoint // in the order in which the list named them first
	caches    ranking     // of the own zone
	parents   ranking
	origin    *endpoint
	tables    *gaptable.Tables
	requests  map[RequestID]*request
	waiting   []*request // in order of arrival; what is over stays until the next tick
	purges    *invalidation.Ledger
	classes   []classState
	bad       [roleOrigin + 1]outlier.Baseline // by role
	rate      float64                          // requests a second
	rateAt    time.Duration
	arrived   float64
	fills     aimd.Limiter      // probable fills
	held      aimd.Limiter      // of these, the ones that the parent answers from what it holds
	behind    outlier.PeerGroup // the origin, behind all parents
	late      [2]rto.Estimator  // of answers from what is kept, and of fills
	zone      float64           // this director's part of the links of the zone's caches
	price     float64           // mean sending time for a worth of 1: what a request costs here
}

// classState is what has been learnt of a class.
type classState struct {
	Class
	mean  float64         // sending time in seconds
	cost  float64         // in cold budgets, never net of load: too low would overload cold servers
	seen  float64         // sizes that it rests on
	sizes fairness.Shares // by sending time
}

// New makes a Director. The seed is not used: the same events give the same actions at every director.
func New(cfg Config, _ uint64) (*Engine, error) {
	if len(cfg.Classes) == 0 {
		return nil, fmt.Errorf("config: Classes: none given")
	}
	d := &Engine{cfg: cfg, endpoints: map[EndpointID]*endpoint{},
		roles:    map[int]int{cfg.ParentKind: roleParent, cfg.OriginKind: roleOrigin},
		requests: map[RequestID]*request{},
		purges: invalidation.New(invalidation.Config{
			Propagation: cfg.PurgePropagation, Slack: time.Second}),
		fills:    aimd.New(), held: aimd.NewCachedOnly(),
		behind: outlier.New(),
		late:   [2]rto.Estimator{rto.New(), rto.New()},
		tables: gaptable.New()}
	for i, c := range cfg.Classes {
		if c.Deadline < 0 || c.LatencyObjective < 0 || c.DedupWindow < 0 || c.FreshFor < 0 || c.StaleFor < 0 {
			return nil, fmt.Errorf("config: Classes[%d]: negative time", i)
		}
		if c.Idempotency < Idempotent || c.Idempotency > NotIdempotent {
			return nil, fmt.Errorf("config: Classes[%d].Effect: unknown value %d", i, c.Idempotency)
		}
		mean := max(c.LatencyObjective, ms).Seconds()
		d.classes = append(d.classes, classState{Class: c, mean: mean, cost: mean})
	}
	if cfg.Zone < 0 || len(cfg.ZoneNames) > 0 && cfg.Zone >= len(cfg.ZoneNames) {
		return nil, fmt.Errorf("config: Zone: %d out of range", cfg.Zone)
	}
	return d, nil
}

// Handle takes one event and returns the actions that answer it; the slice is valid until the next call.
func (d *Engine) Handle(now time.Duration, event Event) []Action {
	d.out = d.out[:0]
	if d.now == 0 {
		d.rateAt = now
		d.do(SetTimer{tickToken, now + tickEvery})
		if d.cfg.PollDiscovery {
			d.do(Watch{true})
		}
	}
	d.now = max(d.now, now)
	switch e := event.(type) {
	case ListEvent:
		d.onList(e)
	case RequestEvent:
		d.onCall(e)
	case ResponseEvent:
		d.onAnswer(e)
	case ClientGoneEvent:
		if q := d.requests[e.ID]; q != nil {
			d.finish(q)
		}
	case TimerEvent:
		if e.Token == tickToken {
			d.onTick()
		}
	case PurgeEvent:
		d.purges.Record(d.now, e.Object, e.Group, d.now-e.Age)
	}
	return d.out
}

// OpenRequests is the number of requests without an end.
func (d *Engine) OpenRequests() int { return len(d.requests) }

func (d *Engine) do(a Action) { d.out = append(d.out, a) }

// Placement: shared hashes, holder, second copy.

// hash is what all directors compute alike for a part.
func hash(p gaptable.Part) uint64 {
	return rendezvous.Hash(p.Object ^ rendezvous.Hash(uint64(p.Index)))
}

// ranking is servers by weighted rendezvous hash of a part: the loss of one moves its share only.
type ranking = rendezvous.Ranking[*endpoint]

func (d *Engine) rank(r *ranking, s *endpoint) {
	s.place = len(r.Members())
	r.Add(s, uint64(s.ID), d.flows(s))
}

// skipUntil has requests pass a server over until a time by which the guards would turn each of them down.
func (d *Engine) skipUntil(s *endpoint, until time.Duration) {
	if r := &d.caches; d.ours(s) && s.State != Gone {
		r.SkipUntil(s.place, until)
	} else if s.role == roleParent && s.State != Gone {
		d.parents.SkipUntil(s.place, until)
	}
}

// flows is a server's link in answers at full pace, as far as it is told.
func (d *Engine) flows(s *endpoint) float64 {
	if !d.cfg.WeightsReported || d.cfg.WeightsLive || s.Weight <= 0 {
		return defaultWeight
	}
	return s.Weight
}

// seenElsewhere picks (n-1) of n singles, by hash, so that not each of n directors fills a part unkept.
func (d *Engine) seenElsewhere(p gaptable.Part) bool {
	n := uint64(0)
	if len(d.caches.Members()) > 0 {
		n = uint64(d.sharers(d.caches.Members()[0]))
	}
	return n > 0 && rendezvous.Hash(hash(p)^uint64(d.cfg.Ordinal))%n != 0
}

// cacheOrder lists the zone's caches, best first: holder or at top rank the less busy copy, then by hash.
func (d *Engine) cacheOrder(q *request) *ranking {
	var holder *endpoint
	if q.row != nil && q.row.CachedAt != 0 {
		if s := d.endpoints[EndpointID(q.row.CachedAt)]; s != nil && s.State != Gone && d.ours(s) {
			holder = s
		}
	}
	order := d.caches.OrderFor(hash(q.part), holder, d.now)
	if q.keep == 3 && order.At(1) != nil {
		a, b := order.At(0), order.At(1)
		if d.usable(a) && d.usable(b) && d.load(b) < d.load(a) {
			order.Swap(0, 1)
			q.second = true
		}
	}
	return order
}

// ours says whether a server is a cache of the own zone.
func (d *Engine) ours(s *endpoint) bool { return s.role == roleCache && s.Zone == d.cfg.Zone }

// The per-request state machine.

type attempt struct {
	node, source *endpoint
	sent         time.Duration
	done         bool
	ran          bool // may have run
	moved        bool
	crowd        float64       // at the cache when it was sent
	expect       float64       // seconds: its sending time in that crowd
	passed       int           // answers before its own, though for more and asked for later
	late         bool          // its source has been counted for it
	held         bool          // asks the source for what it holds only
	limit        *aimd.Limiter // of probable fills
}

type request struct {
	id       RequestID
	class    *classState
	part     gaptable.Part
	group    int
	row      *gaptable.Row
	keep     int
	crowded  bool // a cache had no room for it
	again    bool // an answer was lost
	moves    int  // how often an attempt was called off
	second   bool // goes to the second copy, filled from the holder
	deadline time.Duration
	expect   float64 // sending time, seconds
	judged   float64 // the one by which it is let in, see size.Shares
	asked    bool    // a parent was asked for what it holds only
	price    float64 // sending time for a worth of 1
	sized    bool    // and whether its size was told
	attempts []attempt
	open     int
	over     bool        // it has its end
	failed   []*endpoint // as cache or as source
}

func (d *Engine) onCall(e RequestEvent) {
	if e.Class < 0 || e.Class >= len(d.classes) || d.requests[e.ID] != nil {
		return
	}
	c := &d.classes[e.Class]
	q := &request{id: e.ID, class: c, part: gaptable.Part{Object: e.Object, Index: e.Part},
		group: e.Group, deadline: d.now + e.Remaining}
	d.arrived++
	q.expect, q.sized = c.mean, e.SizeKB > 0 && d.cfg.FlowKBps > 0
	if q.sized { // what a client says of its size may be wrong, and must not spoil what is known of the class
		q.expect = min(e.SizeKB/d.cfg.FlowKBps, max(e.Remaining.Seconds(), c.mean))
		c.mean += (min(q.expect, sizeMost*c.mean) - c.mean) * meanWeight
		c.seen++ // a plain mean at first: the wanted time is far beyond it, and cold servers got nothing
		c.cost += (min(q.expect, sizeMost*c.mean) - c.cost) * max(meanWeight, 1/c.seen)
	}
	if !c.Write {
		if q.row = d.tables.Row(q.part); q.row == nil || !e.Retry {
			q.row = d.tables.Touch(q.part, d.now)
		}
		q.keep = d.tables.Rank(q.row)
		if q.keep == 0 && d.seenElsewhere(q.part) {
			q.keep = 1
		}
	}
	q.judged = c.sizes.EffectiveSize(q.expect)
	q.price = max(q.judged, leastAge.Seconds()) / cmp.Or(c.PriorityWeight, 1)
	d.price = cmp.Or(d.price, q.price)*(1-meanWeight) + q.price*meanWeight
	d.requests[e.ID] = q
	d.waiting = append(d.waiting, q)
	d.advance(q)
}

// advance sends the next attempt of a request that has none out, or gives it up.
func (d *Engine) advance(q *request) {
	if q.open == 0 && (q.deadline-d.now < lastCall || !d.tryNext(q)) {
		d.giveUp(q)
	}
}

// tryNext sends one attempt by the first way that the guards let pass: caches, then parents, then the origin.
func (d *Engine) tryNext(q *request) bool {
	parents := d.parents.OrderFor(hash(q.part), nil, d.now)
	if q.class.Write {
		return d.direct(q, nil, d.origin) || d.throughCaches(q, nil) || d.direct(q, parents, nil)
	}
	q.crowded = false
	return d.throughCaches(q, parents) || !q.crowded && d.direct(q, parents, d.origin)
}

// throughCaches tries the zone's caches, each with the parents in order and the origin as sources.
func (d *Engine) throughCaches(q *request, parents *ranking) bool {
	order := d.cacheOrder(q)
	if d.siblingLookup(q, order) {
		return true
	}
	// No fill will go where both limits are narrow, whichever cache it is by.
	narrow := !q.class.Write && d.limiterFull(q, &d.fills) && (q.asked || d.limiterFull(q, &d.held))
	for c := range order.AllThen(nil) {
		if !d.eligible(q, c) {
			continue
		}
		// A believed hit and a replica from a sibling are no fills.
		free := q.row != nil && q.row.CachedAt == uint64(c.ID) || q.second && c == order.At(0)
		if !d.hasCapacity(q, c) || narrow && !free {
			q.crowded = true
			return false
		}
		if c == order.At(0) && q.second && len(q.attempts) == 0 && d.send(q, c, order.At(1), true) {
			return true
		}
		for s := range parents.AllThen(d.origin) {
			if d.eligible(q, s) && (d.send(q, c, s, false) || s.role == roleParent && d.send(q, c, s, true)) {
				return true
			}
		}
	}
	return false
}

// siblingLookup asks the zone's caches one after another for a part that no row places.
func (d *Engine) siblingLookup(q *request, order *ranking) bool {
	filled := slices.ContainsFunc(q.attempts, func(a attempt) bool { return a.source != a.node })
	if q.row == nil || q.row.CachedAt != 0 || filled || len(q.attempts) > d.cfg.MaxAttempts-lookSpare {
		return false
	}
	for c := range order.AllThen(nil) {
		asked := slices.ContainsFunc(q.attempts, func(a attempt) bool { return a.node == c })
		if !asked && d.usable(c) && d.hasCapacity(q, c) && d.send(q, c, c, false) {
			return true
		}
	}
	return false
}

// direct passes the caches by; a parent fetches what it lacks from the origin.
func (d *Engine) direct(q *request, parents *ranking, last *endpoint) bool {
	if !d.cfg.DirectFetch || d.origin == nil {
		return false
	}
	for s := range parents.AllThen(last) {
		if d.eligible(q, s) && d.hasCapacity(q, s) && d.send(q, s, d.origin, false) {
			return true
		}
	}
	return false
}

// eligible says whether a server may get a request that it has not failed before.
func (d *Engine) eligible(q *request, s *endpoint) bool {
	return s != nil && d.usable(s) && !slices.Contains(q.failed, s)
}

// send is the only way out: it asks the guards, then sends.
func (d *Engine) send(q *request, node, source *endpoint, heldOnly bool) bool {
	fill := !q.class.Write && (node.role != roleCache ||
		source.role != roleCache && (q.row == nil || q.row.CachedAt != uint64(node.ID)))
	var limit *aimd.Limiter
	if fill {
		limit = &d.fills
		if heldOnly {
			limit = &d.held
		}
		if heldOnly && q.asked || d.limiterFull(q, limit) {
			q.crowded = true
			return false
		}
	}
	heldOnly = heldOnly || !fill && source.role == roleParent && d.limiterFull(q, &d.fills)
	if !d.mayRun(q, node) || !d.mayUse(node, source) || !d.coldRoom(q, node) || !d.coldRoom(q, source) {
		return false
	}
	node.sent.Spend(d.now, q.class.cost)
	if source != node {
		source.sent.Spend(d.now, q.class.cost)
	}
	age, purged := d.ageLimit(q)
	a := SendAttempt{ID: q.id, Endpoint: node.ID, Source: source.ID, MaxAge: age, CachedOnly: heldOnly,
		JoinFill:   d.cfg.JoinFills && (!purged || age > joinAfter),
		Revalidate: q.class.FreshFor > 0 && !purged}
	if node.role == roleCache {
		a.CacheRank = q.keep
	}
	q.attempts = append(q.attempts, attempt{node: node, source: source, sent: d.now, ran: true, limit: limit,
		held: heldOnly, crowd: d.load(node), expect: q.expect * max(1, d.load(node))})
	if limit != nil {
		limit.InFlight++
		q.asked = q.asked || heldOnly
	}
	if node.open == 0 {
		node.firstWait = d.now
	}
	node.trial = node.ejected
	d.settle(node)
	node.open++
	node.out = append(node.out, out{q, len(q.attempts) - 1})
	q.open++
	d.do(a)
	return true
}

func (d *Engine) onAnswer(e ResponseEvent) {
	q := d.requests[e.ID]
	if q == nil || e.Attempt < 0 || e.Attempt >= len(q.attempts) || q.attempts[e.Attempt].done {
		return
	}
	a := &q.attempts[e.Attempt]
	a.done = true
	q.open--
	d.release(q, e.Attempt)
	a.node.firstWait = d.now
	if a.limit != nil && e.Note != NoteHit && !slices.Contains(noSign, e.Status) {
		inTime := e.Elapsed.Seconds() <= q.aim(q.expect)
		a.limit.Adapt(d.zone, inTime && (e.Status == StatusOK || e.Status == StatusMiss))
		if e.Status == StatusOK && e.Note == NoteFilledOrigin && !a.late {
			d.behind.Record(&a.source.late, d.now, false)
		}
	}
	a.ran = !slices.Contains(neverRan, e.Status)
	if e.Status == StatusOK && (e.Note == NoteFilled || e.Note == NoteFilledOrigin) {
		a.source.heard = d.now // and not where its cache had the copy
	}
	if e.Status == StatusOK {
		a.timing(d).Observe(e.Elapsed.Seconds() - a.expect)
		d.passBy(q, a)
	}
	d.recordOutcome(q, a, e)
	if e.Status == StatusOK {
		d.learn(q, a, e)
	}
	if e.Status == StatusOK || e.Concluded {
		d.finish(q)
	} else {
		d.advance(q)
	}
}

// learn takes from a good answer who holds the part and how long such answers take.
func (d *Engine) learn(q *request, a *attempt, e ResponseEvent) {
	over := e.Elapsed.Seconds() / max(1, a.crowd) // of a kept copy: its sending time, and what its cache adds
	if kept := a.source == a.node || e.Note == NoteHit; kept && q.sized {
		a.node.slow = max(slowLeast, a.node.slow*(1+(over/q.expect-1)*meanWeight*2))
	} else if kept {
		q.class.mean += (over - q.class.mean) * meanWeight * 2
		q.class.cost += (e.Elapsed.Seconds() - q.class.cost) * meanWeight * 2
	}
	if q.row != nil && a.node.role == roleCache && (q.keep > 0 || a.source == a.node) && !q.second {
		q.row.CachedAt = uint64(a.node.ID)
	}
}

// release takes an attempt off what is out.
func (d *Engine) release(q *request, n int) {
	a := &q.attempts[n]
	d.settle(a.node)
	a.node.open, a.node.trial = max(0, a.node.open-1), false
	if i := slices.Index(a.node.out, out{q, n}); i >= 0 {
		last := len(a.node.out) - 1
		a.node.out[i] = a.node.out[last]
		a.node.out = a.node.out[:last]
	}
	if a.limit != nil {
		a.limit.InFlight--
	}
}

// finish forgets a request that has its final answer and cancels what is still out.
func (d *Engine) finish(q *request) {
	for i := range q.attempts {
		a := &q.attempts[i]
		if a.done {
			continue
		}
		d.release(q, i)
		if d.cfg.MayCancel {
			d.do(CancelAttempt{q.id, i})
		}
	}
	q.class.sizes.Record(q.expect, q.crowded)
	delete(d.requests, q.id)
	q.over = true // the next tick takes it out of what waits
}

// giveUp ends a request at once: a refusal where none of it may have run, else a failure.
func (d *Engine) giveUp(q *request) {
	var last Action = Fail{q.id}
	if d.mayRefuse(q) {
		last = Reject{q.id, d.cfg.RetryAfter(&q.class.Class)}
	}
	d.do(last)
	d.finish(q)
}

// onTick looks after overdue attempts, silent servers and the sizes of the tables.
func (d *Engine) onTick() {
	d.do(SetTimer{tickToken, d.now + tickEvery})
	if span := (d.now - d.rateAt).Seconds(); span >= 1 {
		d.rate += (d.arrived/span - d.rate) * rateWeight
		d.rateAt, d.arrived = d.now, 0
		d.tables.Resize(d.rate)
		d.purges.Expire(d.now)
	}
	d.waiting = slices.DeleteFunc(d.waiting, func(q *request) bool { return q.over })
	for _, q := range d.waiting {
		for i := range q.attempts {
			a := &q.attempts[i]
			if a.done {
				continue
			}
			since := max(a.sent, a.node.firstWait)
			a.node.doubt += (d.now - since).Seconds() / (slowdown * max(q.expect, q.class.mean))
			switch took := (d.now - a.sent).Seconds(); {
			case a.late:
			case q.class.Write && a.node.role == roleOrigin && took > writeUse*q.aim(q.expect):
				a.late = true
				d.fills.Decrease() // writes wait behind fills there, and are worth more
			case a.limit != nil && a.source != a.node && took > q.aim(q.expect):
				a.late = true
				d.recordLateFill(a)
			}
		}
	}
	for _, s := range d.parents.Members() {
		others := d.behind.OthersOverdueRate(&s.late, d.now, len(d.parents.Members()))
		if s.ejected && s.tardy && others == outlier.FaultyErrorRate {
			d.readmit(s)
		}
	}
	for _, s := range d.caches.Members() {
		if s.doubt > doubtMost && d.now-s.firstWait > silenceLeast && !s.ejected {
			d.eject(s, "silent")
		}
		s.doubt = 0
	}
	for _, q := range d.waiting {
		d.move(q)
	}
}

// recordLateFill counts a fill that is late, unless those by way of the other parents are as well: then
// the origin is slow.
func (d *Engine) recordLateFill(a *attempt) {
	s := a.source
	if s.role != roleParent || a.held || s.heard < a.sent {
		d.count(s, false, false) // one that answers nothing at all is not waiting for the origin
		return
	}
	out := s.ejected
	d.weigh(s, false, d.behind.OthersOverdueRate(&s.late, d.now, len(d.parents.Members())))
	d.behind.Record(&s.late, d.now, true)
	s.tardy = s.ejected && (s.tardy || !out)
}

// move has a request go on whose attempt waits for an ejected server or is lost: beside it, or in its place.
func (d *Engine) move(q *request) {
	if q.open != 1 || q.class.Idempotency == NotIdempotent || q.deadline-d.now < lastCall {
		return
	}
	i := slices.IndexFunc(q.attempts, func(a attempt) bool { return !a.done })
	a := &q.attempts[i]
	if d.cfg.Hedging {
		gone := a.node.ejected || a.source.ejected
		usual := lostAfter*q.expect*max(1, a.crowd) + quickRefusal.Seconds()
		lost := q.sized && a.limit == nil && (d.now-a.sent).Seconds() > usual
		if a.moved || q.class.Idempotency != Idempotent || !lost && !gone {
			return
		}
		if a.moved, q.again = true, true; gone {
			q.failed = append(q.failed, a.node)
		}
		d.tryNext(q)
		return
	}
	over := (d.now - a.sent).Seconds() - a.expect
	lost := over > a.timing(d).Timeout()*float64(uint(1)<<q.moves)+(slowdown-1)*a.expect
	if !lost || a.passed < 2 || a.moved || !d.cfg.MayCancel || len(q.attempts) >= d.cfg.MaxAttempts {
		return
	}
	a.timing(d).Observe(over) // so that the limit rises where all has become slow
	a.moved = true
	q.moves++
	d.do(CancelAttempt{q.id, i})
}

// passBy notes the attempts that an answer came before, though they were sent earlier to the same server for
// less: links are shared evenly, so that in a jam all are late alike, and what is passed by is lost.
func (d *Engine) passBy(q *request, by *attempt) {
	for _, o := range by.node.out {
		a := &o.q.attempts[o.n]
		if (a.limit != nil) == (by.limit != nil) && (a.limit == nil || a.source == by.source) &&
			a.sent < by.sent && o.q.expect < q.expect {
			a.passed++
		}
	}
}

// timing is what such answers as an attempt waits for take beyond their sending time.
func (a *attempt) timing(d *Engine) *rto.Estimator {
	if a.limit != nil {
		return &d.late[1]
	}
	return &d.late[0]
}

// Server health.

const (
	roleCache = iota
	roleParent
	roleOrigin
)

type endpoint struct {
	Endpoint
	role      int
	open      int
	usual     float64       // its average
	settled   time.Duration // up to when it is averaged
	firstWait time.Duration // since when it has had work without an answer
	odds      outlier.Odds  // of being at fault
	ejected   bool
	until     time.Duration
	ejectFor  time.Duration
	trial     bool             // one trial request is out
	doubt     float64          // how unlikely its silence is
	left      time.Duration    // when the list last told of it
	broke     time.Duration    // when a connection to it last ended under an attempt
	back      time.Duration    // when it was trusted again after it was ejected
	sent      slowstart.Budget // while it is cold
	place     int              // in its ranking
	late      outlier.Member   // its fills that come late
	heard     time.Duration    // when a fill by way of it last came
	tardy     bool             // it is ejected for these alone
	slow      float64          // its answers' times over what is expected of it
	out       []out            // the attempts that wait for it
}

// out is an attempt that is out: the nth of a request.
type out struct {
	q *request
	n int
}

// usable says whether a server may get ordinary work: ready, and not ejected or due for one trial.
func (d *Engine) usable(s *endpoint) bool {
	return s.State == Ready && (!s.ejected || d.now >= s.until && !s.trial)
}

// recordOutcome books an outcome to the server that is at fault: the cache, or the source behind it.
func (d *Engine) recordOutcome(q *request, a *attempt, e ResponseEvent) {
	source := a.source != a.node
	switch {
	case e.Status == StatusOK:
		d.count(a.node, true, false)
		if a.limit != nil && source && e.Note != NoteHit && !a.late {
			d.count(a.source, true, false)
		}
	case e.Status == StatusCanceled || e.Status == StatusNotExecuted:
	case e.Status == StatusMiss && (a.source.role == roleCache || a.held):
		if q.second = false; a.limit == nil && a.source != a.node && q.row != nil {
			q.row.CachedAt = 0 // a believed hit that was none
		}
	case source && (e.Status == StatusMiss || e.Note >= NoteSourceRejected && e.Note != NoteNoCapacity ||
		e.Note == NoteNone && e.Elapsed > quickRefusal &&
			(e.Status == StatusAtCapacity || e.Status == StatusError && a.limit != nil)):
		q.failed = append(q.failed, a.source)
		if e.Note != NoteSourceMiss && e.Note != NoteOriginFailed && !a.late {
			// Not reached by the cache is as hard a sign as a refused connection: sources are seen seldom.
			d.count(a.source, false, e.Note == NoteSourceLost)
		}
	case e.Status == StatusReset && !q.again:
		q.again = true // the answer may be lost and the copy there: the same cache once more
	default:
		q.failed = append(q.failed, a.node)
		// All that was out on a connection ends with it, and that is one sign: a bad answer is no dead box.
		same := e.Status == StatusReset && a.node.broke == d.now
		if e.Status != StatusAtCapacity && e.Status != StatusTimeout && !same {
			d.count(a.node, false, e.Status == StatusConnectFailed && a.node.role == roleCache)
		}
	}
	if e.Status == StatusReset {
		a.node.broke = d.now
	}
}

// count weighs an outcome by the odds that the server is at fault, not what it shares with its peers.
func (d *Engine) count(s *endpoint, ok, hard bool) {
	s.tardy = s.tardy && !hard
	d.weigh(s, ok, d.bad[s.role].Record(ok, hard, !s.ejected))
}

func (d *Engine) weigh(s *endpoint, ok bool, share float64) {
	switch s.odds.Update(ok, share); {
	case ok && s.ejected && s.odds < outlier.EjectionThreshold/2:
		s.back = d.now // it may have started anew, before the list says so: spared as cold
		d.readmit(s)
	case !ok && (s.ejected || s.odds >= outlier.EjectionThreshold && s.role != roleOrigin):
		d.eject(s, "failing")
	}
}

// readmit takes a server back.
func (d *Engine) readmit(s *endpoint) {
	d.do(Log{fmt.Sprintf("trusted again %x", s.ID)})
	s.ejected, s.tardy, s.ejectFor, s.odds = false, false, 0, 0
	d.skipUntil(s, 0)
}

// eject takes a server out of ordinary work, but for trials.
func (d *Engine) eject(s *endpoint, why string) {
	if !s.ejected {
		d.do(Log{fmt.Sprintf("ejected %x: %s", s.ID, why)})
	}
	s.ejectFor = min(maxEjectionTime, max(baseEjectionTime, 2*s.ejectFor))
	s.ejected, s.trial, s.until, s.odds = true, false, d.now+s.ejectFor, outlier.EjectionThreshold/2+1
	d.skipUntil(s, s.until)
}

func (d *Engine) onList(e ListEvent) {
	if e.Kind == ListFull || e.Kind == ListCached {
		for _, s := range d.all {
			s.State, s.left = Gone, d.now
		}
	}
	for _, n := range e.Endpoints {
		s := d.endpoints[n.ID]
		if s == nil {
			s = &endpoint{slow: 1}
			d.endpoints[n.ID] = s
			d.all = append(d.all, s)
		} else if n.StartedAt != s.StartedAt {
			*s = endpoint{open: s.open, out: s.out, firstWait: d.now, slow: 1}
		}
		s.Endpoint, s.role, s.left = n, d.roles[n.Kind], d.now
	}
	d.caches.Reset()
	d.parents.Reset()
	d.origin = nil
	zone := 0.0
	for _, s := range d.all {
		if d.ours(s) && s.State == Ready {
			zone += d.share(s)
		}
		switch {
		case s.State == Gone:
		case s.role == roleParent:
			d.rank(&d.parents, s)
		case s.role == roleOrigin:
			d.origin = s
		case d.ours(s):
			d.rank(&d.caches, s)
		}
	}
	// The link into the zone stays when caches are lost, and does not grow with those that replace them.
	d.zone = max(d.zone, zone)
	d.forget()
}

// forget drops servers that are long gone: where each replacement has a new id they would be ever more.
func (d *Engine) forget() {
	d.all = slices.DeleteFunc(d.all, func(s *endpoint) bool {
		old := s.State == Gone && s.open == 0 && d.now-s.left > goneFor
		if old {
			delete(d.endpoints, s.ID)
		}
		return old
	})
}

// Guards of the rules.

// mayRun keeps rules 1 and 2: no send after the end, attempts in bounds, no effect twice.
func (d *Engine) mayRun(q *request, node *endpoint) bool {
	if d.requests[q.id] != q || d.cfg.MaxAttempts > 0 && len(q.attempts) >= d.cfg.MaxAttempts ||
		q.open > 0 && !d.cfg.Hedging {
		return false
	}
	for _, a := range q.attempts {
		if !a.ran || q.class.Idempotency == Idempotent {
			continue
		}
		if q.class.Idempotency == NotIdempotent || d.now-a.sent > q.class.RetryWindow() ||
			q.class.DedupScope == DedupZone && a.node.Zone != node.Zone ||
			q.class.DedupScope == DedupCell && a.node.Cell != node.Cell {
			return false
		}
	}
	return true
}

// mayRefuse says whether "a further try is harmless" is true.
func (d *Engine) mayRefuse(q *request) bool {
	return q.class.Idempotency == Idempotent ||
		q.class.Idempotency == IdempotentByKey && q.class.DedupScope == DedupAll ||
		!slices.ContainsFunc(q.attempts, func(a attempt) bool { return a.ran })
}

// mayUse keeps rule 3 and the reach of each server.
func (d *Engine) mayUse(node, source *endpoint) bool {
	if node.State != Ready || source.State != Ready {
		return false
	}
	if node.role != roleCache {
		return d.cfg.DirectFetch && (source == node || source.role == roleOrigin)
	}
	near := source == node || source.Zone == d.cfg.Zone && d.cfg.Siblings == ReachZone
	return node.Zone == d.cfg.Zone && (source.role != roleCache || near || d.cfg.Siblings == ReachAny)
}

// coldRoom keeps rule 4: this director's share of what a cold server bears in any window of FallFor.
func (d *Engine) coldRoom(q *request, s *endpoint) bool {
	from, span, multiple := d.cfg.ColdStartShare, d.cfg.WarmupTime, d.cfg.OverloadMultiple
	if s.role == roleParent {
		from, span, multiple = d.cfg.ParentStartShare, d.cfg.ParentWarmupTime, d.cfg.ParentOverloadMultiple
	}
	since := max(s.StartedAt, s.back)
	if s.role == roleOrigin || since == 0 || d.now-since >= span || multiple <= 0 {
		s.sent.Clear()
		return true
	}
	window := d.cfg.OverloadWindow
	full := coldUse * multiple * d.share(s) * window.Seconds()
	r := slowstart.Schedule{InitialShare: from, WarmupTime: span, FullBudget: full, Window: window}
	if q.class.cost <= s.sent.Available(d.now, since, &r) {
		return true
	}
	least := q.class.cost
	for i := range d.classes {
		least = min(least, d.classes[i].cost)
	}
	d.skipUntil(s, min(s.sent.AvailableAt(d.now, since, least, &r), d.now+shutMost))
	return false
}

// ageLimit keeps rule 5: the oldest copy that will do is younger than the last purge.
func (d *Engine) ageLimit(q *request) (time.Duration, bool) {
	at, ok := d.purges.Newest(q.part.Object, q.group)
	if !ok {
		return 0, false
	}
	age := max(leastAge, d.now-at-purgeMargin)
	if q.class.FreshFor > 0 {
		age = min(age, q.class.FreshFor)
	}
	return age, true
}

// Limits and shedding.

// share is this director's part of a server's link, in answers at full pace: a cache serves its own zone's.
func (d *Engine) share(s *endpoint) float64 {
	return d.flows(s) / float64(d.sharers(s))
}

// load is what is out to a server with one more, in multiples of its link: others count as we do on average.
func (d *Engine) load(s *endpoint) float64 {
	d.settle(s)
	return (float64(s.open+1) + s.usual*float64(d.sharers(s)-1)) / d.flows(s) * s.slow
}

// settle brings the average of what is out to a server up to now.
func (d *Engine) settle(s *endpoint) {
	s.usual += (float64(s.open) - s.usual) * (1 - math.Exp2(-float64(d.now-s.settled)/float64(usualHalf)))
	s.settled = d.now
}

// sharers is the number of directors that send to a server: to a cache, those of its zone.
func (d *Engine) sharers(s *endpoint) int {
	if s.role == roleCache && s.Zone < len(d.cfg.ZoneInstances) {
		return max(1, d.cfg.ZoneInstances[s.Zone])
	}
	return max(1, d.cfg.Instances)
}

// hasCapacity says whether a server can answer in time beside what is out to it.
func (d *Engine) hasCapacity(q *request, s *endpoint) bool {
	return s.open == 0 || s.role == roleOrigin || q.judged*d.load(s) < aimUse*q.aim(q.judged)
}

// aim is the wanted time of a request that takes so many seconds to send.
func (q *request) aim(seconds float64) float64 {
	return q.class.LatencyObjective.Seconds() + q.class.ObjectiveStretch*seconds
}

// value weighs a request by its worth for what it costs, 1 being the mean.
func (d *Engine) value(q *request) float64 {
	return max(1-valueSwing, min(1+valueSwing, math.Sqrt(d.price/q.price)))
}

// limiterFull says whether a limit, weighed by worth for cost, has no room; a part of a fill is given by lot.
func (d *Engine) limiterFull(q *request, l *aimd.Limiter) bool {
	return l.Full(d.zone, d.value(q), fairness.UnitInterval(rendezvous.Hash(uint64(q.id))))
}
