package policy

import "time"

// NodeID names a server. It is handed back unmodified and carries no meaning.
type NodeID uint64

// RequestID names one try of one client. It is never used twice.
type RequestID uint32

// Effect says what may happen when a request of a class runs more than once.
type Effect int

// The effects of a class.
const (
	Safe   Effect = iota // may be repeated and refused at will
	Keyed                // repeats are dropped within Class.Group for Class.Window
	Unsafe               // may run once only
)

// Group says which servers drop the repeats of a keyed request together.
type Group int

// The groups of a keyed class.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
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
	Name       string // for the log only
	Aim        time.Duration
	AimStretch float64
	Deadline   time.Duration
	Worth      float64
	LateWorth  float64
	StaleWorth float64
	Effect     Effect
	Group      Group
	Window     time.Duration
	Streamed   bool
	Parts      bool
	Write      bool
	Fresh      time.Duration // 0: a copy is good until it is purged
	Grace      time.Duration // time past Fresh in which a copy may still be served
}

// RepeatsFor is how long after an attempt that may have run another one may go out: boxes drop repeats for Window, and what is decided
// has yet to be written, sent and read.
func (c *Class) RepeatsFor() time.Duration { return c.Window * 8 / 10 }

// Config is what a Director is told at its start. Times of 0 mean "no such limit" unless said otherwise.
type Config struct {
	Ordinal, Instances int
	Zone               int
	ZoneNames          []string // for the log only
	KindNames          []string // for the log only
	Classes            []Class
	Tick               time.Duration

	ParentKind, OriginKind int // index of the kind in list entries; -1: none
	ZoneInstances          []int
	ZoneHub                []int
	ZoneLinkKBps           []float64 // 0: not told
	FlowKBps               float64   // top pace of one answer; the unit of Node.Weight
	WeightsTold            bool      // false: Node.Weight says nothing
	WeightsLive            bool      // true: weights vary from list to list
	Siblings               Reach
	Detail                 Detail
	Direct                 bool // requests may go straight to a parent or the origin
	Joins                  bool
	PurgeGrace, PurgeTakes time.Duration

	OriginFallMultiple float64
	OriginFallFor      time.Duration

	DrainGrace   time.Duration
	AnswerSlack  time.Duration
	ColdFrom     float64
	ColdFor      time.Duration
	FallMultiple float64
	FallFor      time.Duration
	ParentFrom   float64
	ParentFor    time.Duration
	ParentFall   float64

	MaxAttempts   int
	Cancel        bool
	SecondCopies  bool
	MaxRetryAfter time.Duration // longest advice that a client heeds; 0: advice is not allowed
	Probes        bool
	ProbePrice    float64
	AskDiscovery  bool // the list comes only on request
	AskWithin     time.Duration
	LoadNames     []string
}

// Later is how long a client that is turned away is told to stay away: half the time in which the class's answer is
// wanted, as who comes back after it comes for nothing, and no longer than clients heed. 0: no advice.
func (c *Config) Later(class *Class) time.Duration {
	if class.Aim <= 0 {
		return c.MaxRetryAfter
	}
	return min(c.MaxRetryAfter, class.Aim/2)
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
	OK Status = iota
	Error
	Full
	Timeout
	ConnectFailed
	Reset
	Cancelled
	Moot
	Miss
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
	NoteSourceRefused
	NoteSourceLost
	NoteSourceLacks
	NoteNoPlace
	NoteOriginFailed
)

// Node is an entry of the list of servers.
type Node struct {
	ID     NodeID
	Zone   int
	Kind   int
	Cell   int
	State  State
	Weight float64
	Since  time.Duration // its most recent start; 0: long ago
}

// Event is something that a Director is told.
type Event interface{ isEvent() }

// ListEvent brings the list of servers or changes to it.
type ListEvent struct {
	Kind    ListKind
	Version uint64
	Nodes   []Node
}

// CallEvent is a new request.
type CallEvent struct {
	ID     RequestID
	Class  int
	Tenant int
	Object uint64
	Part   int
	Group  int
	Left   time.Duration // until the client gives this try up
	SizeKB float64       // 0: not told
	Repeat bool          // the client marked it as a repeat
}

// HeadersEvent says that a streamed answer has begun.
type HeadersEvent struct {
	ID      RequestID
	Node    NodeID
	Attempt int
	Took    time.Duration
}

// AnswerEvent says how an attempt ended.
type AnswerEvent struct {
	ID        RequestID
	Node      NodeID
	Attempt   int
	Took      time.Duration
	Settled   bool // the request is concluded
	Note      Note
	FirstByte time.Duration
	Status    Status
	Load      []float64
}

// GoneEvent says that a client has left.
type GoneEvent struct{ ID RequestID }

// TimerEvent is the return of a Timer.
type TimerEvent struct{ Token uint64 }

// ProbeEvent is the result of a Probe.
type ProbeEvent struct {
	Node   NodeID
	Status Status
	Took   time.Duration
	Load   []float64
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

func (ListEvent) isEvent()    {}
func (CallEvent) isEvent()    {}
func (HeadersEvent) isEvent() {}
func (AnswerEvent) isEvent()  {}
func (GoneEvent) isEvent()    {}
func (TimerEvent) isEvent()   {}
func (ProbeEvent) isEvent()   {}
func (PeerEvent) isEvent()    {}
func (PurgeEvent) isEvent()   {}

// Action is something that a Director wants done.
type Action interface{ isAction() }

// Get sends an attempt. Attempts of a request are numbered from 0 in the order of their Gets.
type Get struct {
	ID       RequestID
	Node     NodeID
	Patience time.Duration // 0: until the client gives up
	Source   NodeID        // Node itself: no fill
	Keep     int           // 0: no copy, no change; 1 to 3: the rank of the copy
	Age      time.Duration // oldest copy that will do; 0: the class's own limit
	Join     bool          // wait for a fill that runs already
	HeldOnly bool          // the source gives only what it holds
	NoParent bool          // leave no copy at the parent
	Renew    bool          // fetch an ageing copy anew while serving it
}

// Refuse is a final answer: nothing ran, a further try is harmless.
type Refuse struct {
	ID   RequestID
	Wait time.Duration // 0: no advice
}

// Fail is a final answer that promises nothing.
type Fail struct{ ID RequestID }

// Cancel abandons one attempt.
type Cancel struct {
	ID      RequestID
	Attempt int
}

// Timer asks for a TimerEvent at a time.
type Timer struct {
	Token uint64
	At    time.Duration
}

// Probe examines a server.
type Probe struct{ Node NodeID }

// Watch subscribes to the changes of the list, or ends that.
type Watch struct{ On bool }

// FetchList asks once for the whole list.
type FetchList struct{}

// Log adds a line to the report.
type Log struct{ Text string }

func (Get) isAction()       {}
func (Refuse) isAction()    {}
func (Fail) isAction()      {}
func (Cancel) isAction()    {}
func (Timer) isAction()     {}
func (Probe) isAction()     {}
func (Watch) isAction()     {}
func (FetchList) isAction() {}
func (Log) isAction()       {}
