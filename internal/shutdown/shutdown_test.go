package shutdown

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// TestStep: what there is to do for what is held, by the time since the signal.
func TestStep(t *testing.T) {
	for _, c := range []struct {
		name  string
		past  time.Duration
		alone time.Duration // for which no client was there
		held  Load
		want  Action
	}{
		{"clients may still come", 899 * ms, time.Second, Load{}, KeepServing},
		{"nothing is held and nobody is there", 900 * ms, 100 * ms, Load{}, Exit},
		{"the last client has just gone: its request may cross the close", 900 * ms, 99 * ms, Load{}, CloseIdle},
		{"a client is there", 2 * time.Second, 0, Load{Clients: 1}, CloseIdle},
		{"a request is open", 2 * time.Second, time.Second, Load{Open: 1}, CloseIdle},
		{"the end of an answer is with us", 2 * time.Second, time.Second, Load{Unsent: 1}, CloseIdle},
		{"a registration is being taken back", 2 * time.Second, time.Second, Load{Blocked: true}, CloseIdle},
		{"open to the last", 6699 * ms, 0, Load{Open: 1, Clients: 1}, CloseIdle},
		{"open beyond the longest deadline", 6700 * ms, 0, Load{Open: 1, Clients: 1}, FailInFlight},
		{"a client does not read what it is owed", 7699 * ms, 0, Load{Clients: 1, Unsent: 1}, CloseIdle},
		{"nor at the very end", 7700 * ms, 0, Load{Clients: 1, Unsent: 1}, Exit},
	} {
		l := Sequence{LongestDeadline: 6 * time.Second}
		start := time.Hour
		if l.Step(start, Load{}) != KeepServing || !l.Begin(start) || l.Begin(start+ms) {
			t.Fatal("it begins once")
		}
		l.Step(start, Load{Clients: 1})
		if c.alone > 0 {
			l.Step(start+c.past-c.alone, Load{})
		}
		if got := l.Step(start+c.past, c.held); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// TestLimit: what comes late has its answer before the program may be killed; what comes in time keeps its time.
func TestLimit(t *testing.T) {
	for _, c := range []struct{ longest, past, limit, want time.Duration }{
		{6 * time.Second, 699 * ms, 6 * time.Second, 6 * time.Second},
		{6 * time.Second, 700 * ms, 6 * time.Second, 2900 * ms}, // killed after 3.7 s
		{6 * time.Second, 700 * ms, 200 * ms, 200 * ms},
		{800 * ms, 700 * ms, 800 * ms, 700 * ms}, // killed after 1.5 s
		{800 * ms, 5 * time.Second, 800 * ms, 50 * ms},
	} {
		l := Sequence{LongestDeadline: c.longest}
		if got := l.TimeoutFor(time.Hour, c.limit); got != c.limit {
			t.Errorf("before the signal a limit of %v becomes %v", c.limit, got)
		}
		l.Begin(time.Hour)
		if got := l.TimeoutFor(time.Hour+c.past, c.limit); got != c.want {
			t.Errorf("%v after the signal, longest deadline %v: %v becomes %v, want %v", c.past, c.longest, c.limit, got, c.want)
		}
	}
}

// TestInvariants: whatever comes and goes in whatever order, the program ends in its time, and never with something lost that
// could have been kept.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Sequence{LongestDeadline: time.Duration(rapid.IntRange(100, 8000).Draw(t, "longest")) * ms}
		now := time.Duration(rapid.IntRange(0, 1000).Draw(t, "start")) * ms
		l.Begin(now)
		start, gone := now, now // gone: when the last client was seen
		for {
			now += time.Duration(rapid.IntRange(0, 150).Draw(t, "step")) * ms
			h := Load{Open: rapid.IntRange(0, 2).Draw(t, "open"), Clients: rapid.IntRange(0, 1).Draw(t, "clients"),
				Unsent: rapid.IntRange(0, 1).Draw(t, "unsent"), Blocked: rapid.Bool().Draw(t, "others")}
			do, past := l.Step(now, h), now-start
			last := max(clientsFor, l.LongestDeadline+lateFrom)
			if h.Clients > 0 {
				gone = now
			}
			switch {
			case do != Exit && past >= last+grace:
				t.Fatalf("it stays %v, longest deadline %v", past, l.LongestDeadline)
			case do == FailInFlight && past < last:
				t.Fatalf("it cuts %v after the signal, longest deadline %v", past, l.LongestDeadline)
			case do == Exit && past < last+grace && (h.Open > 0 || h.Unsent > 0 || h.Blocked || now-gone < crossing || past < clientsFor):
				t.Fatalf("it stops after %v with %+v, the last client seen %v ago", past, h, now-gone)
			case do == Exit:
				return
			}
		}
	})
}
