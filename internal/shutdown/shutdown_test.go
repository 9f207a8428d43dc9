package shutdown

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// TestStep checks the action for each load by the time since the signal.
func TestStep(t *testing.T) {
	for _, c := range []struct {
		name     string
		elapsed  time.Duration // since the signal
		noClient time.Duration // for which no client was connected
		load     Load
		want     Action
	}{
		{"clients may still arrive", 899 * ms, time.Second, Load{}, KeepServing},
		{"nothing is open and no client is connected", 900 * ms, 100 * ms, Load{}, Exit},
		{"a client that has just left may reconnect", 900 * ms, 99 * ms, Load{}, CloseIdle},
		{"a client is connected", 2 * time.Second, 0, Load{ClientConnections: 1}, CloseIdle},
		{"a request is open", 2 * time.Second, time.Second, Load{OpenRequests: 1}, CloseIdle},
		{"part of a response has not been sent", 2 * time.Second, time.Second, Load{UnsentBytes: 1}, CloseIdle},
		{"deregistration is not complete", 2 * time.Second, time.Second, Load{Deregistering: true}, CloseIdle},
		{"open just before the last deadline", 6699 * ms, 0, Load{OpenRequests: 1, ClientConnections: 1}, CloseIdle},
		{"open at the last deadline", 6700 * ms, 0, Load{OpenRequests: 1, ClientConnections: 1}, FailInFlight},
		{"unread just before the grace ends", 7699 * ms, 0, Load{ClientConnections: 1, UnsentBytes: 1}, CloseIdle},
		{"unread when the grace ends", 7700 * ms, 0, Load{ClientConnections: 1, UnsentBytes: 1}, Exit},
	} {
		sequence := Sequence{LongestDeadline: 6 * time.Second}
		start := time.Hour
		servesBeforeSignal := sequence.Step(start, Load{}) == KeepServing
		if !servesBeforeSignal || !sequence.Begin(start, start) || sequence.Begin(start+ms, start) {
			t.Fatal("the shutdown began before the signal, or more than once")
		}
		sequence.Step(start, Load{ClientConnections: 1})
		if c.noClient > 0 {
			sequence.Step(start+c.elapsed-c.noClient, Load{})
		}
		if got := sequence.Step(start+c.elapsed, c.load); got != c.want {
			t.Errorf("%s: got action %v, want %v", c.name, got, c.want)
		}
	}
}

// TestTimeoutFor checks that a request is answered before the platform may kill the process if it arrives after
// excusedWindow, or within signalMargin before its end, and that an earlier request keeps its timeout.
func TestTimeoutFor(t *testing.T) {
	for _, c := range []struct{ longest, elapsed, timeout, want time.Duration }{
		{6 * time.Second, 649 * ms, 6 * time.Second, 6 * time.Second},
		{6 * time.Second, 650 * ms, 6 * time.Second, 2950 * ms},
		{6 * time.Second, 699 * ms, 6 * time.Second, 2901 * ms}, // it may have arrived 700 ms after the signal was sent
		{6 * time.Second, 700 * ms, 6 * time.Second, 2900 * ms}, // the kill may come after 3.7 s
		{6 * time.Second, 700 * ms, 200 * ms, 200 * ms},
		{800 * ms, 700 * ms, 800 * ms, 700 * ms}, // the kill may come after 1.5 s
		{800 * ms, 1350 * ms, 800 * ms, 50 * ms},
		{800 * ms, 1351 * ms, 800 * ms, 0}, // rejected: it could not be answered before the kill
		{800 * ms, 1351 * ms, 20 * ms, 0},
		{800 * ms, 5 * time.Second, 800 * ms, 0},
	} {
		sequence := Sequence{LongestDeadline: c.longest}
		if got, ok := sequence.TimeoutFor(time.Hour, c.timeout); got != c.timeout || !ok {
			t.Errorf("before the signal: TimeoutFor(%v) = %v, %v, want the timeout unchanged, true", c.timeout, got, ok)
		}
		sequence.Begin(time.Hour, time.Hour)
		got, ok := sequence.TimeoutFor(time.Hour+c.elapsed, c.timeout)
		if ok != (c.want > 0) || ok && got != c.want {
			t.Errorf("%v after the signal, longest deadline %v: TimeoutFor(%v) = %v, %v, want %v",
				c.elapsed, c.longest, c.timeout, got, ok, c.want)
		}
	}
}

