package policy

import (
	"fmt"
	"slices"
	"time"

	"sloequay/internal/invalidation"
	"sloequay/internal/policy/aimd"
	"sloequay/internal/policy/classcost"
	"sloequay/internal/policy/endpointset"
	"sloequay/internal/policy/fairness"
	"sloequay/internal/policy/gaptable"
	"sloequay/internal/policy/rto"
)

const (
	tickInterval = 10 * time.Millisecond // between health, hedge and deadline checks; far below any objective
	tickToken    = 1
	purgeSlack   = time.Second      // how long a purge is kept beyond its propagation
	minObjective = time.Millisecond // lower bound of the initial cost estimate of a class
)

// Engine makes the decisions of one proxy. It is not safe for concurrent use.
type Engine struct {
	cfg       Config
	startedAt time.Duration // time of the first event
	now       time.Duration
	actions   []Action

	classes   []classState
	endpoints *endpointset.Set[attemptRef]
	tables    *gaptable.Tables
	purges    *invalidation.Ledger
	requests  map[RequestID]*openRequest
	byArrival []*openRequest // ended requests stay until the next tick

	cachedTiming rto.Estimator // of responses from cached copies
	fillTiming   rto.Estimator // of fills

	prices            fairness.Prices
	fillLimiter       aimd.Limiter // limits probable fills
	cachedOnlyLimiter aimd.Limiter // limits fills from the parents' cached copies
}

// classState is a class with what the engine has learned about it.
type classState struct {
	Class
	cost   classcost.Estimate // estimates transfer times, which are also the sizes that shares tracks
	shares fairness.Shares
}

// New returns an Engine. The seed is ignored, so that the same events give the same actions at every proxy.
func New(cfg Config, _ uint64) (*Engine, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	purgeConfig := invalidation.Config{Propagation: cfg.PurgePropagation, Slack: purgeSlack}
	engine := &Engine{
		cfg: cfg,
		endpoints: endpointset.New[attemptRef](endpointset.Config{
			Zone: cfg.Zone, Proxies: cfg.Instances, ZoneProxies: cfg.ZoneInstances,
			ParentKind: cfg.ParentKind, OriginKind: cfg.OriginKind,
			WeightsStable: cfg.WeightsReported && !cfg.WeightsLive,
		}),
		tables:            gaptable.New(),
		purges:            invalidation.New(purgeConfig),
		requests:          map[RequestID]*openRequest{},
		cachedTiming:      rto.New(),
		fillTiming:        rto.New(),
		fillLimiter:       aimd.New(),
		cachedOnlyLimiter: aimd.NewCachedOnly(),
	}
	for _, class := range cfg.Classes {
		cost := classcost.New(max(class.LatencyObjective, minObjective).Seconds())
		engine.classes = append(engine.classes, classState{Class: class, cost: cost})
	}
	return engine, nil
}

// validate returns an error for the first invalid setting.
func (c *Config) validate() error {
	if len(c.Classes) == 0 {
		return fmt.Errorf("config: Classes: none given")
	}
	for i, class := range c.Classes {
		times := []time.Duration{
			class.Deadline, class.LatencyObjective, class.DedupWindow, class.FreshFor, class.StaleFor}
		if slices.Min(times) < 0 {
			return fmt.Errorf("config: Classes[%d]: negative time", i)
		}
		if class.Idempotency < Idempotent || class.Idempotency > NotIdempotent {
			return fmt.Errorf("config: Classes[%d].Idempotency: unknown value %d", i, class.Idempotency)
		}
	}
	if c.Zone < 0 || len(c.ZoneNames) > 0 && c.Zone >= len(c.ZoneNames) {
		return fmt.Errorf("config: Zone: %d out of range", c.Zone)
	}
	return nil
}

// Handle processes one event and returns the resulting actions. The slice is valid until the next call.
func (e *Engine) Handle(now time.Duration, event Event) []Action {
	e.actions = e.actions[:0]
	if e.now == 0 {
		e.startedAt = now
		e.tables.StartRate(now)
		e.emit(SetTimer{tickToken, now + tickInterval})
		if e.cfg.PollDiscovery {
			e.emit(Watch{true})
		}
	}
	e.now = max(e.now, now)
	switch event := event.(type) {
	case ListEvent:
		e.endpoints.Apply(e.now, event.Kind, event.Endpoints)
	case RequestEvent:
		e.onRequest(event)
	case ResponseEvent:
		e.onResponse(event)
	case ClientGoneEvent:
		if request := e.requests[event.ID]; request != nil {
			e.finish(request)
		}
	case TimerEvent:
		if event.Token == tickToken {
			e.onTick()
		}
	case PurgeEvent:
		e.purges.Record(e.now, event.Object, event.Group, e.now-event.Age)
	}
	return e.actions
}

// OpenRequests returns the number of open requests.
func (e *Engine) OpenRequests() int { return len(e.requests) }

func (e *Engine) emit(action Action) { e.actions = append(e.actions, action) }

// onTick handles slow and lost attempts and silent endpoints, resizes the tables and expires purges.
func (e *Engine) onTick() {
	e.emit(SetTimer{tickToken, e.now + tickInterval})
	if e.tables.ResizeToRate(e.now) {
		e.purges.Expire(e.now)
	}
	e.byArrival = slices.DeleteFunc(e.byArrival, func(request *openRequest) bool { return request.ended })
	for _, request := range e.byArrival {
		e.checkInFlight(request)
	}
	e.readmitSlowParents()
	e.ejectSilentCaches()
	for _, request := range e.byArrival {
		e.retryUnanswered(request)
	}
}
