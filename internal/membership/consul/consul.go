// Package consul follows Consul's catalogue as a source of endpoints and its KV store as a source of purges, and
// keeps the proxy itself registered. The packages blockingquery, health and registrar decide; this one does the I/O,
// on goroutines of its own, since Consul's client blocks.
//
// Invariants: one goroutine publishes all events, in the order in which the answers came. A purge is published once
// for each change of its key. A list that may lack endpoints is published as incomplete.
//
// Bounds: each service, and the prefix of purges, has at most two calls in flight. Events are published in batches of
// maxBatchSize, so that a large list does not hold up whoever takes them. Texts of an agent's are logged up to
// maxLoggedBytes.
package consul

import (
	"context"
	"strings"
	"time"

	"sloequay/internal/membership"
	"sloequay/internal/membership/consul/blockingquery"
)

const (
	// maxBatchSize is how many endpoints or purges are published together.
	maxBatchSize = 500
	// taskQueueLength is how many results and requests may wait for the goroutine that steps the followers.
	taskQueueLength = 64
	// idleWait is how long that goroutine sleeps when no follower has a time set.
	idleWait = time.Hour
)

// Catalogue is the running source. Set the fields before Start or KeepRegistered, and do not change them afterwards.
type Catalogue struct {
	Config      *Config
	Names       membership.Names
	FirstSource int // the source of the first service; the others follow in the order of Config.Services
	// Publish hands events on and returns once they are taken. One goroutine calls it.
	Publish func(...membership.SourceEvent)
	// Log writes a log event. Several goroutines may call it at a time.
	Log func(event string, fields ...any)
	Now func() time.Duration
	// AgentAlive is called when a liveness probe has succeeded; nil: it is not.
	AgentAlive func()
	Seed       uint64

	followers []*follower // of the services in the order of Config.Services, then of the purges
	tasks     chan func() // to run on the followers' goroutine
}

// Start begins to follow, until ctx ends. All followers run on one goroutine, since they share what they know of the
// agents; each call runs on a goroutine of its own. All of them end with ctx.
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
		feed := &purgeFeed{catalogue: c, prefix: prefix, published: map[string]uint64{}}
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

// addFollower adds the follower of a feed. Each has a client of its own for each agent.
func (c *Catalogue) addFollower(feed feed, agents *blockingquery.SharedAgents) error {
	clients, err := c.Config.clients()
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

// watchFiles has the files of TLS taken over when they change. Its goroutine ends with ctx.
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

// Confirm has a source's list fetched at once, in the consistent mode. It may be dropped where much is waiting
// already; the table of endpoints requests it again then.
func (c *Catalogue) Confirm(source int) {
	if i := source - c.FirstSource; i >= 0 && i < len(c.Config.Services) {
		c.tryRun(c.followers[i].watch.Confirm)
	}
}

// run steps the followers until ctx ends. Only this goroutine touches them.
func (c *Catalogue) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		for _, follower := range c.followers {
			follower.step(ctx)
		}
		timer.Reset(c.waitForStep())
		select {
		case <-ctx.Done():
			return
		case task := <-c.tasks:
			task()
		case <-timer.C:
		}
	}
}

// waitForStep is how long no follower has to be stepped. It is to be called once all have been: one may have found
// something that holds for others.
func (c *Catalogue) waitForStep() time.Duration {
	wait := idleWait
	for _, follower := range c.followers {
		if next := follower.watch.Next(); next != 0 {
			wait = min(wait, max(0, next-c.Now()))
		}
	}
	return wait
}

// tryRun runs a task on the followers' goroutine, or drops it when that is far behind.
func (c *Catalogue) tryRun(task func()) {
	select {
	case c.tasks <- task:
	default:
	}
}
