package drill

import (
	"fmt"
	"strings"
	"time"
)

// socketSlack is what the platform's rules allow beyond each time on sockets.
const socketSlack = 50 * time.Millisecond

// maxDetails bounds how many findings a verdict tells in full.
const maxDetails = 3

// Verdict is what became of an invariant.
type Verdict struct {
	Invariant Invariant
	OK        bool
	Details   string // figures, or the first things that broke it
}

// findings collects what breaks an invariant.
type findings struct {
	details []string
	count   int
}

// add notes one thing that breaks it.
func (f *findings) add(format string, values ...any) {
	f.count++
	if len(f.details) < maxDetails {
		f.details = append(f.details, fmt.Sprintf(format, values...))
	}
}

// Audit holds the record against the plan. It is called once, when the drill is over.
func (c *Cluster) Audit() []Verdict {
	c.readViolations()
	c.Record.mu.Lock()
	defer c.Record.mu.Unlock()
	var verdicts []Verdict
	for _, invariant := range c.Plan.Invariants {
		verdicts = append(verdicts, c.Record.evaluate(invariant))
	}
	return verdicts
}

// evaluate checks one invariant.
func (r *Record) evaluate(invariant Invariant) Verdict {
	var found findings
	summary := checkForms[invariant.name].check(r, invariant, &found)
	if found.count == 0 {
		return Verdict{invariant, true, summary}
	}
	return Verdict{invariant, false, fmt.Sprintf("%d times: %s", found.count, strings.Join(found.details, "; "))}
}
