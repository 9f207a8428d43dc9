// Package broker is the core of the doorman: requests, attempts and outcomes, on no wire. It owns the open requests,
// their ids, attempt numbers, deadlines and timers, sees to it that each has exactly one end, and asks the decision
// module what to do. A round takes a batch of events at one clock and returns effects.
package broker

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"sloequay/internal/concurrency"
	"sloequay/internal/invalidation"
	"sloequay/internal/membership"
	"sloequay/internal/policy"
	"sloequay/internal/quota"
	"sloequay/internal/retry"
)

// Event is something that the broker is told.
type Event interface{ isEvent() }

// RequestReceived is a new request.
type RequestReceived struct{ Request *Request }

// RequestCanceled says that nobody waits for a request any more.
type RequestCanceled struct{ Request *Request }

// AttemptEnded says how an attempt ended.
type AttemptEnded struct {
	Attempt     *Attempt
	End         End
	Note        policy.Note
	SourceDelay time.Duration // waited for the source
	Address     string        // of the connection that the answer came by
	Body        []byte
	Fields      []Field
	// MayHaveRun says that the box may have meant the attempt before, and that this one was given up: it may have run, whatever End says.
	MayHaveRun bool
}

// EndpointList is the whole list of one source of boxes.
type EndpointList struct {
	Source int // of the membership table
	List   membership.List
}

// EndpointDelta are changes that one source of boxes tells.
type EndpointDelta struct {
	Source    int
	Version   uint64
	Endpoints []membership.Endpoint
}

// SourceStatus says that a source of boxes is heard, though it has nothing new to tell, or that it has fallen silent.
type SourceStatus struct {
	Source int
	Silent bool
}

// SnapshotRestored brings what the sources had said before a restart.
type SnapshotRestored struct{ Reports []membership.SourceReport }

// Purge says that copies from before Issued are out of date: those of an object, or of a group when Object is 0.
type Purge struct {
	Object uint64
	Group  int
	Issued time.Duration // on the Unix clock
}

// HealthChecked is the result of a probe.
type HealthChecked struct {
	Endpoint policy.EndpointID
	Status   policy.Status
	Elapsed  time.Duration
}

// FailInFlight ends all requests that are open: the program can't wait for them any longer.
type FailInFlight struct{}

func (RequestReceived) isEvent()  {}
func (RequestCanceled) isEvent()  {}
func (AttemptEnded) isEvent()     {}
func (EndpointList) isEvent()     {}
func (EndpointDelta) isEvent()    {}
func (SourceStatus) isEvent()     {}
func (SnapshotRestored) isEvent() {}
func (Purge) isEvent()            {}
func (HealthChecked) isEvent()    {}
func (FailInFlight) isEvent()     {}

// Effect is something that the broker wants done.
type Effect interface{ isEffect() }

// SendAttempt sends an attempt. May must be asked again at the moment of writing.
type SendAttempt struct{ Attempt *Attempt }

// CancelAttempt gives an attempt up that may be out. With Confirm it is not ended yet: its Ending is owed once it is out no more.
type CancelAttempt struct {
	Attempt  *Attempt
	AwaitEnd bool
}

// Respond is the final answer to a request.
type Respond struct {
	Request  *Request
	Response Response
}

// EndpointChanged says that the list has changed what is known of a box: connections to where it was are void if Restarted.
type EndpointChanged struct {
	Endpoint  *Endpoint
	Restarted bool
}

// HealthCheck examines a box.
type HealthCheck struct{ Endpoint *Endpoint }

// RefetchList has a source of boxes asked for its whole list at once; the answer is a Listing that confirms.
type RefetchList struct{ Source int }

// LogEntry is a line for the log: an event word and names with values.
type LogEntry struct {
	Event  string
	Fields []any
}

func (SendAttempt) isEffect()     {}
func (CancelAttempt) isEffect()   {}
func (Respond) isEffect()         {}
func (EndpointChanged) isEffect() {}
func (HealthCheck) isEffect()     {}
func (RefetchList) isEffect()     {}
func (LogEntry) isEffect()        {}

