// Package invariant counts and reports violations of rules that must hold at run time in whatever order events arrive.
// It corrects nothing: a violation means that the code that should have ensured the rule has a fault.
//
// Invariant: each violation is counted under exactly one rule and reported once.
// Bounds: one counter for each rule.
package invariant

// Rule is a condition that must always hold.
type Rule int

// The rules. String returns their names in reports.
const (
	RequestOpenAtWrite   Rule = iota // an attempt is written only while its request is open
	OneAttemptInFlight               // without hedging no two attempts of a request are in flight
	EndpointReadyAtWrite             // an attempt is written only to, and filled only from, a ready endpoint
	DeadlineInTime                   // an attempt's deadline has not passed and is within its client's timeout
	OneResponse                      // a request has at most one response
	NothingOpenAtClose               // a client's connection is not evicted while requests are open on it
	ruleCount
)

var ruleNames = [ruleCount]string{
	RequestOpenAtWrite:   "request-open-at-write",
	OneAttemptInFlight:   "one-attempt-in-flight",
	EndpointReadyAtWrite: "endpoint-ready-at-write",
	DeadlineInTime:       "deadline-in-time",
	OneResponse:          "one-response",
	NothingOpenAtClose:   "nothing-open-at-close",
}

// String returns the name of the rule in reports.
func (r Rule) String() string { return ruleNames[r] }

// Monitor counts violations. A nil Monitor checks nothing. It is not safe for concurrent use.
type Monitor struct {
	// Report is called for each violation. The subject is what it concerns: the client's id of the request, or the
	// client's address. If Report is nil, violations are only counted.
	Report func(rule Rule, subject string)
	counts [ruleCount]int
}

// RecordViolation counts and reports a violation of a rule.
func (m *Monitor) RecordViolation(rule Rule, subject string) {
	if m == nil {
		return
	}
	m.counts[rule]++
	if m.Report != nil {
		m.Report(rule, subject)
	}
}

// Violations returns the number of violations of all rules.
func (m *Monitor) Violations() (n int) {
	if m == nil {
		return 0
	}
	for _, count := range m.counts {
		n += count
	}
	return n
}
