// Package aimd limits the fills that one proxy has in flight to what is behind the caches: the link into the zone,
// the parents and the origin. Additive increase, multiplicative decrease: which of them is short of capacity is not
// known, and shows only in fills that miss their objective.
//
// The limit rises by a part of a fill for each that comes in time while at least half of it is in use, and falls for
// each that is slow. An origin that rejects nothing answers all that it gets, each later than the one before; what is
// in flight to it beyond what it can do within the objective is lost, and so are the writes that share it. So the
// decrease is steep. Where a proxy has little of the links, one slow fill would halve its limit and nothing would
// raise it again for long; so no decrease takes more than a part of it. docs/CAPACITY.md has what was measured.
//
// Invariants: the limit lies between MinLimit and twice InitialLimit, in multiples of the links; a decrease leaves at
// least the limiter's part of it; what is full for a request is full for each of a lower weight.
//
// Bounds: four numbers and constant time a call. The package does no I/O and reads no clock.
package aimd

const (
	// InitialLimit is the limit at the start, in multiples of the zone's links.
	InitialLimit = 1.5
	// MinLimit is the lowest limit, so that a recovery is seen.
	MinLimit = 0.08

	maxLimit = 2 * InitialLimit
	increase = 0.25 // of a fill, for one that comes in time

	// A slow fill decreases the limit by so many links over the proxy's part of them, to no less than a share of it.
	decreaseLinks           = 2
	minRemainder            = 0.75
	cachedOnlyDecreaseLinks = 2.4 // of a fill from what the parent caches: then the link is short, not the origin
	cachedOnlyMinRemainder  = 0.5
)

// Limiter is one limit with what is in flight under it. It is not safe for concurrent use.
type Limiter struct {
	InFlight int     // fills
	Limit    float64 // the limit, in multiples of the zone's links

	decreaseLinks float64
	minRemainder  float64
}

// New makes the limit on fills that may go on to the origin.
func New() Limiter {
	return Limiter{Limit: InitialLimit, decreaseLinks: decreaseLinks, minRemainder: minRemainder}
}

// NewCachedOnly makes the limit on fills from what the parent caches.
func NewCachedOnly() Limiter {
	return Limiter{Limit: InitialLimit, decreaseLinks: cachedOnlyDecreaseLinks, minRemainder: cachedOnlyMinRemainder}
}

// Full says whether there is no capacity for one more fill, where links is this proxy's part of the zone's links and
// weight that of the request, 1 being the mean. A part of a fill is admitted by chance: draw is from 0 up to 1.
func (l *Limiter) Full(links, weight, draw float64) bool {
	return float64(l.InFlight)+draw >= l.Limit*links*weight
}

// Increase raises the limit for a fill that came in time, if at least half of the limit is in use.
func (l *Limiter) Increase(links float64) {
	if float64(l.InFlight+1) > l.Limit*links/2 {
		l.Limit = min(maxLimit, l.Limit+increase/links)
	}
}

// Decrease lowers the limit for a slow fill.
func (l *Limiter) Decrease(links float64) {
	l.Limit = max(MinLimit, l.Limit*max(l.minRemainder, 1-l.decreaseLinks/links))
}

// DecreaseByMaxStep lowers the limit by the largest step that one decrease may take. It is meant for a certain sign of
// overload behind the caches, which comes long before a fill has ended.
func (l *Limiter) DecreaseByMaxStep() { l.Limit = max(MinLimit, l.Limit*l.minRemainder) }
