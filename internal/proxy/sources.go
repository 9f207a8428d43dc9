package proxy

import (
	"context"
	"sync/atomic"
	"time"

	"sloequay/internal/membership"
	"sloequay/internal/membership/consul"
	"sloequay/internal/membership/listwatch"
)

// sources connects the sources of endpoints and purges to the server: the endpoint list watch, Consul's catalogue, the
// peers (through fleet) and the snapshot. Its methods run on the event loop, except log and publish.
type sources struct {
	server      *server
	listWatch   *listwatch.Watcher
	fleet       *fleet             // nil: no catalogue is configured
	listConfig  *consul.Config     // settings for polling the catalogue's lists
	catalogue   *consul.Catalogue  // nil: this proxy does not poll the catalogue's lists
	stopPolling context.CancelFunc // nil if catalogue is nil
	restored    bool               // whether a snapshot was read
	snapshots   snapshotWriter

	deregister         chan struct{} // closed when the shutdown begins
	registrationActive atomic.Bool   // whether a goroutine still maintains or removes the registration
}

// start publishes the endpoints that are known at the start, and starts following the sources.
func (s *sources) start() {
	s.deregister = make(chan struct{})
	s.snapshots.server = s.server
	s.restored = s.snapshots.restore()
	s.startListWatch()
	if s.server.plan.settings.Catalogue != nil {
		s.startCatalogue()
	}
}

// startListWatch publishes the initial events of the configuration, and creates the watch, which continues after them.
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

// publishWatchEvent publishes an event of the endpoint list watch. If the settings exclude the watch from the sources
// of endpoints, only purges are published.
func (s *sources) publishWatchEvent(event membership.SourceEvent) {
	if _, isPurge := event.(membership.PurgeReceived); isPurge || s.server.plan.settings.usesListWatch {
		s.server.publish(brokerEvent(event))
	}
}

// startCatalogue starts following the catalogue, as far as this proxy has to poll it, and keeping the proxy registered.
func (s *sources) startCatalogue() {
	plan := s.server.plan
	if address := plan.settings.bindAddress(); address != nil {
		plan.settings.Catalogue.Bind = address
	}
	listConfig := *plan.settings.Catalogue
	if plan.settings.Peers != nil {
		// Only some of the peers poll lists, as the fleet decides; each proxy polls purges itself.
		purgeConfig := listConfig
		purgeConfig.Services = nil
		listConfig.PurgePrefix = ""
		if purgeConfig.PurgePrefix != "" {
			s.followCatalogue(context.Background(), &purgeConfig)
		}
	}
	s.listConfig = &listConfig
	s.fleet = newFleet(s)
	s.fleet.step(s.server.clock.Monotonic())
	if plan.settings.Catalogue.Registration != nil {
		s.keepRegistered()
	}
}

// keepRegistered keeps the proxy registered, on a separate goroutine. That ends after deregister is closed and the
// proxy is deregistered, or the attempts to do so have failed. The shutdown waits for it, see shutdownDone.
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

// newCatalogue returns a catalogue that publishes its events with publish.
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

// followCatalogue starts polling the catalogue until ctx ends. Events that arrive after that are dropped.
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

// pollLists starts polling the catalogue's lists. If they are being polled already, it restarts the polling.
func (s *sources) pollLists() {
	s.endPolling()
	ctx, cancel := context.WithCancel(context.Background())
	s.stopPolling = cancel
	s.catalogue = s.followCatalogue(ctx, s.listConfig)
}

// endPolling stops polling the catalogue's lists, if they are being polled.
func (s *sources) endPolling() {
	if s.stopPolling == nil {
		return
	}
	s.stopPolling()
	s.stopPolling = nil
	s.catalogue = nil
}

// log writes a line to the event log. Any goroutine may call it.
func (s *sources) log(event string, fields ...any) {
	s.server.loop.Post(func() { s.server.log.Event(event, fields...) })
}

// publish passes events of the catalogue to the event loop and returns after the loop has taken them, so that a source
// with many reports waits for the loop. It must not be called on the loop.
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

// refetchList requests that a source's list be fetched again immediately, if the source is a service of the catalogue
// and this proxy polls it.
func (s *sources) refetchList(source int) {
	if s.catalogue != nil {
		s.catalogue.Confirm(source)
	}
}

// tick writes a snapshot when one is due.
func (s *sources) tick(now time.Duration) { s.snapshots.tick(now) }

// beginShutdown starts to deregister the proxy and to announce the shutdown to the peers.
func (s *sources) beginShutdown() {
	close(s.deregister)
	if s.fleet != nil {
		s.fleet.announceShutdown()
	}
}

// shutdownDone reports whether the registration has been removed, or there is none.
func (s *sources) shutdownDone() bool { return !s.registrationActive.Load() }
