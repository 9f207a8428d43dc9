package standstill

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// model is the plainest model of a loop: all its rounds, and what each step of catching up brought.
type model struct {
	rounds    []time.Time
	wakeAfter time.Duration // for the next round, after the last one
	steps     []int         // events between the steps of catching up, of the round that is due
	lastEnd   time.Time     // of the last standstill
	lastGap   time.Duration // its length
}

func (m *model) hasStoodStill(now time.Time) bool {
	return len(m.rounds) > 0 && now.After(m.rounds[len(m.rounds)-1].Add(m.wakeAfter+Tolerance))
}

// isCaughtUp reports whether the last steps were all quiet, or there were many.
func (m *model) isCaughtUp() bool {
	if len(m.steps) >= maxSteps {
		return true
	}
	if len(m.steps) < fewSteps {
		return false
	}
	for _, events := range m.steps[len(m.steps)-fewSteps:] {
		if events >= fewEvents {
			return false
		}
	}
	return true
}

// TestDetectorFollowsModel plays rounds and standstills, and compares each verdict and each lag with a model that
// remembers all of them.
func TestDetectorFollowsModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var detector Detector
		var m model
		now := time.Unix(1000, 0)
		pass := func(what string, choices ...int) {
			now = now.Add(time.Duration(rapid.SampledFrom(choices).Draw(t, what)) * time.Millisecond)
		}
		for range rapid.IntRange(1, 40).Draw(t, "rounds") {
			pass("until the round", 0, 1, 10, 99, 100, 101, 130, 400)
			checkLags(t, &detector, &m, now)
			for step := 0; detector.Step(now) == CatchUp; step++ {
				if !m.hasStoodStill(now) {
					t.Fatalf("a round that came in time is put off by step %d", step)
				}
				if step > 0 && m.isCaughtUp() {
					t.Fatalf("a round is put off further after steps with %v events", m.steps)
				}
				events := rapid.IntRange(0, 2*fewEvents).Draw(t, "events")
				for range events {
					detector.EventSeen()
				}
				m.steps = append(m.steps, events)
				pass("until the step", 1, 2)
			}
			if m.hasStoodStill(now) && !m.isCaughtUp() {
				t.Fatalf("a late round begins after steps with %v events", m.steps)
			}
			if m.hasStoodStill(now) {
				m.lastEnd = now
				m.lastGap = now.Sub(m.rounds[len(m.rounds)-1])
			}
			detector.RoundBegan(now)
			m.rounds = append(m.rounds, now)
			m.steps = nil
			m.wakeAfter = 0
			if rapid.Bool().Draw(t, "asks to be woken") {
				m.wakeAfter = time.Duration(rapid.IntRange(0, 100).Draw(t, "after")) * time.Millisecond
				detector.WakeRequested(m.wakeAfter)
			}
		}
	})
}

// checkLags compares how old what is read now may be.
func checkLags(t *rapid.T, detector *Detector, m *model, now time.Time) {
	want := time.Duration(0)
	if m.hasStoodStill(now) {
		want = now.Sub(m.rounds[len(m.rounds)-1])
	}
	if got := detector.ReadLag(now); got != want {
		t.Fatalf("bytes may be %v old, want %v", got, want)
	}
	waited := time.Duration(rapid.IntRange(0, 300).Draw(t, "waited")) * time.Millisecond
	if len(m.rounds) == 0 {
		want = 0
	} else {
		if waited > Tolerance {
			want = max(want, waited)
		}
		if sinceEnd := now.Sub(m.lastEnd); !m.lastEnd.IsZero() && sinceEnd < acceptDelay {
			want = max(want, sinceEnd+m.lastGap)
		}
	}
	if got := detector.FirstReadLag(now, now.Add(-waited)); got != want {
		t.Fatalf("first bytes may be %v old, want %v", got, want)
	}
}