const (
	// answerEarly is taken off a client's limit, which counts from the request's last byte: the loop may come to read
	// it late, and to answer late. With 15 ms a request of a day at full load had its answer too late by 58 ms.
	answerEarly = 50 * time.Millisecond
	// halfEarly is taken off the half of a request's time, by which it is given up if nothing of it reached a box: later
	// that costs more, and an answer would hardly come in time any more.
	halfEarly   = 20 * time.Millisecond
	purgeMargin = 5 * time.Millisecond
	// purgeSlack is beyond the time in which boxes drop older copies by themselves; the module takes less, since May
	// looks again when an attempt that waited is written.
	purgeSlack = 2 * time.Second
	leastAge   = time.Millisecond
)

// Broker is the state. It is not safe for concurrent use.
type Broker struct {
	cfg       policy.Config
	module    *policy.Engine
	contracts *quota.Ledger
	// Repeats to first tries, by team and by box; nil: no limit.
	teamRepeats *retry.Set[string]
	boxRepeats  *retry.Set[policy.EndpointID]
	members     *membership.Table
	openCap     int
	now         time.Duration
	offset      time.Duration // what the Unix clock is ahead
	nextID      policy.RequestID
	open        map[policy.RequestID]*Request
	ids         map[string]*Request // the same by the clients' ids
	boxes       map[policy.EndpointID]*Endpoint
	hosts       map[string]policy.EndpointID
	byName      map[string]*Endpoint   // by the id on the sockets, in lower case
	byDial      map[string][]*Endpoint // by address: mostly one, and those that were there before
	gone        []departed             // in the order of their leaving
	purges      *invalidation.Ledger
	timers      timers
	sweepAt     int // timers, at which those that stand for nothing any more are dropped
	queue       []Event
	effects     []Effect
}

// New makes a broker. With contracts nil every team may do everything; members is which boxes there are.
func New(cfg policy.Config, seed uint64, openCap int, contracts *quota.Ledger, members *membership.Table) (*Broker,
	error) {
	module, err := policy.New(cfg, seed)
	if err != nil {
		return nil, err
	}
	return &Broker{cfg: cfg, module: module, contracts: contracts, members: members, openCap: openCap,
		open: map[policy.RequestID]*Request{}, ids: map[string]*Request{}, boxes: map[policy.EndpointID]*Endpoint{},
		hosts: map[string]policy.EndpointID{}, byName: map[string]*Endpoint{}, byDial: map[string][]*Endpoint{},
		purges: invalidation.New(invalidation.Config{Propagation: cfg.PurgePropagation, Slack: purgeSlack})}, nil
}

// SetOffset tells by how much the Unix clock is ahead of the times that the broker is given. What others have stamped, starts
// of boxes and purges, is taken over by it once, so that a step of that clock changes nothing that is under way.
func (b *Broker) SetOffset(offset time.Duration) {
	b.offset = offset
	b.members.SetOffset(offset)
}

// OpenRequests is the number of requests without an end.
func (b *Broker) OpenRequests() int { return len(b.open) }

// Sizes is how much a broker holds. Open, Module and Timers follow the requests that are open, Boxes and Gone the lists of the
// last minute, Purges what was issued in the time that boxes take to drop copies.
type Sizes struct {
	Open, PolicyRequests, Timers, Endpoints, GoneEndpoints, Purges int
}

// Sizes tells what is held, for operators and for tests that nothing grows.
func (b *Broker) Sizes() Sizes {
	return Sizes{Open: len(b.open), PolicyRequests: b.module.OpenRequests(), Timers: len(b.timers), Endpoints: len(b.boxes), GoneEndpoints: len(b.gone),
		Purges: b.purges.Len()}
}

// Round takes what has happened by now and returns what is to be done. The result is valid until the next call.
func (b *Broker) Round(now time.Duration, events []Event) []Effect {
	b.now = max(b.now, now)
	b.effects = b.effects[:0]
	b.queue = append(b.queue[:0], events...)
	b.purges.Expire(b.now)
	if at := b.members.Next(); at != 0 && at <= b.now {
		b.members.Step(b.now)
	}
	b.follow()
	// What has come is taken before what has fallen due: an answer that is here in time counts, and after a standstill the module would hold
	// boxes for silent whose answers lie in this round.
	b.takeAll()
	b.due()
	b.takeAll()
	return b.effects
}

