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

// backends is the plainest model of what is behind the limit: so many places, each request taking an exponential time,
// those beyond waiting in one queue.
type backends struct {
	places int
	busy   int
	queue  []*job
}

type job struct {
	tenant  int
	arrived time.Duration
}

// event is the end of a job; without one, the arrival of a request, or of the time to look at the tenant's rate again.
type event struct {
	at      time.Duration
	job     *job
	tenant  int
	arrival bool
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

// cluster plays tenants that send at rates against backends behind a limit; without one all requests are admitted.
type cluster struct {
	backends    backends
	limit       *Limit
	rates       []func(at time.Duration) float64 // by tenant, and so the next ones
	portions    []float64
	open        []int
	inTime      []int
	sent        []int
	rejected    []int
	countFrom   time.Duration // when counting begins
	serviceTime time.Duration
	objective   time.Duration
	placesAt    func(time.Duration) int

	random *rand.Rand
	events events
	now    time.Duration // since the start
}

func (c *cluster) run(length time.Duration) {
	c.random = rand.New(rand.NewPCG(7, 8))
	tenants := len(c.rates)
	c.open, c.inTime = make([]int, tenants), make([]int, tenants)
	c.sent, c.rejected = make([]int, tenants), make([]int, tenants)
	for tenant := range c.rates {
		c.planArrival(tenant)
	}
	for {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		if c.now > length {
			return
		}
		if c.placesAt != nil {
			c.backends.places = c.placesAt(c.now)
		}
		switch {
		case next.job != nil:
			c.end(next.job)
		case next.arrival:
			c.planArrival(next.tenant)
			c.arrive(next.tenant)
		default:
			c.planArrival(next.tenant)
		}
	}
}

// planArrival plans the next request of a tenant by its rate.
func (c *cluster) planArrival(tenant int) {
	rate := c.rates[tenant](c.now)
	if rate <= 0 {
		heap.Push(&c.events, event{at: c.now + 10*ms, tenant: tenant})
		return
	}
	pause := time.Duration(c.random.ExpFloat64() / rate * 1e9)
	heap.Push(&c.events, event{at: c.now + pause, tenant: tenant, arrival: true})
}

func (c *cluster) counting() bool { return c.now >= c.countFrom }

func (c *cluster) arrive(tenant int) {
	if c.counting() {
		c.sent[tenant]++
	}
	if c.limit != nil {
		if _, ok := c.limit.Admit(start+c.now, c.open[tenant], c.portions[tenant]); !ok {
			c.rejected[tenant]++
			return
		}
	}
	c.open[tenant]++
	arrived := &job{tenant: tenant, arrived: c.now}
	if c.backends.busy < c.backends.places {
		c.begin(arrived)
	} else {
		c.backends.queue = append(c.backends.queue, arrived)
	}
}

func (c *cluster) begin(j *job) {
	c.backends.busy++
	service := time.Duration(c.random.ExpFloat64() * float64(c.serviceTime))
	heap.Push(&c.events, event{at: c.now + service, job: j})
}

func (c *cluster) end(j *job) {
	c.backends.busy--
	c.open[j.tenant]--
	took, outcome := c.now-j.arrived, InTime
	if took > c.objective {
		outcome = ObjectiveMissed
	} else if c.counting() {
		c.inTime[j.tenant]++
	}
	if c.limit != nil {
		c.limit.Release(start+c.now, outcome, took)
	}
	for len(c.backends.queue) > 0 && c.backends.busy < c.backends.places {
		c.begin(c.backends.queue[0])
		c.backends.queue = c.backends.queue[1:]
	}
}

func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// newCluster has 50 places of 20 ms: 2,500 requests a second. One tenant sends 700 a second and has six tenths of the
// limit, the other sends at a rate.
func newCluster(limit *Limit, other func(time.Duration) float64) *cluster {
	return &cluster{
		backends: backends{places: 50}, limit: limit, portions: []float64{0.6, 0.4},
		rates:       []func(time.Duration) float64{constant(700), other},
		serviceTime: 20 * ms, objective: 150 * ms, countFrom: 5 * time.Second,
	}
}

func newLimit() *Limit { return New(Config{Min: 4, Max: 10_000, Start: 20}) }

// TestOverload: the other tenant sends three times what all backends can do. The quiet one keeps its on-time share,
// most of what the backends can do is used in time, and without the limit nearly nothing is in time.
func TestOverload(t *testing.T) {
	alone := newCluster(newLimit(), constant(0))
	alone.run(20 * time.Second)
	solo := float64(alone.inTime[0]) / float64(alone.sent[0])
	loaded := newCluster(newLimit(), constant(7500))
	loaded.run(20 * time.Second)
	share := float64(loaded.inTime[0]) / float64(loaded.sent[0])
	used := float64(loaded.inTime[0]+loaded.inTime[1]) / 15 / 2500
	bare := newCluster(nil, constant(7500))
	bare.run(20 * time.Second)
	t.Logf("on time %.3f alone and %.3f beside three times the capacity; %.3f of that is used; without the limit %.3f",
		solo, share, used, float64(bare.inTime[0])/float64(bare.sent[0]))
	if share < 0.95*solo || used < 0.85 || solo < 0.98 {
		t.Errorf("on time %.3f alone and %.3f beside three times the capacity; %.3f used", solo, share, used)
	}
	if loaded.rejected[0] > loaded.sent[0]/50 {
		t.Errorf("%d of the quiet tenant's %d were rejected", loaded.rejected[0], loaded.sent[0])
	}
}

// TestBackendsGoAndComeBack: four fifths of the places go for five seconds. The limit follows down, and is up again
// within a few seconds of their return, with no more than one dip of what is in time.
func TestBackendsGoAndComeBack(t *testing.T) {
	loaded := newCluster(newLimit(), constant(1500))
	loaded.placesAt = func(at time.Duration) int {
		if at > 8*time.Second && at < 13*time.Second {
			return 10
		}
		return 50
	}
	loaded.countFrom = 17 * time.Second
	loaded.run(25 * time.Second)
	sent, in := loaded.sent[0]+loaded.sent[1], loaded.inTime[0]+loaded.inTime[1]
	t.Logf("from 4 s after their return %d of %d are in time", in, sent)
	if float64(in) < 0.97*float64(sent) {
		t.Errorf("from 4 s after their return %d of %d are in time", in, sent)
	}
}

// TestLimit: whatever comes, the value keeps its bounds, what is open is what was admitted and not released, and a
// tenant below its part is admitted.
func TestLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := Config{
			Min: float64(rapid.IntRange(1, 10).Draw(t, "min")), Max: float64(rapid.IntRange(10, 50).Draw(t, "max")),
			Start: 20,
		}
		limit := New(config)
		portions := []float64{0.5, 0.3, 0}
		open := make([]int, 3)
		now, total := start, 0
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * ms
			i := rapid.IntRange(0, 2).Draw(t, "tenant")
			if open[i] > 0 && rapid.Bool().Draw(t, "an end") {
				outcome := Outcome(rapid.IntRange(0, 3).Draw(t, "outcome"))
				limit.Release(now, outcome, time.Duration(rapid.IntRange(0, 500).Draw(t, "took"))*ms)
				open[i]--
				total--
			} else {
				limit.adjust(now)
				below := float64(open[i])+1 <= limit.GuaranteedFor(portions[i])
				room := float64(total) < limit.Value()
				wait, ok := limit.Admit(now, open[i], portions[i])
				if ok != (below || room) || !ok && wait <= 0 {
					t.Fatalf("admitted %v, below its part %v, room %v, wait %v", ok, below, room, wait)
				}
				if ok {
					open[i]++
					total++
				}
			}
			if v := limit.Value(); v < config.Min || v > config.Max || limit.Open() != total {
				t.Fatalf("the limit is %g, open %d of %d", v, limit.Open(), total)
			}
		}
	})
}

func BenchmarkLimit(b *testing.B) {
	b.ReportAllocs()
	limit := New(Config{Min: 1, Max: 1e6, Start: 1000})
	now := start
	for range b.N {
		now += time.Microsecond
		if _, ok := limit.Admit(now, 0, 0.1); ok {
			limit.Release(now, InTime, 20*ms)
		}
	}
}
