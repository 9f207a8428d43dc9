package bootstrap

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sloequay/internal/membership"
)

const ms = time.Millisecond

var plans = flag.Int("plans", 100, "seeded plans to play")

// world is many machines in simulated time: a list service, and a network that loses, doubles, delays and reorders.
type world struct {
	t      testing.TB
	rng    *rand.Rand
	now    time.Duration
	queue  events
	serial int
	nodes  []*node
	truth  []membership.Endpoint
	index  uint64
	ever   map[uint64]bool // sums of lists that the service has had
	up     bool            // the service answers
	calls  []time.Duration
	loss   float64
	twice  float64
	cut    func(from, to *node) bool
	meets  time.Duration // after a change until all know who lives
}

type node struct {
	*Machine
	name, zone string
	alive      bool
	epoch      uint64
	stopped    bool
	missed     []func()
	cutOff     bool // from the service
	lie        func(m Message) Message
	last       ListVersion
	ready      time.Duration // after its start
	started    time.Duration
	peersOn    bool
	fleet      int
	// fromService: its list is the service's own, not a quorum's of peers.
	fromService bool
}

type event struct {
	at     time.Duration
	serial int
	do     func()
}
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].serial < e[j].serial
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newWorld(t testing.TB, seed uint64, n, zones int, peers bool) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 3)), ever: map[uint64]bool{}, up: true, meets: 300 * ms}
	for i := range 20 {
		w.truth = append(w.truth, membership.Endpoint{ID: fmt.Sprintf("c%02d", i), Address: fmt.Sprint("10.0.0.", i), State: membership.Up, Weight: 8})
	}
	w.change(func() {})
	for i := range n {
		w.nodes = append(w.nodes, &node{name: fmt.Sprintf("d%03d", i), zone: fmt.Sprint("z", i%zones), peersOn: peers, fleet: n})
	}
	return w
}

func (w *world) after(d time.Duration, do func()) {
	w.serial++
	heap.Push(&w.queue, event{w.now + d, w.serial, do})
}

func (w *world) change(do func()) {
	do()
	w.index++
	w.ever[checksum(w.index, newEndpointList(0, w.index, w.truth).endpoints)] = true
	for _, n := range w.nodes {
		if n.alive && n.polling && w.up {
			w.after(time.Duration(w.rng.IntN(20))*ms, func() { w.answer(n) })
		}
	}
}

// answer has the service tell a doorman its list.
func (w *world) answer(n *node) {
	if !n.alive || !n.polling || !w.up || n.cutOff {
		return
	}
	w.hand(n, func() []Effect {
		n.fromService = true
		return n.ListFromService(w.now, 0, w.index, w.truth)
	})
}

// hand has a node take something, now or when it wakes.
func (w *world) hand(n *node, do func() []Effect) {
	epoch := n.epoch
	run := func() {
		if n.alive && n.epoch == epoch {
			w.carry(n, do())
		}
	}
	if n.stopped {
		n.missed = append(n.missed, run)
		return
	}
	run()
}

func (w *world) start(n *node) {
	n.alive, n.stopped, n.missed, n.started, n.ready = true, false, nil, w.now, 0
	n.epoch++
	n.last = ListVersion{}
	n.Machine = New(w.now, Config{Name: n.name, Zone: n.zone, Incarnation: n.epoch, Peers: n.peersOn, Lists: 1, Fleet: n.fleet, Seed: w.rng.Uint64()})
	epoch := n.epoch
	var tick func()
	tick = func() {
		if !n.alive || n.epoch != epoch {
			return
		}
		w.hand(n, func() []Effect { return n.Step(w.now) })
		w.after(max(10*ms, n.Next()-w.now), tick)
	}
	w.after(0, tick)
	w.meet()
}

func (w *world) kill(n *node) {
	n.alive = false
	w.meet()
}

// meet has all learn who lives, each a little later.
func (w *world) meet() {
	for _, n := range w.nodes {
		if n.alive && n.peersOn {
			w.after(time.Duration(w.rng.Int64N(int64(w.meets))), func() {
				if n.alive {
					w.hand(n, func() []Effect { return n.PeersChanged(w.now, w.live(n)) })
				}
			})
		}
	}
}