// takeAll takes what has come, and what the module adds to it meanwhile.
func (b *Broker) takeAll() {
	for i := 0; i < len(b.queue); i++ {
		b.take(b.queue[i])
	}
	b.queue = b.queue[:0]
}

// Next is when the next round is due at the latest; 0: no time is set.
func (b *Broker) Next() time.Duration {
	if b.members.HasChanges() {
		return b.now
	}
	next := b.members.Next()
	if len(b.timers) > 0 && (next == 0 || b.timers[0].at < next) {
		next = b.timers[0].at
	}
	return next
}

func (b *Broker) take(e Event) {
	switch e := e.(type) {
	case RequestReceived:
		b.arrive(e.Request)
	case RequestCanceled:
		if r := e.Request; !r.ended {
			b.close(r, concurrency.NoSignal)
			b.tell(policy.ClientGoneEvent{ID: r.id})
		}
	case AttemptEnded:
		b.end(e)
	case EndpointList:
		b.members.ReplaceList(b.now, e.Source, e.List)
		b.follow()
	case EndpointDelta:
		b.members.ApplyDelta(b.now, e.Source, e.Version, e.Endpoints)
		b.follow()
	case SourceStatus:
		if e.Silent {
			b.members.SourceSilent(b.now, e.Source)
		} else {
			b.members.SourceSeen(b.now, e.Source)
		}
		b.follow()
	case SnapshotRestored:
		n := b.members.Restore(b.now, e.Reports)
		b.effect(LogEntry{"snapshot-restored", []any{"endpoints", n}})
		b.follow()
	case Purge:
		issued := e.Issued - b.offset
		b.purges.Record(b.now, e.Object, e.Group, issued)
		b.tell(policy.PurgeEvent{Object: e.Object, Group: e.Group, Age: max(0, b.now-issued)})
	case FailInFlight:
		b.cutOff()
	case HealthChecked:
		b.tell(policy.HealthCheckEvent{Endpoint: e.Endpoint, Status: e.Status, Elapsed: e.Elapsed})
	}
}

// arrive takes a request: from here on it is owed exactly one answer.
func (b *Broker) arrive(r *Request) {
	if r.ended = r.Canceled; r.ended {
		return
	}
	r.deadline = r.ReceivedAt + r.Timeout - min(answerEarly, r.Timeout/8)
	if b.ids[r.ID] != nil {
		// Boxes and answers tell requests apart by this id: a second one could take the first one's answer.
		b.answer(r, Response{Kind: ResponseFailed, Reason: "a request with this id is open"})
		return
	}
	if len(b.open) >= b.openCap {
		b.answer(r, Response{Kind: ResponseRejected, RetryAfter: b.cfg.RetryAfter(&b.cfg.Classes[r.Class]), Reason: "too many open requests"})
		return
	}
	class := &b.cfg.Classes[r.Class]
	grant, over := b.contracts.Admit(b.now, r.Team, r.Service, class.Name, quota.Cost{PriorityWeight: class.PriorityWeight, Bytes: r.SizeKB * 1024})
	if over != nil {
		b.answer(r, overBudget(over))
		return
	}
	r.grant, r.admitted = grant, true
	b.nextID++
	r.id = b.nextID
	b.open[r.id], b.ids[r.ID] = r, r
	b.at(timer{at: r.deadline, request: r})
	b.at(timer{at: r.ReceivedAt + r.Timeout/2 - min(halfEarly, r.Timeout/16), request: r, half: true})
	b.tell(policy.RequestEvent{ID: r.id, Class: r.Class, Object: r.Object, Part: r.Part, Group: r.Group,
		Remaining: r.deadline - b.now, SizeKB: r.SizeKB, Retry: r.MarkedRetry})
}

