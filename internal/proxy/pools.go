package proxy

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"sloequay/internal/broker"
	"sloequay/internal/config"
	"sloequay/internal/membership"
	"sloequay/internal/quota"
	"sloequay/internal/route"
	"sloequay/internal/upstream"
)

// services is the block `services` of the settings: it is joined with the platform's names by table.
type services struct {
	pools []*poolWords
	plan  route.Plan
}

// poolWords is a pool as written.
type poolWords struct {
	route.Pool
	claims []claimWords
}

type claimWords struct{ sites, classes, boxes []string }

func (s *services) section() *config.Section {
	s.plan.Services = map[string]string{}
	section := &config.Section{}
	section.Block("pool", true, "boxes with a decision module of their own; the first serves what names no service", func(words []string) (*config.Section, error) {
		if len(words) != 1 {
			return nil, fmt.Errorf("expected the pool's name, got %d words", len(words))
		}
		p := &poolWords{Pool: route.Pool{Name: words[0]}}
		s.pools = append(s.pools, p)
		at := &config.Section{}
		at.Number("part", &p.Share, 0, 1, "of connections and of open requests; an even part of the rest without it")
		at.Each("boxes", func(words []string) error {
			c, err := parseClaim(words)
			p.claims = append(p.claims, c)
			return err
		}, "which boxes are its: site=, class=, id= with values joined by commas; without a line those that no other pool has")
		return at, nil
	})
	section.Each("service", func(words []string) error {
		if len(words) != 2 {
			return errors.New("expected the service's name and its pool")
		}
		if s.plan.Services[words[0]] != "" {
			return fmt.Errorf("the service %s is named twice", words[0])
		}
		s.plan.Services[words[0]] = words[1]
		return nil
	}, "a service and its pool")
	section.Each("rule", func(words []string) error {
		if len(words) < 1 {
			return errors.New("expected the service's name")
		}
		r := route.Rule{Service: words[0]}
		for _, w := range words[1:] {
			name, value, _ := strings.Cut(w, "=")
			to := map[string]*string{"team": &r.Team, "class": &r.Class, "zone": &r.Zone}[name]
			if to == nil || value == "" || *to != "" {
				return fmt.Errorf("expected team=, class= or zone=, each once, got %.80q", w)
			}
			*to = value
		}
		s.plan.Rules = append(s.plan.Rules, r)
		return nil
	}, "whose requests are a service's: the first rule that fits counts")
	section.Block("move", true, "a team that goes to another pool by and by", func(words []string) (*config.Section, error) {
		if len(words) != 2 {
			return nil, errors.New("expected the team and the pool it goes to")
		}
		m := route.MigrationPlan{Team: words[0], To: words[1], Config: route.MigrationConfig{Hold: time.Minute, MinResults: 50, Tolerance: 0.02, MaxAttempts: 3}}
		at, i := &config.Section{}, len(s.plan.Migrations)
		s.plan.Migrations = append(s.plan.Migrations, m)
		c := &s.plan.Migrations[i].Config
		least, worse, tries, hold := c.MinResults, c.Tolerance, c.MaxAttempts, c.Hold
		var steps []string
		at.Words("steps", &steps, nil, "shares of the new pool; 0.01 0.05 0.25 0.5 1 without it")
		at.Duration("hold", &hold, 10*time.Millisecond, 24*time.Hour, "that a step must do well for")
		at.Int("least", &least, 1, 1_000_000, "results of the new pool that a judgement needs")
		at.Number("worse", &worse, 0.0001, 0.5, "share of failures beyond the old pool's that is borne")
		at.Int("tries", &tries, 1, 100, "steps back after which it is given up")
		at.Check(func() error {
			c := &s.plan.Migrations[i].Config
			c.MinResults, c.Tolerance, c.MaxAttempts, c.Hold = least, worse, tries, hold
			for _, word := range steps {
				v, err := strconv.ParseFloat(word, 64)
				if err != nil {
					return fmt.Errorf("steps: expected shares from 0 to 1, got %.80q", word)
				}
				c.Steps = append(c.Steps, v)
			}
			return nil
		})
		return at, nil
	})
	return section
}

func parseClaim(words []string) (c claimWords, err error) {
	for _, w := range words {
		name, value, _ := strings.Cut(w, "=")
		to := map[string]*[]string{"site": &c.sites, "class": &c.classes, "id": &c.boxes}[name]
		if to == nil || value == "" {
			return c, fmt.Errorf("expected site=, class= or id=, got %.80q", w)
		}
		*to = append(*to, strings.Split(value, ",")...)
	}
	if len(words) == 0 {
		return c, errors.New("expected site=, class= or id=")
	}
	return c, nil
}

// table joins what is written with the names of sites and classes that the platform's settings have.
func (s *services) table(now time.Duration, zones, kinds []string) (*route.Table, error) {
	plan := s.plan
	for _, p := range s.pools {
		out := p.Pool
		for _, c := range p.claims {
			claim := route.Selector{IDs: c.boxes}
			for _, of := range []struct {
				what         string
				words, names []string
				to           *[]int
			}{{"site", c.sites, zones, &claim.Zones}, {"class", c.classes, kinds, &claim.Kinds}} {
				for _, word := range of.words {
					i := slices.Index(of.names, word)
					if i < 0 {
						return nil, fmt.Errorf("services: the pool %s: the %s %s is not in the platform's settings", p.Name, of.what, word)
					}
					*of.to = append(*of.to, i)
				}
			}
			out.Selectors = append(out.Selectors, claim)
		}
		plan.Pools = append(plan.Pools, out)
	}
	t, err := route.NewTable(now, plan)
	if err != nil {
		return nil, fmt.Errorf("services: %w", err)
	}
	return t, nil
}

