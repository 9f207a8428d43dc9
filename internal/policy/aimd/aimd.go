// Package aimd bounds what one sender has out to the narrow places behind the caches: the link into the zone, the parents
// and the origin. Which of them is narrow is not told, and shows only in fills that come late.
//
// The limit rises by a part of a fill for each that comes in time while at least half of it is in use, and is cut for each
// that comes late. An origin that turns nobody away answers all that it is asked, each later than the one before; what is
// out to it beyond what it can do in the wanted time is lost, and so are the writes that share it. So the cut is steep: at
// 0.7 links instead of 2 days of mass purges and a slow origin lose 0.011 to 0.016 of G (docs/MEASUREMENTS.md).
//
// Where a sender has little of the links, as one of hundreds has, the same cut would halve the limit for one late fill and
// nothing would raise it again for long; so no cut takes more than a part of it.
//
// Invariants: Least <= the limit <= twice First, in links.
package aimd

const (
	// InitialLimit is the number of probable fills out at the start, in multiples of the zone's links.
	InitialLimit = 1.5
	// MinLimit is what stays of it, whatever comes late: so that a recovery is seen.
	MinLimit = 0.08

	cut, keep         = 2, 0.75  // in links, and what of the limit is left at least
	heldCut, heldKeep = 2.4, 0.5 // for a fill from what the parent holds: then the link is narrow, not the origin
	rise              = 0.25     // of a fill, for one that comes in time
)

// Limiter is one limit with what is out under it. It is not safe for concurrent use.
type Limiter struct {
	InFlight  int     // fills that are out
	Max       float64 // the limit, in multiples of the zone's links
	cut, keep float64
}

// New makes the limit on fills that may go on to the origin.
func New() Limiter { return Limiter{Max: InitialLimit, cut: cut, keep: keep} }

// NewCachedOnly makes the limit on fills from what the parent holds.
func NewCachedOnly() Limiter { return Limiter{Max: InitialLimit, cut: heldCut, keep: heldKeep} }

// Full says whether there is no room for one more, where zone is this sender's part of the zone's links and value weighs
// the request, 1 being the mean. A part of a fill is given by lot, from 0 up to 1.
func (l *Limiter) Full(zone, value, lot float64) bool {
	return float64(l.InFlight)+lot >= l.Max*zone*value
}

// Adapt moves the limit by whether a fill came in time.
func (l *Limiter) Adapt(zone float64, inTime bool) {
	if !inTime {
		l.Max = max(MinLimit, l.Max*max(l.keep, 1-l.cut/zone))
	} else if most := l.Max * zone; float64(l.InFlight+1) > most/2 {
		l.Max = min(2*InitialLimit, l.Max+rise/zone)
	}
}

// Decrease cuts the limit as far as one cut goes: for a sure sign that what is behind is crowded, though no fill has ended yet. At
// an origin that turns nobody away, each write waited out its 3 s before its end was counted, and the queue stood meanwhile.
func (l *Limiter) Decrease() { l.Max = max(MinLimit, l.Max*l.keep) }
