package drill

import (
	"sync"
	"time"
)

// Record is what all ends saw, in times of the drill. The auditor reads it once the drill is over.
type Record struct {
	mu          sync.Mutex
	limit       time.Duration // that clients wait
	Requests    []*Request
	Attempts    []*Attempt
	out         map[string]*Attempt // the last one of a request at a box
	Calls       []Call              // to the list service
	Made        []Made              // connections
	ProcessRuns []*ProcessRun       // of doormans
	Falls       []EndpointState     // boxes that fell over
	Drains      []EndpointState     // told by the list
	Back        []EndpointState     // drained boxes that are up again
	Changes     []time.Duration
	Upset       []Span           // times in which the clients' own way to a doorman was disturbed
	Strays      int              // answers to nothing
	Sent        map[string][]int // bytes that a doorman sent to others, by second
	Violations  []string         // that the doormans found themselves
	Posted      map[string]int   // charges by key, repeats within the window dropped
	last        map[string]time.Time
}

// Request is one try of a client.
type Request struct {
	ID, Key, Class string
	Proxy          int
	Sent, Ended    time.Duration // Ended 0: never
	Answers        int
	End            string        // served, refused, failed, or broken: its connection ended
	Left           time.Duration // when its client gave it up; 0: it did not
	Repeats        bool          // it was sent a second time over a new connection, as the protocol allows
}

// Attempt is one sending of a request to a box, as the box saw it.
type Attempt struct {
	ID, Key, Class, Endpoint, From string
	At, Ended                      time.Duration // Ended 0: not answered
	Quit                           time.Duration // 0: not given up
	Given                          time.Duration // that the doorman says it waits
	Ran                            bool
	conn                           *linked // by which it came; nil: not known
}

// over is when the attempt was out no more: it was answered, given up, or its connection was closed. 0: it is out still.
func (a *Attempt) over() time.Duration {
	at := time.Duration(0)
	for _, t := range []time.Duration{a.Ended, a.Quit, a.conn.over()} {
		if t > 0 && (at == 0 || t < at) {
			at = t
		}
	}
	return at
}

// Call is one question to the list service.
type Call struct {
	At   time.Duration
	From string
}

// Made is one new connection.
type Made struct {
	At       time.Duration
	From, To string
}

// EndpointState is something that was seen or said of a box.
type EndpointState struct {
	At       time.Duration
	Endpoint string
}

// ProcessRun is one process of a doorman from its start to its end.
type ProcessRun struct {
	Proxy        int
	Start, Ready time.Duration // Ready 0: never
	End          time.Duration // 0: it lived to the end of the drill
	Ours         bool          // it was ended, or bidden to
	Killed       bool          // it was ended at once
	Stops        []Span
	Versions     map[string]string // what it said of itself at the end
	Error        string
}

// Span is a time from a moment to another; To 0: without end.
type Span struct{ From, To time.Duration }

// has says whether two times overlap.
func (s Span) has(from, to time.Duration) bool { return s.From <= to && (s.To == 0 || from <= s.To) }

// sent counts bytes of a doorman to others.
func (r *Record) sent(at time.Duration, from string, n int) {
	r.add(func() {
		list := r.Sent[from]
		for len(list) <= int(at/time.Second) {
			list = append(list, 0)
		}
		list[at/time.Second] += n
		r.Sent[from] = list
	})
}

func (r *Record) add(do func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	do()
}
