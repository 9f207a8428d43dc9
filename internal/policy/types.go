package policy

import (
	"time"

	"sloequay/internal/policy/endpointset"
)

// EndpointID identifies an endpoint. It is opaque, and actions return it unchanged.
type EndpointID = endpointset.ID

// RequestID identifies one request of one client. A client's retry has a new ID; IDs are never reused.
type RequestID uint32

// Idempotency says whether the requests of a class may be executed more than once.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // may be executed any number of times: a retry is always safe
	IdempotentByKey                    // endpoints drop repeats within Class.DedupScope for Class.DedupWindow
	NotIdempotent                      // must be executed at most once
)

// DedupScope is the set of endpoints that drop each other's repeats of a request with an idempotency key.
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
	Name             string // not used by the Engine
	LatencyObjective time.Duration
	ObjectiveStretch float64 // added to the objective, in multiples of the response's transfer time
	Deadline         time.Duration
	PriorityWeight   float64 // of a response that meets its objective
	Idempotency      Idempotency
	DedupScope       DedupScope
	DedupWindow      time.Duration
	Write            bool          // its requests are handled by the origin
	FreshFor         time.Duration // 0: a copy is fresh until it is purged
	StaleFor         time.Duration // how long after FreshFor a stale copy may still be served
}

// Config holds the settings of an Engine. A time of 0 means "no limit" unless stated otherwise.
type Config struct {
	Ordinal, Instances int      // index of this proxy among all, from 0; their number
	Zone               int      // of this proxy
	ZoneNames          []string // by zone; the Engine uses only their number
	KindNames          []string // not used by the Engine
	Classes            []Class

	ParentKind, OriginKind int     // Endpoint.Kind of parents and of the origin; -1: none
	ZoneInstances          []int   // number of proxies by zone
	FlowKBps               float64 // full transfer rate of one response; the unit of Endpoint.Weight
	WeightsReported        bool    // false: Endpoint.Weight has no meaning
	WeightsLive            bool    // true: weights change from list to list
	Siblings               SiblingScope
	DirectFetch            bool          // requests may bypass the caches and go to a parent or the origin
	JoinFills              bool          // an attempt may wait for a fill that is already in flight
	PurgePropagation       time.Duration // within which caches drop purged copies by themselves

	ColdStartShare         float64       // share of its capacity that a cache bears right after its start
	WarmupTime             time.Duration // after which a cache bears its full capacity
	OverloadMultiple       float64       // sustainable load over OverloadWindow, in units of a cache's link
	OverloadWindow         time.Duration
	ParentStartShare       float64
	ParentWarmupTime       time.Duration
	ParentOverloadMultiple float64

	MaxAttempts   int // of a request; 0: no limit
	MayCancel     bool
	Hedging       bool          // a request may have two attempts in flight at the same time
	MaxRetryAfter time.Duration // the longest Retry-After that clients observe; 0: none may be sent
	HealthChecks  bool
	PollDiscovery bool // the endpoint list is sent only on request, see Watch
}

// State is the state of an endpoint in the endpoint list.
type State = endpointset.State

// The states of an endpoint.
const (
	Gone     = endpointset.Gone
	Ready    = endpointset.Ready
	Draining = endpointset.Draining
)

// Endpoint is an entry of the endpoint list.
type Endpoint = endpointset.Entry

// ListKind says whether a list is complete, a delta or missing.
type ListKind = endpointset.ListKind

// The kinds of lists.
const (
	ListDelta  = endpointset.ListDelta
	ListFull   = endpointset.ListFull
	ListCached = endpointset.ListCached
	ListFailed = endpointset.ListFailed
)

// Status is the outcome of an attempt.
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
	StatusBudgetExhausted // not sent, and no other attempt would be: a budget of the request is used up
	StatusUnavailable     // not sent: no connection or budget is left for its endpoint
)

// ProvesNotExecuted reports whether an attempt with this outcome certainly had no effect.
func (s Status) ProvesNotExecuted() bool {
	switch s {
	case StatusAtCapacity, StatusConnectFailed, StatusNotExecuted, StatusMiss:
		return true
	case StatusBudgetExhausted, StatusUnavailable:
		return true
	}
	return false
}

// Note says how a response was produced, to the extent that endpoints are configured to report it.
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
