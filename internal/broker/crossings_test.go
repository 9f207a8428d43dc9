package broker

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sloequay/internal/membership"
	"sloequay/internal/policy"
)

// crossing drives a broker as a depot and a front do, with what comes and when left to the test. It checks after each round what must
// always hold.
type crossing struct {
	t        rapid.TB
	b        *Broker
	now      time.Duration
	events   []Event
	boxes    []membership.Endpoint
	version  uint64
	requests []*Request
	answers  map[*Request]int
	waiting  []*Attempt                 // asked, not written
	out      []*Attempt                 // written, not ended, not given up
	quit     []*Attempt                 // given up, its end still to be confirmed
	ran      map[*Request]bool          // an attempt may have run
	since    map[*Attempt]time.Duration // when one that may have run was written
	sent     map[*Request]int
	left     map[*Request]bool // withdrawn in an earlier round
	done     []*Attempt        // ended
}

// zoned and once are the classes that may not be refused once they may have run; once is not to be sent again either.
const keyed, zoned, once = 1, 2, 3

// window is how long boxes drop repeats of keyed requests here.
const window = 500 * time.Millisecond

func newCrossing(t rapid.TB) *crossing {
	cfg := policy.Config{Classes: []policy.Class{
		{Name: "safe", LatencyObjective: 300 * time.Millisecond, Deadline: 2 * time.Second},
		{Name: "keyed", LatencyObjective: 300 * time.Millisecond, Deadline: 2 * time.Second, Idempotency: policy.IdempotentByKey, DedupWindow: window, Write: true},
		{Name: "zoned", LatencyObjective: 300 * time.Millisecond, Deadline: 2 * time.Second, Idempotency: policy.IdempotentByKey, DedupScope: policy.DedupZone, DedupWindow: window, Write: true},
		{Name: "once", LatencyObjective: 300 * time.Millisecond, Deadline: 2 * time.Second, Idempotency: policy.NotIdempotent, Write: true}},
		MaxAttempts: 6, OriginKind: 2, ParentKind: 1, DirectFetch: true, MayCancel: true, Instances: 1, ZoneInstances: []int{1}}
	b, err := New(cfg, 1, 100, nil, membership.New(membership.Config{Sources: []membership.Source{{Name: "bulletin"}}}))
	if err != nil {
		t.Fatal(err)
	}
	x := &crossing{t: t, b: b, now: 1000 * time.Second, version: 1, answers: map[*Request]int{}, ran: map[*Request]bool{}, since: map[*Attempt]time.Duration{}, sent: map[*Request]int{}, left: map[*Request]bool{}}
	for i, id := range []string{"c1", "c2", "p1", "p2", "o1"} {
		x.boxes = append(x.boxes, membership.Endpoint{ID: id, Address: fmt.Sprintf("10.0.0.%d:1", i+1), Kind: []int{0, 0, 1, 1, 2}[i], State: membership.Up})
	}
	x.events = append(x.events, EndpointList{List: membership.List{Version: 1, Endpoints: slices.Clone(x.boxes)}})
	x.round()
	return x
}

// arrive has a request of a class come.
func (x *crossing) arrive(class int) *Request {
	r := &Request{ID: fmt.Sprintf("%016x", len(x.requests)+1), Class: class, Object: uint64(len(x.requests)%3 + 1), Group: -1, ReceivedAt: x.now,
		Timeout: 2 * time.Second, SizeKB: 1}
	if class == keyed || class == zoned {
		r.Key = r.ID
	}
	x.requests = append(x.requests, r)
	x.events = append(x.events, RequestReceived{r})
	return r
}

// state has the list tell a box's state.
func (x *crossing) state(box int, s membership.State) {
	x.version++
	x.boxes[box].State = s
	x.events = append(x.events, EndpointDelta{Version: x.version, Endpoints: []membership.Endpoint{x.boxes[box]}})
}

