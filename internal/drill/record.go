package drill

import (
	"sync"
	"time"
)

// Record is what all nodes observed, with times since the start of the drill. It is audited after the drill.
type Record struct {
	mu           sync.Mutex
	clientLimit  time.Duration // how long clients wait
	earliestKill time.Duration // the shortest time from SIGTERM to SIGKILL in a planned restart

	Requests          []*Request
	Attempts          []*Attempt
	ListCalls         []ListCall
	Connections       []Connection
	ProcessRuns       []*ProcessRun
	Overloads         []EndpointEvent  // endpoints that crashed from overload
	Drains            []EndpointEvent  // when the list published them
	Undrains          []EndpointEvent  // endpoints listed as up again
	ClientDisruptions []Span           // in which the connections between clients and proxies were disrupted
	UnexpectedAnswers int              // answers to requests that were not open
	PeerBytes         map[string][]int // bytes that each proxy sent to its peers, by second
	Violations        []string         // invariant violations that the proxies detected themselves
	IdleClients       map[int][]Span   // by proxy: when idle clients used up its connections
	Executions        map[string]int   // of keyed requests by key, without repeats within the window

	lastExecution map[string]time.Time
	latest        map[attemptKey]*Attempt
}

// attemptKey identifies the attempts of one request at one endpoint.
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

// ResendRefusal is the reason why a request is not resent after its connection ended.
type ResendRefusal string

// The reasons for not resending a request.
const (
	RefusedAlreadyResent   ResendRefusal = "it had already been resent"
	RefusedSentLongBefore  ResendRefusal = "it was sent too long before the close to cross it"
	RefusedSentLongAfter   ResendRefusal = "it was sent too long after the close to cross it"
	RefusedDisorderlyClose ResendRefusal = "the close was not in good order"
	RefusedNoProxy         ResendRefusal = "no other proxy of its zone serves"
)

// Outcome is the result of a request for its client.
type Outcome string

// The outcomes. OutcomeServed, OutcomeRejected and OutcomeFailed are final answers.
const (
	OutcomeOpen         Outcome = ""
	OutcomeServed       Outcome = "served"
	OutcomeRejected     Outcome = "rejected"
	OutcomeFailed       Outcome = "failed"
	OutcomeCanceled     Outcome = "canceled"     // by its client
	OutcomeDisconnected Outcome = "disconnected" // its connection ended, or could not be opened
	OutcomeUnanswered   Outcome = "unanswered"   // no answer by answerGrace after the limit
)

// isFinal reports whether the client has received a final answer.
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
	CanceledAt     time.Duration // by its client; 0: not canceled
	Resent         bool          // on a new connection, as the protocol allows once
	FirstOfConn    bool          // whether it was the first on its connection
	EndError       string        // with which its connection ended; empty: it did not
	ClosedAt       time.Duration // when its connection was closed, by the client's socket
	ResendRefusal  ResendRefusal // why it was not resent
}

// Attempt is one attempt to have a request served by an endpoint, as the endpoint observed it.
type Attempt struct {
	ID, Key, Class string // of the request
	Endpoint, From string
	ReceivedAt     time.Duration
	AnsweredAt     time.Duration // 0: not answered
	CanceledAt     time.Duration // 0: not canceled
	Timeout        time.Duration // how long the proxy says that it waits
	Executed       bool

	conn *linkedConn // on which it arrived; nil: unknown
}

// endedAt returns when the attempt was no longer in flight because it was answered or canceled, or its connection was
// closed. 0: it is still in flight.
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
	From  string // the node that called
	Query string // what it requested
}

// Connection is a new connection that a node accepted.
type Connection struct {
	At time.Duration
	To string
}

// EndpointEvent is a change of an endpoint's state at a time.
type EndpointEvent struct {
	At       time.Duration
	Endpoint string
}

// ProcessRun is one process of a proxy, from its start to its end.
type ProcessRun struct {
	Proxy        int
	StartedAt    time.Duration
	ReadyAt      time.Duration // 0: never
	EndedAt      time.Duration // 0: it was running at the end of the drill
	EndRequested bool          // whether the plan killed it or told it to end
	TermAt       time.Duration // of the first SIGTERM; 0: none
	Killed       bool          // by SIGKILL
	KilledAt     time.Duration
	Pauses       []Span
	Error        string // of a process that ended without being told to
}

// Span is the time from one moment to another. To is 0 if it has no end.
type Span struct{ From, To time.Duration }

// overlaps reports whether the span has a moment in common with the time from one moment to another.
func (s Span) overlaps(from, to time.Duration) bool {
	return s.From <= to && (s.To == 0 || from <= s.To)
}

// addPeerBytes counts bytes that a proxy sends to its peers.
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

// addExecution counts the execution of a keyed request. Endpoints drop repeats within the class's window.
func (r *Record) addExecution(key string) {
	now := time.Now()
	r.update(func() {
		if last, known := r.lastExecution[key]; !known || now.Sub(last) > keyedWindow {
			r.Executions[key]++
		}
		r.lastExecution[key] = now
	})
}

// update makes a change under the lock.
func (r *Record) update(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}
