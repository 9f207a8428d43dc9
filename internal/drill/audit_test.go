package drill

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

const sec = time.Second

// sound is a record in which everything holds.
func sound() *Record {
	r := &Record{Posted: map[string]int{"k1": 1}, limit: 2 * sec}
	r.ProcessRuns = []*ProcessRun{{Proxy: 0, Start: 0, Ready: sec / 2}, {Proxy: 1, Start: 0, Ready: sec, End: 5 * sec, Ours: true, Killed: true}}
	r.Requests = []*Request{{ID: "1", Sent: 2 * sec, Ended: 3 * sec, Answers: 1, End: "served"},
		{ID: "2", Key: "k1", Class: "charge", Sent: 2 * sec, Ended: 3 * sec, Answers: 1, End: "served"},
		{ID: "3", Proxy: 1, Sent: 4 * sec, Ended: 5 * sec, Answers: 1, End: "broken"}}
	r.Attempts = []*Attempt{{ID: "1", Endpoint: "c1", At: 2 * sec, Ended: 2*sec + 1}, {ID: "1", Endpoint: "c2", At: 2*sec + 2, Ended: 3 * sec, Ran: true},
		{ID: "2", Key: "k1", Endpoint: "o1", At: 2 * sec, Ended: 3 * sec, Ran: true}}
	r.Calls = []Call{{At: sec}, {At: sec + 1}, {At: 3 * sec}}
	r.Made = []Made{{At: sec, From: "d000", To: "box:c1"}, {At: sec, From: "d001", To: "box:c2"}, {At: sec, From: "d001", To: "list"}}
	r.Drains = []EndpointState{{At: 4 * sec, Endpoint: "c1"}}
	r.Sent = map[string][]int{"d000": {10, 30}, "d001": {5, 5}}
	return r
}

// TestEachCheckCanFail plants a fault for each check; without it the check holds.
func TestEachCheckCanFail(t *testing.T) {
	tried := map[string]bool{}
	for _, c := range []struct {
		hold, fault string
		plant       func(r *Record)
	}{
		{"answers", "two answers", func(r *Record) { r.Requests[0].Answers = 2 }},
		{"answers", "none, of a doorman that lives", func(r *Record) { r.Requests[0].End, r.Requests[0].Ended = "", 0 }},
		{"answers", "a connection that ended", func(r *Record) { r.Requests[0].End = "broken" }},
		{"answers", "a doorman that was ended before it was asked", func(r *Record) { r.ProcessRuns[1].End = 3 * sec }},
		{"answers", "a doorman that was told to end", func(r *Record) { r.ProcessRuns[1].Killed = false }},
		{"left 100ms", "sent after its client had left", func(r *Record) {
			r.Requests[0].End, r.Requests[0].Left = "left", 2*sec-200*time.Millisecond
		}},
		{"deadlines 150ms", "more time than the client has", func(r *Record) { r.Attempts[0].Given = 2*sec + 250*time.Millisecond }},
		{"monitors", "an invariant of its own", func(r *Record) { r.Violations = []string{"d000: one-response"} }},
		{"answers", "an answer to nothing", func(r *Record) { r.Strays = 1 }},
		{"answers", "nothing was asked", func(r *Record) { r.Requests = nil }},
		{"repeats", "two out together", func(r *Record) { r.Attempts[0].Ended = 3 * sec }},
		{"repeats", "the first is out still", func(r *Record) { r.Attempts[0].Ended = 0 }},
		{"repeats", "sent again after a good answer", func(r *Record) {
			r.Attempts = append(r.Attempts, &Attempt{ID: "1", Endpoint: "c1", At: 4 * sec, Ended: 5 * sec})
		}},
		{"repeats", "too many", func(r *Record) {
			for i := range 6 {
				at := 3*sec + time.Duration(i+1)*100*time.Millisecond
				r.Attempts = append(r.Attempts, &Attempt{ID: "9", Endpoint: "c1", At: at, Ended: at + 1}, &Attempt{ID: "9", Endpoint: "c1", At: at + 2, Ended: at + 3})
			}
		}},
		{"repeats", "a keyed one beyond its window", func(r *Record) {
			r.Attempts[2].Ran, r.Attempts[2].Ended, r.Attempts[2].Quit = false, 0, 3*sec
			r.Attempts = append(r.Attempts, &Attempt{ID: "2", Key: "k1", Endpoint: "o1", At: 6 * sec, Ended: 7 * sec})
		}},
		{"ledger", "posted twice", func(r *Record) { r.Posted["k1"] = 2 }},
		{"ledger", "answered and not posted", func(r *Record) { delete(r.Posted, "k1") }},
		{"drains 1s", "sent after it", func(r *Record) {
			r.Attempts = append(r.Attempts, &Attempt{ID: "8", Endpoint: "c1", At: 5*sec + 60*time.Millisecond})
		}},
		{"upright", "one fell", func(r *Record) { r.Falls = []EndpointState{{sec, "c1"}} }},
		{"served 1", "one refused", func(r *Record) { r.Requests[0].End = "refused" }},
		{"served 0", "none asked", func(r *Record) { r.Requests = nil }},
		{"ready 1s", "one is late", func(r *Record) { r.ProcessRuns[1].Ready = 2 * sec }},
		{"ready 1s", "one is never", func(r *Record) { r.ProcessRuns[0].Ready = 0 }},
		{"ready 1s 0.5", "half is late", func(r *Record) { r.ProcessRuns[0].Ready, r.ProcessRuns[1].Ready = 2*sec, 2*sec }},
		{"alive", "one ended by itself", func(r *Record) { r.ProcessRuns[1].Ours = false }},
		{"list-calls 3", "one more", func(r *Record) { r.Calls = append(r.Calls, Call{At: 9 * sec}) }},
		{"list-peak 2", "one more in that second", func(r *Record) { r.Calls = append(r.Calls, Call{At: 2*sec - 1}) }},
		{"peer-bytes 20", "one sends more", func(r *Record) { r.Sent["d001"][1] = 100 }},
		{"peer-bytes 20", "nothing was sent", func(r *Record) { r.Sent = nil }},
		{"box-connections 1", "one more to a box", func(r *Record) { r.Made = append(r.Made, Made{At: sec, To: "box:c1"}) }},
	} {
		h, err := parseHold(strings.Fields(c.hold))
		if err != nil {
			t.Fatal(err)
		}
		tried[h.Check] = true
		r := sound()
		if v := r.hold(h); !v.OK {
			t.Errorf("%s: does not hold in a sound record: %s", c.hold, v.Found)
		}
		c.plant(r)
		if v := r.hold(h); v.OK {
			t.Errorf("%s: holds though %s: %s", c.hold, c.fault, v.Found)
		}
	}
	for check := range checks {
		if !tried[check] {
			t.Errorf("no fault is planted for %s", check)
		}
	}
}

