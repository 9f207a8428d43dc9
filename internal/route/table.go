package route

import (
	"fmt"
	"path"
	"slices"
	"time"
)

// Selector says which boxes are a pool's. What is empty fits any; a pool without a claim has the boxes that no other claims.
type Selector struct {
	Zones, Kinds []int
	IDs          []string // patterns as path.Match takes them
}

// Empty says that there is no claim.
func (c *Selector) Empty() bool { return len(c.Zones) == 0 && len(c.Kinds) == 0 && len(c.IDs) == 0 }

// Matches says whether a box is claimed.
func (c *Selector) Matches(id string, zone, kind int) bool {
	if len(c.Zones) > 0 && !slices.Contains(c.Zones, zone) || len(c.Kinds) > 0 && !slices.Contains(c.Kinds, kind) {
		return false
	}
	return len(c.IDs) == 0 || slices.ContainsFunc(c.IDs, func(p string) bool {
		ok, _ := path.Match(p, id)
		return ok
	})
}

// Pool is one set of boxes with a decision module of its own.
type Pool struct {
	Name      string
	Selectors []Selector // a box is the pool's if any fits
	Share     float64    // of what is divided among pools: connections, open requests; 0: an even part of the rest
}

// Plan is services and pools as written.
type Plan struct {
	Pools      []Pool // the first is for services that name none
	Services   map[string]string
	Rules      []Rule
	Migrations []MigrationPlan
}

// MigrationPlan is a move as written.
type MigrationPlan struct {
	Team   string
	To     string // pool
	Config MigrationConfig
}

// Table decides, for each request, whose it is and which pool serves it; and for each box, which pools it is in. It is not safe
// for concurrent use.
//
// Invariants: a request goes to exactly one pool, the same for the same team, class, zone and object while no move's share
// changes; a box is in the pools that claim it, or in those without a claim if none does.
type Table struct {
	plan  Plan
	rules *Rules
	pools map[string]int
	of    map[string]int // pool by service
	moves map[string]*moving
	order []*moving
}

type moving struct {
	team string
	to   int
	*Migration
}

// Choice is where a request goes.
type Choice struct {
	Service string
	Pool    int
	team    string // that is being moved; empty: none
	inNew   bool
}

// NewTable checks a plan and makes its table; moves begin.
func NewTable(now time.Duration, p Plan) (*Table, error) {
	t := &Table{plan: p, pools: map[string]int{}, of: map[string]int{}, moves: map[string]*moving{}}
	if len(p.Pools) == 0 {
		return nil, fmt.Errorf("no pool")
	}
	sum, open := 0.0, 0
	for i, pool := range p.Pools {
		if _, twice := t.pools[pool.Name]; twice {
			return nil, fmt.Errorf("the pool %s is named twice", pool.Name)
		}
		t.pools[pool.Name] = i
		if sum += pool.Share; pool.Share == 0 {
			open++
		}
		for _, c := range pool.Selectors {
			for _, id := range c.IDs {
				if _, err := path.Match(id, ""); err != nil {
					return nil, fmt.Errorf("the pool %s: box %q: %w", pool.Name, id, err)
				}
			}
		}
	}
	if sum > 1+1e-9 || open > 0 && sum >= 1-1e-9 {
		return nil, fmt.Errorf("the parts of the pools come to %g, and nothing is left", sum)
	}
	for i := range t.plan.Pools {
		if t.plan.Pools[i].Share == 0 {
			t.plan.Pools[i].Share = (1 - sum) / float64(open)
		}
	}
	for name, pool := range p.Services {
		at, known := t.pools[pool]
		if !known {
			return nil, fmt.Errorf("the service %s: there is no pool %s", name, pool)
		}
		t.of[name] = at
	}
	var err error
	if t.rules, err = NewRules(p.Rules); err != nil {
		return nil, err
	}
	for _, m := range p.Migrations {
		at, known := t.pools[m.To]
		if !known || t.moves[m.Team] != nil {
			return nil, fmt.Errorf("the move of %s: there is no pool %s, or the team is moved twice", m.Team, m.To)
		}
		steps := m.Config.Steps
		for i, s := range steps {
			if !(s > 0 && s <= 1) || i > 0 && s <= steps[i-1] || i == len(steps)-1 && s != 1 {
				return nil, fmt.Errorf("the move of %s: steps must rise from above 0 to 1", m.Team)
			}
		}
		mv := &moving{m.Team, at, NewMigration(now, m.Config)}
		t.moves[m.Team] = mv
		t.order = append(t.order, mv)
	}
	return t, nil
}

// Pools is the pools, with their parts filled in.
func (t *Table) Pools() []Pool { return t.plan.Pools }

// Choose says where a request goes.
func (t *Table) Choose(team, class, zone string, object uint64) Choice {
	service, _ := t.rules.Find(team, class, zone)
	c := Choice{Service: service, Pool: t.of[service]} // services without a line are the first pool's
	if m := t.moves[team]; m != nil && c.Pool != m.to {
		c.team = team
		if c.inNew = m.InNewPool(Position(team, object)); c.inNew {
			c.Pool = m.to
		}
	}
	return c
}

// RecordResult takes how a request that Choose placed has ended. It returns the team whose share has changed by that;
// empty: none.
func (t *Table) RecordResult(now time.Duration, c Choice, result Result) string {
	m := t.moves[c.team]
	switch {
	case m == nil || c.team == "":
		return ""
	case !c.inNew:
		m.RecordOldPool(result)
		return ""
	case m.RecordNewPool(now, result):
		return c.team
	}
	return ""
}

// Step takes the time, and gives the teams whose share has changed.
func (t *Table) Step(now time.Duration) (changed []string) {
	for _, m := range t.order {
		if m.Step(now) {
			changed = append(changed, m.team)
		}
	}
	return changed
}

// Next is when Step may change something at the earliest; 0: never by time alone.
func (t *Table) Next() (next time.Duration) {
	for _, m := range t.order {
		if at := m.Next(); at != 0 && (next == 0 || at < next) {
			next = at
		}
	}
	return next
}

// MigrationStatus tells how the move of a team stands.
func (t *Table) MigrationStatus(team string) (share float64, phase Phase) {
	if m := t.moves[team]; m != nil {
		return m.Share(), m.Phase()
	}
	return 0, Abandoned
}

// Contains says whether a box is in a pool.
func (t *Table) Contains(pool int, id string, zone, kind int) bool {
	fits := func(p *Pool) bool {
		return slices.ContainsFunc(p.Selectors, func(c Selector) bool { return c.Matches(id, zone, kind) })
	}
	p := &t.plan.Pools[pool]
	if len(p.Selectors) > 0 {
		return fits(p)
	}
	for i := range t.plan.Pools {
		if fits(&t.plan.Pools[i]) {
			return false
		}
	}
	return true
}
