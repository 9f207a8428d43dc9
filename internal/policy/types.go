package policy

import (
	"time"

	"sloequay/internal/policy/endpointset"
)

// EndpointID names an endpoint. It is handed back unmodified and carries no meaning.
type EndpointID = endpointset.ID

// RequestID names one try of one client. It is never used twice.
type RequestID uint32

// Idempotency says what may happen when a request of a class runs more than once.
type Idempotency int

// The effects of a class.
const (
	Idempotent      Idempotency = iota // may be repeated and refused at will
	IdempotentByKey                    // repeats are dropped within Class.Group for Class.Window
	NotIdempotent                      // may run once only
)

// DedupScope says which servers drop the repeats of a keyed request together.
type DedupScope int

// The groups of a keyed class.
const (
	DedupAll DedupScope = iota
	DedupZone
	DedupCell
)

// Reach says which caches may be the source of a fill.
type Reach int

// The reaches of sibling fills.
const (
	ReachNone Reach = iota
	ReachZone
	ReachAny
)

// Detail says which notes the answers carry.
type Detail int

// The degrees of detail.
const (
	DetailOff Detail = iota
	DetailHit
	DetailAll
)

// Class is a class of requests.
type Class struct {
	Name             string // for the log only
	LatencyObjective time.Duration
	ObjectiveStretch float64
	Deadline         time.Duration
	PriorityWeight   float64
	OverdueWeight    float64
	StaleWeight      float64
	Idempotency      Idempotency
	DedupScope       DedupScope
	DedupWindow      time.Duration
	Streamed         bool
	Parts            bool
	Write            bool
	FreshFor         time.Duration // 0: a copy is good until it is purged
	StaleFor         time.Duration // time past Fresh in which a copy may still be served
}

// Config is what a Director is told at its start. Times of 0 mean "no such limit" unless said otherwise.
type Config struct {
	Ordinal, Instances int
	Zone               int
	ZoneNames          []string // for the log only
	KindNames          []string // for the log only
	Classes            []Class
	Tick               time.Duration

	ParentKind, OriginKind       int // index of the kind in list entries; -1: none
	ZoneInstances                []int
	ZoneRegion                   []int
	ZoneLinkKBps                 []float64 // 0: not told
	FlowKBps                     float64   // top pace of one answer; the unit of Node.Weight
	WeightsReported              bool      // false: Node.Weight says nothing
	WeightsLive                  bool      // true: weights vary from list to list
	Siblings                     Reach
	Detail                       Detail
	DirectFetch                  bool // requests may go straight to a parent or the origin
	JoinFills                    bool
	PurgeGrace, PurgePropagation time.Duration

	OriginOverloadMultiple float64
	OriginOverloadWindow   time.Duration

	DrainGrace             time.Duration
	ResponseSlack          time.Duration
	ColdStartShare         float64
	WarmupTime             time.Duration
	OverloadMultiple       float64
	OverloadWindow         time.Duration
	ParentStartShare       float64
	ParentWarmupTime       time.Duration
	ParentOverloadMultiple float64

	MaxAttempts     int
	MayCancel       bool
	Hedging         bool
	MaxRetryAfter   time.Duration // longest advice that a client heeds; 0: advice is not allowed
	HealthChecks    bool
	HealthCheckCost float64
	PollDiscovery   bool // the list comes only on request
	PollWithin      time.Duration
	LoadNames       []string
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

// The outcomes of an attempt or a probe.
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
)

// Note tells how an answer came about, as far as Config.Detail goes.
type Note int

// The notes on an answer.
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