func (w *world) live(of *node) (out []Peer) {
	for _, n := range w.nodes {
		if n.alive && (w.cut == nil || !w.cut(n, of)) {
			out = append(out, Peer{n.name, n.zone})
		}
	}
	return out
}

func (w *world) carry(n *node, effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case Send:
			msg := e.Message
			if n.lie != nil {
				msg = n.lie(msg)
			}
			for _, to := range w.nodes {
				if to.name == e.To && to.alive {
					w.deliver(n, to, msg)
				}
			}
		case Poll:
			if e.On {
				epoch := n.epoch
				var ask func()
				ask = func() {
					if n.alive && n.epoch == epoch && n.polling {
						w.calls = append(w.calls, w.now)
						if !w.up || n.cutOff {
							w.after(time.Second, ask)
							return
						}
						w.after(5*ms, func() { w.answer(n) })
						w.beat(n)
					}
				}
				ask()
			}
		case Adopt:
			if e.Hint && len(e.Endpoints) == 0 {
				w.t.Fatalf("%v: %s takes an empty list from one peer alone", w.now, n.name)
			}
			for _, b := range e.Endpoints {
				if e.Hint && b.State != membership.Up {
					w.t.Fatalf("%v: %s takes %v of %s from one peer alone", w.now, n.name, b.State, b.ID)
				}
			}
			if !e.Hint {
				n.fromService = false
			}
			if !e.Hint && !w.ever[checksum(e.Version, newEndpointList(0, e.Version, e.Endpoints).endpoints)] {
				w.t.Fatalf("%v: %s believes a list that the service never had: version %d, %d boxes", w.now, n.name, e.Version, len(e.Endpoints))
			}
		}
	}
	if k, ok := n.Version(0); ok && k != n.last {
		if !n.fromService && k.Version < n.last.Version {
			w.t.Fatalf("%v: %s went back from version %d to %d by a peer's word", w.now, n.name, n.last.Version, k.Version)
		}
		n.last = k
	}
	if n.ready == 0 && n.Ready() {
		n.ready = max(1, w.now-n.started)
	}
	l := &n.lists[0]
	if len(l.advertisements) > n.config.MaxAdvertisements || len(l.history) > n.config.History || len(n.servedPeers) > 1 || len(n.distrustedUntil) > len(w.nodes) {
		w.t.Fatalf("%v: %s holds %d claims, %d older lists, %d served", w.now, n.name, len(l.advertisements), len(l.history), len(n.servedPeers))
	}
}

// beat has the service say each second that it lives, as a blocking query's probe does.
func (w *world) beat(n *node) {
	epoch := n.epoch
	w.after(time.Second, func() {
		if n.alive && n.epoch == epoch && n.polling {
			w.calls = append(w.calls, w.now)
			if w.up && !n.cutOff {
				if n.lists[0].serviceSeenAt > 0 && n.last.Version == w.index {
					w.hand(n, func() []Effect { return n.ServiceSeen(w.now, 0) })
				} else {
					w.answer(n)
				}
			}
			w.beat(n)
		}
	})
}

func (w *world) deliver(from, to *node, msg Message) {
	if w.cut != nil && w.cut(from, to) {
		return
	}
	times := 1
	if w.rng.Float64() < w.twice {
		times = 2
	}
	epoch := to.epoch
	for range times {
		if w.rng.Float64() < w.loss {
			continue
		}
		w.after(ms+time.Duration(w.rng.ExpFloat64()*float64(3*ms)), func() {
			if to.alive && to.epoch == epoch {
				w.hand(to, func() []Effect { return to.MessageReceived(w.now, msg) })
			}
		})
	}
}

func (w *world) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

// agree checks that all honest nodes have the service's list, and that no more ask than should.
func (w *world) agree(when string, most int) {
	w.t.Helper()
	want := newEndpointList(0, w.index, w.truth)
	asks := 0
	for _, n := range w.nodes {
		if !n.alive || n.lie != nil {
			continue
		}
		if n.polling {
			asks++
		}
		if k, ok := n.Version(0); !ok || k != want.ListVersion {
			w.t.Fatalf("%s: %s holds version %d (%v), the service has %d", when, n.name, k.Version, ok, want.Version)
		}
	}
	if asks > most {
		w.t.Fatalf("%s: %d doormans ask, at most %d should", when, asks, most)
	}
}

