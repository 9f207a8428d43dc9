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

// backends is a simple model of the servers behind the limit: each slot serves one request at a time, for an
// exponentially distributed time, and the requests beyond wait in one queue.
type backends struct {
	slots int
	busy  int
	queue []*job
}

type job struct {
	tenant  int
	arrived time.Duration
}

// event is the end of a job or, without a job, the arrival of a request. If neither, it is time to check the tenant's
// rate again.
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

// simulation sends requests of several tenants to backends behind a limit. Without a limit, all requests are admitted.
type simulation struct {
	backends    backends
	limit       *Limit
	rates       []func(at time.Duration) float64 // requests per second by tenant; the next slices are by tenant too
	portions    []float64
	open        []int
	inTime      []int
	sent        []int
	rejected    []int
	countFrom   time.Duration // requests count from this time on
	serviceTime time.Duration
	objective   time.Duration
	slotsAt     func(time.Duration) int

	random *rand.Rand
	events events
	now    time.Duration // time since the start
}

func (c *simulation) run(duration time.Duration) {
	c.random = rand.New(rand.NewPCG(7, 8))
	tenants := len(c.rates)
	c.open, c.inTime = make([]int, tenants), make([]int, tenants)
	c.sent, c.rejected = make([]int, tenants), make([]int, tenants)
	for tenant := range c.rates {
		c.scheduleArrival(tenant)
	}
	for {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		if c.now > duration {
			return
		}
		if c.slotsAt != nil {
			c.backends.slots = c.slotsAt(c.now)
		}
		switch {
		case next.job != nil:
			c.finish(next.job)
		case next.arrival:
			c.scheduleArrival(next.tenant)
			c.arrive(next.tenant)
		default:
			c.scheduleArrival(next.tenant)
		}
	}
}

// scheduleArrival schedules the next request of a tenant by its rate, or another check if the rate is 0.
func (c *simulation) scheduleArrival(tenant int) {
	rate := c.rates[tenant](c.now)
	if rate <= 0 {
		heap.Push(&c.events, event{at: c.now + 10*ms, tenant: tenant})
		return
	}
	pause := time.Duration(c.random.ExpFloat64() / rate * 1e9)
	heap.Push(&c.events, event{at: c.now + pause, tenant: tenant, arrival: true})
}

func (c *simulation) counting() bool { return c.now >= c.countFrom }

func (c *simulation) arrive(tenant int) {
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
	if c.backends.busy < c.backends.slots {
		c.startService(arrived)
	} else {
		c.backends.queue = append(c.backends.queue, arrived)
	}
}

func (c *simulation) startService(j *job) {
	c.backends.busy++
	service := time.Duration(c.random.ExpFloat64() * float64(c.serviceTime))
	heap.Push(&c.events, event{at: c.now + service, job: j})
}

func (c *simulation) finish(j *job) {
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
	for len(c.backends.queue) > 0 && c.backends.busy < c.backends.slots {
		c.startService(c.backends.queue[0])
		c.backends.queue = c.backends.queue[1:]
	}
}

func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// newSimulation returns a simulation with 50 slots and a mean service time of 20 ms: a capacity of 2,500 requests per
// second. One tenant sends 700 per second and has a portion of 0.6 of the limit; the other sends at the given rate.
func newSimulation(limit *Limit, other func(time.Duration) float64) *simulation {
	return &simulation{
		backends: backends{slots: 50}, limit: limit, portions: []float64{0.6, 0.4},
		rates:       []func(time.Duration) float64{constant(700), other},
		serviceTime: 20 * ms, objective: 150 * ms, countFrom: 5 * time.Second,
	}
}

func newLimit() *Limit { return New(Config{Min: 4, Max: 10_000, Start: 20}) }

// TestOverload checks a tenant beside another one that sends three times the capacity. It must keep its share of
// requests in time, and most of the capacity must serve requests in time. Without the limit nearly none are in time.
func TestOverload(t *testing.T) {
	alone := newSimulation(newLimit(), constant(0))
	alone.run(20 * time.Second)
	aloneShare := float64(alone.inTime[0]) / float64(alone.sent[0])
	loaded := newSimulation(newLimit(), constant(7500))
	loaded.run(20 * time.Second)
	loadedShare := float64(loaded.inTime[0]) / float64(loaded.sent[0])
	capacityUsed := float64(loaded.inTime[0]+loaded.inTime[1]) / 15 / 2500
	unlimited := newSimulation(nil, constant(7500))
	unlimited.run(20 * time.Second)
	t.Logf("share in time: %.3f alone, %.3f under overload (%.3f of the capacity used), %.3f without limit",
		aloneShare, loadedShare, capacityUsed, float64(unlimited.inTime[0])/float64(unlimited.sent[0]))
	if loadedShare < 0.95*aloneShare || capacityUsed < 0.85 || aloneShare < 0.98 {
		t.Errorf("share in time: got %.3f alone, %.3f under overload, %.3f of capacity; want 0.98, 0.95 of it, 0.85",
			aloneShare, loadedShare, capacityUsed)
	}
	if loaded.rejected[0] > loaded.sent[0]/50 {
		t.Errorf("rejected requests of the tenant within its portion: got %d of %d, want at most 1 in 50",
			loaded.rejected[0], loaded.sent[0])
	}
}

// TestCapacityLossAndRecovery removes four fifths of the slots for five seconds. The limit must follow the capacity
// down, and recover within a few seconds of its return, with at most one dip in the share of requests in time.
func TestCapacityLossAndRecovery(t *testing.T) {
	loaded := newSimulation(newLimit(), constant(1500))
	loaded.slotsAt = func(at time.Duration) int {
		if at > 8*time.Second && at < 13*time.Second {
			return 10
		}
		return 50
	}
	loaded.countFrom = 17 * time.Second
	loaded.run(25 * time.Second)
	sent, inTime := loaded.sent[0]+loaded.sent[1], loaded.inTime[0]+loaded.inTime[1]
	t.Logf("requests in time from 4 s after the slots return: %d of %d", inTime, sent)
	if float64(inTime) < 0.97*float64(sent) {
		t.Errorf("requests in time from 4 s after the slots return: got %d of %d, want at least 0.97", inTime, sent)
	}
}

// TestLimitInvariants checks for random requests that the limit keeps its bounds, that Open is the number of requests
// admitted and not released, and that a request is admitted exactly if its tenant is below its portion or the total
// below the limit.
func TestLimitInvariants(t *testing.T) {
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
			if open[i] > 0 && rapid.Bool().Draw(t, "release") {
				outcome := Outcome(rapid.IntRange(0, 3).Draw(t, "outcome"))
				limit.Release(now, outcome, time.Duration(rapid.IntRange(0, 500).Draw(t, "took"))*ms)
				open[i]--
				total--
			} else {
				limit.adjust(now)
				belowPortion := float64(open[i])+1 <= limit.GuaranteedFor(portions[i])
				belowLimit := float64(total) < limit.Value()
				wait, ok := limit.Admit(now, open[i], portions[i])
				if ok != (belowPortion || belowLimit) || !ok && wait <= 0 {
					t.Fatalf("got admitted %v; below the portion %v, below the limit %v; Retry-After %v",
						ok, belowPortion, belowLimit, wait)
				}
				if ok {
					open[i]++
					total++
				}
			}
			if v := limit.Value(); v < config.Min || v > config.Max || limit.Open() != total {
				t.Fatalf("got limit %g and %d open requests, want it in bounds and %d open", v, limit.Open(), total)
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
