package proxy

import (
	"context"
	"sync/atomic"
	"time"

	"sloequay/internal/membership"
	"sloequay/internal/membership/consul"
	"sloequay/internal/membership/listwatch"
)

// sources joins the sources of endpoints and purges to the server: the endpoint list watch, Consul's catalogue, the
// peers (by way of fleet) and the snapshot. Its methods run on the loop, but for log and publish.
type sources struct {
	server      *server
	listWatch   *listwatch.Watcher
	fleet       *fleet            // nil: there is no catalogue
	listConfig  *consul.Config    // what is polled while this proxy polls
	catalogue   *consul.Catalogue // nil: this proxy does not poll it
	stopPolling context.CancelFunc
	restored    bool // a snapshot was read
	snapshots   snapshotWriter

	deregister         chan struct{} // closed when the shutdown begins
	registrationActive atomic.Bool   // a goroutine keeps the registration, or removes it
}

// start publishes what is known at the start, and begins to follow the sources.
func (s *sources) start() {
	s.deregister = make(chan struct{})
	s.snapshots.server = s.server
	s.restored = s.snapshots.restore()
	s.startListWatch()
	if s.server.plan.settings.Catalogue != nil {
		s.startCatalogue()
	}
}

// startListWatch publishes the events of the settings, after which the watch goes on.
func (s *sources) startListWatch() {
	server := s.server
	plan := server.plan
	for _, event := range plan.initialEvents {
		s.publishWatchEvent(event)
	}
	s.listWatch = &listwatch.Watcher{
		Loop:      server.loop,
		Address:   plan.platform.ListAddress,
		Decoder:   plan.decoder,
		LastEvent: plan.lastInitialEvent,
		Publish:   s.publishWatchEvent,
		Now:       server.clock.Monotonic,
		Log:       server.log.Event,
	}
}

// publishWatchEvent takes an event of the endpoint list watch. Where the settings leave the watch out of the sources of
// endpoints, it still brings purges.
func (s *sources) publishWatchEvent(event membership.SourceEvent) {
	if _, isPurge := event.(membership.PurgeReceived); isPurge || s.server.plan.settings.usesListWatch {
		s.server.publish(brokerEvent(event))
	}
}

// startCatalogue begins to follow the catalogue, as far as this proxy is to poll it, and to keep the proxy
// registered.
func (s *sources) startCatalogue() {
	plan := s.server.plan
	if from := plan.settings.bindAddress(); from != nil {
		plan.settings.Catalogue.Bind = from
	}
	listConfig := *plan.settings.Catalogue
	if plan.settings.Peers != nil {
		// Peers take turns in polling lists; each proxy polls purges.
		purges := listConfig
		purges.Services = nil
		listConfig.PurgePrefix = ""
		if purges.PurgePrefix != "" {
			s.followCatalogue(context.Background(), &purges)
		}
	}
	s.listConfig = &listConfig
	s.fleet = newFleet(s)
	s.fleet.step(s.server.clock.Monotonic())
	if plan.settings.Catalogue.Registration != nil {
		s.keepRegistered()
	}
}

// keepRegistered keeps the registration on a goroutine of its own, which ends once deregister is closed and the
// registration is removed, or was attempted to be. The shutdown waits for it: see shutdownDone.
func (s *sources) keepRegistered() {
	platform := s.server.plan.platform
	catalogue := s.newCatalogue(s.server.plan.settings.Catalogue)
	s.registrationActive.Store(true)
	go func() {
		defer s.registrationActive.Store(false)
		if err := catalogue.KeepRegistered(s.deregister, platform.Name, platform.Listen); err != nil {
			s.log("catalogue-registration-failed", "error", err)
		}
		s.server.loop.Post(s.server.loop.RequestRound)
	}()
}

// newCatalogue makes a catalogue that publishes here.
func (s *sources) newCatalogue(config *consul.Config) *consul.Catalogue {
	plan := s.server.plan
	return &consul.Catalogue{
		Config:      config,
		Names:       plan.decoder.Names,
		FirstSource: plan.firstCatalogueSource,
		Publish:     s.publish,
		Log:         s.log,
		Now:         s.server.clock.Monotonic,
		Seed:        plan.platform.Seed,
	}
}

// followCatalogue begins to poll the catalogue, until ctx ends. What comes after that is dropped.
func (s *sources) followCatalogue(ctx context.Context, config *consul.Config) *consul.Catalogue {
	catalogue := s.newCatalogue(config)
	catalogue.Publish = func(events ...membership.SourceEvent) {
		if ctx.Err() == nil {
			s.publish(events...)
		}
	}
	catalogue.AgentAlive = func() {
		s.server.loop.Post(func() {
			if s.fleet != nil && ctx.Err() == nil {
				s.fleet.serviceSeen()
			}
		})
	}
	if err := catalogue.Start(ctx); err != nil {
		s.log("catalogue-unreachable", "error", err)
	}
	return catalogue
}

// pollLists begins to poll the catalogue for its lists, anew where it is polled already.
func (s *sources) pollLists() {
	s.endPolling()
	ctx, cancel := context.WithCancel(context.Background())
	s.stopPolling = cancel
	s.catalogue = s.followCatalogue(ctx, s.listConfig)
}

// endPolling ends that.
func (s *sources) endPolling() {
	if s.stopPolling == nil {
		return
	}
	s.stopPolling()
	s.stopPolling = nil
	s.catalogue = nil
}

// log writes a log event. Any goroutine may call it.
func (s *sources) log(event string, fields ...any) {
	s.server.loop.Post(func() { s.server.log.Event(event, fields...) })
}

// publish takes events of the catalogue to the loop and returns once they are there, so that a source that reports
// much waits for the loop. It is called beside the loop.
func (s *sources) publish(events ...membership.SourceEvent) {
	handled := make(chan struct{})
	s.server.loop.Post(func() {
		for _, event := range events {
			s.server.publish(brokerEvent(event))
			if s.fleet != nil {
				s.fleet.observe(event)
			}
		}
		s.server.loop.RequestRound()
		close(handled)
	})
	<-handled
}

// refetchList has a source's list fetched again at once, if it is the catalogue's and this proxy polls it.
func (s *sources) refetchList(source int) {
	if s.catalogue != nil {
		s.catalogue.Confirm(source)
	}
}

// tick writes a snapshot when one is due.
func (s *sources) tick(now time.Duration) { s.snapshots.tick(now) }

// beginShutdown has the registration removed, and notifies the peers.
func (s *sources) beginShutdown() {
	close(s.deregister)
	if s.fleet != nil {
		s.fleet.announceShutdown()
	}
}

// shutdownDone reports whether nothing of the shutdown is left to do.
func (s *sources) shutdownDone() bool { return !s.registrationActive.Load() }
