package quota

import (
	"fmt"
	"strconv"
	"time"
)

// Kind is what a budget counts.
type Kind uint8

// The kinds: rates first, then what is open until it is released, then reasons of a rejection that are no budget.
const (
	Requests       Kind = iota // a second
	PriorityWeight             // a second
	Bytes                      // a second
	Attempts                   // a second, first ones and retries
	Retries                    // a second
	rateKinds
	OpenRequests = rateKinds
	OpenBytes    = OpenRequests + 1
	kindCount    = OpenBytes + 1
	NoClass      = kindCount     // the contract does not have the class
	NoContract   = kindCount + 1 // there is no contract
	Concurrency  = kindCount + 2 // the concurrency limit, as learned
)

const openKinds = kindCount - rateKinds

// kindWords are the words of settings and of rejections.
var kindWords = [...]string{
	Requests: "requests", PriorityWeight: "worth", Bytes: "bytes", Attempts: "attempts", Retries: "repeats",
	OpenRequests: "open", OpenBytes: "open-bytes",
	NoClass: "class", NoContract: "contract", Concurrency: "capacity",
}

// String returns the word that settings and rejections use.
func (k Kind) String() string { return kindWords[k] }

// Limit is what a contract says of one kind of rate.
type Limit struct {
	Set        bool
	Guaranteed float64 // units a second
	Ceiling    float64 // units a second, at least Guaranteed
}

// Cost is what one request takes of each kind at its admission.
type Cost struct {
	PriorityWeight float64
	Bytes          float64
}

// of returns the cost of a kind. Requests and attempts count one each.
func (c Cost) of(kind Kind) float64 {
	switch kind {
	case PriorityWeight:
		return c.PriorityWeight
	case Bytes, OpenBytes:
		return c.Bytes
	}
	return 1
}

// Rejection is the budget that a request is over.
type Rejection struct {
	Node       string // its path, as "lanes/lookup"; "installation" for the root
	Kind       Kind
	Requested  float64
	Left       float64       // that could have been had
	RetryAfter time.Duration // when it would fit; 0: no time is known
}

// String returns the sentence that a client is given.
func (r *Rejection) String() string {
	switch r.Kind {
	case NoContract:
		return "no contract for " + r.Node
	case NoClass:
		return "the class is not in the contract of " + r.Node
	}
	return fmt.Sprintf("budget %s %s: asked %s, left %s",
		r.Node, r.Kind, formatUnits(r.Requested), formatUnits(r.Left))
}

// BudgetName returns the budget alone, as a field of a response has it.
func (r *Rejection) BudgetName() string { return r.Node + " " + r.Kind.String() }

// formatUnits writes a number for people, with four digits.
func formatUnits(units float64) string { return strconv.FormatFloat(units, 'g', 4, 64) }
