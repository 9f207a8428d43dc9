package rto

import "testing"

// TestTimeoutFollows: the time-out learns what answers take and how much they vary, and rises where all has become
// slow.
func TestTimeoutFollows(t *testing.T) {
	even, varied, slow := New(), New(), New()
	for i := range 400 {
		even.Observe(0.1)
		varied.Observe(0.2 * float64(i%2))
		slow.Observe(1)
	}
	if l := even.Timeout(); l < 0.1 || l > 0.11 {
		t.Errorf("answers of 0.1 s: a time-out of %.3f, want a little over that", l)
	}
	if l := varied.Timeout(); l < 0.4 || l > 0.6 {
		t.Errorf("answers of 0 and 0.2 s: a time-out of %.3f, want the mean and four deviations of 0.1", l)
	}
	if l := slow.Timeout(); l < 1 {
		t.Errorf("answers of 1 s: a time-out of %.3f", l)
	}
	early := New()
	for range 400 {
		early.Observe(-0.3)
	}
	if early.Timeout() < MinTimeout {
		t.Errorf("answers before their time: a time-out of %.3f, want %.3f at least", early.Timeout(), MinTimeout)
	}
}
