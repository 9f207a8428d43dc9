package rto

import "testing"

// TestTimeoutAdaptsToResponseTimes: the timeout follows the mean and the deviation of how late responses are, and rises
// when all become slow.
func TestTimeoutAdaptsToResponseTimes(t *testing.T) {
	steady, varied, slow := New(), New(), New()
	for i := range 400 {
		steady.Observe(0.1)
		varied.Observe(0.2 * float64(i%2))
		slow.Observe(1)
	}
	if timeout := steady.Timeout(); timeout < 0.1 || timeout > 0.11 {
		t.Errorf("responses 0.1 s late: got timeout %.3f s, want 0.1 to 0.11 s", timeout)
	}
	if timeout := varied.Timeout(); timeout < 0.4 || timeout > 0.6 {
		t.Errorf("responses 0 and 0.2 s late: got timeout %.3f s, want about 0.5 s, mean plus 4 deviations of 0.1 s",
			timeout)
	}
	if timeout := slow.Timeout(); timeout < 1 {
		t.Errorf("responses 1 s late: got timeout %.3f s, want at least 1 s", timeout)
	}
	early := New()
	for range 400 {
		early.Observe(-0.3)
	}
	if early.Timeout() < MinTimeout {
		t.Errorf("responses 0.3 s early: got timeout %.3f s, want at least %.3f s",
			early.Timeout(), MinTimeout)
	}
}
