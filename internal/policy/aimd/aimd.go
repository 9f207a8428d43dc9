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
	// First is the number of probable fills out at the start, in multiples of the zone's links.
	First = 1.5
	// Least is what stays of it, whatever comes late: so that a recovery is seen.
	Least = 0.08

	cut, keep         = 2, 0.75  // in links, and what of the limit is left at least
	heldCut, heldKeep = 2.4, 0.5 // for a fill from what the parent holds: then the link is narrow, not the origin
	rise              = 0.25     // of a fill, for one that comes in time
)

// Limiter is one limit with what is out under it. It is not safe for concurrent use.
type Limiter struct {
	Out       int     // fills that are out
	Most      float64 // the limit, in multiples of the zone's links
	cut, keep float64
}

// New makes the limit on fills that may go on to the origin.
func New() Limiter { return Limiter{Most: First, cut: cut, keep: keep} }

// NewHeld makes the limit on fills from what the parent holds.
func NewHeld() Limiter { return Limiter{Most: First, cut: heldCut, keep: heldKeep} }

// Narrow says whether there is no room for one more, where zone is this sender's part of the zone's links and value weighs
// the request, 1 being the mean. A part of a fill is given by lot, from 0 up to 1.
func (l *Limiter) Narrow(zone, value, lot float64) bool {
	return float64(l.Out)+lot >= l.Most*zone*value
}

// Adapt moves the limit by whether a fill came in time.
func (l *Limiter) Adapt(zone float64, inTime bool) {
	if !inTime {
		l.Most = max(Least, l.Most*max(l.keep, 1-l.cut/zone))
	} else if most := l.Most * zone; float64(l.Out+1) > most/2 {
		l.Most = min(2*First, l.Most+rise/zone)
	}
}

// Back cuts the limit as far as one cut goes: for a sure sign that what is behind is crowded, though no fill has ended yet. At
// an origin that turns nobody away, each write waited out its 3 s before its end was counted, and the queue stood meanwhile.
func (l *Limiter) Back() { l.Most = max(Least, l.Most*l.keep) }