// startAll starts every node within a second.
func (w *world) startAll() {
	for _, n := range w.nodes {
		w.after(time.Duration(w.rng.Int64N(int64(time.Second))), func() { w.start(n) })
	}
}

func (w *world) called(from, to time.Duration) (all, peak int) {
	first := 0
	for i, at := range w.calls {
		for at-w.calls[first] >= time.Second {
			first++
		}
		if at >= from && at < to {
			all++
			peak = max(peak, i-first+1)
		}
	}
	return all, peak
}

// TestFleetStarts: calls to the service in the first 10 s, in a quiet minute and at their peak do not grow with the
// fleet, all are ready in time, and a change reaches everyone within the second that a drain may take.
func TestFleetStarts(t *testing.T) {
	var at30 [3]int
	for _, size := range []int{8, 30, 100, 300} {
		for _, peers := range []bool{true, false} {
			w := newWorld(t, uint64(size), size, 2, peers)
			w.loss, w.twice = 0.02, 0.02
			w.startAll()
			w.run(10 * time.Second)
			first, peak := w.called(0, 10*time.Second)
			var slowest time.Duration
			for _, n := range w.nodes {
				if n.ready == 0 {
					t.Fatalf("%d doormans: %s is not ready after 10 s", size, n.name)
				}
				slowest = max(slowest, n.ready)
			}
			w.run(20 * time.Second)
			w.agree("after the start", map[bool]int{true: 6, false: size}[peers])
			w.change(func() { w.truth[3].State = membership.Draining })
			w.run(w.now + 900*ms)
			w.agree("after a drain", size)
			w.run(60 * time.Second)
			quiet, _ := w.called(30*time.Second, 60*time.Second)
			t.Logf("%3d doormans, peers %v: %d calls in the first 10 s, at most %d in a second, %d a second when quiet, ready within %v",
				size, peers, first, peak, quiet/30, slowest)
			if slowest > 5*time.Second {
				t.Errorf("%d doormans, peers %v: ready after %v, 5 s wanted", size, peers, slowest)
			}
			if !peers {
				continue
			}
			if size == 30 {
				at30 = [3]int{first, peak, quiet}
			}
			for i, n := range [3]int{first, peak, quiet} {
				if size == 300 && float64(n) > 1.5*float64(at30[i]) {
					t.Errorf("300 doormans: %v calls at first, at peak, when quiet; 30 doormans: %v", [3]int{first, peak, quiet}, at30)
				}
			}
		}
	}
}

// TestSeededPlans plays faults drawn by lot: kills and starts, nodes that stand still and wake, cuts from the
// service and between peers, an outage, changes of the list throughout, and a liar. Nobody ever believes what the
// service never had, and once all is healed everybody has its list.
func TestSeededPlans(t *testing.T) {
	for seed := range uint64(*plans) {
		w := newWorld(t, seed, 6+int(seed%20), 1+int(seed%3), true)
		w.loss, w.twice = w.rng.Float64()*0.2, w.rng.Float64()*0.2
		if seed%2 == 0 {
			w.nodes[0].lie = lies[int(seed/2)%len(lies)].lie
		}
		w.startAll()
		for range 12 {
			n := w.nodes[w.rng.IntN(len(w.nodes))]
			at, for_ := time.Duration(500+w.rng.IntN(20000))*ms, time.Duration(100+w.rng.IntN(6000))*ms
			switch w.rng.IntN(6) {
			case 0:
				w.after(at, func() { w.kill(n) })
				w.after(at+for_, func() { w.start(n) })
			case 1:
				w.after(at, func() { n.stopped = true })
				w.after(at+for_, func() {
					n.stopped = false
					missed := n.missed
					n.missed = nil
					for _, do := range missed {
						do()
					}
				})
			case 2:
				w.after(at, func() { n.cutOff = true })
				w.after(at+for_, func() { n.cutOff = false; w.answer(n) })
			case 3:
				w.after(at, func() { w.up = false })
				w.after(at+for_, func() {
					w.up = true
					for _, n := range w.nodes {
						if n.alive {
							w.answer(n)
						}
					}
				})
			case 4:
				side := map[*node]bool{}
				for _, n := range w.nodes {
					side[n] = w.rng.IntN(2) == 0
				}
				oneWay := w.rng.IntN(2) == 0
				w.after(at, func() {
					w.cut = func(a, b *node) bool { return side[a] != side[b] && (!oneWay || side[a]) }
					w.meet()
				})
				w.after(at+for_, func() { w.cut = nil; w.meet() })
			case 5:
				box := w.rng.IntN(len(w.truth))
				state := []membership.State{membership.Draining, membership.Up, membership.Gone}[w.rng.IntN(3)]
				w.after(at, func() { w.change(func() { w.truth[box].State = state }) })
			}
		}
		w.run(28 * time.Second)
		for _, n := range w.nodes {
			if !n.alive {
				w.start(n)
			}
		}
		w.change(func() { w.truth[0].Weight++ })
		w.run(50 * time.Second)
		w.agree(fmt.Sprintf("seed %d, healed", seed), len(w.nodes))
	}
}

