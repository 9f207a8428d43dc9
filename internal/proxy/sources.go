package proxy

import (
	"context"
	"errors"
	"io/fs"
	"sync/atomic"
	"time"

	"sloequay/internal/broker"
	"sloequay/internal/membership"
	"sloequay/internal/membership/consul"
	"sloequay/internal/membership/listwatch"
	"sloequay/internal/snapshot"
	"sloequay/internal/snapshot/disk"
)

// sources joins the sources of boxes and purges to the doorman. Its methods run on the loop.
type sources struct {
	doorman   *server
	herd      *fleet            // nil: there is no catalogue
	lists     *consul.Config    // what is asked for by who is to ask
	catalogue *consul.Catalogue // nil: it is not asked
	end       context.CancelFunc
	restored  bool          // a snapshot was read
	leaving   chan struct{} // closed with the end: the registration is to be taken back
	kept      atomic.Bool   // the registration is being kept, or taken back
	saved     time.Duration // when the last snapshot was begun
	version   uint64        // of the list that it has
	saving    bool
}

// start hands on what was known at the start, and begins to follow.
func (s *sources) start() {
	d := s.doorman
	p := d.plan
	s.leaving = make(chan struct{})
	emit := func(event membership.SourceEvent) {
		// Without a bulletin among the sources of endpoints, it still brings purges.
		if _, isPurge := event.(membership.PurgeReceived); isPurge || p.own.bulletin {
			d.emit(brokerEvent(event))
		}
	}
	s.restore()
	for _, e := range p.known {
		emit(e)
	}
	d.bulletin = &listwatch.Watcher{Loop: d.loop, Address: p.settings.ListAddress, Decoder: p.names, LastEvent: p.last, Publish: emit,
		Now: d.clock.Monotonic, Log: d.log.Event}
	if p.own.Catalogue == nil {
		return
	}
	if from := p.own.from(); from != nil {
		p.own.Catalogue.Bind = from
	}
	lists, purges := *p.own.Catalogue, *p.own.Catalogue
	s.lists = &lists
	if p.own.Peers != nil {
		// Who asks for lists comes and goes; purges are asked for by every doorman.
		if lists.Purges = ""; purges.Purges != "" {
			purges.Services = nil
			s.open(context.Background(), &purges)
		}
	}
	s.herd = newFleet(s)
	s.herd.step(d.clock.Monotonic())
	if p.own.Catalogue.Registration != nil {
		keeper := &consul.Catalogue{Config: p.own.Catalogue, Names: p.names.Names, Publish: s.tell, Log: s.log, Now: d.clock.Monotonic, Seed: p.settings.Seed}
		s.kept.Store(true)
		go func() {
			defer s.kept.Store(false)
			if err := keeper.KeepRegistered(s.leaving, p.settings.Name, p.settings.Listen); err != nil {
				s.log("catalogue-registration-failed", "error", err)
			}
			d.loop.Post(d.loop.RequestRound)
		}()
	}
}

// log writes a line. It may be called beside the loop.
func (s *sources) log(event string, fields ...any) {
	s.doorman.loop.Post(func() { s.doorman.log.Event(event, fields...) })
}

// open begins to ask the catalogue, until ctx ends. What comes after that is dropped.
func (s *sources) open(ctx context.Context, cfg *consul.Config) *consul.Catalogue {
	p := s.doorman.plan
	c := &consul.Catalogue{Config: cfg, Names: p.names.Names, FirstSource: p.first, Log: s.log, Now: s.doorman.clock.Monotonic, Seed: p.settings.Seed,
		Publish: func(events ...membership.SourceEvent) {
			if ctx.Err() == nil {
				s.tell(events...)
			}
		},
		AgentAlive: func() {
			s.doorman.loop.Post(func() {
				if s.herd != nil && ctx.Err() == nil {
					s.herd.serviceSeen()
				}
			})
		}}
	if err := c.Start(ctx); err != nil {
		s.log("catalogue-unreachable", "error", err)
	}
	return c
}

// follow begins to ask the catalogue for its lists, or ends that.
func (s *sources) follow(on bool) {
	if s.end != nil {
		s.end()
		s.end, s.catalogue = nil, nil
	}
	if on {
		var ctx context.Context
		ctx, s.end = context.WithCancel(context.Background())
		s.catalogue = s.open(ctx, s.lists)
	}
}

// tell takes events to the loop and returns once they are there.
func (s *sources) tell(events ...membership.SourceEvent) {
	taken := make(chan struct{})
	s.doorman.loop.Post(func() {
		for _, e := range events {
			s.doorman.emit(brokerEvent(e))
			if s.herd != nil {
				s.herd.observe(e)
			}
		}
		s.doorman.loop.RequestRound()
		close(taken)
	})
	<-taken
}

func (s *sources) confirm(src int) {
	if s.catalogue != nil {
		s.catalogue.Confirm(src)
	}
}

// leave begins the end.
func (s *sources) leave() {
	close(s.leaving)
	if s.herd != nil {
		s.herd.announceShutdown()
	}
}

// left says whether nothing of the end is left to do.
func (s *sources) left() bool { return !s.kept.Load() }

// restore reads the snapshot.
func (s *sources) restore() {
	d := s.doorman
	cfg := d.plan.own.Snapshot
	if cfg == nil {
		return
	}
	disk.Clean(cfg.File)
	c := d.plan.settings.Control
	limits := snapshot.Limits{MaxAge: cfg.Oldest, Zones: len(c.ZoneNames), Kinds: len(c.KindNames)}
	words, age, err := disk.Read(cfg.File, d.clock.Unix(), limits)
	switch {
	case errors.Is(err, fs.ErrNotExist):
	case err != nil:
		d.log.Event("snapshot-rejected", "file", cfg.File, "error", err)
	default:
		d.log.Event("snapshot-loaded", "file", cfg.File, "age", age.Round(time.Millisecond))
		s.restored = true
		d.emit(broker.SnapshotRestored{Reports: words})
	}
}

// tick writes a snapshot when the list has changed and its time has come. The disk is waited for on a goroutine.
func (s *sources) tick(now time.Duration) {
	d := s.doorman
	cfg := d.plan.own.Snapshot
	if cfg == nil || s.saving || now-s.saved < cfg.Every {
		return
	}
	version, words := d.plan.members.Revision(), []membership.SourceReport(nil)
	if version == s.version {
		// Nothing has changed; but how old it is must not count from the change.
		if now-s.saved < max(cfg.Every, cfg.Oldest/10) {
			return
		}
	}
	words = d.plan.members.Export()
	if len(words) == 0 {
		return
	}
	s.saving, s.saved, s.version = true, now, version
	at := d.clock.Unix()
	go func() {
		data, err := snapshot.Encode(at, words)
		if err == nil {
			err = disk.Write(cfg.File, data)
		}
		d.loop.Post(func() {
			if s.saving = false; err != nil {
				d.log.Event("snapshot-write-failed", "error", err)
			}
		})
	}()
}