// write is the moment of writing the nth attempt that waits.
func (x *crossing) write(n int) {
	a := x.waiting[n]
	x.waiting = slices.Delete(x.waiting, n, n+1)
	if _, ok := x.b.MaySend(a, x.now); !ok {
		x.events = append(x.events, AttemptEnded{Attempt: a, End: Blocked})
		return
	}
	r := a.Request
	switch {
	case x.left[r]:
		x.t.Fatalf("request %s was withdrawn in an earlier round, and is written to %s", r.ID, a.Endpoint.Name)
	case a.Endpoint.State != policy.Ready || a.Source.State != policy.Ready:
		x.t.Fatalf("request %s is written to %s, filled from %s: states %v, %v", r.ID, a.Endpoint.Name, a.Source.Name, a.Endpoint.State, a.Source.State)
	case r.Class == once && x.ran[r]:
		x.t.Fatalf("request %s may have run, may not be repeated, and is written to %s", r.ID, a.Endpoint.Name)
	}
	for _, o := range slices.Concat(x.out, x.quit) {
		if o.Request == r {
			x.t.Fatalf("request %s is written to %s while it is out at %s", r.ID, a.Endpoint.Name, o.Endpoint.Name)
		}
	}
	for _, o := range r.attempts {
		if since := x.since[o]; since > 0 && r.Key != "" && x.now-since > window {
			x.t.Fatalf("request %s is written to %s %v after an attempt that may have run: boxes drop repeats for %v", r.ID, a.Endpoint.Name, x.now-since, window)
		}
	}
	a.Written = true
	x.sent[r]++
	x.ran[r] = true
	x.since[a] = x.now
	x.out = append(x.out, a)
}

// end has the nth attempt that is out end.
func (x *crossing) end(n int, end End, doubtful bool) {
	a := x.out[n]
	x.out = slices.Delete(x.out, n, n+1)
	x.done = append(x.done, a)
	if slices.Contains([]End{CacheMiss, Rejected, AlreadyEnded}, end) && !doubtful {
		x.ran[a.Request] = false // as far as this one goes: it is the only one that was out
		delete(x.since, a)
	}
	x.events = append(x.events, AttemptEnded{Attempt: a, End: end, MayHaveRun: doubtful})
}

// round takes the events in the order in which they stand.
func (x *crossing) round() {
	events := x.events
	x.events = nil // of the next round
	for _, e := range x.b.Round(x.now, events) {
		switch e := e.(type) {
		case SendAttempt:
			x.waiting = append(x.waiting, e.Attempt)
		case CancelAttempt:
			drop := func(list *[]*Attempt) bool {
				i := slices.Index(*list, e.Attempt)
				if i >= 0 {
					*list = slices.Delete(*list, i, i+1)
				}
				return i >= 0
			}
			switch { // one that waits and is given up may still be about to be written
			case e.AwaitEnd && drop(&x.waiting):
				x.events = append(x.events, AttemptEnded{Attempt: e.Attempt, End: Canceled})
			case e.AwaitEnd && drop(&x.out):
				x.quit = append(x.quit, e.Attempt)
			case !e.AwaitEnd && !drop(&x.out):
				drop(&x.quit)
			}
		case Respond:
			if x.answers[e.Request]++; x.answers[e.Request] > 1 || x.left[e.Request] {
				x.t.Fatalf("request %s has %d answers, withdrawn before: %v", e.Request.ID, x.answers[e.Request], x.left[e.Request])
			}
			if f := e.Response; f.Kind == ResponseRejected && x.ran[e.Request] && e.Request.Class >= zoned {
				x.t.Fatalf("request %s may have run, and is refused: %s", e.Request.ID, f.Reason)
			}
		}
	}
	for _, r := range x.requests {
		x.left[r] = r.Canceled
	}
}

