package drill

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"
)

// progressInterval is how often a progress line is written.
const progressInterval = time.Second

// Result is the outcome of a drill.
type Result struct {
	Checks  []Verdict
	Cluster *Cluster
}

// OK reports whether all invariants held.
func (r *Result) OK() bool {
	return !slices.ContainsFunc(r.Checks, func(v Verdict) bool { return !v.OK })
}

// Run runs a plan and audits its record. It writes a progress line to progress each second; nil: none.
func Run(plan *Plan, program, dir string, seed uint64, progress io.Writer) (*Result, error) {
	c, err := New(plan, program, dir, seed)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	if err := c.run(progress); err != nil {
		return nil, err
	}
	return &Result{Cluster: c, Checks: c.Audit()}, nil
}

// event is the start or the end of a step, at its time.
type event struct {
	at   time.Duration
	line string
	do   func() error
}

// schedule prepares the plan's steps and orders their events by time.
func (c *Cluster) schedule() ([]event, error) {
	var events []event
	for _, step := range c.Plan.Steps {
		op, err := step.action.prepare(c, step)
		if err != nil {
			return nil, fmt.Errorf("%s: at %s: %w", c.Plan.File, step.Line, err)
		}
		op = op.serialized()
		events = append(events, event{step.At, step.Line, op.apply})
		if step.For > 0 && op.undo != nil {
			events = append(events, event{step.At + step.For, "over: " + step.Line, op.undo})
		}
	}
	slices.SortStableFunc(events, func(a, b event) int { return int(a.at - b.at) })
	return events, nil
}

// run carries out the plan's schedule. progress may be nil.
func (c *Cluster) run(progress io.Writer) error {
	events, err := c.schedule()
	if err != nil {
		return err
	}
	c.startedAt = time.Now()
	c.network.startedAt = c.startedAt
	for zone := range c.Plan.Zones {
		c.load.start(zone + 1)
	}
	tick := time.NewTicker(progressInterval)
	defer tick.Stop()
	end := time.NewTimer(c.Plan.Duration)
	defer end.Stop()
	var failure stepFailure
	for {
		next := c.timerFor(events)
		select {
		case <-next.C:
			if progress != nil {
				fmt.Fprintf(progress, "%6.1f s  -- %s\n", c.now().Seconds(), events[0].line)
			}
			// Starting hundreds of proxies takes a while and must not delay other events.
			go failure.record(events[0])
			events = events[1:]
		case <-tick.C:
			if progress != nil {
				fmt.Fprintln(progress, c.progress())
			}
		case <-end.C:
			next.Stop()
			c.load.finish()
			return failure.get()
		}
		next.Stop()
	}
}

// timerFor returns a timer for the first of the events; without events, one that fires after an hour.
func (c *Cluster) timerFor(events []event) *time.Timer {
	if len(events) == 0 {
		return time.NewTimer(time.Hour)
	}
	return time.NewTimer(events[0].at - c.now())
}

// stepFailure holds the latest error of the steps, which run concurrently.
type stepFailure struct {
	mu  sync.Mutex
	err error
}

// record carries out an event and stores its error, if any.
func (f *stepFailure) record(e event) {
	if err := e.do(); err != nil {
		f.mu.Lock()
		f.err = fmt.Errorf("%s: %w", e.line, err)
		f.mu.Unlock()
	}
}

func (f *stepFailure) get() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.err
}

// progress returns a line on the state of the drill.
func (c *Cluster) progress() string {
	ready := len(servingProxies(c.proxies))
	record := c.Record
	record.mu.Lock()
	defer record.mu.Unlock()
	served := 0
	for _, request := range record.Requests {
		if request.Outcome == OutcomeServed {
			served++
		}
	}
	return fmt.Sprintf("%6.1f s  %d of %d proxies ready, %d requests, %d served, %d list calls, %d connections",
		c.now().Seconds(), ready, len(c.proxies), len(record.Requests), served, len(record.ListCalls),
		len(record.Connections))
}
