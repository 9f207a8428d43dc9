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
	tasks     chan func() // what is to run on the followers' goroutine
}

// follower keeps one blocking query going: for a service, or for the purges.
type follower struct {
	catalogue       *Catalogue
	name            string // for the log
	watch           *blockingquery.Watch
	clients         []*api.Client
	fetch           func(client *api.Client, q *api.QueryOptions) (any, *api.QueryMeta, error)
	apply           func(answer any, v blockingquery.Verdict, index uint64)
	publishSilent   func(bool)
	ctx             context.Context
	cancels         map[uint64]context.CancelFunc
	unavailable     bool
	lastAgent       int
	lastReason      blockingquery.Reason
	tokenUnreadable bool
}

// maxPartEndpoints is how many new boxes are told together.
const maxPartEndpoints = 500

// Start begins to follow, until ctx ends. All followers run on one goroutine, since they share what they know of the agents;
// each question runs on its own.
func (c *Catalogue) Start(ctx context.Context) error {
	c.tasks = make(chan func(), 64)
	agents := blockingquery.NewSharedAgents(len(c.Config.Agents))
	for i, v := range c.Config.Services {
		f, err := c.newFollower("service "+v.Name, agents)
		if err != nil {
			return err
		}
		f.followService(v, c.FirstSource+i)
		c.followers = append(c.followers, f)
	}
	if c.Config.Purges != "" {
		f, err := c.newFollower("purges", agents)
		if err != nil {
			return err
		}
		f.followPurges(strings.Trim(c.Config.Purges, "/") + "/")
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

func (c *Catalogue) newFollower(name string, agents *blockingquery.SharedAgents) (*follower, error) {
	clients, err := c.Config.clients()
	if err != nil {
		return nil, err
	}
	cfg := c.Config.Watch
	cfg.AgentCount, cfg.Mode, cfg.Seed = len(clients), c.Config.Mode, c.Seed+uint64(len(c.followers))
	return &follower{catalogue: c, name: name, watch: blockingquery.NewWithAgents(cfg, agents), clients: clients, cancels: map[uint64]context.CancelFunc{}, publishSilent: func(bool) {}}, nil
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
		case came := <-c.tasks:
			came()
		case <-timer.C:
		}
	}
}

func (f *follower) step() {
	for _, a := range f.watch.Step(f.catalogue.Now()) {
		if a.Start != nil {
			f.start(f.ctx, *a.Start)
		} else if cancel := f.cancels[a.Cancel]; cancel != nil {
			cancel()
			delete(f.cancels, a.Cancel)
		}
	}
	f.logChanges()
}

// logChanges logs what the watch has found of the agents.
func (f *follower) logChanges() {
	if down := f.watch.Unavailable(); down != f.unavailable {
		f.unavailable = down
		if down {
			f.catalogue.Log("catalogue-unreachable", "service", f.name, "agents", len(f.clients))
		} else {
			f.catalogue.Log("catalogue-reachable", "service", f.name, "agent", f.catalogue.Config.Agents[f.watch.CurrentAgent()], "index", f.watch.Index())
		}
		f.publishSilent(down)
	}
	if agent := f.watch.CurrentAgent(); agent != f.lastAgent {
		f.lastAgent = agent
		f.catalogue.Log("catalogue-agent-changed", "service", f.name, "agent", f.catalogue.Config.Agents[agent])
	}
}

// start puts a question on a goroutine of its own.
func (f *follower) start(ctx context.Context, a blockingquery.Query) {
	ctx, cancel := context.WithCancel(ctx)
	f.cancels[a.Serial] = cancel
	token, err := f.catalogue.Config.token()
	if err != nil != f.tokenUnreadable {
		if f.tokenUnreadable = err != nil; f.tokenUnreadable {
			f.catalogue.Log("catalogue-token-unreadable", "error", err)
		}
	}
	done := func(came func()) {
		select {
		case f.catalogue.tasks <- func() { delete(f.cancels, a.Serial); cancel(); came() }:
		case <-ctx.Done(): // it was called off, and nothing is owed
		}
	}
	client := f.clients[a.Agent]
	go func() {
		if a.Kind == blockingquery.LivenessProbe {
			_, err := client.Status().LeaderWithQueryOptions(f.catalogue.Config.options(ctx, a, token, nil))
			done(func() {
				if err != nil {
					f.queryFailed(a, err)
				} else {
					f.watch.ProbeSucceeded(f.catalogue.Now(), a.Serial)
					if f.catalogue.AgentAlive != nil {
						f.catalogue.AgentAlive()
					}
				}
			})
			return
		}
		headed := func() { f.post(func() { f.watch.ResponseStarted(f.catalogue.Now(), a.Serial) }) }
		answer, meta, err := f.fetch(client, f.catalogue.Config.options(ctx, a, token, headed))
		done(func() {
			if err != nil {
				f.queryFailed(a, err)
				return
			}
			m := metaOf(meta)
			if v, ok := f.watch.ListReceived(f.catalogue.Now(), a.Serial, m); ok {
				f.listReceived(a, answer, m, v)
			}
		})
	}()
}

// post runs a task on the followers' goroutine, or drops it when that is far behind.
func (f *follower) post(task func()) {
	select {
	case f.catalogue.tasks <- task:
	default:
	}
}