// tell hands one event to the module and carries out what it wants.
func (b *Broker) tell(e policy.Event) {
	for _, action := range b.module.Handle(b.now, e) {
		b.do(action)
	}
}

func (b *Broker) do(action policy.Action) {
	switch a := action.(type) {
	case policy.SendAttempt:
		b.get(a)
	case policy.Reject:
		b.giveUp(a.ID, Response{Kind: ResponseRejected, RetryAfter: a.RetryAfter, Reason: "refused"})
	case policy.Fail:
		b.giveUp(a.ID, Response{Kind: ResponseFailed, Reason: "failed"})
	case policy.CancelAttempt:
		// What the module calls off after a request's end was quit by close.
		if r := b.open[a.ID]; r != nil && a.Attempt < len(r.attempts) && r.attempts[a.Attempt].Open() {
			b.effect(CancelAttempt{Attempt: r.attempts[a.Attempt], AwaitEnd: true})
		}
	case policy.SetTimer:
		b.at(timer{at: a.At, token: a.Token})
	case policy.HealthCheck:
		if box := b.boxes[a.Endpoint]; box != nil {
			b.effect(HealthCheck{box})
		}
	case policy.Log:
		b.effect(LogEntry{"outlier-detection", []any{"text", a.Text}})
	}
}

func (b *Broker) effect(e Effect) { b.effects = append(b.effects, e) }

// get makes the next attempt of a request.
func (b *Broker) get(g policy.SendAttempt) {
	r, box, source := b.open[g.ID], b.boxes[g.Endpoint], b.boxes[g.Source]
	if r == nil || box == nil || source == nil {
		b.effect(LogEntry{"policy-invalid-action", []any{"get", fmt.Sprintf("%+v", g)}})
		return
	}
	a := &Attempt{Request: r, Number: len(r.attempts), Endpoint: box, Source: source, CacheRank: g.CacheRank, MaxAge: g.MaxAge, JoinFill: g.JoinFill,
		CachedOnly: g.CachedOnly, BypassParent: g.BypassParent, Revalidate: g.Revalidate, Deadline: r.deadline, sent: b.now}
	if g.Timeout > 0 {
		a.Deadline = min(a.Deadline, b.now+g.Timeout)
	}
	busy := slices.ContainsFunc(r.attempts, (*Attempt).Open)
	r.attempts = append(r.attempts, a)
	// Never two attempts out together, whatever the module says: rule 2.
	if busy && !b.cfg.Hedging {
		b.queue = append(b.queue, AttemptEnded{Attempt: a, End: Blocked})
		return
	}
	if end, over := b.spend(r, a); over != nil {
		r.over = over
		b.queue = append(b.queue, AttemptEnded{Attempt: a, End: end})
		return
	}
	if a.Deadline < r.deadline {
		b.at(timer{at: a.Deadline, attempt: a})
	}
	b.effect(SendAttempt{a})
}

// spend charges an attempt to the budgets of its request, and of repeats: only one after an attempt that went out is a repeat,
// since nothing else has cost a box anything.
func (b *Broker) spend(r *Request, a *Attempt) (End, *quota.Rejection) {
	repeat := slices.ContainsFunc(r.attempts, func(o *Attempt) bool { return o.Written })
	if !repeat {
		if over := r.grant.SpendAttempt(b.now); over != nil {
			return Blocked, over
		}
		if b.teamRepeats != nil && a.Number == 0 {
			b.teamRepeats.Of(r.grant.Tenant()).Deposit(b.now, b.teamRepeats.Config())
		}
		if b.boxRepeats != nil {
			b.boxRepeats.Of(a.Endpoint.ID).Deposit(b.now, b.boxRepeats.Config())
		}
		return 0, nil
	}
	var team, box *retry.Budget
	if b.teamRepeats != nil {
		if team = b.teamRepeats.Of(r.grant.Tenant()); team.Available(b.now, b.teamRepeats.Config()) < 1 {
			return RetryBudgetExhausted, &quota.Rejection{Node: r.grant.Tenant(), Kind: quota.Retries, Requested: 1, Left: team.Available(b.now, b.teamRepeats.Config()), RetryAfter: repeatsWait}
		}
	}
	if b.boxRepeats != nil {
		if box = b.boxRepeats.Of(a.Endpoint.ID); box.Available(b.now, b.boxRepeats.Config()) < 1 {
			return RetryBudgetExhausted, &quota.Rejection{Node: "box " + a.Endpoint.Name, Kind: quota.Retries, Requested: 1, Left: box.Available(b.now, b.boxRepeats.Config()), RetryAfter: repeatsWait}
		}
	}
	if over := r.grant.SpendRetry(b.now); over != nil {
		return RetryBudgetExhausted, over
	}
	if team != nil {
		team.Withdraw()
	}
	if box != nil {
		box.Withdraw()
	}
	return 0, nil
}

