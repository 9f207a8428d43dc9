package broker

import (
	"time"

	"sloequay/internal/identity"
	"sloequay/internal/policy"
	"sloequay/internal/quota"
	"sloequay/internal/route"
)

// Frontend is the front that a request came by. It gets the final answer exactly once, unless it withdrew the request.
type Frontend interface {
	Respond(r *Request, f Response)
}

// Request is what a client asked for. A front fills the exported fields; the rest is the broker's.
type Request struct {
	Frontend    Frontend
	ID          string // the client's own id of this try
	Class       int
	Team        string
	Service     string       // whose it is; empty: the only one
	Zone        string       // that a DNS query asked in; empty: another front
	Route       route.Choice // which pool it went to
	Object      uint64
	ObjectName  string // Object as the client wrote it
	Part        int
	Group       int    // -1: not told
	Key         string // in keyed classes: the same for all tries
	ETag        string // the tag of the copy that the client holds
	SizeKB      float64
	MarkedRetry bool // the client marked it as its own retry
	Body        []byte
	Token       string           // that the caller showed; empty: none
	Caller      *identity.Caller // the connection that it came by, as identity knows it
	ReceivedAt  time.Duration    // of its last byte
	Timeout     time.Duration    // that the client waits
	// Canceled is set by the front with the Withdrawal. A request that is taken back in the round it came in is not
	// taken up at all: hundreds of those must not reach the boxes.
	Canceled bool

	id       policy.RequestID
	deadline time.Duration // by which the answer must be on its way
	attempts []*Attempt
	ended    bool
	admitted bool             // it holds what grant says
	grant    quota.Grant      // that it and its attempts are charged to
	over     *quota.Rejection // the budget that held an attempt back
}

// Response is the one answer to a request.
type Response struct {
	Kind       ResponseKind
	Endpoint   *Endpoint     // that served it
	Address    string        // where it did
	Body       []byte        // with Answered
	Fields     []Field       // that the box sent with its answer
	RetryAfter time.Duration // with Refusal: to stay away; 0: no advice
	Budget     string        // with Refusal: which one was used up; empty: none
	Reason     string        // with Refusal and Failure for people, with Denied a word of identity
}

// ResponseKind says what a final answer is.
type ResponseKind int

// The kinds of final answers.
const (
	ResponseServed      ResponseKind = iota
	ResponseNotModified              // the client's copy is the one
	ResponseRejected                 // a further try is harmless
	ResponseFailed                   // nothing is promised
	ResponseDenied                   // the caller may not; Reason says why
)

// Field is a name with its value.
type Field struct{ Name, Value string }

// Endpoint is a server of the list: a cache, a parent or the origin. Its fields follow the list.
type Endpoint struct {
	policy.Endpoint
	Name    string // its id on the sockets
	Address string // host:port
	told    time.Duration
	born    time.Duration // its most recent start as it was told, on the Unix clock
}

// Attempt is one sending of a request to a box.
type Attempt struct {
	Request      *Request
	Number       int // from 0
	Endpoint     *Endpoint
	Source       *Endpoint // Box itself: no fill
	CacheRank    int
	MaxAge       time.Duration // oldest copy that will do; 0: the class's own limit
	JoinFill     bool
	CachedOnly   bool
	BypassParent bool
	Revalidate   bool
	Deadline     time.Duration
	Written      bool // by the pool: it went out whole, as far as is known

	sent     time.Duration
	ended    bool
	neverRan bool // as its end proves
}

// Open says whether the attempt has no end yet.
func (a *Attempt) Open() bool { return !a.ended }

// ObjectZero stands for the object 0, which in the module's purges means "a whole group".
const ObjectZero = 1 << 63
