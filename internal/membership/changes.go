package membership

// Kind is the kind of a Change. If several kinds apply, it is the first of them in the order below.
type Kind uint8

// The kinds of changes.
const (
	Removed         Kind = iota // the endpoint is gone
	Added                       // it was gone or unknown; it may be draining already
	StartedDraining             // it must not get new requests
	Moved                       // it has another address
	Restarted                   // it has another start time
	Recovered                   // it was draining and is up again
	Modified                    // its zone, kind, cell or weight has changed
)

// String returns the name used in the log.
func (k Kind) String() string {
	return [...]string{"removed", "added", "draining", "moved", "restarted", "recovered", "modified"}[k]
}

// Reason is the reason for an endpoint's state under the rule.
type Reason uint8

// The reasons.
const (
	Reported   Reason = iota // the deciding source reported this state
	Unlisted                 // no source has a report on the endpoint
	Suppressed               // the endpoint flapped, and its upward transition is delayed
	Replaced                 // another endpoint has claimed its address since
)

// String returns the name shown to operators.
func (r Reason) String() string { return [...]string{"word", "unnamed", "held", "replaced"}[r] }

// Change is a change of an endpoint in the merged view.
type Change struct {
	Kind      Kind
	Endpoint  Endpoint
	Previous  Endpoint
	DecidedBy int // index of the source that decided the state, or NoSource
	Reason    Reason
}

// compare returns the kind of change between two versions of an endpoint, if there is one. A different incarnation
// alone is not a change.
func compare(previous, current Endpoint) (kind Kind, changed bool) {
	previous.Incarnation = current.Incarnation
	switch {
	case previous.State == Gone && current.State == Gone || previous == current:
		return 0, false
	case current.State == Gone:
		return Removed, true
	case previous.State == Gone:
		return Added, true
	case current.State < previous.State:
		return StartedDraining, true
	case current.Address != previous.Address:
		return Moved, true
	case current.StartedAt != previous.StartedAt:
		return Restarted, true
	case current.State > previous.State:
		return Recovered, true
	}
	return Modified, true
}

// changeQueue holds the records to re-evaluate. Those that become more restricted come first.
type changeQueue struct {
	restricting []*endpointRecord
	others      []*endpointRecord
}

func (q *changeQueue) len() int { return len(q.restricting) + len(q.others) }

// push adds a record, unless it is queued already.
func (q *changeQueue) push(r *endpointRecord) {
	if r.queued {
		return
	}
	r.queued = true
	q.others = append(q.others, r)
}

// pushRestricting adds a record ahead of the others. A record that is queued already is then in the queue twice:
// handling the first entry clears record.queued, and the second entry is skipped because of that.
func (q *changeQueue) pushRestricting(r *endpointRecord) {
	r.queued = true
	q.restricting = append(q.restricting, r)
}

// pop removes and returns the first entry. The queue must not be empty.
func (q *changeQueue) pop() *endpointRecord {
	from := &q.others
	if len(q.restricting) > 0 {
		from = &q.restricting
	}
	first := (*from)[0]
	*from = (*from)[1:]
	return first
}

// trim frees the memory of an empty queue, which a large list may have grown.
func (q *changeQueue) trim() {
	if q.len() == 0 {
		*q = changeQueue{}
	}
}
