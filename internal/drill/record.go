package drill

import (
	"sync"
	"time"
)

// Record is what all ends saw, in times of the drill. It is audited once the drill is over.
type Record struct {
	mu           sync.Mutex
	clientLimit  time.Duration // that clients wait
	earliestKill time.Duration // after SIGTERM, of a planned restart

	Requests          []*Request
	Attempts          []*Attempt
	ListCalls         []ListCall
	Connections       []Connection
	ProcessRuns       []*ProcessRun
	Overloads         []EndpointEvent  // endpoints that went down by their load
	Drains            []EndpointEvent  // as the list told them
	Undrains          []EndpointEvent  // drained endpoints that are up again
	ClientDisruptions []Span           // in which the clients' own way to a proxy was disturbed
	UnexpectedAnswers int              // answers to nothing that was open
	PeerBytes         map[string][]int // bytes that a proxy sent to others, by second
	Violations        []string         // of invariants, that the proxies found themselves
	IdleClients       map[int][]Span   // by proxy: idle clients filled its places
	Executions        map[string]int   // of keyed requests by key, repeats within the window dropped

	lastExecution map[string]time.Time
	latest        map[attemptKey]*Attempt
}

// attemptKey names the attempts of one request at one endpoint.
type attemptKey struct{ request, endpoint string }

func newRecord(plan *Plan) *Record {
	return &Record{
		clientLimit:   plan.ClientLimit,
		earliestKill:  plan.earliestKill(),
		PeerBytes:     map[string][]int{},
		IdleClients:   map[int][]Span{},
		Executions:    map[string]int{},
		lastExecution: map[string]time.Time{},
		latest:        map[attemptKey]*Attempt{},
	}
}

// ResendRefusal is why a request whose connection ended is not sent again.
type ResendRefusal string

// The refusals.
const (
	RefusedAlreadyResent   ResendRefusal = "it was sent again before"
	RefusedSentLongBefore  ResendRefusal = "it did not cross the close"
	RefusedSentLongAfter   ResendRefusal = "it was sent after the close and does not cross it"
	RefusedDisorderlyClose ResendRefusal = "the close was not in good order"
	RefusedNoProxy         ResendRefusal = "no other proxy of its zone serves"
)

// Outcome is what became of a request for its client.
type Outcome string

// The outcomes. Of the first three the client has a final answer.
const (
	OutcomeOpen         Outcome = ""
	OutcomeServed       Outcome = "served"
	OutcomeRejected     Outcome = "rejected"
	OutcomeFailed       Outcome = "failed"
	OutcomeCanceled     Outcome = "canceled"     // by its client
	OutcomeDisconnected Outcome = "disconnected" // its connection ended, or none came up
	OutcomeUnanswered   Outcome = "unanswered"   // long after its time
)

// isFinal reports whether the client has a final answer.
func (o Outcome) isFinal() bool {
	return o == OutcomeServed || o == OutcomeRejected || o == OutcomeFailed
}

// Request is one request of a client.
type Request struct {
	ID, Key, Class string
	Proxy          int
	SentAt         time.Duration
	EndedAt        time.Duration // 0: never
	Answers        int
	Outcome        Outcome
	CanceledAt     time.Duration // by its client; 0: it was not
	Resent         bool          // over a new connection, as the protocol allows once
	FirstOfConn    bool          // it was the first on its connection
	EndError       string        // by which its connection ended under it; empty: it did not
	ClosedAt       time.Duration // when that was, by its client's socket
	ResendRefusal  ResendRefusal // why it was not sent again then
}

// Attempt is one sending of a request to an endpoint, as the endpoint saw it.
type Attempt struct {
	ID, Key, Class string // of the request
	Endpoint, From string
	ReceivedAt     time.Duration
	AnsweredAt     time.Duration // 0: not answered
	CanceledAt     time.Duration // 0: not canceled
	Timeout        time.Duration // that the proxy says it waits
	Executed       bool

	conn *linkedConn // by which it came; nil: not known
}

// endedAt is when the attempt was out no more: it was answered or canceled, or its connection was closed. 0: it is out
// still.
func (a *Attempt) endedAt() time.Duration {
	earliest := time.Duration(0)
	for _, at := range []time.Duration{a.AnsweredAt, a.CanceledAt, a.conn.ended()} {
		if at > 0 && (earliest == 0 || at < earliest) {
			earliest = at
		}
	}
	return earliest
}

// ListCall is one call to the list service.
type ListCall struct {
	At    time.Duration
	From  string // the end that called
	Query string // what was asked for
}

// Connection is one new connection to an end of links.
type Connection struct {
	At time.Duration
	To string
}

// EndpointEvent is something that happened to an endpoint.
type EndpointEvent struct {
	At       time.Duration
	Endpoint string
}

// ProcessRun is one process of a proxy from its start to its end.
type ProcessRun struct {
	Proxy        int
	StartedAt    time.Duration
	ReadyAt      time.Duration // 0: never
	EndedAt      time.Duration // 0: it lived to the end of the drill
	EndRequested bool          // the plan killed it, or told it to end
	TermAt       time.Duration // of the first SIGTERM; 0: none
	Killed       bool          // by SIGKILL
	KilledAt     time.Duration
	Pauses       []Span
	Error        string // of a process that ended by itself
}

// Span is a time from a moment to another; To 0: without end.
type Span struct{ From, To time.Duration }

// overlaps reports whether two times have a moment in common.
func (s Span) overlaps(from, to time.Duration) bool {
	return s.From <= to && (s.To == 0 || from <= s.To)
}

// addPeerBytes counts bytes that a proxy sends to others.
func (r *Record) addPeerBytes(at time.Duration, from string, count int) {
	r.update(func() {
		second := int(at / time.Second)
		bySecond := r.PeerBytes[from]
		for len(bySecond) <= second {
			bySecond = append(bySecond, 0)
		}
		bySecond[second] += count
		r.PeerBytes[from] = bySecond
	})
}

// addExecution counts a keyed request that ran. Endpoints drop repeats within the class's window.
func (r *Record) addExecution(key string) {
	now := time.Now()
	r.update(func() {
		if last, known := r.lastExecution[key]; !known || now.Sub(last) > keyedWindow {
			r.Executions[key]++
		}
		r.lastExecution[key] = now
	})
}

// update runs a change under the lock.
func (r *Record) update(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}
