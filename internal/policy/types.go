package policy

import (
	"time"

	"sloequay/internal/policy/endpointset"
)

// EndpointID names an endpoint. It is handed back unmodified and carries no meaning.
type EndpointID = endpointset.ID

// RequestID names one request, as one client made it once. It is never used twice.
type RequestID uint32

// Idempotency says what may happen when a request of a class runs more than once.
type Idempotency int

// What may happen when a request runs more than once.
const (
	Idempotent      Idempotency = iota // may be repeated and rejected at will
	IdempotentByKey                    // repeats are dropped within Class.DedupScope for Class.DedupWindow
	NotIdempotent                      // may run once only
)

// DedupScope says which endpoints drop the repeats of a request with an idempotency key together.
type DedupScope int

// The scopes of a class with idempotency keys.
const (
	DedupAll  DedupScope = iota // all endpoints
	DedupZone                   // those of one zone
	DedupCell                   // those of one cell
)

// SiblingScope is the set of caches that may be the source of a fill.
type SiblingScope int

// The scopes of sibling fills.
const (
	SiblingsNone SiblingScope = iota
	SiblingsZone
	SiblingsAny
)

// Class is a class of requests.
type Class struct {
	Name             string // for the log only
	LatencyObjective time.Duration
	ObjectiveStretch float64 // added to the objective, in sending times of the answer
	Deadline         time.Duration
	PriorityWeight   float64 // of an answer within its objective
	Idempotency      Idempotency
	DedupScope       DedupScope
	DedupWindow      time.Duration
	Write            bool          // its requests go to the origin
	FreshFor         time.Duration // 0: a copy is fresh until it is purged
	StaleFor         time.Duration // time past FreshFor in which a copy may still be served
}

// Config is the settings of an Engine. Times of 0 mean "no such limit" unless said otherwise.
type Config struct {
	Ordinal, Instances int      // of this proxy among all, from 0; how many there are
	Zone               int      // of this proxy
	ZoneNames          []string // for the log only
	KindNames          []string // for the log only
	Classes            []Class

	ParentKind, OriginKind int     // index of the kind in list entries; -1: none
	ZoneInstances          []int   // proxies by zone
	FlowKBps               float64 // full pace of one answer; the unit of Endpoint.Weight
	WeightsReported        bool    // false: Endpoint.Weight says nothing
	WeightsLive            bool    // true: weights vary from list to list
	Siblings               SiblingScope
	DirectFetch            bool // requests may go straight to a parent or the origin
	JoinFills              bool // an attempt may wait for a fill that is in flight
	PurgePropagation       time.Duration

	ColdStartShare         float64
	WarmupTime             time.Duration
	OverloadMultiple       float64
	OverloadWindow         time.Duration
	ParentStartShare       float64
	ParentWarmupTime       time.Duration
	ParentOverloadMultiple float64

	MaxAttempts   int // of a request; 0: no limit
	MayCancel     bool
	Hedging       bool          // two attempts of a request may be in flight together
	MaxRetryAfter time.Duration // the longest that clients keep to; 0: no advice is allowed
	HealthChecks  bool
	PollDiscovery bool // the list has to be asked for
}

// State is what the list says of an endpoint.
type State = endpointset.State

// The states of an endpoint in the list.
const (
	Gone     = endpointset.Gone
	Ready    = endpointset.Ready
	Draining = endpointset.Draining
)

// Endpoint is an entry of the list of endpoints.
type Endpoint = endpointset.Entry

// ListKind says how a list is to be read.
type ListKind = endpointset.ListKind

// The kinds of lists.
const (
	ListDelta  = endpointset.ListDelta
	ListFull   = endpointset.ListFull
	ListCached = endpointset.ListCached
	ListFailed = endpointset.ListFailed
)

// Status is how an attempt ended.
type Status int

// The outcomes of an attempt or a health check.
const (
	StatusOK Status = iota
	StatusError
	StatusAtCapacity
	StatusTimeout
	StatusConnectFailed
	StatusReset
	StatusCanceled
	StatusNotExecuted
	StatusMiss
	StatusBudgetExhausted // not sent, nor would another attempt be: a budget of the request is used up
	StatusUnavailable     // not sent: there is no connection or budget for its endpoint
)

// ProvesNotExecuted reports whether an attempt that ended so had no effect for certain.
func (s Status) ProvesNotExecuted() bool {
	switch s {
	case StatusAtCapacity, StatusConnectFailed, StatusNotExecuted, StatusMiss:
		return true
	case StatusBudgetExhausted, StatusUnavailable:
		return true
	}
	return false
}

// Note says how a response came about, as far as the settings have endpoints say so.
type Note int

// The notes on a response.
const (
	NoteNone Note = iota
	NoteHit
	NoteFilled
	NoteFilledOrigin
	NoteJoined
	NoteStale
	NoteSourceRejected
	NoteSourceLost
	NoteSourceMiss
	NoteNoCapacity
	NoteOriginFailed
)
