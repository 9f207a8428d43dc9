package outlier

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestEjectionBacksOff: the time to the next trial doubles with each trial that fails, up to its bound, and starts
// anew after a readmission.
func TestEjectionBacksOff(t *testing.T) {
	var health Health
	now := 100 * time.Second
	for _, want := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 4 * time.Second} {
		health.Eject(now, Failing)
		if got := health.NextTrialAt() - now; got != want {
			t.Errorf("the next trial is due after %v, want %v", got, want)
		}
	}
	health.Readmit()
	if health.Eject(now, Failing); health.NextTrialAt()-now != baseEjectionTime {
		t.Errorf("after a readmission the next trial is due after %v, want %v",
			health.NextTrialAt()-now, baseEjectionTime)
	}
}

// TestOneTrialAtATime: an ejected endpoint gets nothing until the trial is due, then one attempt until that has
// ended.
func TestOneTrialAtATime(t *testing.T) {
	var health Health
	now := 100 * time.Second
	health.Eject(now, Failing)
	if health.Available(health.NextTrialAt() - 1) {
		t.Error("available before the trial is due")
	}
	now = health.NextTrialAt()
	if !health.Available(now) {
		t.Error("not available when the trial is due")
	}
	if health.StartAttempt(); health.Available(now) {
		t.Error("available while the trial is in flight")
	}
	if health.EndAttempt(); !health.Available(now) {
		t.Error("not available after the trial has ended")
	}
}

// TestSilence: an endpoint is silent when attempts have waited for several times what was expected, and for longer
// than a short stall; an answer starts its silence anew.
func TestSilence(t *testing.T) {
	sentAt := 100 * time.Second
	for _, c := range []struct {
		waited   time.Duration
		expected float64
		want     bool
	}{
		{300 * time.Millisecond, 0.01, false}, // a stall
		{500 * time.Millisecond, 0.01, true},
		{500 * time.Millisecond, 1, false}, // a long answer
		{8 * time.Second, 1, true},
	} {
		var health Health
		health.RestartWait(sentAt)
		now := sentAt + c.waited
		health.AddSilence(now, sentAt, c.expected)
		if got := health.Silent(now); got != c.want {
			t.Errorf("%v without an answer due in %v s: silent %v, want %v", c.waited, c.expected, got, c.want)
		}
		health.ClearSuspicion()
		health.RestartWait(now)
		if health.AddSilence(now, sentAt, c.expected); health.Silent(now) {
			t.Errorf("silent at an answer")
		}
	}
}

// TestHealthInvariants plays random outcomes as package policy does: odds stay in their bounds, only an ejected
// endpoint has a trial in flight or is ejected for slowness alone, and a verdict is one that its state allows.
func TestHealthInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var health Health
		var baseline Baseline
		now := time.Duration(0)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			cause := rapid.SampledFrom([]Cause{Failing, Unresponsive, SlowFills}).Draw(t, "cause")
			outcome := rapid.SampledFrom([]Outcome{Success, Failure, HardFailure}).Draw(t, "outcome")
			if health.Available(now) {
				health.StartAttempt()
				wasEjected := health.Ejected()
				switch health.Observe(outcome, &baseline) {
				case Recovered:
					if !wasEjected || outcome != Success {
						t.Fatalf("outcome %d: recovered, and was ejected: %v", outcome, wasEjected)
					}
					health.Readmit()
				case Faulty:
					if outcome == Success {
						t.Fatal("faulty by a success")
					}
					health.Eject(now, cause)
				case Unchanged:
					if wasEjected && outcome != Success {
						t.Fatal("a trial failed, and the ejection is not prolonged")
					}
				}
				health.EndAttempt()
				if outcome == HardFailure && health.EjectedForSlowness() && cause != SlowFills {
					t.Fatal("ejected for slowness alone after a hard failure")
				}
			}
			if health.odds < 0 || health.odds > 2*EjectionThreshold {
				t.Fatalf("odds of %v", health.odds)
			}
			if !health.Ejected() && (health.trialInFlight || health.EjectedForSlowness()) {
				t.Fatalf("not ejected, and %+v", health)
			}
		}
	})
}

// TestSlownessIsForgottenByAHardFailure: an endpoint is ejected for slowness alone until it fails in another way or
// is readmitted, and one that is ejected already for another cause never is.
func TestSlownessIsForgottenByAHardFailure(t *testing.T) {
	var health Health
	health.Eject(time.Second, SlowFills)
	if health.Record(Failure, 0); !health.EjectedForSlowness() {
		t.Error("a failure that sound endpoints have at times is no other cause")
	}
	if health.Record(HardFailure, 0); health.EjectedForSlowness() {
		t.Error("still ejected for slowness alone after a hard failure")
	}
	if health.Eject(time.Second, SlowFills); health.EjectedForSlowness() {
		t.Error("ejected for slowness alone, while ejected for a hard failure")
	}
	health.Readmit()
	if health.Eject(time.Second, SlowFills); !health.EjectedForSlowness() {
		t.Error("not ejected for slowness alone after a readmission")
	}
	if health.Readmit(); health.Ejected() || health.EjectedForSlowness() {
		t.Error("ejected after a readmission")
	}
}

// TestCauseTexts: the log has these words.
func TestCauseTexts(t *testing.T) {
	texts := map[Cause]string{Failing: "failing", Unresponsive: "unresponsive", SlowFills: "slow-fills"}
	for cause, want := range texts {
		if got := cause.String(); got != want {
			t.Errorf("cause %d: %q, want %q", cause, got, want)
		}
	}
}
