// Package fairness keeps the largest requests of a class from being the ones that are rejected whenever capacity is
// short. A bound on what is in flight is a bound on sizes: below it all are admitted, above it none, and the same
// large request is rejected as often as it comes. So the shares that are admitted of a class and of its largest
// requests are counted; while those are admitted less than MinAdmittedShare times as often as their class, they are
// admitted by the size of the class's last request. Where they have their share nothing changes.
//
// Invariants: an effective size is never above the request's own. Whatever bounds on sizes come, of the largest tenth
// of a class's requests and of the next fifth at least MinAdmittedShare times as many are admitted as of the class in
// the long run, if a request of the class's usual sizes is admitted that often.
//
// Bounds: a few numbers a class, constant time a request. The package does no I/O and reads no clock.
package fairness

import "math"

// MinAdmissionRatio is the part of their class's share that the largest requests are due: two thirds on quiet days,
// half on others. A day's kind is not known, so it is two thirds always.
const MinAdmissionRatio = 2.0 / 3

// band is a part of a class's requests by size.
type band int

const (
	largestTenth band = iota
	nextFifth
	smaller
	bands
)

// shareAbove is the share of requests that is above where each band begins.
var shareAbove = [smaller]float64{largestTenth: 0.1, nextFifth: 0.3}

const (
	// minStep is the part of the usual distance of two sizes by which one request moves where a band begins, more
	// at first: it follows sizes within some hundreds, however near or far apart they are.
	minStep = 0.02

	bandWeight  = 0.05 // of one request in its band's share: both shares are of the class's last hundred or two
	classWeight = 0.01 // of one request in the class's share
)

// Shares is what is known of one class. The zero value knows nothing.
type Shares struct {
	seen          float64 // requests
	lastSize      float64
	bandStart     [smaller]float64 // smallest size of each band
	distance      float64          // usual distance of two sizes, by their logarithms
	rejected      [bands]float64   // share of each band that was rejected lately
	classRejected float64          // and of the class
}

// EffectiveSize takes a new request and gives the size by which it is to be admitted: its own, or that of the one
// before where that is smaller and the request's band is short of its share.
func (s *Shares) EffectiveSize(size float64) float64 {
	if size <= 0 { // not known, and nothing learnt of the class
		return size
	}
	effective := size
	if 1-s.rejected[s.band(size)] < MinAdmissionRatio*(1-s.classRejected) {
		effective = min(size, s.lastSize)
	}
	s.learn(size)
	return effective
}

// learn moves where the bands begin by a new size.
func (s *Shares) learn(size float64) {
	s.seen++
	step := max(minStep, 1/s.seen)
	if s.lastSize > 0 {
		s.distance += (math.Abs(math.Log(size/s.lastSize)) - s.distance) * step
	}
	for i, share := range shareAbove {
		switch {
		case s.bandStart[i] == 0:
			s.bandStart[i] = size
		case size > s.bandStart[i]:
			s.bandStart[i] *= math.Exp(step * s.distance * (1 - share))
		default:
			s.bandStart[i] *= math.Exp(-step * s.distance * share)
		}
	}
	s.lastSize = size
}

// RecordAdmitted counts a request that was admitted.
func (s *Shares) RecordAdmitted(size float64) { s.record(size, 0) }

// RecordRejected counts a request that was rejected for want of capacity.
func (s *Shares) RecordRejected(size float64) { s.record(size, 1) }

func (s *Shares) record(size, rejected float64) {
	band := s.band(size)
	s.rejected[band] += (rejected - s.rejected[band]) * bandWeight
	s.classRejected += (rejected - s.classRejected) * classWeight
}

func (s *Shares) band(size float64) band {
	for i, start := range s.bandStart {
		if size > start {
			return band(i)
		}
	}
	return smaller
}
