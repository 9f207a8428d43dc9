// Package outlier tells a source that is slow from something slow behind all sources alike. Fills by way of several parents
// all wait for one origin; when it is slow, every parent's fills are late, and a parent that is held to be at fault for that
// has its objects filled by others, which lack them and ask the slow origin once more.
//
// Each Member has the share of its late outcomes among the last ones, which loses half its weight in every Half. Others is
// the mean of that over all members but one: the odds at which that one's next late outcome is nobody's fault in particular.
// It takes constant time, whatever the number of members. Whether one server is at fault is weighed by Odds, against what is
// Usual among its kind.
//
// Invariants: a share lies in 0 to 1; the total is the sum of the members' shares, but for rounding; a member that is dropped
// without a word counts on until its share has faded, some four times Half.
package outlier

import (
	"math"
	"time"
)

// PeerGroup is what is behind several sources.
type PeerGroup struct {
	HalfLife time.Duration // in which what was seen loses half its weight
	Weight   float64       // of one outcome in a member's share, 0 to 1
	total    float64
	at       time.Duration
}

// New makes a Group that follows a shared cause within a second, at some ten outcomes a second, and forgets it as soon.
func New() PeerGroup { return PeerGroup{HalfLife: 4 * time.Second, Weight: 0.4} }

// Member is one source's part in a Group. The zero value has seen nothing.
type Member struct {
	share float64
	at    time.Duration
}

// fade is what is left at now of a value that stood at a time.
func (g *PeerGroup) fade(value float64, at, now time.Duration) float64 {
	if g.HalfLife <= 0 || now <= at {
		return value
	}
	return value * math.Exp2(-float64(now-at)/float64(g.HalfLife))
}

// Record takes an outcome of a member that went all the way: late or in time. Times must not fall.
func (g *PeerGroup) Record(m *Member, now time.Duration, late bool) {
	old, seen := g.fade(m.share, m.at, now), 0.0
	if late {
		seen = 1
	}
	m.share, m.at = old+(seen-old)*g.Weight, now
	g.total, g.at = max(0, g.fade(g.total, g.at, now)+m.share-old), now
}

// OthersOverdueRate is the mean share of late outcomes of the other members of a group of so many: 0 where there is none, and Share where
// it is over shared, so that by Odds a late outcome is no sign at all. Not what is Usual: of two members a slow one makes half
// of all outcomes late, and that would be usual.
func (g *PeerGroup) OthersOverdueRate(m *Member, now time.Duration, members int) float64 {
	if members < 2 {
		return 0
	}
	rest := g.fade(g.total, g.at, now) - g.fade(m.share, m.at, now)
	if mean := max(0, rest/float64(members-1)); mean <= shared {
		return mean
	}
	return FaultyErrorRate
}

const (
	// EjectionThreshold is the log odds of being at fault that it takes to leave a server out.
	EjectionThreshold = 5.0
	// FaultyErrorRate is how many of a faulty server's outcomes are bad, and the most that can be usual.
	FaultyErrorRate = 0.5

	shared = 0.3  // of the others' outcomes late
	least  = 0.02 // of a sound one's, where its peers show none
	weight = 0.05 // of a new outcome in what is usual
)

// Baseline is the share of bad outcomes among servers of one kind.
type Baseline float64

// Record notes an outcome and gives the share of bad ones that a sound server has just now. A hard sign, such as a refused
// connection, is no sound server's, and changes nothing of what is usual; nor does what is not to count.
func (u *Baseline) Record(ok, hard, counts bool) float64 {
	share := float64(*u)
	if hard {
		return 0
	}
	if counts {
		*u *= 1 - weight
		if !ok {
			*u += weight
		}
	}
	return share
}

// Odds are the log odds that a server is at fault, from 0 to twice Enough.
type Odds float64

// Update moves the odds by an outcome, of which a sound server has a bad one with the probability share.
func (o *Odds) Update(ok bool, share float64) {
	share = max(least, min(FaultyErrorRate, share))
	if ok {
		*o = max(0, *o+Odds(math.Log((1-FaultyErrorRate)/(1-share))))
	} else {
		*o = min(*o+Odds(math.Log(FaultyErrorRate/share)), 2*EjectionThreshold)
	}
}