func (f *follower) queryFailed(a blockingquery.Query, err error) {
	fault := faultOf(err)
	if !f.unavailable {
		f.catalogue.Log("catalogue-response-rejected", "service", f.name, "agent", f.catalogue.Config.Agents[a.Agent], "reason", fault, "error", truncated(err))
	}
	f.watch.QueryFailed(f.catalogue.Now(), a.Serial, fault)
}

// truncated cuts what an agent wrote into an error.
func truncated(err error) string { return fmt.Sprintf("%.200s", err.Error()) }

func (f *follower) listReceived(a blockingquery.Query, answer any, m blockingquery.ResponseMeta, v blockingquery.Verdict) {
	if v.Reason != f.lastReason {
		if f.lastReason = v.Reason; v.Reason != blockingquery.ReasonNone {
			f.catalogue.Log("catalogue-response-rejected", "service", f.name, "agent", f.catalogue.Config.Agents[a.Agent], "reason", v.Reason, "index", m.Index)
		}
	}
	f.apply(answer, v, m.Index)
}

// followService has the follower read a service's instances as the boxes of a source.
func (f *follower) followService(v *Service, src int) {
	f.fetch = func(client *api.Client, q *api.QueryOptions) (any, *api.QueryMeta, error) {
		q.Filter = v.Filter
		return untyped(client.Health().ServiceMultipleTags(v.Name, v.Tags, false, q))
	}
	f.publishSilent = func(silent bool) { f.catalogue.Publish(membership.SourceStatus{Source: src, Silent: silent}) }
	left := map[string]string{} // what was left out of the last answer, and why: it is logged once
	known := 0
	f.apply = func(answer any, verdict blockingquery.Verdict, index uint64) {
		switch {
		case verdict.Disposition == blockingquery.Discard:
			return
		case verdict.Disposition == blockingquery.Unchanged && !verdict.Confirms:
			f.catalogue.Publish(membership.SourceStatus{Source: src})
			return
		}
		entries, _ := answer.([]*api.ServiceEntry)
		list := membership.List{Version: index, Confirms: verdict.Confirms, Incomplete: verdict.Disposition == blockingquery.Partial}
		now := map[string]string{}
		for _, e := range entries {
			box, err := v.endpoint(e, f.catalogue.Names)
			if err != nil {
				name, why := instanceName(e), truncated(err)
				if now[name] = why; left[name] != why {
					f.catalogue.Log("catalogue-instance-rejected", "service", f.name, "instance", name, "error", why)
				}
				continue
			}
			list.Endpoints = append(list.Endpoints, box)
		}
		left = now
		if len(list.Endpoints) > known+maxPartEndpoints {
			for at := 0; at < len(list.Endpoints); at += maxPartEndpoints {
				part := list.Endpoints[at:min(at+maxPartEndpoints, len(list.Endpoints))]
				f.catalogue.Publish(membership.ListReceived{Source: src, List: membership.List{Version: index, Endpoints: part, Part: true}})
			}
		}
		known = len(list.Endpoints)
		f.catalogue.Publish(membership.ListReceived{Source: src, List: list})
	}
}

// untyped has an answer's type forgotten.
func untyped[T any](answer T, meta *api.QueryMeta, err error) (any, *api.QueryMeta, error) {
	return answer, meta, err
}

func instanceName(e *api.ServiceEntry) string {
	if e == nil || e.Service == nil || e.Node == nil {
		return "?"
	}
	return e.Node.Node + "/" + e.Service.ID
}

// endpoint reads an instance.
func (v *Service) endpoint(e *api.ServiceEntry, names membership.Names) (membership.Endpoint, error) {
	if e == nil || e.Service == nil || e.Node == nil {
		return membership.Endpoint{}, fmt.Errorf("an entry without service or node")
	}
	s := e.Service
	in := health.Instance{ID: s.ID, Node: e.Node.Node, Address: s.Address, NodeAddress: e.Node.Address, Port: s.Port,
		Meta: s.Meta, PassingWeight: s.Weights.Passing, WarningWeight: s.Weights.Warning, CreateIndex: s.CreateIndex}
	for _, c := range e.Checks {
		if c != nil {
			in.Checks = append(in.Checks, health.Check{ID: c.CheckID, ServiceID: c.ServiceID, Status: c.Status})
		}
	}
	entry, err := v.Rules.Read(&in)
	if err != nil {
		return membership.Endpoint{}, err
	}
	return names.Endpoint(entry)
}

// followPurges has the follower read the keys below a prefix as purges. Each is told once.
func (f *follower) followPurges(prefix string) {
	f.fetch = func(client *api.Client, q *api.QueryOptions) (any, *api.QueryMeta, error) {
		return untyped(client.KV().List(prefix, q))
	}
	told := map[string]uint64{} // by key: the index that it was told at
	f.apply = func(answer any, verdict blockingquery.Verdict, _ uint64) {
		if verdict.Disposition == blockingquery.Discard {
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
				f.catalogue.Log("catalogue-purge-key-rejected", "error", truncated(err))
				continue
			}
			events = append(events, membership.PurgeReceived{IsObject: purge.Scope == invalidation.ObjectScope,
				Object: purge.Object, Group: purge.Group, Issued: purge.Issued})
		}
		if verdict.Disposition == blockingquery.Complete { // what was left out of another answer is not gone
			told = now
		} else {
			for k, index := range now {
				told[k] = index
			}
		}
		for len(events) > 0 {
			n := min(len(events), maxPartEndpoints)
			f.catalogue.Publish(events[:n]...)
			events = events[n:]
		}
	}
}
