// Package fairness keeps the largest requests of a class from taking all the rejections when capacity is short. A bound
// on the load in flight acts as a bound on size: smaller requests are all admitted and larger ones never, and a large
// request is rejected again each time it is retried. So the package tracks which share of a class's requests and of its
// largest requests is admitted. While the largest are admitted less than MinAdmissionRatio times as often as the class,
// they are admitted by the size of the class's previous request; otherwise every request is admitted by its own size.
//
// Invariants: an effective size never exceeds the request's own size. For any sequence of bounds on size, the admitted
// shares of the largest tenth and of the next fifth of a class's requests are, in the long run, at least
// MinAdmissionRatio times the admitted share of the class, if requests of the class's usual sizes are admitted that
// often.
//
// Bounds: a few numbers per class, and constant time per request. The package does no I/O and reads no clock.
package fairness

import "math"

// MinAdmissionRatio is the lowest ratio of the admitted share of the largest requests to that of their class. The
// target is two thirds at low load and one half under overload. Which of them applies is not known here, so the ratio
// is always two thirds.
const MinAdmissionRatio = 2.0 / 3

// band is a range of sizes of a class's requests.
type band int

const (
	largestTenth band = iota
	nextFifth
	smaller
	bands
)

// shareAbove is, for each band, the share of requests that are larger than its lower bound.
var shareAbove = [smaller]float64{largestTenth: 0.1, nextFifth: 0.3}

const (
	// minLearningRate scales the step by which one request moves a lower bound, as a fraction of logDistance. The first
	// requests take larger steps. The bounds adapt within some hundreds of requests, whatever the spread of the sizes.
	minLearningRate = 0.02

	bandWeight  = 0.05 // of one request in its band's rate; both rates cover the class's last 100 to 200 requests
	classWeight = 0.01 // of one request in the class's rate
)

// Shares tracks the rejection rates of one class and of its size bands. The zero value has seen no requests.
type Shares struct {
	requests           float64 // requests with a known size so far
	lastSize           float64
	bandLowerBound     [smaller]float64 // lower bound of each band; 0 before the first request
	logDistance        float64          // mean distance between the logarithms of consecutive sizes
	rejectionRate      [bands]float64   // recent share of each band's requests that were rejected
	classRejectionRate float64          // the same for the whole class
}

// EffectiveSize records the size of a new request and returns the size by which to admit it: its own, or that of the
// class's previous request if that is smaller and the request's band is admitted too rarely.
func (s *Shares) EffectiveSize(size float64) float64 {
	if size <= 0 { // unknown, so the bands are not updated
		return size
	}
	effective := size
	if 1-s.rejectionRate[s.band(size)] < MinAdmissionRatio*(1-s.classRejectionRate) {
		effective = min(size, s.lastSize)
	}
	s.updateBands(size)
	return effective
}

// updateBands moves the lower bounds of the bands towards their quantiles, by the size of one request.
func (s *Shares) updateBands(size float64) {
	s.requests++
	learningRate := max(minLearningRate, 1/s.requests)
	if s.lastSize > 0 {
		s.logDistance += (math.Abs(math.Log(size/s.lastSize)) - s.logDistance) * learningRate
	}
	for i, share := range shareAbove {
		switch {
		case s.bandLowerBound[i] == 0:
			s.bandLowerBound[i] = size
		case size > s.bandLowerBound[i]:
			s.bandLowerBound[i] *= math.Exp(learningRate * s.logDistance * (1 - share))
		default:
			s.bandLowerBound[i] *= math.Exp(-learningRate * s.logDistance * share)
		}
	}
	s.lastSize = size
}

// RecordAdmitted counts a request that was admitted.
func (s *Shares) RecordAdmitted(size float64) { s.record(size, 0) }

// RecordRejected counts a request that was rejected for lack of capacity.
func (s *Shares) RecordRejected(size float64) { s.record(size, 1) }

func (s *Shares) record(size, rejected float64) {
	band := s.band(size)
	s.rejectionRate[band] += (rejected - s.rejectionRate[band]) * bandWeight
	s.classRejectionRate += (rejected - s.classRejectionRate) * classWeight
}

func (s *Shares) band(size float64) band {
	for i, lowerBound := range s.bandLowerBound {
		if size > lowerBound {
			return band(i)
		}
	}
	return smaller
}
