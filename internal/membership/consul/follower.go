package consul

import (
	"context"
	"fmt"

	"github.com/hashicorp/consul/api"

	"sloequay/internal/membership/consul/blockingquery"
)

// feed is what a follower keeps up to date: the instances of a service, or the purges.
type feed interface {
	// name is the feed's in the log.
	name() string
	// fetch makes the call. It runs on a goroutine of its own and must not touch the feed's state: what the answer
	// changes there is left to the function that it returns, which runs on the followers' goroutine.
	fetch(client *api.Client, options *api.QueryOptions) (applyFunc, *api.QueryMeta, error)
	// availabilityChanged says that no agent answers any more, or that one answers again.
	availabilityChanged(unavailable bool)
}

// applyFunc takes over an answer, as far as the verdict allows.
type applyFunc func(verdict blockingquery.Verdict, index uint64)

// follower keeps one blocking query going for a feed. Its fields belong to the followers' goroutine.
type follower struct {
	catalogue *Catalogue
	feed      feed
	watch     *blockingquery.Watch
	clients   []*api.Client                 // by agent
	cancels   map[uint64]context.CancelFunc // of the calls in flight, by serial

	// What was logged last, so that only changes are.
	unavailable     bool
	lastAgent       int
	lastReason      blockingquery.Reason
	tokenUnreadable bool
}

// step carries out what the watch decides.
func (f *follower) step(ctx context.Context) {
	for _, action := range f.watch.Step(f.catalogue.Now()) {
		if action.Start != nil {
			f.start(ctx, *action.Start)
		} else {
			f.cancel(action.Cancel)
		}
	}
	f.logChanges()
}

// start makes a call on a goroutine of its own, which ends at the latest when its query is canceled or ctx ends.
func (f *follower) start(ctx context.Context, query blockingquery.Query) {
	ctx, cancel := context.WithCancel(ctx)
	f.cancels[query.Serial] = cancel
	token, err := f.catalogue.Config.token()
	if isUnreadable := err != nil; isUnreadable != f.tokenUnreadable {
		f.tokenUnreadable = isUnreadable
		if isUnreadable {
			f.catalogue.Log("catalogue-token-unreadable", "error", err)
		}
	}
	if query.Kind == blockingquery.LivenessProbe {
		go f.probe(ctx, query, token)
	} else {
		go f.fetch(ctx, query, token)
	}
}

func (f *follower) cancel(serial uint64) {
	if cancel := f.cancels[serial]; cancel != nil {
		cancel()
		delete(f.cancels, serial)
	}
}

// probe calls an agent and reports whether it answers.
func (f *follower) probe(ctx context.Context, query blockingquery.Query, token string) {
	_, err := f.clients[query.Agent].Status().LeaderWithQueryOptions(queryOptions(ctx, query, token))
	f.complete(ctx, query, func() {
		if err != nil {
			f.queryFailed(query, err)
			return
		}
		f.watch.ProbeSucceeded(f.catalogue.Now(), query.Serial)
		if f.catalogue.AgentAlive != nil {
			f.catalogue.AgentAlive()
		}
	})
}

// fetch calls an agent for the feed's list and reports what came of it.
func (f *follower) fetch(ctx context.Context, query blockingquery.Query, token string) {
	traced := withResponseTrace(ctx, func() {
		f.catalogue.tryRun(func() { f.watch.ResponseStarted(f.catalogue.Now(), query.Serial) })
	})
	apply, meta, err := f.feed.fetch(f.clients[query.Agent], queryOptions(traced, query, token))
	f.complete(ctx, query, func() {
		if err != nil {
			f.queryFailed(query, err)
			return
		}
		f.listReceived(query, responseMeta(meta), apply)
	})
}

// complete has the result of a call reported on the followers' goroutine, unless its query was canceled.
func (f *follower) complete(ctx context.Context, query blockingquery.Query, report func()) {
	select {
	case f.catalogue.tasks <- func() {
		f.cancel(query.Serial)
		report()
	}:
	case <-ctx.Done():
	}
}

func (f *follower) queryFailed(query blockingquery.Query, err error) {
	fault := faultOf(err)
	if !f.unavailable {
		f.catalogue.Log("catalogue-response-rejected", "service", f.feed.name(), "agent", f.agent(query.Agent),
			"reason", fault, "error", truncated(err))
	}
	f.watch.QueryFailed(f.catalogue.Now(), query.Serial, fault)
}

func (f *follower) listReceived(query blockingquery.Query, meta blockingquery.ResponseMeta, apply applyFunc) {
	verdict, ok := f.watch.ListReceived(f.catalogue.Now(), query.Serial, meta)
	if !ok {
		return
	}
	if verdict.Reason != f.lastReason {
		f.lastReason = verdict.Reason
		if verdict.Reason != blockingquery.ReasonNone {
			f.catalogue.Log("catalogue-response-rejected", "service", f.feed.name(), "agent", f.agent(query.Agent),
				"reason", verdict.Reason, "index", meta.Index)
		}
	}
	apply(verdict, meta.Index)
}

// logChanges logs what the watch has found of the agents.
func (f *follower) logChanges() {
	if unavailable := f.watch.Unavailable(); unavailable != f.unavailable {
		f.unavailable = unavailable
		if unavailable {
			f.catalogue.Log("catalogue-unreachable", "service", f.feed.name(), "agents", len(f.clients))
		} else {
			f.catalogue.Log("catalogue-reachable", "service", f.feed.name(),
				"agent", f.agent(f.watch.CurrentAgent()), "index", f.watch.Index())
		}
		f.feed.availabilityChanged(unavailable)
	}
	if agent := f.watch.CurrentAgent(); agent != f.lastAgent {
		f.lastAgent = agent
		f.catalogue.Log("catalogue-agent-changed", "service", f.feed.name(), "agent", f.agent(agent))
	}
}

// agent is the address of an agent.
func (f *follower) agent(index int) string { return f.catalogue.Config.Agents[index] }

// maxLoggedBytes is how much of an error is logged, since an agent may have written it.
const maxLoggedBytes = 200

func truncated(err error) string { return fmt.Sprintf("%.*s", maxLoggedBytes, err.Error()) }
