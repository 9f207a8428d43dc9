package retryafter

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestAdviceIsBounded checks that no advice exceeds the configured maximum or is negative.
func TestAdviceIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		advisor := Advisor{Max: time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "max"))}
		objective := time.Duration(rapid.Int64Range(-1, int64(time.Minute)).Draw(t, "objective"))
		for name, advice := range map[string]time.Duration{
			"rejected":        advisor.Rejected(objective),
			"connection full": advisor.ConnectionFull(),
			"queries full":    advisor.QueriesFull(),
		} {
			if advice < 0 || advice > advisor.Max {
				t.Errorf("%s: got advice %v, want 0 s to %v", name, advice, advisor.Max)
			}
		}
		if advisor.MayAdvise() != (advisor.Max > 0) {
			t.Errorf("MayAdvise: got %v with a maximum of %v", advisor.MayAdvise(), advisor.Max)
		}
	})
}

// TestMillisecondsRoundsUp guards against advice that is rounded down: the client would retry before there is capacity.
func TestMillisecondsRoundsUp(t *testing.T) {
	for after, want := range map[time.Duration]int64{
		0: 0, 1: 1, time.Millisecond: 1, time.Millisecond + 1: 2, 1999 * time.Microsecond: 2, time.Minute: 60_000,
	} {
		if got := Milliseconds(after); got != want {
			t.Errorf("Milliseconds(%v): got %d ms, want %d", after, got, want)
		}
	}
}

// TestRejected checks that the advice is half of the objective, limited to the maximum, or the maximum without one.
func TestRejected(t *testing.T) {
	for _, c := range []struct{ max, objective, want time.Duration }{
		{time.Second, 400 * time.Millisecond, 200 * time.Millisecond},
		{100 * time.Millisecond, 400 * time.Millisecond, 100 * time.Millisecond},
		{time.Second, 0, time.Second},
		{0, 400 * time.Millisecond, 0},
	} {
		if got := (Advisor{Max: c.max}).Rejected(c.objective); got != c.want {
			t.Errorf("maximum %v, objective %v: got advice %v, want %v", c.max, c.objective, got, c.want)
		}
	}
}
