package consul

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/hashicorp/consul/api"

	"sloequay/internal/invalidation"
	"sloequay/internal/membership"
	"sloequay/internal/membership/consul/blockingquery"
	"sloequay/internal/membership/consul/health"
)

// Catalogue is the running source. Its calls to Tell and Log come from goroutines of its own.
type Catalogue struct {
	Config      *Config
	Names       membership.Names
	FirstSource int // the source that the first service is, in the membership's order
	// Publish hands events on and returns once they are taken, so that a large list comes in parts.
	Publish func(...membership.SourceEvent)
	Log     func(event string, fields ...any)
	Now     func() time.Duration
	// AgentAlive is called when an agent has answered that it lives; nil: nobody wants to know.
	AgentAlive func()
	Seed       uint64

	followers []*follower
	came      chan func() // what is to run on the followers' goroutine
}

// follower keeps one blocking query going: for a service, or for the purges.
type follower struct {
	c       *Catalogue
	name    string // for the log
	watch   *blockingquery.Watch
	clients []*api.Client
	fetch   func(client *api.Client, q *api.QueryOptions) (any, *api.QueryMeta, error)
	use     func(answer any, v blockingquery.Verdict, index uint64)
	silent  func(bool)
	ctx     context.Context
	cancel  map[uint64]context.CancelFunc
	down    bool
	agent   int
	why     blockingquery.Why
	badTok  bool
}

// partMost is how many new boxes are told together.
const partMost = 500

// Start begins to follow, until ctx ends. All followers run on one goroutine, since they share what they know of the agents;
// each question runs on its own.
func (c *Catalogue) Start(ctx context.Context) error {
	c.came = make(chan func(), 64)
	agents := blockingquery.NewAgents(len(c.Config.Agents))
	for i, v := range c.Config.Services {
		f, err := c.follower("service "+v.Name, agents)
		if err != nil {
			return err
		}
		f.service(v, c.FirstSource+i)
		c.followers = append(c.followers, f)
	}
	if c.Config.Purges != "" {
		f, err := c.follower("purges", agents)
		if err != nil {
			return err
		}
		f.purges(strings.Trim(c.Config.Purges, "/") + "/")
		c.followers = append(c.followers, f)
	}
	for _, f := range c.followers {
		f.ctx = ctx
	}
	if t := c.Config.TLS; t != nil {
		dialer, err := t.dialer()
		if err != nil {
			return err
		}
		go dialer.Watch(ctx.Done(), func(err error) {
			if err != nil {
				c.Log("keys-rejected", "error", err)
			} else {
				c.Log("tls-reloaded", "cert", t.CA)
			}
		})
	}
	go c.run(ctx)
	return nil
}

// Confirm has a source asked for its list at once.
func (c *Catalogue) Confirm(src int) {
	if i := src - c.FirstSource; i >= 0 && i < len(c.Config.Services) {
		f := c.followers[i]
		f.post(f.watch.Confirm) // where it is dropped the table asks once more
	}
}

func (c *Catalogue) follower(name string, agents *blockingquery.Agents) (*follower, error) {
	clients, err := c.Config.clients()
	if err != nil {
		return nil, err
	}
	cfg := c.Config.Watch
	cfg.Agents, cfg.Mode, cfg.Seed = len(clients), c.Config.Mode, c.Seed+uint64(len(c.followers))
	return &follower{c: c, name: name, watch: blockingquery.NewWith(cfg, agents), clients: clients, cancel: map[uint64]context.CancelFunc{}, silent: func(bool) {}}, nil
}

// run carries out what the watches decide.
func (c *Catalogue) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		for _, f := range c.followers {
			f.step()
		}
		wait := time.Hour
		for _, f := range c.followers { // once all have been stepped: one may have found what holds for others
			if next := f.watch.Next(); next != 0 {
				wait = min(wait, max(0, next-c.Now()))
			}
		}
		timer.Reset(wait)
		select {
		case <-ctx.Done():
			return
		case came := <-c.came:
			came()
		case <-timer.C:
		}
	}
}