// repeatsWait is told where a budget of repeats is used up: the request itself is new when it comes again, and welcome.
const repeatsWait = 100 * time.Millisecond

// overBudget words a refusal by a budget.
func overBudget(over *quota.Rejection) Response {
	return Response{Kind: ResponseRejected, RetryAfter: over.RetryAfter, Budget: over.Name(), Reason: over.String()}
}

// boxesMost and teamsMost bound what is remembered of repeats.
const boxesMost, teamsMost = 16384, 16384

// LimitRetries sets the budgets of repeats. What is left of them stays.
func (b *Broker) LimitRetries(teams, boxes retry.Config) {
	if teams.Share > 0 && b.teamRepeats == nil {
		b.teamRepeats = retry.NewSet[string](teams, teamsMost)
	}
	if boxes.Share > 0 && b.boxRepeats == nil {
		b.boxRepeats = retry.NewSet[policy.EndpointID](boxes, boxesMost)
	}
	if b.teamRepeats != nil {
		b.teamRepeats.Configure(teams)
	}
	if b.boxRepeats != nil {
		b.boxRepeats.Configure(boxes)
	}
}

// MaySend says at the moment of writing whether an attempt may still go out, and the oldest copy that will do then: the
// list and the purges may have moved on while it waited for its connection. The list's state outranks all else.
func (b *Broker) MaySend(a *Attempt, now time.Duration) (age time.Duration, ok bool) {
	if a.ended || a.Request.ended || now >= a.Deadline || !usable(a.Endpoint) || !usable(a.Source) || !b.mayRepeat(a, now) {
		return 0, false
	}
	age = a.MaxAge // counted from the decision, so by now it asks for a younger copy still
	r := a.Request
	if issued, ok := b.purges.Newest(r.Object, r.Group); ok {
		if limit := max(leastAge, now-issued-purgeMargin); age == 0 || limit < age {
			age = b.capAge(r.Class, limit)
		}
	}
	return age, true
}

// mayRepeat says whether an attempt is still within the time in which repeats of the ones before are dropped. The module looks when it
// decides; a connection may come up seconds later.
func (b *Broker) mayRepeat(a *Attempt, now time.Duration) bool {
	class := &b.cfg.Classes[a.Request.Class]
	if class.Idempotency != policy.IdempotentByKey {
		return true
	}
	return !slices.ContainsFunc(a.Request.attempts, func(o *Attempt) bool {
		return o != a && o.Written && !o.neverRan && now-o.sent > class.RetryWindow()
	})
}

// EndpointByName finds a box of the list by its id on the sockets, without regard to case.
func (b *Broker) EndpointByName(host string) *Endpoint { return b.byName[strings.ToLower(host)] }

// leftFor is how long the address of a box that is gone is kept from boxes that a name server gives it to.
const leftFor = time.Minute

// AddressBlocked says whether an address that a name server gave is that of a listed box which takes nothing new. The list
// outranks the name server: its answers may be older.
func (b *Broker) AddressBlocked(address string) bool {
	barred := false
	for _, box := range b.byDial[address] {
		if usable(box) {
			return false
		}
		barred = barred || box.State == policy.Draining || b.now-box.told < leftFor
	}
	return barred
}