// TestCrossings: whatever comes in whatever order, each request has exactly one end, in its time; nothing is written to a box that drains or
// is gone, or is filled from one, nor for a client that has left; no two attempts are out together; what may have run and may not be
// repeated is not; and nothing is held in the end.
func TestCrossings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := newCrossing(t)
		ends := []End{Served, CacheMiss, Rejected, Failed, AlreadyEnded, ConnectionReset, ProtocolError, Unresponsive}
		for range rapid.IntRange(5, 60).Draw(t, "rounds") {
			for range rapid.IntRange(1, 5).Draw(t, "events") {
				pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "which") }
				switch what := rapid.IntRange(0, 9).Draw(t, "event"); {
				case what <= 1:
					x.arrive(rapid.IntRange(0, once).Draw(t, "class"))
				case what == 2 && len(x.requests) > 0:
					if r := x.requests[pick(len(x.requests))]; !r.Canceled && x.answers[r] == 0 {
						r.Canceled = true
						x.events = append(x.events, RequestCanceled{r})
					}
				case what == 3:
					x.state(pick(len(x.boxes)), rapid.SampledFrom([]membership.State{membership.Up, membership.Draining, membership.Gone}).Draw(t, "state"))
				case what == 4:
					x.events = append(x.events, Purge{Object: uint64(1 + pick(3)), Issued: x.now})
				case what == 5 && len(x.quit) > 0:
					a := x.quit[0]
					x.quit = x.quit[1:]
					x.events = append(x.events, AttemptEnded{Attempt: a, End: Canceled})
				case what == 6 && len(x.waiting) > 0:
					n := pick(len(x.waiting))
					a := x.waiting[n]
					x.waiting = slices.Delete(x.waiting, n, n+1)
					x.events = append(x.events, AttemptEnded{Attempt: a, End: rapid.SampledFrom([]End{ConnectFailed, NotSent, NoConnectionCapacity}).Draw(t, "unsent")})
				case what == 7 && len(x.out) > 0:
					x.end(pick(len(x.out)), rapid.SampledFrom(ends).Draw(t, "end"), rapid.Bool().Draw(t, "doubtful"))
				case what == 8 && len(x.done) > 0: // a second word of one that has ended
					x.events = append(x.events, AttemptEnded{Attempt: x.done[pick(len(x.done))], End: rapid.SampledFrom(ends).Draw(t, "second end")})
				case len(x.waiting) > 0:
					x.write(pick(len(x.waiting)))
				}
			}
			x.now += time.Duration(rapid.IntRange(0, 120).Draw(t, "ms")) * time.Millisecond
			x.round()
		}
		for range 300 { // boxes say nothing more
			x.now += 10 * time.Millisecond
			x.round()
		}
		for _, r := range x.requests {
			if x.answers[r] == 0 && !r.Canceled {
				t.Fatalf("request %s has no answer", r.ID)
			}
		}
		if s := x.b.Sizes(); s.Open+s.PolicyRequests > 0 {
			t.Fatalf("held in the end: %+v", s)
		}
	})
}

// TestDrainCrossesRequest: a request and what the list says of its box, or of its source, come in one round, in both orders.
func TestDrainCrossesRequest(t *testing.T) {
	const many = 3 // fills are limited
	for _, c := range []struct {
		name string
		says func(x *crossing)
	}{
		{"a box drains", func(x *crossing) { x.state(0, membership.Draining) }},
		{"a box drains, is up and drains again", func(x *crossing) {
			x.state(0, membership.Draining)
			x.state(0, membership.Up)
			x.state(0, membership.Draining)
		}},
		{"a source drains", func(x *crossing) { x.state(2, membership.Draining) }},
		{"a box is gone", func(x *crossing) { x.state(1, membership.Gone) }},
	} {
		for _, first := range []bool{true, false} {
			x := newCrossing(t)
			ask := func() {
				for range many {
					x.arrive(0)
				}
			}
			if first {
				c.says(x)
				ask()
			} else {
				ask()
				c.says(x)
			}
			for x.round(); len(x.answers) < many; x.round() { // write checks where it goes
				for len(x.waiting) > 0 {
					x.write(0)
				}
				for len(x.out) > 0 {
					x.end(0, Served, false)
				}
				if x.now += time.Millisecond; x.now > 1003*time.Second {
					t.Fatalf("%s, the list first %v: %d of %d requests have an answer", c.name, first, len(x.answers), many)
				}
			}
			for _, r := range x.requests {
				if x.sent[r] == 0 {
					t.Errorf("%s, the list first %v: request %s was sent nowhere", c.name, first, r.ID)
				}
			}
		}
	}
}

