package membership

import (
	"math"
	"time"
)

// Damping suppresses an endpoint that flaps, after RFC 2439: each way down adds 1 to its penalty, which halves once
// each HalfLife. From SuppressAbove on, a way up waits until the penalty has fallen to ReuseBelow, and for MaxSuppress
// at the longest. The zero value damps nothing.
type Damping struct {
	SuppressAbove float64
	ReuseBelow    float64
	HalfLife      time.Duration
	MaxSuppress   time.Duration
}

func (d *Damping) enabled() bool { return d.SuppressAbove > 0 }

// suppression is how long a way up waits at a penalty.
func (d *Damping) suppression(score float64) time.Duration {
	halvings := math.Log2(score / max(d.ReuseBelow, negligibleScore))
	wait := time.Duration(float64(d.HalfLife) * halvings)
	return min(max(wait, 0), d.MaxSuppress)
}

// negligibleScore is the score below which a penalty counts as spent.
const negligibleScore = 1e-3

// penalty is what an endpoint's ways down have added up to.
type penalty struct {
	score float64
	at    time.Duration // when the score was brought up to date
}

// decay brings the score up to date.
func (p *penalty) decay(now, halfLife time.Duration) {
	if p.score > 0 && halfLife > 0 && now > p.at {
		p.score *= math.Exp2(-float64(now-p.at) / float64(halfLife))
	}
	if p.score < negligibleScore {
		p.score = 0
	}
	p.at = now
}

// add counts one way down.
func (p *penalty) add(now, halfLife time.Duration) {
	p.decay(now, halfLife)
	p.score++
}