// lies are what a liar does to its messages.
var lies = []struct {
	name string
	lie  func(m Message) Message
}{
	{"a list with no boxes, of a version far ahead", func(m Message) Message {
		empty := newEndpointList(0, 1<<40, nil)
		switch {
		case m.Digest != nil:
			m.Digest = []Advertisement{{empty.ListVersion, 0}}
		case m.Part != nil, m.Delta != nil, m.Busy != nil:
			m.Part, m.Delta, m.Busy = &Part{empty.ListVersion, 0, 1, nil}, nil, nil
		}
		return m
	}},
	{"every box drains", func(m Message) Message {
		var boxes []membership.Endpoint
		for i := range 20 {
			boxes = append(boxes, membership.Endpoint{ID: fmt.Sprintf("c%02d", i), Address: "10.0.0.1", State: membership.Draining})
		}
		bad := newEndpointList(0, 1<<40, boxes)
		switch {
		case m.Digest != nil:
			m.Digest = []Advertisement{{bad.ListVersion, 0}}
		case m.Part != nil, m.Delta != nil, m.Busy != nil:
			m.Part, m.Delta, m.Busy = &Part{bad.ListVersion, 0, 1, bad.endpoints}, nil, nil
		}
		return m
	}},
	{"content that is not what was told", func(m Message) Message {
		if m.Part != nil {
			p := *m.Part
			p.Endpoints = nil
			m.Part = &p
		}
		if m.Delta != nil {
			d := *m.Delta
			d.Removed = []string{"c01", "c02"}
			m.Delta = &d
		}
		return m
	}},
	{"parts without end", func(m Message) Message {
		if m.Part != nil {
			p := *m.Part
			p.Total = 1 << 30
			m.Part = &p
		}
		return m
	}},
	{"lists that there are not", func(m Message) Message {
		if m.Digest != nil {
			m.Digest = []Advertisement{{ListVersion{-1, 1, 1}, 0}, {ListVersion{99, 1, 1}, 0}}
		}
		return m
	}},
	{"always fresh, whatever it hears", func(m Message) Message {
		if m.Digest != nil {
			d := append([]Advertisement(nil), m.Digest...)
			for i := range d {
				d[i].LastSeen = 0
			}
			m.Digest = d
		}
		return m
	}},
}

