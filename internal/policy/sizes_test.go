package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// sizeDay is a day of one zone whose four caches hold everything and share their links evenly among what is out: what
// is answered and what is not depends on sizes and on what the module lets in alone. Clients that are turned away come
// again, twice at most.
type sizeDay struct {
	load  float64 // of the caches' links
	sigma float64 // of the logarithm of sizes; 0: all alike
	told  bool    // whether requests tell their size
	parts int     // of an object, asked for one after another under its key
}

type sizeRequest struct {
	object   uint64
	part     int
	size     float64 // flow seconds
	tries    int
	answered bool
}

// play gives the share of requests that were answered by a try, of the tenth with the largest sizes, of the next fifth
// and of all.
func (day sizeDay) play(t *testing.T, seed uint64) (largest, next, all float64) {
	t.Helper()
	cfg := site()
	cfg.Instances, cfg.ZoneInstances, cfg.Hedging = 1, []int{0, 0, 1, 1}, false
	d, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	const (
		mean  = 0.25 // flow seconds
		step  = 5 * ms
		span  = 60 * sec
		again = 300 * ms
	)
	rnd, now := rand.New(rand.NewPCG(seed, 1)), 100*sec
	type out struct {
		id   RequestID
		n    int
		left float64
		sent time.Duration
	}
	var requests []*sizeRequest
	open, busy := map[RequestID]*sizeRequest{}, map[EndpointID][]out{}
	back := map[time.Duration][]*sizeRequest{}
	gets := map[RequestID]int{}
	id, links := RequestID(0), 0.0
	for _, n := range nodes() {
		if n.Zone == cfg.Zone && n.Kind == 0 {
			links += n.Weight
		}
	}
	rate := day.load * links / mean // requests a second
	var timer time.Duration
	var take func(actions []Action)
	tell := func(e Event) { take(slices.Clone(d.Handle(now, e))) }
	take = func(actions []Action) {
		for _, a := range actions {
			switch a := a.(type) {
			case SendAttempt:
				r := open[a.ID]
				busy[a.Endpoint] = append(busy[a.Endpoint], out{a.ID, gets[a.ID], r.size, now})
				gets[a.ID]++
			case CancelAttempt:
				for node, b := range busy {
					if i := slices.IndexFunc(b, func(o out) bool { return o.id == a.ID && o.n == a.Attempt }); i >= 0 {
						o := b[i]
						busy[node] = slices.Delete(b, i, i+1)
						tell(ResponseEvent{ID: o.id, Endpoint: node, Attempt: o.n, Elapsed: now - o.sent, Status: StatusCanceled})
					}
				}
			case Reject:
				r := open[a.ID]
				delete(open, a.ID)
				if r.tries <= 2 {
					at := (now + again).Truncate(step)
					back[at] = append(back[at], r)
				}
			case Fail:
				delete(open, a.ID)
			case SetTimer:
				timer = a.At
			}
		}
	}
	call := func(r *sizeRequest) {
		id++
		r.tries++
		open[id] = r
		told := 0.0
		if day.told {
			told = r.size * cfg.FlowKBps
		}
		tell(RequestEvent{ID: id, Object: r.object, Part: r.part, Remaining: cfg.Classes[0].Deadline, SizeKB: told})
	}
	tell(ListEvent{Kind: ListCached, Endpoints: nodes()})
	for end := now + span; now < end+5*sec; now += step {
		if timer > 0 && now >= timer {
			tell(TimerEvent{Token: tickToken})
		}
		for _, r := range back[now] {
			call(r)
		}
		delete(back, now)
		for p := rnd.ExpFloat64(); now < end && p < rate*step.Seconds(); p += rnd.ExpFloat64() {
			r := &sizeRequest{object: rnd.Uint64N(2000) + 1, size: mean}
			if day.sigma > 0 {
				r.size = mean * math.Exp(day.sigma*rnd.NormFloat64()-day.sigma*day.sigma/2)
			}
			if day.parts > 1 {
				r.part = rnd.IntN(day.parts)
			}
			requests = append(requests, r)
			call(r)
		}
		for _, n := range nodes() {
			b := busy[n.ID]
			each := step.Seconds() * min(1, n.Weight/float64(max(1, len(b))))
			busy[n.ID] = b[:0]
			var ended []out
			for _, o := range b {
				switch o.left -= each; {
				case open[o.id] == nil: // its time was up
				case o.left > 0:
					busy[n.ID] = append(busy[n.ID], o)
				default:
					ended = append(ended, o)
				}
			}
			for _, o := range ended { // by id, so that who is called off meanwhile has no second end
				r := open[o.id]
				if r == nil || gets[o.id] != o.n+1 {
					continue
				}
				r.answered = true
				delete(open, o.id)
				tell(ResponseEvent{ID: o.id, Endpoint: n.ID, Attempt: o.n, Elapsed: now - o.sent, Status: StatusOK, Note: NoteHit, Concluded: true})
			}
		}
	}
	slices.SortStableFunc(requests, func(a, b *sizeRequest) int {
		switch {
		case a.size > b.size:
			return -1
		case a.size < b.size:
			return 1
		}
		return 0
	})
	share := func(of []*sizeRequest) float64 {
		n := 0
		for _, r := range of {
			if r.answered {
				n++
			}
		}
		return float64(n) / float64(len(of))
	}
	n := len(requests)
	if n < 1000 {
		t.Fatalf("%d requests: too few to tell", n)
	}
	return share(requests[:n/10]), share(requests[n/10 : 3*n/10]), share(requests)
}

// TestSizes: of the largest tenth of a class's requests, and of the next fifth, at least two thirds as many are
// answered as of all on a quiet day, and half as many on others, with retries as clients make them.
func TestSizes(t *testing.T) {
	for _, c := range []struct {
		name  string
		day   sizeDay
		least float64
	}{
		{"quiet", sizeDay{load: 0.5, sigma: 1, told: true}, 2.0 / 3},
		{"quiet, with sizes far apart", sizeDay{load: 0.5, sigma: 1.6, told: true}, 2.0 / 3},
		{"crowded", sizeDay{load: 1.1, sigma: 1, told: true}, 0.5},
		{"half as much again as there is room for", sizeDay{load: 1.5, sigma: 1, told: true}, 0.5},
		{"crowded, by parts", sizeDay{load: 1.1, sigma: 1, told: true, parts: 5}, 0.5},
		{"crowded, no size told", sizeDay{load: 1.1, sigma: 1}, 0.5},
		{"crowded, all alike", sizeDay{load: 1.1, told: true}, 0.5},
	} {
		for seed := range uint64(2) {
			largest, next, all := c.day.play(t, seed)
			t.Logf("%s, seed %d: largest tenth %.3f, next fifth %.3f, all %.3f", c.name, seed, largest, next, all)
			if largest < c.least*all || next < c.least*all {
				t.Errorf("%s, seed %d: of the largest tenth %.3f are answered, of the next fifth %.3f, of all %.3f", c.name, seed, largest, next, all)
			}
		}
	}
}