// TestTimeoutForAfterStandstill guards against a kill before the response: the signal was sent while the process stood
// still, and the platform counts the time until the kill from when it sent the signal.
func TestTimeoutForAfterStandstill(t *testing.T) {
	const standstill = time.Second
	sequence := Sequence{LongestDeadline: 6 * time.Second}
	sequence.Begin(time.Hour, time.Hour-standstill)
	killAt := time.Hour - standstill + maxKillDelay + excusedWindow
	for elapsed := time.Duration(0); elapsed < 2*time.Second; elapsed += 100 * ms {
		now := time.Hour + elapsed
		if timeout, ok := sequence.TimeoutFor(now, 6*time.Second); !ok || now+timeout > killAt {
			t.Errorf("%v after the signal was handled: got timeout %v, which ends %v after the kill", elapsed, timeout,
				now+timeout-killAt)
		}
	}
	if got := sequence.Step(time.Hour+arrivalWindow-ms, Load{}); got != KeepServing {
		t.Errorf("got action %v, want KeepServing while clients may still arrive", got)
	}
}

// TestIdleConnectionsAreClosedBeforeTheKill guards against idle connections that are still open at the kill, because
// the process handled the signal late and arrivalWindow had not passed yet.
func TestIdleConnectionsAreClosedBeforeTheKill(t *testing.T) {
	sequence := Sequence{LongestDeadline: 600 * ms}
	sequence.Begin(time.Hour, time.Hour-450*ms)
	killAt := time.Hour - 450*ms + 600*ms + excusedWindow
	for now := killAt - 150*ms; now < killAt; now += 10 * ms {
		if got := sequence.Step(now, Load{}); got != CloseIdle {
			t.Errorf("%v before the kill: got action %v, want CloseIdle", killAt-now, got)
		}
	}
}

// TestInvariants checks that, for any loads in any order, the process exits in time and never abandons work that it
// could have finished.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sequence := Sequence{LongestDeadline: time.Duration(rapid.IntRange(100, 8000).Draw(t, "longest (ms)")) * ms}
		now := time.Duration(rapid.IntRange(0, 1000).Draw(t, "start (ms)")) * ms
		sequence.Begin(now, now)
		signalAt, clientSeenAt := now, now
		for {
			now += time.Duration(rapid.IntRange(0, 150).Draw(t, "step (ms)")) * ms
			load := Load{
				OpenRequests:      rapid.IntRange(0, 2).Draw(t, "open"),
				ClientConnections: rapid.IntRange(0, 1).Draw(t, "clients"),
				UnsentBytes:       rapid.IntRange(0, 1).Draw(t, "unsent"),
				Deregistering:     rapid.Bool().Draw(t, "deregistering"),
			}
			if load.ClientConnections > 0 {
				clientSeenAt = now
			}
			action := sequence.Step(now, load)
			elapsed := now - signalAt
			lastResponse := max(arrivalWindow, sequence.LongestDeadline+excusedWindow)
			isTimeUp := elapsed >= lastResponse+slowReaderGrace
			hasUnfinishedWork := load.OpenRequests > 0 || load.UnsentBytes > 0 || load.Deregistering
			clientsMayArrive := now-clientSeenAt < reconnectWindow || elapsed < arrivalWindow
			switch {
			case action != Exit && isTimeUp:
				t.Fatalf("no exit after %v, want one for longest deadline %v", elapsed, sequence.LongestDeadline)
			case action == FailInFlight && elapsed < lastResponse:
				t.Fatalf("FailInFlight after %v, too early for longest deadline %v", elapsed, sequence.LongestDeadline)
			case action == Exit && !isTimeUp && (hasUnfinishedWork || clientsMayArrive):
				t.Fatalf("Exit after %v, too early: load %+v, last client seen %v ago", elapsed, load, now-clientSeenAt)
			case action == Exit:
				return
			}
		}
	})
}
