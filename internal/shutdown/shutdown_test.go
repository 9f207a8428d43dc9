package shutdown

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// TestStep: the action for each load, by the time since the signal.
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
		{"the last client has just gone: its request may cross the close", 900 * ms, 99 * ms, Load{}, CloseIdle},
		{"a client is connected", 2 * time.Second, 0, Load{ClientConnections: 1}, CloseIdle},
		{"a request is open", 2 * time.Second, time.Second, Load{OpenRequests: 1}, CloseIdle},
		{"part of a response is not sent", 2 * time.Second, time.Second, Load{UnsentBytes: 1}, CloseIdle},
		{"a registration is being taken back", 2 * time.Second, time.Second, Load{Deregistering: true}, CloseIdle},
		{"open up to the longest deadline", 6699 * ms, 0, Load{OpenRequests: 1, ClientConnections: 1}, CloseIdle},
		{"open beyond the longest deadline", 6700 * ms, 0, Load{OpenRequests: 1, ClientConnections: 1}, FailInFlight},
		{"a client does not read its response", 7699 * ms, 0, Load{ClientConnections: 1, UnsentBytes: 1}, CloseIdle},
		{"nor at the end of its grace", 7700 * ms, 0, Load{ClientConnections: 1, UnsentBytes: 1}, Exit},
	} {
		sequence := Sequence{LongestDeadline: 6 * time.Second}
		start := time.Hour
		isIdle := sequence.Step(start, Load{}) == KeepServing
		if !isIdle || !sequence.Begin(start, start) || sequence.Begin(start+ms, start) {
			t.Fatal("it begins more than once, or before the signal")
		}
		sequence.Step(start, Load{ClientConnections: 1})
		if c.noClient > 0 {
			sequence.Step(start+c.elapsed-c.noClient, Load{})
		}
		if got := sequence.Step(start+c.elapsed, c.load); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// TestLimit: a request after excusedWindow has its response before the program may be killed, and so has one of just
// before it, as the signal was sent a moment before the program took it; one before that keeps its timeout.
func TestLimit(t *testing.T) {
	for _, c := range []struct{ longest, elapsed, timeout, want time.Duration }{
		{6 * time.Second, 649 * ms, 6 * time.Second, 6 * time.Second},
		{6 * time.Second, 650 * ms, 6 * time.Second, 2950 * ms},
		{6 * time.Second, 699 * ms, 6 * time.Second, 2901 * ms}, // it may have come 700 ms after the signal was sent
		{6 * time.Second, 700 * ms, 6 * time.Second, 2900 * ms}, // killed after 3.7 s
		{6 * time.Second, 700 * ms, 200 * ms, 200 * ms},
		{800 * ms, 700 * ms, 800 * ms, 700 * ms}, // killed after 1.5 s
		{800 * ms, 1350 * ms, 800 * ms, 50 * ms},
		{800 * ms, 1351 * ms, 800 * ms, 0}, // rejected: it could not be answered before the kill
		{800 * ms, 1351 * ms, 20 * ms, 0},
		{800 * ms, 5 * time.Second, 800 * ms, 0},
	} {
		sequence := Sequence{LongestDeadline: c.longest}
		if got, ok := sequence.TimeoutFor(time.Hour, c.timeout); got != c.timeout || !ok {
			t.Errorf("before the signal a timeout of %v becomes %v, %v", c.timeout, got, ok)
		}
		sequence.Begin(time.Hour, time.Hour)
		got, ok := sequence.TimeoutFor(time.Hour+c.elapsed, c.timeout)
		if ok != (c.want > 0) || ok && got != c.want {
			t.Errorf("%v after the signal, longest deadline %v: %v becomes %v, %v, want %v",
				c.elapsed, c.longest, c.timeout, got, ok, c.want)
		}
	}
}

// TestLimitAfterStandstill guards against a kill that comes before the answer: the signal was sent while the program
// stood still, and the platform counts from then.
func TestLimitAfterStandstill(t *testing.T) {
	const standstill = time.Second
	sequence := Sequence{LongestDeadline: 6 * time.Second}
	sequence.Begin(time.Hour, time.Hour-standstill)
	killAt := time.Hour - standstill + maxKillDelay + excusedWindow
	for elapsed := time.Duration(0); elapsed < 2*time.Second; elapsed += 100 * ms {
		now := time.Hour + elapsed
		if timeout, ok := sequence.TimeoutFor(now, 6*time.Second); !ok || now+timeout > killAt {
			t.Errorf("%v after the signal was taken a request has %v, past the kill by %v", elapsed, timeout,
				now+timeout-killAt)
		}
	}
	if got := sequence.Step(time.Hour+arrivalWindow-ms, Load{}); got != KeepServing {
		t.Errorf("action %v, want to keep serving: clients may have learned of the signal only now", got)
	}
}

// TestIdleConnectionsAreClosedBeforeTheKill guards against connections that are open at the kill, as the program took
// the signal late and had the time for arrivals still before it.
func TestIdleConnectionsAreClosedBeforeTheKill(t *testing.T) {
	sequence := Sequence{LongestDeadline: 600 * ms}
	sequence.Begin(time.Hour, time.Hour-450*ms)
	killAt := time.Hour - 450*ms + 600*ms + excusedWindow
	for now := killAt - 150*ms; now < killAt; now += 10 * ms {
		if got := sequence.Step(now, Load{}); got != CloseIdle {
			t.Errorf("%v before the kill: action %v, want to close idle connections, and not to exit", killAt-now, got)
		}
	}
}

// TestInvariants: for any loads in any order, the program exits in time, and never loses what could have been
// finished.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sequence := Sequence{LongestDeadline: time.Duration(rapid.IntRange(100, 8000).Draw(t, "longest")) * ms}
		now := time.Duration(rapid.IntRange(0, 1000).Draw(t, "start")) * ms
		sequence.Begin(now, now)
		signalAt, clientSeenAt := now, now
		for {
			now += time.Duration(rapid.IntRange(0, 150).Draw(t, "step")) * ms
			load := Load{
				OpenRequests:      rapid.IntRange(0, 2).Draw(t, "open"),
				ClientConnections: rapid.IntRange(0, 1).Draw(t, "clients"),
				UnsentBytes:       rapid.IntRange(0, 1).Draw(t, "unsent"),
				Deregistering:     rapid.Bool().Draw(t, "blocked"),
			}
			if load.ClientConnections > 0 {
				clientSeenAt = now
			}
			action := sequence.Step(now, load)
			elapsed := now - signalAt
			lastResponse := max(arrivalWindow, sequence.LongestDeadline+excusedWindow)
			isTimeUp := elapsed >= lastResponse+slowReaderGrace
			isUnfinished := load.OpenRequests > 0 || load.UnsentBytes > 0 || load.Deregistering
			mayArrive := now-clientSeenAt < reconnectWindow || elapsed < arrivalWindow
			switch {
			case action != Exit && isTimeUp:
				t.Fatalf("no exit after %v, longest deadline %v", elapsed, sequence.LongestDeadline)
			case action == FailInFlight && elapsed < lastResponse:
				t.Fatalf("requests fail %v after the signal, longest deadline %v", elapsed, sequence.LongestDeadline)
			case action == Exit && !isTimeUp && (isUnfinished || mayArrive):
				t.Fatalf("exit after %v with %+v, the last client seen %v ago", elapsed, load, now-clientSeenAt)
			case action == Exit:
				return
			}
		}
	})
}
