// Package fairness sees to it that the largest requests of a class are not the ones that are always turned away where room is short. A bound on
// how much may be out is a bound on sizes: below it all are let in, above it none, and the same large request is turned away as often as it
// comes (of the largest tenth 0.31 were answered where of all 0.91 were, at half as much again as the caches could send). So who is let in
// is counted, for a class and for its largest; while those are let in less than Owed times as often as their class, they are judged by the
// size of the class's last request. Where they have their share nothing is changed: to judge two thirds of all requests so, without counting,
// cost 0.025 of G on days of restarts with hung boxes, where large ones had 0.85 of their class's share as it was.
//
// It has no I/O and no clock; its state is a few numbers a class.
//
// Invariant: whatever bounds on sizes come, of the largest tenth of a class's requests and of the next fifth at least Owed times as many are
// let in as of the class in the long run, if a request of the class's usual sizes is let in that often.
package fairness

import "math"

// MinAdmittedShare is the part of their class's share that the largest requests are owed: two thirds on quiet days, half on others. A day is not known
// for what it is, so it is two thirds always.
const MinAdmittedShare = 2.0 / 3

const (
	tenth = iota // of a class's requests, with the largest sizes
	fifth        // the next ones
	rest
	bands
)

// above is the share of requests that is above where each band begins.
var above = [rest]float64{tenth: 0.1, fifth: 0.3}

const (
	// stepLeast is the part of the usual distance of two sizes by which one request moves where a band begins, more at first: it follows
	// sizes within some hundreds, however near or far apart they are.
	stepLeast = 0.02
	// recent is the weight of one request in the share of its band that is let in, and recentAll in the class's: both tell of the last
	// hundred or two of the class's.
	recent    = 0.05
	recentAll = 0.01
)

// Shares is what is known of one class. The zero value knows nothing.
type Shares struct {
	seen   float64 // requests
	last   float64
	from   [rest]float64  // where the bands begin
	apart  float64        // usual distance of two sizes, by their logarithms
	turned [bands]float64 // share of each that was turned away lately
	all    float64        // and of the class
}

// EffectiveSize takes a new request and gives the size by which it is to be let in: its own, or that of the one before where that is smaller and
// its band is owed something.
func (s *Shares) EffectiveSize(own float64) float64 {
	if own <= 0 { // not told, and nothing learnt of the class
		return own
	}
	judged, band := own, s.band(own)
	if 1-s.turned[band] < MinAdmittedShare*(1-s.all) {
		judged = min(own, s.last)
	}
	s.seen++
	part := max(stepLeast, 1/s.seen)
	if s.last > 0 {
		s.apart += (math.Abs(math.Log(own/s.last)) - s.apart) * part
	}
	for i, share := range above {
		switch {
		case s.from[i] == 0:
			s.from[i] = own
		case own > s.from[i]:
			s.from[i] *= math.Exp(part * s.apart * (1 - share))
		default:
			s.from[i] *= math.Exp(-part * s.apart * share)
		}
	}
	s.last = own
	return judged
}

// Record counts a request, and whether it was turned away for want of room.
func (s *Shares) Record(own float64, turned bool) {
	v := 0.0
	if turned {
		v = 1
	}
	band := s.band(own)
	s.turned[band] += (v - s.turned[band]) * recent
	s.all += (v - s.all) * recentAll
}

func (s *Shares) band(own float64) int {
	for i, from := range s.from {
		if own > from {
			return i
		}
	}
	return rest
}

// UnitInterval makes a lot from 0 up to 1 of evenly spread bits.
func UnitInterval(bits uint64) float64 { return float64(bits>>11) / (1 << 53) }