// capAge cuts an age to the fresh time of the class, where there is one.
func (b *Broker) capAge(class int, age time.Duration) time.Duration {
	if fresh := b.cfg.Classes[class].FreshFor; fresh > 0 {
		return min(age, fresh)
	}
	return age
}

func usable(box *Endpoint) bool { return box.State == policy.Ready }

// end takes the end of an attempt. Only the first counts.
func (b *Broker) end(e AttemptEnded) {
	a := e.Attempt
	if a.ended {
		return
	}
	a.ended = true
	r := a.Request
	if r.ended {
		return
	}
	if e.MayHaveRun && b.cfg.Classes[r.Class].Idempotency != policy.Idempotent && slices.Contains(neverRan, outcomes[e.End].status) {
		e.End = Canceled
	}
	a.neverRan = slices.Contains(neverRan, outcomes[e.End].status)
	if e.End.Succeeded() {
		final := Response{Kind: ResponseServed, Endpoint: a.Endpoint, Address: e.Address, Body: e.Body, Fields: e.Fields}
		if e.End == NotModified {
			final.Kind = ResponseNotModified
		}
		b.answer(r, final)
	}
	b.tell(policy.ResponseEvent{ID: r.id, Endpoint: a.Endpoint.ID, Attempt: a.Number, Elapsed: b.now - a.sent, Concluded: r.ended,
		Note: e.Note, FirstByte: e.SourceDelay, Status: outcomes[e.End].status})
}

// giveUp is the module's own end of a request; it goes out at once.
func (b *Broker) giveUp(id policy.RequestID, f Response) {
	if r := b.open[id]; r != nil {
		if r.over != nil && f.Kind == ResponseRejected {
			f = overBudget(r.over)
		}
		b.answer(r, f)
	}
}

// answer gives the one final answer.
func (b *Broker) answer(r *Request, f Response) {
	if r.ended {
		return
	}
	b.close(r, b.outcome(r, f))
	b.effect(Respond{r, f})
}

// outcome is what an answer tells of the load on the boxes.
func (b *Broker) outcome(r *Request, f Response) concurrency.Outcome {
	switch {
	case f.Kind == ResponseServed || f.Kind == ResponseNotModified:
		class := &b.cfg.Classes[r.Class]
		aim := class.LatencyObjective
		if b.cfg.FlowKBps > 0 {
			aim += time.Duration(class.ObjectiveStretch * r.SizeKB / b.cfg.FlowKBps * float64(time.Second))
		}
		if aim > 0 && b.now-r.ReceivedAt > aim {
			return concurrency.ObjectiveMissed
		}
		return concurrency.InTime
	case f.Budget != "":
		return concurrency.NoSignal
	}
	return concurrency.Rejected
}

// close ends a request: what is still out for it is given up.
func (b *Broker) close(r *Request, o concurrency.Outcome) {
	r.ended = true
	delete(b.open, r.id)
	if r.admitted {
		delete(b.ids, r.ID)
		r.grant.ReleaseWithOutcome(b.now, o, b.now-r.ReceivedAt)
	}
	for _, a := range r.attempts {
		if a.Open() {
			a.ended = true
			b.effect(CancelAttempt{Attempt: a})
		}
	}
	r.Body = nil
}

const (
	// changesMost bounds the changes of the list in one round: the rest waits for the next, with requests in between.
	changesMost = 200
	// linesMost bounds the lines for the log that one round's changes make.
	linesMost = 20
)

// states is what the merged view's states are to the module.
var states = [...]policy.State{membership.Gone: policy.Gone, membership.Draining: policy.Draining,
	membership.Up: policy.Ready}

