package membership

import (
	"testing"
	"time"
)

// TestDamping: an endpoint that flaps goes down at once each time and is suppressed, never longer than the bound.
func TestDamping(t *testing.T) {
	d := Damping{SuppressAbove: 3, ReuseBelow: 0.5, HalfLife: 2 * time.Second, MaxSuppress: 6 * time.Second}
	f := newFollower(Config{Sources: []Source{{Damping: d}}})
	now, state := start, Up
	changes, last := 0, Gone
	for range 400 { // forty a second for ten seconds
		f.ReplaceList(now, 0, List{Endpoints: []Endpoint{testEndpoint("a", state), testEndpoint("b", Up)}})
		f.advance(now)
		if state == Gone && f.state("a") != Gone {
			t.Fatalf("at %v the endpoint is reported as gone and published as %v", now-start, f.state("a"))
		}
		if f.state("a") != last {
			changes, last = changes+1, f.state("a")
		}
		now += 25 * ms
		state = Up - state
	}
	if changes > 12 {
		t.Errorf("%d changes were published of an endpoint that flapped 400 times", changes)
	}
	f.ReplaceList(now, 0, List{Endpoints: upEndpoints("a", "b")})
	if f.advance(now); f.state("a") != Gone || f.state("b") != Up {
		t.Errorf("a is %v and b %v after the flapping, want a suppressed", f.state("a"), f.state("b"))
	}
	if f.advance(now + d.MaxSuppress); f.state("a") != Up {
		t.Errorf("the endpoint is %v after %v without a flap", f.state("a"), d.MaxSuppress)
	}
	f.ReplaceList(now+time.Minute, 0, List{Endpoints: []Endpoint{testEndpoint("a", Gone), testEndpoint("b", Up)}})
	f.advance(now + time.Minute)
	f.ReplaceList(now+time.Minute, 0, List{Endpoints: upEndpoints("a", "b")})
	if f.advance(now + time.Minute); f.state("a") != Up {
		t.Error("a single way down after a quiet minute is suppressed")
	}
}

// TestPenalty: a penalty halves once each half-life, and a way up waits until it has fallen to ReuseBelow.
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
		if got := damping.suppression(c.score); got != c.want {
			t.Errorf("at a score of %v a way up waits %v, want %v", c.score, got, c.want)
		}
	}
	p.decay(start+10*time.Second, damping.HalfLife)
	if p.score != 1 {
		t.Errorf("a score of 4 is %v after two half-lives, want 1", p.score)
	}
	p.decay(start+time.Minute, damping.HalfLife)
	if p.score != 0 {
		t.Errorf("it is %v after ten more, want it spent", p.score)
	}
}
