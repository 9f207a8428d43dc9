package drill

import (
	"net"
	"sync"
	"time"
)

// The classes of endpoints, with the names that emulator.Settings gives them.
const (
	classCache  = "std"
	classParent = "parent"
	classOrigin = "origin"
)

// listedState is the state of an endpoint in the published list.
type listedState string

// The states of endpoints in the list.
const (
	listedUp       listedState = "up"
	listedDraining listedState = "draining"
)

const (
	// flowKBps is the rate of one response in KB per second, as in emulator.Settings.
	flowKBps = 9500
	// maxCached bounds how many objects an endpoint caches.
	maxCached = 1 << 16
)

// endpoint is an emulated cache, parent or origin: its entry in the list, its load and its cached objects.
type endpoint struct {
	id, zone, class, address string

	mu        sync.Mutex
	state     listedState
	startedAt time.Time // zero: long ago
	downUntil time.Time
	hangs     bool // it reads requests but answers none
	inFlight  int
	recent    []workItem // within the overload window
	cached    map[string]bool
}

// workItem is the cost of one request at the time it arrived.
type workItem struct {
	at   time.Time
	cost float64 // seconds that its answer takes at flowKBps
}

// endpointListener is an endpoint's listener. It resets connections while the endpoint is down.
type endpointListener struct {
	net.Listener
	endpoint *endpoint
}

// Accept returns the next connection that arrives while the endpoint is up.
func (l *endpointListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if !l.endpoint.isDown() {
			return conn, nil
		}
		resetConn(conn)
	}
}

func (e *endpoint) isDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.downUntil)
}

// addWork adds the cost of a request to the endpoint's load, and reports whether the load makes the endpoint crash.
// Origins and endpoints that have warmed up never crash from load. The caller holds the lock.
func (e *endpoint) addWork(plan *Plan, cost float64) (overloaded bool) {
	now := time.Now()
	e.recent = append(e.recent, workItem{now, cost})
	for len(e.recent) > 0 && now.Sub(e.recent[0].at) > plan.OverloadWindow {
		e.recent = e.recent[1:]
	}
	isWarm := e.startedAt.IsZero() || now.Sub(e.startedAt) >= plan.WarmUp
	if plan.OverloadFactor <= 0 || e.class == classOrigin || isWarm {
		return false
	}
	warmUpShare := float64(now.Sub(e.startedAt)) / float64(plan.WarmUp)
	capacity := plan.ColdCapacity + (1-plan.ColdCapacity)*warmUpShare
	sum := 0.0
	for _, item := range e.recent {
		sum += item.cost
	}
	return sum > plan.OverloadFactor*capacity*plan.Weight*plan.OverloadWindow.Seconds()
}

// beginWork adds a request to an endpoint's load and returns how long the endpoint takes for it. ok is false if the
// endpoint is down, hangs or crashes from the load. If ok is true, the caller must call finishWork.
func (c *Cluster) beginWork(e *endpoint, cost float64) (serviceTime time.Duration, ok bool) {
	e.mu.Lock()
	if e.hangs || time.Now().Before(e.downUntil) {
		e.mu.Unlock()
		return 0, false
	}
	overloaded := e.addWork(c.Plan, cost)
	e.inFlight++
	slowdown := max(1, float64(e.inFlight)/c.Plan.Weight)
	e.mu.Unlock()
	if overloaded {
		event := EndpointEvent{c.now(), e.id}
		c.Record.update(func() { c.Record.Overloads = append(c.Record.Overloads, event) })
		c.crash(e, c.Plan.OverloadDowntime)
		return 0, false
	}
	return time.Duration(cost * slowdown * float64(time.Second)), true
}

func (e *endpoint) finishWork() {
	e.mu.Lock()
	e.inFlight--
	e.mu.Unlock()
}

func (e *endpoint) setHangs(hangs bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hangs = hangs
}

// crash resets an endpoint's connections, clears its cache and makes it refuse everything for a time. It is cold when
// it is up again.
func (c *Cluster) crash(e *endpoint, downFor time.Duration) {
	e.mu.Lock()
	e.downUntil = time.Now().Add(downFor)
	e.startedAt = e.downUntil
	clear(e.cached)
	e.recent = nil
	e.mu.Unlock()
	c.emulators.ResetConnections(e.id)
}

// has reports whether the endpoint can serve an object without a fill.
func (e *endpoint) has(object string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.class == classOrigin || e.cached[object]
}

func (e *endpoint) cache(object string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.cached) < maxCached {
		e.cached[object] = true
	}
}

// setListedState publishes a new state of an endpoint in the list, and records the change.
func (c *Cluster) setListedState(e *endpoint, state listedState) {
	event := EndpointEvent{c.now(), e.id}
	e.mu.Lock()
	e.state = state
	e.mu.Unlock()
	c.list.endpointChanged(e)
	c.Record.update(func() {
		if state == listedDraining {
			c.Record.Drains = append(c.Record.Drains, event)
		} else {
			c.Record.Undrains = append(c.Record.Undrains, event)
		}
	})
}