func (f *follower) step() {
	for _, a := range f.watch.Step(f.c.Now()) {
		if a.Start != nil {
			f.start(f.ctx, *a.Start)
		} else if cancel := f.cancel[a.Abort]; cancel != nil {
			cancel()
			delete(f.cancel, a.Abort)
		}
	}
	f.report()
}

// report logs what the watch has found of the agents.
func (f *follower) report() {
	if down := f.watch.Down(); down != f.down {
		f.down = down
		if down {
			f.c.Log("catalogue-unreachable", "service", f.name, "agents", len(f.clients))
		} else {
			f.c.Log("catalogue-reachable", "service", f.name, "agent", f.c.Config.Agents[f.watch.Agent()], "index", f.watch.Index())
		}
		f.silent(down)
	}
	if agent := f.watch.Agent(); agent != f.agent {
		f.agent = agent
		f.c.Log("catalogue-agent-changed", "service", f.name, "agent", f.c.Config.Agents[agent])
	}
}

// start puts a question on a goroutine of its own.
func (f *follower) start(ctx context.Context, a blockingquery.Ask) {
	ctx, cancel := context.WithCancel(ctx)
	f.cancel[a.Serial] = cancel
	token, err := f.c.Config.token()
	if err != nil != f.badTok {
		if f.badTok = err != nil; f.badTok {
			f.c.Log("catalogue-token-unreadable", "error", err)
		}
	}
	done := func(came func()) {
		select {
		case f.c.came <- func() { delete(f.cancel, a.Serial); cancel(); came() }:
		case <-ctx.Done(): // it was called off, and nothing is owed
		}
	}
	client := f.clients[a.Agent]
	go func() {
		if a.Kind == blockingquery.Probe {
			_, err := client.Status().LeaderWithQueryOptions(f.c.Config.options(ctx, a, token, nil))
			done(func() {
				if err != nil {
					f.failed(a, err)
				} else {
					f.watch.Probed(f.c.Now(), a.Serial)
					if f.c.AgentAlive != nil {
						f.c.AgentAlive()
					}
				}
			})
			return
		}
		headed := func() { f.post(func() { f.watch.Headed(f.c.Now(), a.Serial) }) }
		answer, meta, err := f.fetch(client, f.c.Config.options(ctx, a, token, headed))
		done(func() {
			if err != nil {
				f.failed(a, err)
				return
			}
			m := metaOf(meta)
			if v, ok := f.watch.Answered(f.c.Now(), a.Serial, m); ok {
				f.answered(a, answer, m, v)
			}
		})
	}()
}

// post runs a task on the followers' goroutine, or drops it when that is far behind.
func (f *follower) post(task func()) {
	select {
	case f.c.came <- task:
	default:
	}
}

func (f *follower) failed(a blockingquery.Ask, err error) {
	fault := faultOf(err)
	if !f.down {
		f.c.Log("catalogue-response-rejected", "service", f.name, "agent", f.c.Config.Agents[a.Agent], "reason", fault, "error", short(err))
	}
	f.watch.Failed(f.c.Now(), a.Serial, fault)
}

// short cuts what an agent wrote into an error.
func short(err error) string { return fmt.Sprintf("%.200s", err.Error()) }

func (f *follower) answered(a blockingquery.Ask, answer any, m blockingquery.Meta, v blockingquery.Verdict) {
	if v.Why != f.why {
		if f.why = v.Why; v.Why != blockingquery.Sound {
			f.c.Log("catalogue-response-rejected", "service", f.name, "agent", f.c.Config.Agents[a.Agent], "reason", v.Why, "index", m.Index)
		}
	}
	f.use(answer, v, m.Index)
}

