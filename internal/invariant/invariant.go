// Package invariant checks at run time what must hold whatever events cross, counts what does not, and reports it. It
// mends nothing: where a check fails, a guard elsewhere has.
//
// Invariant: each violation is counted under exactly one rule and reported once.
// Bounds: a counter for each rule.
package invariant

// Rule is something that must hold.
type Rule int

// The rules. The names that reports use are in names.
const (
	RequestOpenAtWrite   Rule = iota // an attempt is written only for a request without an end
	OneAttemptInFlight               // without hedging no two attempts of a request are in flight
	EndpointReadyAtWrite             // an attempt is written only to, and filled only from, a ready endpoint
	DeadlineInTime                   // an attempt's deadline is no later than its client waits
	OneResponse                      // a request has at most one response
	NothingOpenAtClose               // a client's connection is not closed for another while requests are open on it
	ruleCount
)

var names = [ruleCount]string{
	RequestOpenAtWrite:   "request-open-at-write",
	OneAttemptInFlight:   "one-attempt-in-flight",
	EndpointReadyAtWrite: "endpoint-ready-at-write",
	DeadlineInTime:       "deadline-in-time",
	OneResponse:          "one-response",
	NothingOpenAtClose:   "nothing-open-at-close",
}

// String returns the name that reports use.
func (r Rule) String() string { return names[r] }

// Monitor counts violations. A nil Monitor checks nothing. It is not safe for concurrent use.
type Monitor struct {
	// Report is told of each violation, with the client's id of the request or what else it was about; nil: nobody is.
	Report func(rule Rule, subject string)
	counts [ruleCount]int
}

// RecordViolation counts and reports that a rule did not hold.
func (m *Monitor) RecordViolation(rule Rule, subject string) {
	if m == nil {
		return
	}
	m.counts[rule]++
	if m.Report != nil {
		m.Report(rule, subject)
	}
}

// Violations is how many there were of all rules.
func (m *Monitor) Violations() (n int) {
	if m == nil {
		return 0
	}
	for _, count := range m.counts {
		n += count
	}
	return n
}
