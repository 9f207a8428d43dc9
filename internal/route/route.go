// Package route decides whose a request is and which pool of endpoints serves it: ordered rules give its service by
// team, class and DNS zone; a service has a pool, from which a team can be migrated to another step by step.
//
// Invariants: a request goes to exactly one pool, the same for the same team, class, zone and object while no
// migration's share changes; an endpoint is in the pools that select it, or in those without a selector if none does.
//
// Bounds: a choice costs four look-ups by hash and one for each label of the zone, whatever the number of rules.
// Nothing grows after NewTable, and nothing here does I/O; the caller passes the time.
package route

import (
	"slices"
	"time"
)

// Table decides, for each request, whose it is and which pool serves it; and for each endpoint, which pools it is in.
// It is not safe for concurrent use.
type Table struct {
	pools         []Pool // with their shares filled in
	serviceToPool map[string]int
	rules         *Rules
	migrations    map[string]*teamMigration // by team
	ordered       []*teamMigration          // as written
}

// teamMigration is the migration of one team to a pool.
type teamMigration struct {
	*Migration
	team string
	to   int
}

// Choice is where a request goes.
type Choice struct {
	Service string
	Pool    int
	team    string // that is migrating; empty: none
	inNew   bool
}

// NewTable checks a plan and returns its table. Migrations begin.
func NewTable(now time.Duration, plan Plan) (*Table, error) {
	pools, err := plan.checkPools()
	if err != nil {
		return nil, err
	}
	t := &Table{pools: pools, serviceToPool: map[string]int{}, migrations: map[string]*teamMigration{}}
	for service, pool := range plan.Services {
		t.serviceToPool[service], err = plan.poolOfService(service, pool)
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
		begun := &teamMigration{NewMigration(now, migration.Config), migration.Team, destinations[i]}
		t.migrations[migration.Team] = begun
		t.ordered = append(t.ordered, begun)
	}
	return t, nil
}

// Pools returns the pools, with their shares filled in.
func (t *Table) Pools() []Pool { return t.pools }

// Choose returns where a request goes. zone is the name that a DNS query asked for, empty for other frontends.
func (t *Table) Choose(team, class, zone string, object uint64) Choice {
	match, _ := t.rules.Find(team, class, zone)
	choice := Choice{Service: match.Service}
	choice.Pool = t.serviceToPool[match.Service] // the first pool for services that the plan doesn't name
	migration := t.migrations[team]
	if migration == nil || choice.Pool == migration.to {
		return choice
	}
	choice.team = team
	choice.inNew = migration.InNewPool(Position(team, object))
	if choice.inNew {
		choice.Pool = migration.to
	}
	return choice
}

// RecordResult takes how a request that Choose placed has ended. It returns the team whose share has changed by that;
// empty: none.
func (t *Table) RecordResult(now time.Duration, choice Choice, result Result) (changed string) {
	if choice.team == "" {
		return ""
	}
	migration := t.migrations[choice.team]
	switch {
	case migration == nil: // the choice is another table's
		return ""
	case !choice.inNew:
		migration.RecordOldPool(result)
		return ""
	case migration.RecordNewPool(now, result):
		return choice.team
	}
	return ""
}

// Step takes the time, and returns the teams whose share has changed.
func (t *Table) Step(now time.Duration) (changed []string) {
	for _, migration := range t.ordered {
		if migration.Step(now) {
			changed = append(changed, migration.team)
		}
	}
	return changed
}

// Next returns when Step may change something at the earliest; 0: never by time alone.
func (t *Table) Next() (next time.Duration) {
	for _, migration := range t.ordered {
		if at := migration.Next(); at != 0 && (next == 0 || at < next) {
			next = at
		}
	}
	return next
}

// MigrationStatus returns how the migration of a team stands.
func (t *Table) MigrationStatus(team string) (share float64, phase Phase) {
	if migration := t.migrations[team]; migration != nil {
		return migration.Share(), migration.Phase()
	}
	return 0, Abandoned
}

// Contains reports whether an endpoint is in a pool.
func (t *Table) Contains(pool int, id string, zone, kind int) bool {
	if own := &t.pools[pool]; len(own.Selectors) > 0 {
		return own.selects(id, zone, kind)
	}
	return !slices.ContainsFunc(t.pools, func(p Pool) bool { return p.selects(id, zone, kind) })
}
