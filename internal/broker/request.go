package broker

import (
	"time"

	"sloequay/internal/identity"
	"sloequay/internal/policy"
	"sloequay/internal/quota"
	"sloequay/internal/route"
)

// Owner is the front that a request came by. It gets the final answer exactly once, unless it withdrew the request.
type Owner interface {
	Final(r *Request, f Final)
}

// Request is what a client asked for. A front fills the exported fields; the rest is the broker's.
type Request struct {
	Owner   Owner
	ID      string // the client's own id of this try
	Class   int
	Team    string
	Service string       // whose it is; empty: the only one
	Zone    string       // that a DNS query asked in; empty: another front
	Placed  route.Choice // which pool it went to
	Object  uint64
	Thing   string // Object as the client wrote it
	Part    int
	Group   int    // -1: not told
	Key     string // in keyed classes: the same for all tries
	Known   string // the tag of the copy that the client holds
	SizeKB  float64
	Second  bool // the client marked it as its own retry
	Body    []byte
	Token   string           // that the caller showed; empty: none
	Caller  *identity.Caller // the connection that it came by, as identity knows it
	Arrived time.Duration    // of its last byte
	Limit   time.Duration    // that the client waits
	// Withdrawn is set by the front with the Withdrawal. A request that is taken back in the round it came in is not
	// taken up at all: hundreds of those must not reach the boxes.
	Withdrawn bool

	id       policy.RequestID
	deadline time.Duration // by which the answer must be on its way
	attempts []*Attempt
	ended    bool
	admitted bool           // it holds what grant says
	grant    quota.Grant    // that it and its attempts are charged to
	over     *quota.Refusal // the budget that held an attempt back
}

// Final is the one answer to a request.
type Final struct {
	Kind    Kind
	Box     *Box          // that served it
	Address string        // where it did
	Body    []byte        // with Answered
	Fields  []Field       // that the box sent with its answer
	Wait    time.Duration // with Refusal: to stay away; 0: no advice
	Budget  string        // with Refusal: which one was used up; empty: none
	Reason  string        // with Refusal and Failure for people, with Denied a word of identity
}

// Kind says what a final answer is.
type Kind int

// The kinds of final answers.
const (
	Answered Kind = iota
	Same          // the client's copy is the one
	Refusal       // a further try is harmless
	Failure       // nothing is promised
	Denied        // the caller may not; Reason says why
)

// Field is a name with its value.
type Field struct{ Name, Value string }

// Box is a server of the list: a cache, a parent or the origin. Its fields follow the list.
type Box struct {
	policy.Endpoint
	Host string // its id on the sockets
	Dial string // host:port
	told time.Duration
	born time.Duration // its most recent start as it was told, on the Unix clock
}

// Attempt is one sending of a request to a box.
type Attempt struct {
	Request  *Request
	N        int // from 0
	Box      *Box
	Source   *Box // Box itself: no fill
	Keep     int
	Age      time.Duration // oldest copy that will do; 0: the class's own limit
	Join     bool
	HeldOnly bool
	NoParent bool
	Renew    bool
	Deadline time.Duration
	Written  bool // by the pool: it went out whole, as far as is known

	sent     time.Duration
	ended    bool
	neverRan bool // as its end proves
}

// Open says whether the attempt has no end yet.
func (a *Attempt) Open() bool { return !a.ended }

// ObjectZero stands for the object 0, which in the module's purges means "a whole group".
const ObjectZero = 1 << 63
