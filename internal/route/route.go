// Package route decides which service a request belongs to and which pool of endpoints serves it. Ordered rules select
// the service by team, class and DNS zone. Each service has a pool, and a team can be migrated step by step to another
// pool.
//
// Invariants: a request goes to exactly one pool, which is the same for the same team, class, zone and object while no
// migration changes its share. An endpoint is in the pools that select it or, if there are none, in those without a
// selector.
//
// Bounds: Choose costs four hash look-ups, plus one for each label of the zone, whatever the number of rules. Nothing
// grows after NewTable, and nothing here does I/O; the caller passes the time.
package route

import (
	"slices"
	"time"
)

// Table decides for each request to which service it belongs and which pool serves it, and for each endpoint in which
// pools it is. It is not safe for concurrent use.
type Table struct {
	pools         []Pool // with their shares filled in
	serviceToPool map[string]int
	rules         *Rules
	migrations    map[string]*teamMigration // by team
	ordered       []*teamMigration          // in the order of the plan
}

// teamMigration is the migration of one team to a pool.
type teamMigration struct {
	*Migration
	team string
	pool int // index of the new pool
}

// Choice is the destination of a request.
type Choice struct {
	Service   string
	Pool      int    // index in Table.Pools
	team      string // team that is migrating; empty: none
	inNewPool bool
}

// NewTable validates a plan and returns its table. The migrations start now.
func NewTable(now time.Duration, plan Plan) (*Table, error) {
	pools, err := plan.checkPools()
	if err != nil {
		return nil, err
	}
	t := &Table{pools: pools, serviceToPool: map[string]int{}, migrations: map[string]*teamMigration{}}
	for service, pool := range plan.Services {
		t.serviceToPool[service], err = plan.servicePoolIndex(service, pool)
		if err != nil {
			return nil, err
		}
	}
	t.rules, err = NewRules(plan.Rules)
	if err != nil {
		return nil, err
	}
	destinations, err := plan.checkMigrations()
	if err != nil {
		return nil, err
	}
	for i, migration := range plan.Migrations {
		started := &teamMigration{NewMigration(now, migration.Config), migration.Team, destinations[i]}
		t.migrations[migration.Team] = started
		t.ordered = append(t.ordered, started)
	}
	return t, nil
}

// Pools returns the pools in the order of the plan, with their shares filled in.
func (t *Table) Pools() []Pool { return t.pools }

// Choose returns the destination of a request. zone is the name in a DNS query; empty for other frontends.
func (t *Table) Choose(team, class, zone string, object uint64) Choice {
	match, _ := t.rules.Find(team, class, zone)
	choice := Choice{Service: match.Service}
	choice.Pool = t.serviceToPool[match.Service] // 0, the first pool, for services that the plan does not name
	migration := t.migrations[team]
	if migration == nil || choice.Pool == migration.pool {
		return choice
	}
	choice.team = team
	choice.inNewPool = migration.InNewPool(Position(team, object))
	if choice.inNewPool {
		choice.Pool = migration.pool
	}
	return choice
}

// RecordResult records how a request that Choose has routed ended. It returns the team whose share this has changed;
// empty: none.
func (t *Table) RecordResult(now time.Duration, choice Choice, result Result) (changed string) {
	if choice.team == "" {
		return ""
	}
	migration := t.migrations[choice.team]
	switch {
	case migration == nil: // the choice was made by another table
		return ""
	case !choice.inNewPool:
		migration.RecordOldPool(result)
		return ""
	case migration.RecordNewPool(now, result):
		return choice.team
	}
	return ""
}

// Step advances the migrations to the given time, and returns the teams whose share has changed.
func (t *Table) Step(now time.Duration) (changed []string) {
	for _, migration := range t.ordered {
		if migration.Step(now) {
			changed = append(changed, migration.team)
		}
	}
	return changed
}

// Next returns the earliest time at which Step may change something; 0: only results can.
func (t *Table) Next() (next time.Duration) {
	for _, migration := range t.ordered {
		if at := migration.Next(); at != 0 && (next == 0 || at < next) {
			next = at
		}
	}
	return next
}

// MigrationStatus returns the new pool's share and the phase of a team's migration; 0 and Abandoned if there is none.
func (t *Table) MigrationStatus(team string) (share float64, phase Phase) {
	if migration := t.migrations[team]; migration != nil {
		return migration.Share(), migration.Phase()
	}
	return 0, Abandoned
}

// Contains reports whether an endpoint is in a pool.
func (t *Table) Contains(pool int, id string, zone, kind int) bool {
	if candidate := &t.pools[pool]; len(candidate.Selectors) > 0 {
		return candidate.selects(id, zone, kind)
	}
	return !slices.ContainsFunc(t.pools, func(p Pool) bool { return p.selects(id, zone, kind) })
}