// service has the follower read a service's instances as the boxes of a source.
func (f *follower) service(v *Service, src int) {
	f.fetch = func(client *api.Client, q *api.QueryOptions) (any, *api.QueryMeta, error) {
		q.Filter = v.Filter
		return wrap(client.Health().ServiceMultipleTags(v.Name, v.Tags, false, q))
	}
	f.silent = func(silent bool) { f.c.Publish(membership.SourceStatus{Source: src, Silent: silent}) }
	left := map[string]string{} // what was left out of the last answer, and why: it is logged once
	known := 0
	f.use = func(answer any, verdict blockingquery.Verdict, index uint64) {
		switch {
		case verdict.Belief == blockingquery.Ignore:
			return
		case verdict.Belief == blockingquery.Same && !verdict.Confirms:
			f.c.Publish(membership.SourceStatus{Source: src})
			return
		}
		entries, _ := answer.([]*api.ServiceEntry)
		list := membership.List{Version: index, Confirms: verdict.Confirms, Incomplete: verdict.Belief == blockingquery.Omits}
		now := map[string]string{}
		for _, e := range entries {
			box, err := v.box(e, f.c.Names)
			if err != nil {
				name, why := idOf(e), short(err)
				if now[name] = why; left[name] != why {
					f.c.Log("catalogue-instance-rejected", "service", f.name, "instance", name, "error", why)
				}
				continue
			}
			list.Endpoints = append(list.Endpoints, box)
		}
		left = now
		if len(list.Endpoints) > known+partMost {
			for at := 0; at < len(list.Endpoints); at += partMost {
				part := list.Endpoints[at:min(at+partMost, len(list.Endpoints))]
				f.c.Publish(membership.ListReceived{Source: src, List: membership.List{Version: index, Endpoints: part, Part: true}})
			}
		}
		known = len(list.Endpoints)
		f.c.Publish(membership.ListReceived{Source: src, List: list})
	}
}

// wrap has an answer's type forgotten.
func wrap[T any](answer T, meta *api.QueryMeta, err error) (any, *api.QueryMeta, error) {
	return answer, meta, err
}

func idOf(e *api.ServiceEntry) string {
	if e == nil || e.Service == nil || e.Node == nil {
		return "?"
	}
	return e.Node.Node + "/" + e.Service.ID
}

// box reads an instance.
func (v *Service) box(e *api.ServiceEntry, names membership.Names) (membership.Endpoint, error) {
	if e == nil || e.Service == nil || e.Node == nil {
		return membership.Endpoint{}, fmt.Errorf("an entry without service or node")
	}
	s := e.Service
	in := health.Instance{ID: s.ID, Node: e.Node.Node, Address: s.Address, NodeAddress: e.Node.Address, Port: s.Port,
		Meta: s.Meta, Passing: s.Weights.Passing, Warning: s.Weights.Warning, Create: s.CreateIndex}
	for _, c := range e.Checks {
		if c != nil {
			in.Checks = append(in.Checks, health.Check{ID: c.CheckID, Service: c.ServiceID, Status: c.Status})
		}
	}
	entry, err := v.Rules.Read(&in)
	if err != nil {
		return membership.Endpoint{}, err
	}
	return names.Endpoint(entry)
}

// purges has the follower read the keys below a prefix as purges. Each is told once.
func (f *follower) purges(prefix string) {
	f.fetch = func(client *api.Client, q *api.QueryOptions) (any, *api.QueryMeta, error) {
		return wrap(client.KV().List(prefix, q))
	}
	told := map[string]uint64{} // by key: the index that it was told at
	f.use = func(answer any, verdict blockingquery.Verdict, _ uint64) {
		if verdict.Belief == blockingquery.Ignore {
			return
		}
		pairs, _ := answer.(api.KVPairs)
		now := make(map[string]uint64, len(pairs))
		var events []membership.SourceEvent
		for _, p := range pairs {
			now[p.Key] = p.ModifyIndex
			if told[p.Key] == p.ModifyIndex || strings.HasSuffix(p.Key, "/") {
				continue
			}
			purge, err := invalidation.ParsePurge(strings.TrimPrefix(p.Key, prefix), string(p.Value))
			if err != nil {
				f.c.Log("catalogue-purge-key-rejected", "error", short(err))
				continue
			}
			events = append(events, membership.PurgeReceived{IsObject: purge.Scope == invalidation.ObjectScope,
				Object: purge.Object, Group: purge.Group, Issued: purge.Issued})
		}
		if verdict.Belief == blockingquery.Whole { // what was left out of another answer is not gone
			told = now
		} else {
			for k, index := range now {
				told[k] = index
			}
		}
		for len(events) > 0 {
			n := min(len(events), partMost)
			f.c.Publish(events[:n]...)
			events = events[n:]
		}
	}
}
