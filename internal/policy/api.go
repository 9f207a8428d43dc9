package policy

import "time"

// EndpointID names a server. It is handed back unmodified and carries no meaning.
type EndpointID uint64

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

// RetryWindow is how long after an attempt that may have run another one may go out: boxes drop repeats for Window, and what is decided
// has yet to be written, sent and read.
func (c *Class) RetryWindow() time.Duration { return c.DedupWindow * 8 / 10 }

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

// RetryAfter is how long a client that is turned away is told to stay away: half the time in which the class's answer is
// wanted, as who comes back after it comes for nothing, and no longer than clients heed. 0: no advice.
func (c *Config) RetryAfter(class *Class) time.Duration {
	if class.LatencyObjective <= 0 {
		return c.MaxRetryAfter
	}
	return min(c.MaxRetryAfter, class.LatencyObjective/2)
}

// State is what the list says of a server.
type State int

// The states of a server in the list.
const (
	Gone State = iota
	Ready
	Draining
)

// ListKind says how a list is to be read.
type ListKind int

// The kinds of lists.
const (
	ListDelta ListKind = iota
	ListFull
	ListCached
	ListFailed
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

// Endpoint is an entry of the list of servers.
type Endpoint struct {
	ID        EndpointID
	Zone      int
	Kind      int
	Cell      int
	State     State
	Weight    float64
	StartedAt time.Duration // its most recent start; 0: long ago
}

// Event is something that a Director is told.
type Event interface{ isEvent() }

// ListEvent brings the list of servers or changes to it.
type ListEvent struct {
	Kind      ListKind
	Version   uint64
	Endpoints []Endpoint
}

// RequestEvent is a new request.
type RequestEvent struct {
	ID        RequestID
	Class     int
	Tenant    int
	Object    uint64
	Part      int
	Group     int
	Remaining time.Duration // until the client gives this try up
	SizeKB    float64       // 0: not told
	Retry     bool          // the client marked it as a repeat
}

// HeadersEvent says that a streamed answer has begun.
type HeadersEvent struct {
	ID       RequestID
	Endpoint EndpointID
	Attempt  int
	Elapsed  time.Duration
}

// ResponseEvent says how an attempt ended.
type ResponseEvent struct {
	ID        RequestID
	Endpoint  EndpointID
	Attempt   int
	Elapsed   time.Duration
	Concluded bool // the request is concluded
	Note      Note
	FirstByte time.Duration
	Status    Status
	Load      []float64
}

// ClientGoneEvent says that a client has left.
type ClientGoneEvent struct{ ID RequestID }

// TimerEvent is the return of a Timer.
type TimerEvent struct{ Token uint64 }

// HealthCheckEvent is the result of a Probe.
type HealthCheckEvent struct {
	Endpoint EndpointID
	Status   Status
	Elapsed  time.Duration
	Load     []float64
}

// PeerEvent is a message from another director.
type PeerEvent struct {
	From int
	Data []byte
}

// PurgeEvent says that older copies of an object, or of a whole group when Object is 0, are out of date.
type PurgeEvent struct {
	Object uint64
	Group  int
	Age    time.Duration
}

func (ListEvent) isEvent()        {}
func (RequestEvent) isEvent()     {}
func (HeadersEvent) isEvent()     {}
func (ResponseEvent) isEvent()    {}
func (ClientGoneEvent) isEvent()  {}
func (TimerEvent) isEvent()       {}
func (HealthCheckEvent) isEvent() {}
func (PeerEvent) isEvent()        {}
func (PurgeEvent) isEvent()       {}

// Action is something that a Director wants done.
type Action interface{ isAction() }

// SendAttempt sends an attempt. Attempts of a request are numbered from 0 in the order of their Gets.
type SendAttempt struct {
	ID           RequestID
	Endpoint     EndpointID
	Timeout      time.Duration // 0: until the client gives up
	Source       EndpointID    // Node itself: no fill
	CacheRank    int           // 0: no copy, no change; 1 to 3: the rank of the copy
	MaxAge       time.Duration // oldest copy that will do; 0: the class's own limit
	JoinFill     bool          // wait for a fill that runs already
	CachedOnly   bool          // the source gives only what it holds
	BypassParent bool          // leave no copy at the parent
	Revalidate   bool          // fetch an ageing copy anew while serving it
}

// Reject is a final answer: nothing ran, a further try is harmless.
type Reject struct {
	ID         RequestID
	RetryAfter time.Duration // 0: no advice
}

// Fail is a final answer that promises nothing.
type Fail struct{ ID RequestID }

// CancelAttempt abandons one attempt.
type CancelAttempt struct {
	ID      RequestID
	Attempt int
}

// SetTimer asks for a TimerEvent at a time.
type SetTimer struct {
	Token uint64
	At    time.Duration
}

// HealthCheck examines a server.
type HealthCheck struct{ Endpoint EndpointID }

// Watch subscribes to the changes of the list, or ends that.
type Watch struct{ On bool }

// FetchList asks once for the whole list.
type FetchList struct{}

// Log adds a line to the report.
type Log struct{ Text string }

func (SendAttempt) isAction()   {}
func (Reject) isAction()        {}
func (Fail) isAction()          {}
func (CancelAttempt) isAction() {}
func (SetTimer) isAction()      {}
func (HealthCheck) isAction()   {}
func (Watch) isAction()         {}
func (FetchList) isAction()     {}
func (Log) isAction()           {}
