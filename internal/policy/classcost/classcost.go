// Package classcost estimates what a request of a class takes to send: a mean for expectations, and a cost that is
// charged to the budgets of endpoints that have just started.
//
// Invariants: both estimates lie between the smallest and the largest sample or the first guess; one sample moves
// them as if it were at most ten times the mean, whatever a client says of its size. The cost is never net of load:
// charged too little, endpoints that have just started fall over.
//
// Bounds: three numbers a class, constant time a sample. The package does no I/O and reads no clock.
package classcost

const (
	sizeWeight     = 0.02 // of a new sample of a size
	answerWeight   = 0.04 // of a new sample of an answer's time
	maxMeanPerSize = 10.0 // the most that one sample counts as, in means
)

// Estimate is what has been learnt of a class, in seconds.
type Estimate struct {
	mean  float64
	cost  float64
	sizes float64 // how many the cost rests on
}

// New makes an estimate from a first guess in seconds.
func New(seconds float64) Estimate { return Estimate{mean: seconds, cost: seconds} }

// Mean is the usual sending time in seconds at full pace.
func (e *Estimate) Mean() float64 { return e.mean }

// Cost is what a request takes of an endpoint's budget, in seconds of its link.
func (e *Estimate) Cost() float64 { return e.cost }

// RecordSendingTime records the sending time in seconds of a response whose size is known. The cost starts as the plain
// mean of the samples: the first guess is far too high, and endpoints that have just started would get no requests.
func (e *Estimate) RecordSendingTime(seconds float64) {
	e.mean += (min(seconds, maxMeanPerSize*e.mean) - e.mean) * sizeWeight
	e.sizes++
	e.cost += (min(seconds, maxMeanPerSize*e.mean) - e.cost) * max(sizeWeight, 1/e.sizes)
}

// RecordResponse takes an answer from a cached copy whose size is not known: its time divided by the load that the
// cache had, and its whole time.
func (e *Estimate) RecordResponse(netSeconds, elapsedSeconds float64) {
	e.mean += (netSeconds - e.mean) * answerWeight
	e.cost += (elapsedSeconds - e.cost) * answerWeight
}
