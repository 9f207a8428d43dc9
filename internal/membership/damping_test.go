package membership

import (
	"testing"
	"time"
)

// TestDamping checks that downward transitions of a flapping endpoint take effect at once, and that its upward ones are
// suppressed, for at most MaxSuppress.
func TestDamping(t *testing.T) {
	d := Damping{SuppressAbove: 3, ReuseBelow: 0.5, HalfLife: 2 * time.Second, MaxSuppress: 6 * time.Second}
	f := newFollower(Config{Sources: []Source{{Damping: d}}})
	now, state := start, Up
	changes, last := 0, Gone
	for range 400 { // 40 transitions per second for 10 s
		f.ReplaceList(now, 0, List{Endpoints: []Endpoint{testEndpoint("a", state), testEndpoint("b", Up)}})
		f.advance(now)
		if state == Gone && f.state("a") != Gone {
			t.Fatalf("at %v: got state %v of an endpoint reported as gone, want gone", now-start, f.state("a"))
		}
		if f.state("a") != last {
			changes, last = changes+1, f.state("a")
		}
		now += 25 * ms
		state = Up - state
	}
	if changes > 12 {
		t.Errorf("got %d published changes of an endpoint that flapped 400 times, want at most 12", changes)
	}
	f.ReplaceList(now, 0, List{Endpoints: upEndpoints("a", "b")})
	if f.advance(now); f.state("a") != Gone || f.state("b") != Up {
		t.Errorf("after the flapping: got a %v and b %v, want gone and up", f.state("a"), f.state("b"))
	}
	if f.advance(now + d.MaxSuppress); f.state("a") != Up {
		t.Errorf("got state %v after %v without a transition, want up", f.state("a"), d.MaxSuppress)
	}
	f.ReplaceList(now+time.Minute, 0, List{Endpoints: []Endpoint{testEndpoint("a", Gone), testEndpoint("b", Up)}})
	f.advance(now + time.Minute)
	f.ReplaceList(now+time.Minute, 0, List{Endpoints: upEndpoints("a", "b")})
	if f.advance(now + time.Minute); f.state("a") != Up {
		t.Error("a single transition after a minute without any is suppressed, want it to take effect at once")
	}
}

// TestPenalty checks that a penalty halves every half-life, and that an upward transition is delayed until the penalty
// has fallen to ReuseBelow.
func TestPenalty(t *testing.T) {
	damping := Damping{SuppressAbove: 3, ReuseBelow: 1, HalfLife: 5 * time.Second, MaxSuppress: 12 * time.Second}
	var p penalty
	for range 4 {
		p.add(start, damping.HalfLife)
	}
	for _, c := range []struct {
		score float64
		want  time.Duration
	}{{0.5, 0}, {1, 0}, {2, 5 * time.Second}, {4, 10 * time.Second}, {8, 12 * time.Second}} {
		if got := damping.suppressionTime(c.score); got != c.want {
			t.Errorf("score %v: got a delay of %v, want %v", c.score, got, c.want)
		}
	}
	p.decay(start+10*time.Second, damping.HalfLife)
	if p.score != 1 {
		t.Errorf("got %v of a score of 4 after two half-lives, want 1", p.score)
	}
	p.decay(start+time.Minute, damping.HalfLife)
	if p.score != 0 {
		t.Errorf("got a score of %v after ten more half-lives, want 0", p.score)
	}
}