// follow takes over what is new in the merged view of the boxes.
func (b *Broker) follow() {
	for _, src := range b.members.SourcesToRefetch() {
		b.effect(RefetchList{src})
	}
	b.logNotes()
	if !b.members.HasChanges() {
		return
	}
	changes := b.members.TakeChanges(b.now, changesMost)
	e := policy.ListEvent{Kind: policy.ListDelta}
	for i, c := range changes {
		if i < linesMost {
			b.logChange(c)
		}
		n := Endpoint{Name: c.Endpoint.ID, Address: c.Endpoint.Address, Endpoint: policy.Endpoint{Zone: c.Endpoint.Zone, Kind: c.Endpoint.Kind,
			Cell: c.Endpoint.Cell, State: states[c.Endpoint.State], Weight: c.Endpoint.Weight}, born: c.Endpoint.StartedAt}
		if node, ok := b.change(n); ok {
			e.Endpoints = append(e.Endpoints, node)
		}
	}
	if rest := len(changes) - linesMost; rest > 0 {
		b.effect(LogEntry{"endpoint-changes-omitted", []any{"omitted", rest}})
	}
	if len(e.Endpoints) > 0 {
		b.tell(e)
	}
	b.forget()
}

// change takes over one box, and gives it as the module is to know it.
func (b *Broker) change(n Endpoint) (policy.Endpoint, bool) {
	if _, known := b.hosts[n.Name]; !known && n.State == policy.Gone {
		return policy.Endpoint{}, false // nor is its name to be kept
	}
	id := b.nodeID(n.Name)
	box, old := b.boxes[id], Endpoint{}
	switch {
	case box == nil:
		box = &Endpoint{}
		b.boxes[id] = box
		b.byName[strings.ToLower(n.Name)] = box
	case n.State == policy.Gone && box.State == policy.Gone:
		return policy.Endpoint{}, false
	case n.State == policy.Gone:
		// The rest of such an entry need not be there.
		old = *box
		n = old
		n.State = policy.Gone
	default:
		old = *box
	}
	n.ID = id
	if n.StartedAt = old.StartedAt; n.born != old.born { // as told; the offset may have moved since
		n.StartedAt = 0
		if n.born != 0 {
			n.StartedAt = max(1, n.born-b.offset)
		}
	}
	if n.Address != old.Address || old.Name == "" {
		b.leaveDial(box, old.Address)
		b.byDial[n.Address] = append(b.byDial[n.Address], box)
	}
	*box = n
	box.told = b.now
	if n.State == policy.Gone {
		b.gone = append(b.gone, departed{box, b.now})
	}
	if old.Name != "" {
		b.effect(EndpointChanged{box, n.StartedAt != old.StartedAt || n.Address != old.Address})
	}
	return n.Endpoint, true
}

func (b *Broker) logChange(c membership.Change) {
	fields := []any{"endpoint", c.Endpoint.ID, "address", c.Endpoint.Address}
	if c.DecidedBy >= 0 {
		fields = append(fields, "source", b.members.Sources()[c.DecidedBy].Name)
	}
	if c.Reason != membership.Reported {
		fields = append(fields, "reason", c.Reason)
	}
	b.effect(LogEntry{"endpoint-" + c.Kind.String(), fields})
}

func (b *Broker) logNotes() {
	notes, dropped := b.members.Notes()
	for _, n := range notes {
		fields := []any{"source", b.members.Sources()[n.Source].Name}
		if n.Endpoint != "" {
			fields = append(fields, "endpoint", n.Endpoint)
		}
		if n.Other != "" {
			fields = append(fields, "other", n.Other)
		}
		if n.Count > 0 {
			fields = append(fields, "endpoints", n.Count, "of", n.Of)
		}
		if n.For > 0 {
			fields = append(fields, "for", n.For)
		}
		b.effect(LogEntry{n.Kind.String(), fields})
	}
	if dropped > 0 {
		b.effect(LogEntry{"list-notes-omitted", []any{"omitted", dropped}})
	}
}

// departed is a box that was gone at a time. It may be back, or have left again, since.
type departed struct {
	box *Endpoint
	at  time.Duration
}

// goneFor is how long a box that is gone is remembered: its connections may not have ended yet, its name may come again,
// and Barred asks for it.
const goneFor = leftFor

// forget drops boxes that have been gone for long, oldest first.
func (b *Broker) forget() {
	for len(b.gone) > 0 && b.now-b.gone[0].at > goneFor {
		box := b.gone[0].box
		b.gone = b.gone[1:]
		if box.State != policy.Gone || b.now-box.told <= goneFor || b.boxes[box.ID] != box {
			continue // it was back meanwhile
		}
		delete(b.boxes, box.ID)
		delete(b.hosts, box.Name)
		if name := strings.ToLower(box.Name); b.byName[name] == box {
			delete(b.byName, name)
		}
		b.leaveDial(box, box.Address)
	}
}

