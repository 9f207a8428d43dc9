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
		held  Held
		want  Do
	}{
		{"clients may still come", 899 * ms, time.Second, Held{}, Stay},
		{"nothing is held and nobody is there", 900 * ms, 100 * ms, Held{}, Stop},
		{"the last client has just gone: its request may cross the close", 900 * ms, 99 * ms, Held{}, Dismiss},
		{"a client is there", 2 * time.Second, 0, Held{Clients: 1}, Dismiss},
		{"a request is open", 2 * time.Second, time.Second, Held{Open: 1}, Dismiss},
		{"the end of an answer is with us", 2 * time.Second, time.Second, Held{Unsent: 1}, Dismiss},
		{"a registration is being taken back", 2 * time.Second, time.Second, Held{Others: true}, Dismiss},
		{"open to the last", 6699 * ms, 0, Held{Open: 1, Clients: 1}, Dismiss},
		{"open beyond the longest deadline", 6700 * ms, 0, Held{Open: 1, Clients: 1}, Cut},
		{"a client does not read what it is owed", 7699 * ms, 0, Held{Clients: 1, Unsent: 1}, Dismiss},
		{"nor at the very end", 7700 * ms, 0, Held{Clients: 1, Unsent: 1}, Stop},
	} {
		l := Leave{Longest: 6 * time.Second}
		start := time.Hour
		if l.Step(start, Held{}) != Stay || !l.Begin(start) || l.Begin(start+ms) {
			t.Fatal("it begins once")
		}
		l.Step(start, Held{Clients: 1})
		if c.alone > 0 {
			l.Step(start+c.past-c.alone, Held{})
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
		l := Leave{Longest: c.longest}
		if got := l.Limit(time.Hour, c.limit); got != c.limit {
			t.Errorf("before the signal a limit of %v becomes %v", c.limit, got)
		}
		l.Begin(time.Hour)
		if got := l.Limit(time.Hour+c.past, c.limit); got != c.want {
			t.Errorf("%v after the signal, longest deadline %v: %v becomes %v, want %v", c.past, c.longest, c.limit, got, c.want)
		}
	}
}

// TestInvariants: whatever comes and goes in whatever order, the program ends in its time, and never with something lost that
// could have been kept.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Leave{Longest: time.Duration(rapid.IntRange(100, 8000).Draw(t, "longest")) * ms}
		now := time.Duration(rapid.IntRange(0, 1000).Draw(t, "start")) * ms
		l.Begin(now)
		start, gone := now, now // gone: when the last client was seen
		for {
			now += time.Duration(rapid.IntRange(0, 150).Draw(t, "step")) * ms
			h := Held{Open: rapid.IntRange(0, 2).Draw(t, "open"), Clients: rapid.IntRange(0, 1).Draw(t, "clients"),
				Unsent: rapid.IntRange(0, 1).Draw(t, "unsent"), Others: rapid.Bool().Draw(t, "others")}
			do, past := l.Step(now, h), now-start
			last := max(clientsFor, l.Longest+lateFrom)
			if h.Clients > 0 {
				gone = now
			}
			switch {
			case do != Stop && past >= last+grace:
				t.Fatalf("it stays %v, longest deadline %v", past, l.Longest)
			case do == Cut && past < last:
				t.Fatalf("it cuts %v after the signal, longest deadline %v", past, l.Longest)
			case do == Stop && past < last+grace && (h.Open > 0 || h.Unsent > 0 || h.Others || now-gone < crossing || past < clientsFor):
				t.Fatalf("it stops after %v with %+v, the last client seen %v ago", past, h, now-gone)
			case do == Stop:
				return
			}
		}
	})
}