// TestOneRound: two events of one request come in one round, in both orders. What each of them has to come to is the same.
func TestOneRound(t *testing.T) {
	served := func(x *crossing, a *Attempt) {
		x.events = append(x.events, AttemptEnded{Attempt: a, End: Served, Body: []byte("done")})
	}
	broken := func(x *crossing, a *Attempt) {
		x.events = append(x.events, AttemptEnded{Attempt: a, End: ConnectionReset})
	}
	drains := func(x *crossing, a *Attempt) {
		x.state(slices.IndexFunc(x.boxes, func(b membership.Endpoint) bool { return b.ID == a.Endpoint.Name }), membership.Draining)
	}
	goes := func(x *crossing, a *Attempt) {
		x.state(slices.IndexFunc(x.boxes, func(b membership.Endpoint) bool { return b.ID == a.Endpoint.Name }), membership.Gone)
	}
	purged := func(x *crossing, a *Attempt) {
		x.events = append(x.events, Purge{Object: a.Request.Object, Issued: x.now})
	}
	leaves := func(x *crossing, a *Attempt) {
		a.Request.Canceled = true
		x.events = append(x.events, RequestCanceled{a.Request})
	}
	none := func(*crossing, *Attempt) {}
	for _, c := range []struct {
		name  string
		a, b  func(*crossing, *Attempt)
		class int
		late  bool // the round is that of the deadline
		want  []ResponseKind
		goes  bool // on elsewhere
	}{
		{"an answer at the deadline", served, none, 0, true, []ResponseKind{ResponseServed}, false},
		{"a reset at the deadline", broken, none, 0, true, []ResponseKind{ResponseRejected, ResponseFailed}, false},
		{"a reset at the deadline, of what may run once", broken, none, once, true, []ResponseKind{ResponseFailed}, false},
		{"a drain at the deadline", drains, none, once, true, []ResponseKind{ResponseFailed}, false},
		{"an answer, and its box drains", served, drains, 0, false, []ResponseKind{ResponseServed}, false},
		{"an answer, and its box is gone", served, goes, 0, false, []ResponseKind{ResponseServed}, false},
		{"an answer, and its object is purged", served, purged, 0, false, []ResponseKind{ResponseServed}, false},
		{"an answer and a reset", served, broken, once, false, []ResponseKind{ResponseServed, ResponseFailed}, false},
		{"a reset, and its box drains", broken, drains, 0, false, nil, true},
		{"a reset, and its box drains, of what may run once", broken, drains, once, false, []ResponseKind{ResponseFailed}, false},
		{"a drain while it is out", drains, none, once, false, nil, false},
		{"a reset, and its client leaves", broken, leaves, 0, false, []ResponseKind{}, false},
		{"an answer, and its client leaves", served, leaves, 0, false, []ResponseKind{ResponseServed}, false},
	} {
		for _, first := range []bool{true, false} {
			x := newCrossing(t)
			r := x.arrive(c.class)
			for x.round(); len(x.waiting) > 0 && len(x.out) == 0; x.round() {
				x.write(0)
			}
			if len(x.out) != 1 {
				t.Fatalf("%s: %d attempts are out", c.name, len(x.out))
			}
			a := x.out[0]
			x.out = nil // what may be said of it stands below; write must not take it for one that is out
			if c.late {
				x.now = r.deadline
			} else {
				x.now += 20 * time.Millisecond
			}
			if c.a(x, a); first {
				c.b(x, a)
			} else {
				events := x.events
				x.events = nil
				c.b(x, a)
				x.events = append(x.events, events...)
			}
			var finals []ResponseKind
			for _, e := range x.b.Round(x.now, x.events) {
				switch e := e.(type) {
				case Respond:
					finals = append(finals, e.Response.Kind)
				case SendAttempt:
					if _, may := x.b.MaySend(e.Attempt, x.now); may { // as it is asked when it is written, at the end of the round
						x.waiting = append(x.waiting, e.Attempt)
					}
				}
			}
			fits := len(finals) == 1 && slices.Contains(c.want, finals[0]) || len(finals) == 0 && (c.want == nil || r.Canceled)
			if !fits || (len(x.waiting) > 0) != c.goes {
				t.Errorf("%s, in the order written %v: answers %v, want one of %v; goes on elsewhere %v, want %v", c.name, first, finals, c.want, len(x.waiting) > 0, c.goes)
			}
			for len(x.waiting) > 0 {
				x.write(0) // which checks where it goes
			}
		}
	}
}

// TestAnswersAfterAStandstill: answers that lie in the first round after a standstill are taken before the module looks for silent boxes.
// It ejected them.
func TestAnswersAfterAStandstill(t *testing.T) {
	for _, answered := range []bool{true, false} {
		x := newCrossing(t)
		for range 60 {
			x.arrive(0)
		}
		x.round()
		for len(x.waiting) > 0 {
			x.write(0)
		}
		if x.now += time.Second; answered {
			for len(x.out) > 0 {
				x.end(0, Served, false)
			}
		}
		ejected := 0
		for _, e := range x.b.Round(x.now, x.events) {
			if line, ok := e.(LogEntry); ok && line.Event == "outlier-detection" && strings.Contains(fmt.Sprint(line.Fields...), "ejected") {
				ejected++
			}
		}
		if (ejected > 0) == answered {
			t.Errorf("their answers are there: %v; boxes that are held for silent: %d", answered, ejected)
		}
	}
}

