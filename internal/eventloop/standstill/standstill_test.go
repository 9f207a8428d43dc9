package standstill

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// model is a simple reference model of a loop: it keeps all rounds, and the number of events of each catch-up step.
type model struct {
	rounds           []time.Time
	wakeAfter        time.Duration // requested time from the last round to the next
	stepEvents       []int         // events after each catch-up step for the round that is due
	standstillEnd    time.Time     // end of the last standstill
	standstillLength time.Duration // length of the last standstill
}

func (m *model) hasStoodStill(now time.Time) bool {
	return len(m.rounds) > 0 && now.After(m.rounds[len(m.rounds)-1].Add(m.wakeAfter+Tolerance))
}

// isCaughtUp reports whether the last requiredQuietSteps steps were all quiet, or there were maxCatchUpSteps.
func (m *model) isCaughtUp() bool {
	if len(m.stepEvents) >= maxCatchUpSteps {
		return true
	}
	if len(m.stepEvents) < requiredQuietSteps {
		return false
	}
	for _, events := range m.stepEvents[len(m.stepEvents)-requiredQuietSteps:] {
		if events >= busyStepEvents {
			return false
		}
	}
	return true
}

// TestDetectorFollowsModel simulates rounds and standstills, and compares each verdict and lag with those of a model
// that keeps all of them.
func TestDetectorFollowsModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var detector Detector
		var m model
		now := time.Unix(1000, 0)
		advance := func(what string, choices ...int) {
			now = now.Add(time.Duration(rapid.SampledFrom(choices).Draw(t, what)) * time.Millisecond)
		}
		for range rapid.IntRange(1, 40).Draw(t, "rounds") {
			advance("time until the round", 0, 1, 10, 99, 100, 101, 130, 400)
			checkLags(t, &detector, &m, now)
			for step := 0; detector.Step(now) == CatchUp; step++ {
				if !m.hasStoodStill(now) {
					t.Fatalf("round in time: got CatchUp at step %d, want BeginRound", step)
				}
				if step > 0 && m.isCaughtUp() {
					t.Fatalf("late round after steps with %v events: got CatchUp, want BeginRound", m.stepEvents)
				}
				events := rapid.IntRange(0, 2*busyStepEvents).Draw(t, "events")
				for range events {
					detector.EventSeen()
				}
				m.stepEvents = append(m.stepEvents, events)
				advance("time until the step", 1, 2)
			}
			if m.hasStoodStill(now) && !m.isCaughtUp() {
				t.Fatalf("late round after steps with %v events: got BeginRound, want CatchUp", m.stepEvents)
			}
			if m.hasStoodStill(now) {
				m.standstillEnd = now
				m.standstillLength = now.Sub(m.rounds[len(m.rounds)-1])
			}
			detector.RoundBegan(now)
			m.rounds = append(m.rounds, now)
			m.stepEvents = nil
			m.wakeAfter = 0
			if rapid.Bool().Draw(t, "requests a wake-up") {
				m.wakeAfter = time.Duration(rapid.IntRange(0, 100).Draw(t, "wake after")) * time.Millisecond
				detector.WakeRequested(m.wakeAfter)
			}
		}
	})
}

// checkLags compares ReadLag and FirstReadLag with the model.
func checkLags(t *rapid.T, detector *Detector, m *model, now time.Time) {
	want := time.Duration(0)
	if m.hasStoodStill(now) {
		want = now.Sub(m.rounds[len(m.rounds)-1])
	}
	if got := detector.ReadLag(now); got != want {
		t.Fatalf("got ReadLag %v, want %v", got, want)
	}
	waited := time.Duration(rapid.IntRange(0, 300).Draw(t, "waited")) * time.Millisecond
	if len(m.rounds) == 0 {
		want = 0
	} else {
		if waited > Tolerance {
			want = max(want, waited)
		}
		if sinceEnd := now.Sub(m.standstillEnd); !m.standstillEnd.IsZero() && sinceEnd < maxAcceptDelay {
			want = max(want, sinceEnd+m.standstillLength)
		}
	}
	if got := detector.FirstReadLag(now, now.Add(-waited)); got != want {
		t.Fatalf("got FirstReadLag %v, want %v", got, want)
	}
}
