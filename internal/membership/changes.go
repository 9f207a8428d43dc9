package membership

// Kind says what is new about an endpoint; where several things are, the first that applies.
type Kind uint8

// The kinds of changes.
const (
	Removed         Kind = iota // it is gone
	Added                       // it was gone or unknown; it may be draining already
	StartedDraining             // it is to take nothing new
	Moved                       // it is at another address
	Restarted                   // it has started anew
	Recovered                   // it was draining and is up
	Modified                    // zone, kind, cell or weight
)

// String gives the word that the log uses.
func (k Kind) String() string {
	return [...]string{"removed", "added", "draining", "moved", "restarted", "recovered", "modified"}[k]
}

// Reason says what in the rule decided an endpoint's state.
type Reason uint8

// The reasons.
const (
	Reported   Reason = iota // the report of the source that is named
	Unlisted                 // no source has a report on it
	Suppressed               // it flapped, and its way up waits
	Replaced                 // another endpoint came to its address later
)

// String gives the words that operators read.
func (r Reason) String() string { return [...]string{"word", "unnamed", "held", "replaced"}[r] }

// Change is what is new about an endpoint.
type Change struct {
	Kind      Kind
	Endpoint  Endpoint
	Previous  Endpoint
	DecidedBy int // the source that decided, or NoSource
	Reason    Reason
}

// compare says what is new, if anything is. Another incarnation alone is nothing new.
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

// changeQueue has the records that are to be decided anew. What becomes more restricted overtakes the rest.
type changeQueue struct {
	restricting []*endpointRecord
	others      []*endpointRecord
}

func (q *changeQueue) len() int { return len(q.restricting) + len(q.others) }

// push adds a record unless it is queued already.
func (q *changeQueue) push(r *endpointRecord) {
	if r.queued {
		return
	}
	r.queued = true
	q.others = append(q.others, r)
}

// pushRestricting adds a record before the others. One that is queued already then stands in the queue twice, and the
// entry that comes first clears record.queued, by which the second is passed over.
func (q *changeQueue) pushRestricting(r *endpointRecord) {
	r.queued = true
	q.restricting = append(q.restricting, r)
}

// pop removes the first entry of a queue that is not empty.
func (q *changeQueue) pop() *endpointRecord {
	from := &q.others
	if len(q.restricting) > 0 {
		from = &q.restricting
	}
	first := (*from)[0]
	*from = (*from)[1:]
	return first
}

// trim frees the memory of an empty queue, which a large list has made large.
func (q *changeQueue) trim() {
	if q.len() == 0 {
		*q = changeQueue{}
	}
}
