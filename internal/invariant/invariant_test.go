package invariant

import "testing"

// TestMonitorCountsAndReportsViolations checks that each violation is counted under its rule and reported.
func TestMonitorCountsAndReportsViolations(t *testing.T) {
	var reported []string
	m := Monitor{Report: func(rule Rule, subject string) { reported = append(reported, rule.String()+" "+subject) }}
	for rule := range ruleCount {
		m.RecordViolation(rule, "b")
		if rule.String() == "" {
			t.Errorf("rule %d: String() is empty, want a name", rule)
		}
		if m.counts[rule] != 1 {
			t.Errorf("%v: got a count of %d, want 1", rule, m.counts[rule])
		}
	}
	if m.Violations() != int(ruleCount) || len(reported) != int(ruleCount) || reported[0] != "request-open-at-write b" {
		t.Errorf("got %d violations, reported %q, want one of each rule", m.Violations(), reported)
	}
	var off *Monitor
	if off.RecordViolation(OneResponse, "c"); off.Violations() != 0 {
		t.Error("a nil monitor counted a violation, want 0")
	}
}
