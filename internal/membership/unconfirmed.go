package membership

import "time"

// The functions of this file implement point 6 of the rule in the package comment.

// isConfirmed reports whether a source has a confirmed report on the endpoint.
func (r *endpointRecord) isConfirmed() bool {
	for i := range r.reports {
		if r.reports[i].present && !r.reports[i].unconfirmed {
			return true
		}
	}
	return false
}

// unconfirmedCount returns 1 for an unconfirmed report, else 0.
func (r *report) unconfirmedCount() int {
	if r.present && r.unconfirmed {
		return 1
	}
	return 0
}

// addUnconfirmed changes the number of a source's unconfirmed reports.
func (t *Table) addUnconfirmed(source, change int) {
	t.sources[source].unconfirmed += change
	t.unconfirmed += change
}

// adjustClaim makes an endpoint claim its address again if it has got its first confirmed report or lost its last one:
// addressIndex keeps both sorts apart.
func (t *Table) adjustClaim(r *endpointRecord) {
	if r.address == "" || !r.isReported() {
		return
	}
	if claimedConfirmed := r.claimSequence&confirmedClaim != 0; claimedConfirmed != r.isConfirmed() {
		t.claimAddress(r)
	}
}

// withdrawUnconfirmed withdraws the unconfirmed reports of a source that its first complete list lacks.
func (t *Table) withdrawUnconfirmed(now time.Duration, source int) {
	state := &t.sources[source]
	if state.unconfirmed == 0 {
		return
	}
	for _, record := range state.order {
		current := &record.reports[source]
		if current.present && current.unconfirmed && current.generation != state.generation {
			t.withdraw(now, source, record)
		}
	}
}