// TestPurgeCrossesRequest: a purge and a request for its object, or for one of its group, come in one round, in both orders. Only a copy
// from after the purge will do.
func TestPurgeCrossesRequest(t *testing.T) {
	for _, group := range []bool{false, true} {
		for _, first := range []bool{true, false} {
			x := newCrossing(t)
			x.now += time.Minute
			issued := x.now - 100*time.Millisecond
			p := Purge{Object: 1, Issued: issued}
			if group {
				p = Purge{Group: 7, Issued: issued}
			}
			if first {
				x.events = append(x.events, p)
			}
			if r := x.arrive(0); group {
				r.Group = 7
			}
			if !first {
				x.events = append(x.events, p)
			}
			if x.round(); len(x.waiting) == 0 {
				t.Fatal("nothing is sent")
			}
			for _, later := range []time.Duration{0, 40 * time.Millisecond} { // that it waits for its connection
				if age, ok := x.b.MaySend(x.waiting[0], x.now+later); !ok || age <= 0 || x.now+later-age < issued {
					t.Errorf("group %v, the purge first %v: a copy of %v will do, %v after the purge", group, first, age, x.now+later-issued)
				}
			}
		}
	}
}

// TestRepeatWaitsTooLong: an attempt of a keyed request may have run, the next one is decided while boxes drop repeats, and its connection
// comes up when they don't any more.
func TestRepeatWaitsTooLong(t *testing.T) {
	for _, c := range []struct {
		class int
		end   End
		wait  time.Duration // for the connection
		may   bool
	}{
		{keyed, ConnectionReset, 300 * time.Millisecond, false},
		{keyed, ConnectionReset, 50 * time.Millisecond, true},
		{keyed, Rejected, 300 * time.Millisecond, true}, // it never ran
		{zoned, Unresponsive, 300 * time.Millisecond, false},
		{0, ConnectionReset, 300 * time.Millisecond, true},
	} {
		x := newCrossing(t)
		x.arrive(c.class)
		x.round()
		x.write(0)
		x.now += 300 * time.Millisecond
		x.end(0, c.end, false)
		if x.round(); len(x.waiting) != 1 {
			t.Fatalf("class %d: %d attempts wait", c.class, len(x.waiting))
		}
		if _, may := x.b.MaySend(x.waiting[0], x.now+c.wait); may != c.may {
			t.Errorf("class %d, %v, %v later: it may be written: %v, want %v", c.class, c.end, 300*time.Millisecond+c.wait, may, c.may)
		}
	}
}

// TestGuardsBehindTheModule: what the module does not do either, the broker does not let through.
func TestGuardsBehindTheModule(t *testing.T) {
	x := newCrossing(t)
	gone := x.arrive(0)
	gone.Canceled = true
	x.events = append(x.events, RequestCanceled{gone})
	if x.round(); len(x.waiting) > 0 {
		t.Error("a request that was taken back in the round of its coming is sent on")
	}
	r := x.arrive(0)
	x.round()
	x.write(0)
	first := x.out[0]
	x.b.effects = x.b.effects[:0]
	x.b.sendAttempt(policy.SendAttempt{ID: r.id, Endpoint: first.Endpoint.ID, Source: first.Endpoint.ID}) // beside the one that is out
	for _, e := range x.b.effects {
		if _, ok := e.(SendAttempt); ok {
			t.Error("a second attempt goes out beside the first, where second copies are not allowed")
		}
	}
	if n := len(x.b.pending); n == 0 {
		t.Error("the second attempt has no end")
	} else if e, ok := x.b.pending[n-1].(AttemptEnded); !ok || e.Attempt == first || e.End != Blocked {
		t.Errorf("the second attempt ends with %+v, want that it never ran", x.b.pending[n-1])
	}
	x.b.pending = nil
	quit := false
	r.Canceled = true
	for _, e := range x.b.Round(x.now, []Event{RequestCanceled{r}}) {
		if q, ok := e.(CancelAttempt); ok && q.Attempt == first {
			quit = true
		}
	}
	if _, may := x.b.MaySend(first, x.now); may || !quit || first.Open() {
		t.Errorf("its client has left, and the attempt may still be written: %v; it was given up: %v; it is open: %v", may, quit, first.Open())
	}
}
