// Package aimd limits the fills that one proxy has in flight to the capacity behind the caches: the link into the zone,
// the parents and the origin. It uses additive increase and multiplicative decrease (AIMD), because the proxy does not
// know which of them is short of capacity and notices a shortage only by fills that miss their objective.
//
// The limit rises by a fraction of a fill for each fill that ends within its objective while at least half of the limit
// is in use, and falls with each slow fill. The decrease is steep because an origin that rejects nothing answers every
// request, each later than the one before: fills in flight beyond those that it can answer within the objective are
// wasted, and so are the writes that share the origin. Each decrease is bounded because one slow fill would otherwise
// halve the limit of a proxy with a small share of the links, and nothing would raise it again for a long time.
// See docs/CAPACITY.md for the figures.
//
// Invariants: the limit lies between MinLimit and twice InitialLimit; one decrease leaves at least minDecreaseFactor of
// the limit; a limiter that is full for a request is full for every request of a lower weight.
//
// Bounds: four numbers, and constant time per call. The package does no I/O and reads no clock.
package aimd

const (
	// InitialLimit is the limit at the start, as a multiple of the proxy's link capacity.
	InitialLimit = 1.5
	// MinLimit is the lowest limit. It is above zero so that some fills continue and show when capacity has recovered.
	MinLimit = 0.08

	maxLimit      = 2 * InitialLimit
	increaseFills = 0.25 // fills that the limit rises by for each fill within its objective

	// A slow fill multiplies the limit by 1 - decreaseFills/linkCapacity, but by no less than minDecreaseFactor. The
	// cached-only values apply to fills that the parent serves from its cache: if those are slow, the link is short of
	// capacity, and not the origin.
	decreaseFills               = 2
	minDecreaseFactor           = 0.75
	cachedOnlyDecreaseFills     = 2.4
	cachedOnlyMinDecreaseFactor = 0.5
)

// Limiter holds one limit and the number of fills in flight that count against it. It is not safe for concurrent use.
type Limiter struct {
	InFlight int     // fills
	Limit    float64 // as a multiple of the proxy's link capacity

	decreaseFills     float64
	minDecreaseFactor float64
}

// New returns a limiter for fills that may go on to the origin.
func New() Limiter {
	return Limiter{Limit: InitialLimit, decreaseFills: decreaseFills, minDecreaseFactor: minDecreaseFactor}
}

// NewCachedOnly returns a limiter for fills that the parent serves from its cache only.
func NewCachedOnly() Limiter {
	return Limiter{
		Limit: InitialLimit, decreaseFills: cachedOnlyDecreaseFills, minDecreaseFactor: cachedOnlyMinDecreaseFactor}
}

// Full reports whether the limit leaves no room for one more fill. linkCapacity is this proxy's share of the zone's
// links, in concurrent fills at full rate, and weight is the request's weight, with a mean of 1. If there is room for a
// fraction of a fill only, the fill is admitted with that probability, by draw, a random number in [0, 1).
func (l *Limiter) Full(linkCapacity, weight, draw float64) bool {
	return float64(l.InFlight)+draw >= l.Limit*linkCapacity*weight
}

// Increase raises the limit after a fill within its objective, if at least half of the limit is in use.
func (l *Limiter) Increase(linkCapacity float64) {
	if float64(l.InFlight+1) > l.Limit*linkCapacity/2 {
		l.Limit = min(maxLimit, l.Limit+increaseFills/linkCapacity)
	}
}

// Decrease lowers the limit after a slow fill.
func (l *Limiter) Decrease(linkCapacity float64) {
	l.Limit = max(MinLimit, l.Limit*max(l.minDecreaseFactor, 1-l.decreaseFills/linkCapacity))
}

// DecreaseByMaxStep lowers the limit by the largest step that one decrease may take. It is for a sure sign of overload
// behind the caches, which can come long before a fill has ended.
func (l *Limiter) DecreaseByMaxStep() { l.Limit = max(MinLimit, l.Limit*l.minDecreaseFactor) }
