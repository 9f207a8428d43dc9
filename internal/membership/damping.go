package membership

import (
	"math"
	"time"
)

// Damping configures the suppression of flapping endpoints, modeled on RFC 2439: each downward transition adds 1 to a
// penalty, which halves every HalfLife. Once the penalty is at least SuppressAbove, an upward transition is delayed
// until it has fallen to ReuseBelow, but for at most MaxSuppress. The zero value disables damping.
type Damping struct {
	SuppressAbove float64
	ReuseBelow    float64
	HalfLife      time.Duration
	MaxSuppress   time.Duration
}

func (d *Damping) enabled() bool { return d.SuppressAbove > 0 }

// suppressionTime returns how long an upward transition is delayed at a penalty score.
func (d *Damping) suppressionTime(score float64) time.Duration {
	halvings := math.Log2(score / max(d.ReuseBelow, negligibleScore))
	wait := time.Duration(float64(d.HalfLife) * halvings)
	return min(max(wait, 0), d.MaxSuppress)
}

// negligibleScore is the score below which a penalty counts as 0.
const negligibleScore = 1e-3

// penalty is the decaying count of an endpoint's downward transitions.
type penalty struct {
	score float64
	at    time.Duration // when the score was last updated
}

// decay updates the score to the given time.
func (p *penalty) decay(now, halfLife time.Duration) {
	if p.score > 0 && halfLife > 0 && now > p.at {
		p.score *= math.Exp2(-float64(now-p.at) / float64(halfLife))
	}
	if p.score < negligibleScore {
		p.score = 0
	}
	p.at = now
}

// add counts one downward transition.
func (p *penalty) add(now, halfLife time.Duration) {
	p.decay(now, halfLife)
	p.score++
}