// TestBadPlans: what is wrong is told with file, line and key.
func TestBadPlans(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"hold answers\ndoormen 3", "p:2: doormen: unknown directive"},
		{"rate fast\nhold answers", `p:1: rate: expected`},
		{"at 1s vanish doormans\nhold answers", `p:1: at: unknown deed "vanish"`},
		{"at soon kill doormans\nhold answers", `p:1: at: expected a time such as 5s, got "soon"`},
		{"at 1s cut list\nhold answers", "p:1: at: cut takes WHO WHO [one-way]"},
		{"at 1s lose list doormans 3\nhold answers", `p:1: at: lose: expected a share of 0 to 1, got "3"`},
		{"at 1s list dance\nhold answers", "p:1: at: list takes hang"},
		{"hold love", `p:1: hold: unknown check "love"`},
		{"hold served", "p:1: hold: served takes: SHARE"},
		{"hold served most", "p:1: hold: served: expected a number or a time"},
		{"rate 3/s", "nothing has to hold"},
		{"lasts 5s\nat 6s kill doormans\nhold answers", "beyond the drill's 5s"},
	} {
		if _, err := Parse("p", []byte(c.text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: %v, want %q", c.text, err, c.want)
		}
	}
}

// TestDrawnPlans: every seed gives a plan that can be read, and the same one each time.
func TestDrawnPlans(t *testing.T) {
	seen := map[string]bool{}
	for seed := range uint64(200) {
		p, err := Draw(seed)
		if err != nil {
			t.Fatal(err)
		}
		if again, _ := Draw(seed); again.Text != p.Text {
			t.Fatalf("seed %d gives two plans", seed)
		}
		seen[p.Text[strings.Index(p.Text, "\n"):]] = true
	}
	if len(seen) < 190 {
		t.Errorf("200 seeds give %d plans", len(seen))
	}
	for seed := range uint64(200) {
		p, err := DrawSoak(seed, 12*sec)
		if err != nil {
			t.Fatal(err)
		}
		if again, _ := DrawSoak(seed, 12*sec); again.Text != p.Text {
			t.Fatalf("seed %d gives two plans for a soak", seed)
		}
	}
}

// TestWho resolves selectors.
func TestWho(t *testing.T) {
	w := &Cluster{seed: 1, boxes: map[string]*box{}}
	for n := range 10 {
		w.doormans = append(w.doormans, &doorman{n: n, name: fmt.Sprint("d", n), plaza: 1 + n%2})
	}
	for _, id := range []string{"c1-1", "c2-1"} {
		b := &box{id: id, site: "p" + id[1:2]}
		w.boxes[id], w.order = b, append(w.order, b)
	}
	w.order = append(w.order, &box{id: "o1", site: "hub"})
	for text, want := range map[string]int{"doormans": 10, "doormans:0.3": 3, "doorman:9": 1, "plaza:1": 6, "hub": 1, "boxes": 3, "box:c1-1": 1,
		"list": 1, "clients": 1, "plaza:1+list": 7} {
		got, err := w.who(text)
		if err != nil || len(got) != want {
			t.Errorf("%s: %d ends, %v, want %d", text, len(got), err, want)
		}
	}
	for _, text := range []string{"doorman:10", "doormans:2", "box:x", "everyone", ""} {
		if got, err := w.who(text); err == nil {
			t.Errorf("%s: %v, want an error", text, got)
		}
	}
}
