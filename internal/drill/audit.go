package drill

import (
	"fmt"
	"strings"
	"time"
)

// socketSlack is the tolerance that the platform's rules allow for each time that is observed on sockets.
const socketSlack = 50 * time.Millisecond

// maxDetails bounds how many findings a verdict reports in full.
const maxDetails = 3

// Verdict is the result of checking an invariant.
type Verdict struct {
	Invariant Invariant
	OK        bool
	Details   string // figures if it held, else the first violations
}

// findings collects the violations of an invariant.
type findings struct {
	details []string
	count   int
}

// add counts a violation and keeps the details of the first maxDetails.
func (f *findings) add(format string, values ...any) {
	f.count++
	if len(f.details) < maxDetails {
		f.details = append(f.details, fmt.Sprintf(format, values...))
	}
}

// Audit checks the record against the plan's invariants. It must be called once, after the drill.
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
	return Verdict{invariant, false, fmt.Sprintf("%d violations: %s", found.count, strings.Join(found.details, "; "))}
}