// pool is one set of boxes with its module, its view of the list and its connections. Pools see nothing of one another.
type pool struct {
	broker *broker.Broker
	depots *upstream.Pool
	events []broker.Event
	part   float64
}

func (p *pool) emit(e broker.Event) { p.events = append(p.events, e) }

// newPools makes the pools that the settings name, or the one for all.
func (d *server) newPools() error {
	s, own := d.plan.settings, d.plan.own
	parts := []float64{1}
	if own.Services != nil {
		var err error
		if d.routes, err = own.Services.table(d.clock.Monotonic(), s.Control.ZoneNames, s.Control.KindNames); err != nil {
			return err
		}
		parts = parts[:0]
		for _, p := range d.routes.Pools() {
			parts = append(parts, p.Share)
		}
	}
	for i, part := range parts {
		members := d.plan.members
		if i > 0 {
			members, _, _ = own.members()
		}
		p := &pool{part: part}
		var err error
		if p.broker, err = broker.New(s.Control, s.Seed+uint64(i), max(1, int(float64(s.OpenCap)*part)), d.contracts, members); err != nil {
			return err
		}
		d.pools = append(d.pools, p)
	}
	return nil
}

// connect makes the pool's connections.
func (p *pool) connect(d *server) {
	s := d.plan.settings
	all := s.Sockets - s.Sockets/clientPart - ownSockets
	p.depots = &upstream.Pool{Loop: d.loop, Emit: p.emit, Now: d.clock.Monotonic, MaySend: p.broker.MaySend, Log: d.log.Event, Resolve: d.resolver.Resolve, AddressBlocked: p.broker.AddressBlocked,
		Classes: s.Control.Classes, DialTimeout: s.DialTimeout, IdleTimeout: s.ConnIdle, Streams: s.Streams, ChecksAllowed: s.Control.HealthChecks, CancelAllowed: s.Control.MayCancel, FlowKBps: s.Control.FlowKBps,
		MaxConnections: max(1, int(float64(all)*p.part))}
	if secure := d.plan.own.UpstreamTLS; secure != nil {
		p.depots.SecureDialer = secure.secure(s.Control.ZoneNames)
		p.depots.MaxConnections = max(1, p.depots.MaxConnections/boxDescriptors)
	}
}

// round hands what has been gathered to the pool's module in one go, and carries out what comes back.
func (p *pool) round(d *server) {
	events := p.events
	p.events = nil
	for _, e := range p.broker.Round(d.clock.Monotonic(), events) {
		d.carryOut(p, e)
	}
}

// dispatch gives each pool what concerns it. A box that is not a pool's is gone for it, also one that was.
func (d *server) dispatch(e broker.Event) {
	switch e := e.(type) {
	case broker.RequestReceived:
		r := e.Request
		class := d.plan.settings.Control.Classes[r.Class].Name
		r.Route = d.routes.Choose(r.Team, class, r.Zone, r.Object)
		r.Service = r.Route.Service
		d.pools[r.Route.Pool].emit(e)
	case broker.RequestCanceled:
		d.pools[e.Request.Route.Pool].emit(e)
	case broker.EndpointList:
		for i, p := range d.pools {
			l := e
			l.List.Endpoints = nil
			for _, b := range e.List.Endpoints {
				if d.routes.Contains(i, b.ID, b.Zone, b.Kind) {
					l.List.Endpoints = append(l.List.Endpoints, b)
				}
			}
			p.emit(l)
		}
	case broker.EndpointDelta:
		for i, p := range d.pools {
			c := e
			c.Endpoints = slices.Clone(e.Endpoints)
			for k := range c.Endpoints {
				if b := &c.Endpoints[k]; !d.routes.Contains(i, b.ID, b.Zone, b.Kind) {
					b.State = membership.Gone
				}
			}
			p.emit(c)
		}
	default: // purges, and sources that speak or are silent
		for _, p := range d.pools {
			p.emit(e)
		}
	}
}

// box finds a box of any pool by its id on the sockets.
func (d *server) box(host string) *broker.Endpoint {
	for _, p := range d.pools {
		if b := p.broker.EndpointByName(host); b != nil {
			return b
		}
	}
	return nil
}

// open is the number of requests without an end.
func (d *server) open() (n int) {
	for _, p := range d.pools {
		n += p.broker.OpenRequests()
	}
	return n
}

func (d *server) limitRepeats(c *quota.Contracts) {
	for _, p := range d.pools {
		p.broker.LimitRetries(c.TeamRetries, c.EndpointRetries)
	}
}

// ended tells the moves how a request has ended. What a budget refused, and what the caller may not, is no pool's fault.
func (d *server) ended(r *broker.Request, f broker.Response) {
	if d.routes == nil || f.Kind == broker.ResponseDenied || f.Budget != "" {
		return
	}
	result := route.Success
	if f.Kind == broker.ResponseRejected || f.Kind == broker.ResponseFailed {
		result = route.Failure
	}
	if team := d.routes.RecordResult(d.clock.Monotonic(), r.Route, result); team != "" {
		d.tellMove(team)
	}
}

// moves takes the time to the moves.
func (d *server) moves(now time.Duration) {
	if d.routes == nil {
		return
	}
	for _, team := range d.routes.Step(now) {
		d.tellMove(team)
	}
}

func (d *server) tellMove(team string) {
	share, phase := d.routes.MigrationStatus(team)
	d.log.Event("team-migration", "team", team, "share", share, "phase", phase)
}
