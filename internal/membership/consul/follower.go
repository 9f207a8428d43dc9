package consul

import (
	"context"
	"fmt"

	"github.com/hashicorp/consul/api"

	"sloequay/internal/membership/consul/blockingquery"
)

// feed is the data that a follower keeps up to date: the instances of a service, or the purges.
type feed interface {
	// name returns the feed's name in the log.
	name() string
	// fetch makes the API call. It runs on a goroutine of its own and must not access the feed's state. The function
	// that it returns applies the response to that state and runs on the followers' goroutine.
	fetch(client *api.Client, options *api.QueryOptions) (applyFunc, *api.QueryMeta, error)
	// availabilityChanged is called when no agent responds any more, and when one responds again.
	availabilityChanged(unavailable bool)
}

// applyFunc applies a response, as far as the verdict allows.
type applyFunc func(verdict blockingquery.Verdict, index uint64)

// follower keeps one blocking query running for a feed. Only the followers' goroutine changes its fields.
type follower struct {
	catalogue *Catalogue
	feed      feed
	watch     *blockingquery.Watch
	clients   []*api.Client                 // by agent
	cancels   map[uint64]context.CancelFunc // of the calls in flight, by serial

	// The values that were logged last, so that only changes are logged.
	unavailable     bool
	lastAgent       int
	lastReason      blockingquery.Reason
	tokenUnreadable bool
}

// step carries out the actions that are due and logs what has changed.
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

// start makes the API call for a query on its own goroutine, which ends at the latest when the query is canceled or ctx
// ends.
func (f *follower) start(ctx context.Context, query blockingquery.Query) {
	ctx, cancel := context.WithCancel(ctx)
	f.cancels[query.Serial] = cancel
	token, err := f.catalogue.Config.readToken()
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

// probe calls an agent and reports to the watch whether it responds.
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

// fetch gets the feed's list from an agent and reports the result to the watch.
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

// complete calls report on the followers' goroutine, unless the query was canceled.
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

// logChanges logs a change of the agents' availability or of the agent in use, and tells the feed of the former.
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

// agent returns the address of the agent with an index.
func (f *follower) agent(index int) string { return f.catalogue.Config.Agents[index] }

// maxLoggedRunes limits how much of an error is logged, since an agent may have written its text.
const maxLoggedRunes = 200

func truncated(err error) string { return fmt.Sprintf("%.*s", maxLoggedRunes, err.Error()) }
