package quota

import (
	"fmt"
	"strconv"
	"time"
)

// Kind is what a budget counts, or another reason to reject a request.
type Kind uint8

// The kinds: first the rates, then the open requests and their bytes, which count until the requests are released, and
// then the reasons for a rejection that are not budgets.
const (
	Requests       Kind = iota // per second
	PriorityWeight             // per second
	Bytes                      // per second
	Attempts                   // per second, first attempts and retries
	Retries                    // per second
	rateKinds
	OpenRequests = rateKinds
	OpenBytes    = OpenRequests + 1
	kindCount    = OpenBytes + 1
	NoClass      = kindCount     // the contract does not allow the class
	NoContract   = kindCount + 1 // there is no contract
	Concurrency  = kindCount + 2 // the adaptive concurrency limit
)

const openKinds = kindCount - rateKinds

// kindNames holds the names of the kinds in settings and rejections.
var kindNames = [...]string{
	Requests: "requests", PriorityWeight: "worth", Bytes: "bytes", Attempts: "attempts", Retries: "repeats",
	OpenRequests: "open", OpenBytes: "open-bytes",
	NoClass: "class", NoContract: "contract", Concurrency: "capacity",
}

// String returns the name of the kind in settings and rejections.
func (k Kind) String() string { return kindNames[k] }

// Limit is the limit of a contract on one kind of rate.
type Limit struct {
	Set        bool
	Guaranteed float64 // units per second
	Ceiling    float64 // units per second, at least Guaranteed
}

// Cost holds the units that a request takes at its admission. It always counts as one request.
type Cost struct {
	PriorityWeight float64
	Bytes          float64
}

// of returns the units of a kind. Requests, attempts and retries count one each.
func (c Cost) of(kind Kind) float64 {
	switch kind {
	case PriorityWeight:
		return c.PriorityWeight
	case Bytes, OpenBytes:
		return c.Bytes
	}
	return 1
}

// Rejection says which budget a request exceeds, or why it is rejected otherwise.
type Rejection struct {
	Node       string // path of the budget's node, such as "lanes/lookup"; "installation" for the root
	Kind       Kind
	Requested  float64       // units
	Left       float64       // units that were still available
	RetryAfter time.Duration // until the request is expected to fit; 0: unknown
}

// String returns the reason of the rejection as clients are told.
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

// BudgetName returns the name of the budget for the responses to clients: the node's path and the kind.
func (r *Rejection) BudgetName() string { return r.Node + " " + r.Kind.String() }

// formatUnits formats a number with four significant digits.
func formatUnits(units float64) string { return strconv.FormatFloat(units, 'g', 4, 64) }
