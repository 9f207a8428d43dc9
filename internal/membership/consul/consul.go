// Package consul follows Consul's catalogue as a source of endpoints and its KV store as a source of purges, and
// keeps the proxy itself registered. The packages blockingquery, health and registrar make the decisions. This package
// does the I/O, on goroutines of its own because Consul's client blocks.
//
// Invariants: one goroutine publishes all events, in the order in which the responses arrived. A purge is published
// once for each change of its key. A list that may lack endpoints is published as incomplete.
//
// Bounds: each service, and the prefix of purges, has at most two calls in flight. Purges, and the parts of a large
// list, are published in batches of at most maxBatchSize so that they do not hold up the receiver. Error texts, which
// an agent may have written, are logged up to maxLoggedRunes characters.
package consul

import (
	"context"
	"strings"
	"time"

	"sloequay/internal/membership"
	"sloequay/internal/membership/consul/blockingquery"
)

const (
	// maxBatchSize is the largest number of purges, or of endpoints in a part of a list, that are published together.
	maxBatchSize = 500
	// taskQueueLength is the number of results and requests that may wait for the goroutine that steps the followers.
	taskQueueLength = 64
	// idleWait is how long that goroutine sleeps when no follower has a next step scheduled.
	idleWait = time.Hour
)

// Catalogue follows Consul's catalogue and KV store, and registers the proxy. Set the exported fields before calling
// Start or KeepRegistered, and do not change them afterwards.
type Catalogue struct {
	Config      *Config
	Names       membership.Names
	FirstSource int // index of the first service's source; the others follow in the order of Config.Services
	// Publish passes events on and returns once they are accepted. Only one goroutine calls it.
	Publish func(...membership.SourceEvent)
	// Log writes a log event. Several goroutines may call it concurrently.
	Log func(event string, fields ...any)
	Now func() time.Duration // the monotonic clock
	// AgentAlive is called after each successful liveness probe; nil: never.
	AgentAlive func()
	Seed       uint64

	followers []*follower // of the services in the order of Config.Services, then of the purges
	tasks     chan func() // to run on the followers' goroutine
}

// Start starts following the services and purges until ctx ends. All followers run on one goroutine, because they
// share what they know about the agents; each call runs on its own goroutine. All these goroutines end with ctx.
func (c *Catalogue) Start(ctx context.Context) error {
	c.tasks = make(chan func(), taskQueueLength)
	agents := blockingquery.NewSharedAgents(len(c.Config.Agents))
	for i, service := range c.Config.Services {
		feed := &serviceFeed{catalogue: c, service: service, source: c.FirstSource + i}
		if err := c.addFollower(feed, agents); err != nil {
			return err
		}
	}
	if c.Config.PurgePrefix != "" {
		prefix := strings.Trim(c.Config.PurgePrefix, "/") + "/"
		feed := &purgeFeed{catalogue: c, prefix: prefix, seenIndexes: map[string]uint64{}}
		if err := c.addFollower(feed, agents); err != nil {
			return err
		}
	}
	if err := c.watchFiles(ctx); err != nil {
		return err
	}
	go c.run(ctx)
	return nil
}

// addFollower adds a follower for a feed, with its own client for each agent.
func (c *Catalogue) addFollower(feed feed, agents *blockingquery.SharedAgents) error {
	clients, err := c.Config.newClients()
	if err != nil {
		return err
	}
	config := c.Config.Watch
	config.AgentCount = len(clients)
	config.Mode = c.Config.Mode
	config.Seed = c.Seed + uint64(len(c.followers))
	c.followers = append(c.followers, &follower{
		catalogue: c,
		feed:      feed,
		watch:     blockingquery.New(config, agents),
		clients:   clients,
		cancels:   map[uint64]context.CancelFunc{},
	})
	return nil
}

// watchFiles reloads the TLS files when they change. Its goroutine ends with ctx.
func (c *Catalogue) watchFiles(ctx context.Context) error {
	settings := c.Config.TLS
	if settings == nil {
		return nil
	}
	dialer, err := settings.dialer()
	if err != nil {
		return err
	}
	go dialer.Watch(ctx.Done(), func(err error) {
		if err != nil {
			c.Log("keys-rejected", "error", err)
			return
		}
		c.Log("tls-reloaded", "cert", settings.CA)
	})
	return nil
}

// Confirm requests that a source's list be fetched immediately, in consistent mode. The request is dropped if the task
// queue is full; the table of endpoints repeats it then.
func (c *Catalogue) Confirm(source int) {
	if i := source - c.FirstSource; i >= 0 && i < len(c.Config.Services) {
		c.tryRun(c.followers[i].watch.Confirm)
	}
}

// run steps the followers until ctx ends. Only its goroutine accesses their state.
func (c *Catalogue) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		for _, follower := range c.followers {
			follower.step(ctx)
		}
		timer.Reset(c.timeToNextStep())
		select {
		case <-ctx.Done():
			return
		case task := <-c.tasks:
			task()
		case <-timer.C:
		}
	}
}

// timeToNextStep returns the time until the next step of any follower is due. Call it after all followers have been
// stepped, because the step of one may make others due earlier.
func (c *Catalogue) timeToNextStep() time.Duration {
	wait := idleWait
	for _, follower := range c.followers {
		if next := follower.watch.Next(); next != 0 {
			wait = min(wait, max(0, next-c.Now()))
		}
	}
	return wait
}

// tryRun runs a task on the followers' goroutine, or drops it if the task queue is full.
func (c *Catalogue) tryRun(task func()) {
	select {
	case c.tasks <- task:
	default:
	}
}