// TestWaysOn: nothing waits for a peer without a plain way on.
func TestWaysOn(t *testing.T) {
	only := func(name string) func(a, b *node) bool { // one node hears another alone
		return func(a, b *node) bool { return b.name == "d005" && a.name != name }
	}
	for _, c := range []struct {
		name string
		play func(w *world)
	}{
		{"peers are there, and every word of theirs is lost", func(w *world) {
			w.loss = 1
			w.startAll()
			w.run(3 * time.Second)
			for _, n := range w.nodes {
				if !n.Ready() {
					w.t.Errorf("%s knows nothing after 3 s", n.name)
				}
			}
		}},
		{"one asker alone is heard: what it tells is looked at by ourselves", func(w *world) {
			w.startAll()
			w.run(5 * time.Second)
			asker := ""
			for _, n := range w.nodes {
				if n.polling && n.name != "d005" {
					asker = n.name
				}
			}
			w.nodes[5].config.Pollers = 0 // it is none itself
			w.run(8 * time.Second)
			w.cut = only(asker) // they stay in its view
			w.change(func() { w.truth[0].State = membership.Draining })
			w.run(w.now + 2*time.Second)
		}},
		{"the askers are cut off from the service: others try", func(w *world) {
			w.startAll()
			w.run(5 * time.Second)
			for _, n := range w.nodes {
				n.cutOff = n.polling
			}
			w.change(func() { w.truth[0].State = membership.Draining })
			w.run(w.now + 4*WidenInterval)
		}},
		{"all that ask are killed at once", func(w *world) {
			w.startAll()
			w.run(5 * time.Second)
			for _, n := range w.nodes {
				if n.polling {
					w.kill(n)
				}
			}
			w.change(func() { w.truth[0].State = membership.Draining })
			w.run(w.now + 3*time.Second)
		}},
		{"a whole zone starts anew while the service is dead", func(w *world) {
			for i, n := range w.nodes {
				n.zone = fmt.Sprint("z", i%2)
			}
			w.startAll()
			w.run(5 * time.Second)
			w.up = false
			for _, n := range w.nodes {
				if n.zone == "z0" {
					w.kill(n)
				}
			}
			w.run(7 * time.Second)
			for _, n := range w.nodes {
				if !n.alive {
					w.start(n)
				}
			}
			w.run(9 * time.Second)
		}},
		{"a stranger tells lists", func(w *world) {
			w.startAll()
			w.run(5 * time.Second)
			empty := newEndpointList(0, 1<<40, nil)
			for _, n := range w.nodes {
				for _, from := range []string{"x1", "x2", "x3"} {
					w.hand(n, func() []Effect {
						return n.MessageReceived(w.now, Message{From: from, Digest: []Advertisement{{empty.ListVersion, 0}}})
					})
				}
				if len(n.lists[0].advertisements) > len(w.nodes) {
					w.t.Errorf("%s remembers what strangers tell", n.name)
				}
				for _, c := range n.lists[0].advertisements {
					if c.Version == 1<<40 {
						w.t.Errorf("%s heeds a stranger", n.name)
					}
				}
			}
		}},
		{"a list of thousands comes in parts, over a network that loses a fifth", func(w *world) {
			w.loss = 0.2
			w.change(func() {
				for i := range 3000 {
					w.truth = append(w.truth, membership.Endpoint{ID: fmt.Sprint("x", i), Address: "10.1.0.1", State: membership.Up})
				}
			})
			w.startAll()
			w.run(20 * time.Second)
		}},
		{"a change is fetched as a delta", func(w *world) {
			w.startAll()
			w.run(5 * time.Second)
			w.change(func() { w.truth[1].State, w.truth = membership.Draining, w.truth[:19] })
			boxes := 0
			for _, n := range w.nodes {
				n.lie = func(m Message) Message { // none: it counts
					if m.Part != nil {
						boxes += len(m.Part.Endpoints)
					}
					return m
				}
			}
			w.run(w.now + time.Second)
			for _, n := range w.nodes {
				n.lie = nil
			}
			if boxes > 0 {
				w.t.Errorf("%d boxes were sent whole for a change of two", boxes)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, 5, 12, 1, true)
			c.play(w)
			if w.loss < 1 {
				w.agree("at the end", len(w.nodes))
			}
		})
	}
}

// TestSpoiltIsNamed: content that has not the checksum that was told is dropped, and who sent it is not heard for a
// while.
func TestSpoiltIsNamed(t *testing.T) {
	c := newEndpointList(0, 3, []membership.Endpoint{{ID: "a", Address: "1"}})
	for _, m := range []Message{{Part: &Part{c.ListVersion, 0, 1, nil}}, {Part: &Part{c.ListVersion, 0, 1 << 30, nil}}, {Part: &Part{c.ListVersion, 5, 2, nil}}} {
		n := New(0, Config{Name: "a", Zone: "z", Peers: true, Lists: 1, Fleet: 3})
		n.PeersChanged(0, []Peer{{"b", "z"}, {"c", "z"}})
		n.MessageReceived(1, Message{From: "b", Digest: []Advertisement{{c.ListVersion, 0}}})
		m.From = "b"
		spoilt := false
		for _, e := range n.MessageReceived(2, m) {
			note, is := e.(LogEntry)
			spoilt = spoilt || is && note.Event == ChecksumMismatch && note.Peer == "b"
		}
		if !spoilt || n.distrustedUntil["b"] == 0 || len(n.lists[0].advertisements) > 0 {
			t.Errorf("%+v is taken", m.Part)
		}
	}
}