// leaveDial takes a box off an address.
func (b *Broker) leaveDial(box *Endpoint, address string) {
	if rest := slices.DeleteFunc(b.byDial[address], func(o *Endpoint) bool { return o == box }); len(rest) > 0 {
		b.byDial[address] = rest
	} else {
		delete(b.byDial, address)
	}
}

// nodeID gives the same id to a host at every doorman, for the shared hashes.
func (b *Broker) nodeID(host string) policy.EndpointID {
	if id, ok := b.hosts[host]; ok {
		return id
	}
	id := policy.EndpointID(14695981039346656037) // FNV-1a
	for i := range len(host) {
		id = (id ^ policy.EndpointID(host[i])) * 1099511628211
	}
	for id == 0 || b.boxes[id] != nil {
		id++
	}
	b.hosts[host] = id
	return id
}

// timer is something that falls due: a token of the module, an attempt's time, a request's, or half of that.
type timer struct {
	at      time.Duration
	token   uint64
	attempt *Attempt
	request *Request
	half    bool
}

// timersLeast is a number of timers that is not worth a sweep.
const timersLeast = 1024

// at sets a timer. What has ended leaves its timers behind, and a client may tell a limit of ten minutes and withdraw at once:
// left until they fall due they would grow with what strangers send. They are swept out when they have doubled, so that a
// timer costs a constant number of looks.
func (b *Broker) at(t timer) {
	if len(b.timers) >= max(timersLeast, b.sweepAt) {
		b.timers = slices.DeleteFunc(b.timers, func(t timer) bool {
			return t.request != nil && t.request.ended || t.attempt != nil && t.attempt.ended
		})
		heap.Init(&b.timers)
		b.sweepAt = 2 * len(b.timers)
	}
	heap.Push(&b.timers, t)
}

// due takes what has fallen due, in the order of its times.
func (b *Broker) due() {
	for len(b.timers) > 0 && b.timers[0].at <= b.now {
		if t := heap.Pop(&b.timers).(timer); t.attempt != nil || t.request != nil {
			b.overdue(t)
		} else {
			b.tell(policy.TimerEvent{Token: t.token})
		}
	}
}

// overdue ends what has run out of time. A request is answered at the latest here, whatever the module holds.
func (b *Broker) overdue(t timer) {
	if t.attempt != nil && t.attempt.Open() {
		b.timeOut(t.attempt)
	}
	r := t.request
	if r == nil || r.ended {
		return
	}
	if t.half {
		if !slices.ContainsFunc(r.attempts, func(a *Attempt) bool { return a.Written }) {
			b.answer(r, Response{Kind: ResponseRejected, RetryAfter: b.cfg.RetryAfter(&b.cfg.Classes[r.Class]), Reason: "no box could be reached"})
			b.tell(policy.ClientGoneEvent{ID: r.id})
		}
		return
	}
	for _, a := range r.attempts {
		if a.Open() {
			b.timeOut(a)
		}
	}
	if !r.ended {
		b.answer(r, Response{Kind: ResponseFailed, Reason: "past its deadline"})
		b.tell(policy.ClientGoneEvent{ID: r.id})
	}
}

// cutOff has the time of all open requests be up now, in the order of their coming.
func (b *Broker) cutOff() {
	if len(b.open) == 0 {
		return
	}
	b.effect(LogEntry{"drain-deadline", []any{"open", len(b.open)}})
	for _, id := range slices.Sorted(maps.Keys(b.open)) {
		if r := b.open[id]; r != nil {
			b.overdue(timer{request: r})
		}
	}
}

func (b *Broker) timeOut(a *Attempt) {
	b.effect(CancelAttempt{Attempt: a})
	b.end(AttemptEnded{Attempt: a, End: TimedOut})
}

type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return cmp.Less(t[i].at, t[j].at) }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}
