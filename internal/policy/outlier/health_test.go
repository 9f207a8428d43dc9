package outlier

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestEjectionBacksOff: the time to the next trial doubles with each failed trial, up to its bound, and starts from its
// base again after a readmission.
func TestEjectionBacksOff(t *testing.T) {
	var health Health
	now := 100 * time.Second
	for _, want := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 4 * time.Second} {
		health.Eject(now, Failing)
		if got := health.NextTrialAt() - now; got != want {
			t.Errorf("got next trial due after %v, want %v", got, want)
		}
	}
	health.Readmit()
	if health.Eject(now, Failing); health.NextTrialAt()-now != baseEjectionTime {
		t.Errorf("after a readmission: got next trial due after %v, want %v",
			health.NextTrialAt()-now, baseEjectionTime)
	}
}

// TestOneTrialAtATime: an ejected endpoint gets no attempt until its trial is due, and then only one until that has
// ended.
func TestOneTrialAtATime(t *testing.T) {
	var health Health
	now := 100 * time.Second
	health.Eject(now, Failing)
	if health.Available(health.NextTrialAt() - 1) {
		t.Error("ejected endpoint before its trial is due: got available, want unavailable")
	}
	now = health.NextTrialAt()
	if !health.Available(now) {
		t.Error("ejected endpoint when its trial is due: got unavailable, want available")
	}
	if health.StartAttempt(); health.Available(now) {
		t.Error("ejected endpoint while its trial is in flight: got available, want unavailable")
	}
	if health.EndAttempt(); !health.Available(now) {
		t.Error("ejected endpoint after the end of its trial: got unavailable, want available")
	}
}

// TestSilence: an endpoint is silent when attempts have waited for several times the expected time, and for longer than
// a short stall; a response restarts its silence.
func TestSilence(t *testing.T) {
	sentAt := 100 * time.Second
	for _, test := range []struct {
		waited   time.Duration
		expected float64
		want     bool
	}{
		{300 * time.Millisecond, 0.01, false}, // a stall
		{500 * time.Millisecond, 0.01, true},
		{500 * time.Millisecond, 1, false}, // a long response
		{8 * time.Second, 1, true},
	} {
		var health Health
		health.RestartWait(sentAt)
		now := sentAt + test.waited
		health.AddSilence(now, sentAt, test.expected)
		if got := health.Silent(now); got != test.want {
			t.Errorf("%v without a response that was expected in %v s: got silent %v, want %v",
				test.waited, test.expected, got, test.want)
		}
		health.ClearSuspicion()
		health.RestartWait(now)
		if health.AddSilence(now, sentAt, test.expected); health.Silent(now) {
			t.Errorf("silent right after a response")
		}
	}
}

// TestHealthInvariants applies random outcomes as package policy does: odds stay within their bounds, only an ejected
// endpoint has a trial in flight or is ejected for slowness alone, and each verdict is one that the state allows.
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
						t.Fatalf("outcome %d: got verdict Recovered, ejected before: %v", outcome, wasEjected)
					}
					health.Readmit()
				case Faulty:
					if outcome == Success {
						t.Fatal("got verdict Faulty for a success")
					}
					health.Eject(now, cause)
				case Unchanged:
					if wasEjected && outcome != Success {
						t.Fatal("got verdict Unchanged for a failed trial, want Faulty")
					}
				}
				health.EndAttempt()
				if outcome == HardFailure && health.EjectedForSlowness() && cause != SlowFills {
					t.Fatal("ejected for slowness alone after a hard failure")
				}
			}
			if health.odds < 0 || health.odds > 2*EjectionThreshold {
				t.Fatalf("got odds %v, want 0 to twice EjectionThreshold", health.odds)
			}
			if !health.Ejected() && (health.trialInFlight || health.EjectedForSlowness()) {
				t.Fatalf("not ejected, but with a trial in flight or ejected for slowness: %+v", health)
			}
		}
	})
}

// TestHardFailureEndsEjectionForSlowness: an endpoint counts as ejected for slowness alone until it has a hard failure
// or is readmitted; one that is already ejected for another cause never does.
func TestHardFailureEndsEjectionForSlowness(t *testing.T) {
	var health Health
	health.Eject(time.Second, SlowFills)
	if health.Record(Failure, 0); !health.EjectedForSlowness() {
		t.Error("not ejected for slowness alone after a failure that healthy endpoints have at times")
	}
	if health.Record(HardFailure, 0); health.EjectedForSlowness() {
		t.Error("still ejected for slowness alone after a hard failure")
	}
	if health.Eject(time.Second, SlowFills); health.EjectedForSlowness() {
		t.Error("ejected for slowness alone, though already ejected with a hard failure")
	}
	health.Readmit()
	if health.Eject(time.Second, SlowFills); !health.EjectedForSlowness() {
		t.Error("not ejected for slowness alone after a readmission")
	}
	if health.Readmit(); health.Ejected() || health.EjectedForSlowness() {
		t.Error("still ejected after a readmission")
	}
}

// TestCauseString checks the names of the causes in the log.
func TestCauseString(t *testing.T) {
	names := map[Cause]string{Failing: "failing", Unresponsive: "unresponsive", SlowFills: "slow-fills"}
	for cause, want := range names {
		if got := cause.String(); got != want {
			t.Errorf("name of cause %d: got %q, want %q", cause, got, want)
		}
	}
}
