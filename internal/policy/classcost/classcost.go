// Package classcost estimates how long a response to a request of one class takes to send. It keeps a mean, from which
// the time of a response is predicted, and a cost, which is charged to the budgets of endpoints that have just started.
//
// Invariants: both estimates lie within the range of the first guess and the samples. A sample of a known size counts
// as at most maxSampleInMeans times the mean, whatever size a client states. The load of the endpoint is never divided
// out of the cost: if too little were charged, endpoints that have just started would be overloaded.
//
// Bounds: three numbers per class, and constant time per sample. The package does no I/O and reads no clock.
package classcost

const (
	sendingTimeWeight = 0.02 // of a new sample whose size is known
	responseWeight    = 0.04 // of a new sample of a response time
	maxSampleInMeans  = 10.0 // upper bound on one sample, as a multiple of the mean
)

// Estimate holds the estimates for one class, in seconds.
type Estimate struct {
	mean         float64
	cost         float64
	sendingTimes float64 // number of sending times recorded
}

// New returns an estimate that starts from a first guess in seconds.
func New(seconds float64) Estimate { return Estimate{mean: seconds, cost: seconds} }

// Mean returns the mean sending time in seconds, at full rate.
func (e *Estimate) Mean() float64 { return e.mean }

// Cost returns what a request is charged to an endpoint's budget, in seconds of sending at full rate.
func (e *Estimate) Cost() float64 { return e.cost }

// RecordSendingTime records the sending time in seconds of a response whose size is known. The cost starts as the plain
// mean of the samples: the first guess is far too high, and endpoints that have just started would get no requests.
func (e *Estimate) RecordSendingTime(seconds float64) {
	e.mean += (min(seconds, maxSampleInMeans*e.mean) - e.mean) * sendingTimeWeight
	e.sendingTimes++
	e.cost += (min(seconds, maxSampleInMeans*e.mean) - e.cost) * max(sendingTimeWeight, 1/e.sendingTimes)
}

// RecordResponse records a response from a cached copy whose size is not known. netSeconds is its time divided by the
// load of the cache, and elapsedSeconds its whole time.
func (e *Estimate) RecordResponse(netSeconds, elapsedSeconds float64) {
	e.mean += (netSeconds - e.mean) * responseWeight
	e.cost += (elapsedSeconds - e.cost) * responseWeight
}
