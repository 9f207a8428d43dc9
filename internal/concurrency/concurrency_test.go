package concurrency

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	start = 1_800_000_000 * time.Second
	ms    = time.Millisecond
)

// boxes is the plainest model of what is behind the limit: so many places, each request taking an exponential time, those
// beyond waiting in one queue.
type boxes struct {
	places int
	busy   int
	queue  []*job
}

type job struct {
	tenant  int
	arrived time.Duration
	ends    time.Duration
}

type event struct {
	at     time.Duration
	tenant int  // an arrival of it, where job is nil
	job    *job // its end
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// world plays tenants that send at rates against boxes behind a limit; without one they are let through.
type world struct {
	boxes    boxes
	limit    *Limit
	rate     []func(at time.Duration) float64
	portion  []float64
	open     []int
	inTime   []int // by tenant
	sent     []int
	refused  []int
	from     time.Duration // when counting begins
	values   []float64
	serve    time.Duration
	aim      time.Duration
	placesAt func(time.Duration) int
}

func (w *world) run(length time.Duration) {
	rng := rand.New(rand.NewPCG(7, 8))
	var q events
	next := func(tenant int, now time.Duration) {
		r := w.rate[tenant](now - start)
		if r <= 0 {
			heap.Push(&q, event{at: now + 10*ms, tenant: -1 - tenant})
			return
		}
		heap.Push(&q, event{at: now + time.Duration(rng.ExpFloat64()/r*1e9), tenant: tenant})
	}
	begin := func(j *job, now time.Duration) {
		w.boxes.busy++
		j.ends = now + time.Duration(rng.ExpFloat64()*float64(w.serve))
		heap.Push(&q, event{at: j.ends, job: j})
	}
	n := len(w.rate)
	w.open, w.inTime, w.sent, w.refused = make([]int, n), make([]int, n), make([]int, n), make([]int, n)
	for t := range w.rate {
		next(t, start)
	}
	for {
		e := heap.Pop(&q).(event)
		now := e.at
		if now > start+length {
			return
		}
		if w.placesAt != nil {
			w.boxes.places = w.placesAt(now - start)
		}
		counts := now >= start+w.from
		switch {
		case e.job != nil:
			j := e.job
			w.boxes.busy--
			w.open[j.tenant]--
			took, outcome := now-j.arrived, InTime
			if took > w.aim {
				outcome = ObjectiveMissed
			} else if counts {
				w.inTime[j.tenant]++
			}
			if w.limit != nil {
				w.limit.Release(now, outcome, took)
				w.values = append(w.values, w.limit.Value())
			}
			for len(w.boxes.queue) > 0 && w.boxes.busy < w.boxes.places {
				begin(w.boxes.queue[0], now)
				w.boxes.queue = w.boxes.queue[1:]
			}
		case e.tenant < 0:
			next(-1-e.tenant, now)
		default:
			t := e.tenant
			next(t, now)
			if counts {
				w.sent[t]++
			}
			if w.limit != nil {
				if _, ok := w.limit.Admit(now, w.open[t], w.portion[t]); !ok {
					w.refused[t]++
					continue
				}
			}
			w.open[t]++
			j := &job{tenant: t, arrived: now}
			if w.boxes.busy < w.boxes.places {
				begin(j, now)
			} else {
				w.boxes.queue = append(w.boxes.queue, j)
			}
		}
	}
}

func steady(r float64) func(time.Duration) float64 { return func(time.Duration) float64 { return r } }

// newWorld has 50 places of 20 ms: 2,500 requests a second. One tenant sends 700 a second and has six tenths of the
// whole, the other sends at a rate.
func newWorld(limit *Limit, other func(time.Duration) float64) *world {
	return &world{boxes: boxes{places: 50}, limit: limit, rate: []func(time.Duration) float64{steady(700), other}, portion: []float64{0.6, 0.4},
		serve: 20 * ms, aim: 150 * ms, from: 5 * time.Second}
}

func limit() *Limit { return New(Config{Min: 4, Max: 10_000, Start: 20}) }

// TestOverload: the other tenant sends three times what all boxes can do. The quiet one keeps its on-time share, most of what
// the boxes can do is used in time, and without the limit nearly nothing is in time.
func TestOverload(t *testing.T) {
	alone := newWorld(limit(), steady(0))
	alone.run(20 * time.Second)
	solo := float64(alone.inTime[0]) / float64(alone.sent[0])
	w := newWorld(limit(), steady(7500))
	w.run(20 * time.Second)
	share := float64(w.inTime[0]) / float64(w.sent[0])
	used := float64(w.inTime[0]+w.inTime[1]) / 15 / 2500
	bare := newWorld(nil, steady(7500))
	bare.run(20 * time.Second)
	t.Logf("on time %.3f alone and %.3f beside three times the whole; %.3f of what the boxes can do; without the limit %.3f", solo, share,
		used, float64(bare.inTime[0])/float64(bare.sent[0]))
	if share < 0.95*solo || used < 0.85 || solo < 0.98 {
		t.Errorf("on time %.3f alone and %.3f beside three times the whole; %.3f used", solo, share, used)
	}
	if w.refused[0] > w.sent[0]/50 {
		t.Errorf("%d of the quiet tenant's %d were refused", w.refused[0], w.sent[0])
	}
}

// TestBoxesGoAndComeBack: four fifths of the places go for five seconds. The limit follows down, and is up again within a few seconds
// of their return, with no more than one dip of what is in time.
func TestBoxesGoAndComeBack(t *testing.T) {
	w := newWorld(limit(), steady(1500))
	w.placesAt = func(at time.Duration) int {
		if at > 8*time.Second && at < 13*time.Second {
			return 10
		}
		return 50
	}
	w.from = 17 * time.Second
	w.run(25 * time.Second)
	sent, in := w.sent[0]+w.sent[1], w.inTime[0]+w.inTime[1]
	t.Logf("from 4 s after their return %d of %d are in time", in, sent)
	if float64(in) < 0.97*float64(sent) {
		t.Errorf("from 4 s after their return %d of %d are in time", in, sent)
	}
}

// TestLimit: whatever comes, the value keeps its bounds, what is open is what was admitted and is not done, a tenant below its part is
// let in, and all is back to zero at the end.
func TestLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{Min: float64(rapid.IntRange(1, 10).Draw(t, "least")), Max: float64(rapid.IntRange(10, 50).Draw(t, "most")), Start: 20}
		l := New(cfg)
		portions := []float64{0.5, 0.3, 0}
		open := make([]int, 3)
		now, total := start, 0
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * ms
			i := rapid.IntRange(0, 2).Draw(t, "tenant")
			if open[i] > 0 && rapid.Bool().Draw(t, "an end") {
				l.Release(now, Outcome(rapid.IntRange(0, 3).Draw(t, "outcome")), time.Duration(rapid.IntRange(0, 500).Draw(t, "took"))*ms)
				open[i]--
				total--
			} else {
				l.roll(now)
				below := float64(open[i])+1 <= l.GuaranteedFor(portions[i])
				room := float64(total) < l.Value()
				wait, ok := l.Admit(now, open[i], portions[i])
				if ok != (below || room) || !ok && wait <= 0 {
					t.Fatalf("admitted %v, below its part %v, room %v, wait %v", ok, below, room, wait)
				}
				if ok {
					open[i]++
					total++
				}
			}
			if v := l.Value(); v < cfg.Min || v > cfg.Max || l.Open() != total {
				t.Fatalf("the limit is %g, open %d of %d", v, l.Open(), total)
			}
		}
	})
}

func BenchmarkLimit(b *testing.B) {
	b.ReportAllocs()
	l := New(Config{Min: 1, Max: 1e6, Start: 1000})
	now := start
	for range b.N {
		now += time.Microsecond
		if _, ok := l.Admit(now, 0, 0.1); ok {
			l.Release(now, InTime, 20*ms)
		}
	}
}
