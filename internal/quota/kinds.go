package quota

import (
	"fmt"
	"strconv"
	"time"
)

// Kind is what a budget counts.
type Kind uint8

// The kinds: rates first, then what is held until it is given back.
const (
	Requests       Kind = iota // a second
	PriorityWeight             // a second
	Bytes                      // a second
	Attempts                   // a second: first ones and repeats
	Retries                    // attempts after the first, a second
	rateKinds
	OpenRequests = rateKinds // requests
	OpenBytes    = OpenRequests + 1
	kindCount    = OpenBytes + 1
	NoClass      = kindCount     // not a budget: the contract does not have the class
	NoContract   = kindCount + 1 // nor this: there is no contract
	Concurrency  = kindCount + 2 // what the boxes carry, as learned
)

const levelKinds = kindCount - rateKinds

// String gives the word that settings and refusals use.
func (k Kind) String() string {
	return [...]string{"requests", "worth", "bytes", "attempts", "repeats", "open", "open-bytes", "class", "contract", "capacity"}[k]
}

// Limit is what a contract says of one kind of rate.
type Limit struct {
	Set        bool
	Guaranteed float64 // units a second
	Ceiling    float64 // units a second, at least Guaranteed
}

// Rejection says which budget turned a request away.
type Rejection struct {
	Node       string // its path, as "lanes/lookup"; "installation" for the whole
	Kind       Kind
	Requested  float64
	Left       float64       // that could have been had
	RetryAfter time.Duration // when it would fit; 0: no time is known
}

// String words it for people.
func (r *Rejection) String() string {
	switch r.Kind {
	case NoContract:
		return "no contract for " + r.Node
	case NoClass:
		return "the class is not in the contract of " + r.Node
	}
	return fmt.Sprintf("budget %s %s: asked %s, left %s", r.Node, r.Kind, short(r.Requested), short(r.Left))
}

// Name is the budget alone, as a field of an answer tells it.
func (r *Rejection) Name() string { return r.Node + " " + r.Kind.String() }

func short(v float64) string { return strconv.FormatFloat(v, 'g', 4, 64) }

// Cost is what one request takes of each kind at its admission.
type Cost struct {
	PriorityWeight float64
	Bytes          float64
}

func (c Cost) of(k Kind) float64 {
	switch k {
	case Requests, OpenRequests:
		return 1
	case PriorityWeight:
		return c.PriorityWeight
	case Bytes, OpenBytes:
		return c.Bytes
	}
	return 0
}
