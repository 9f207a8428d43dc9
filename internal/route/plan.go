package route

import (
	"errors"
	"fmt"
	"path"
	"slices"
)

// roundingError is by how much the sum of the pools' shares may exceed 1.
const roundingError = 1e-9

var (
	// ErrNoPool is returned for a plan without pools.
	ErrNoPool = errors.New("no pool")
	// ErrSteps is returned for a migration whose steps do not rise or do not end at 1.
	ErrSteps = errors.New("steps must rise from above 0 to 1")
)

// Plan is the configuration of services and pools.
type Plan struct {
	Pools      []Pool            // the first one serves the services without a pool of their own
	Services   map[string]string // name of the pool by service
	Rules      []Rule
	Migrations []MigrationPlan
}

// Pool is a set of endpoints with a policy of its own.
type Pool struct {
	Name      string
	Selectors []Selector // an endpoint is in the pool if any matches; empty: if no other pool selects it
	Share     float64    // share of connections and open requests; 0: an equal part of what is left
}

// selects reports whether any selector matches an endpoint.
func (p *Pool) selects(id string, zone, kind int) bool {
	return slices.ContainsFunc(p.Selectors, func(s Selector) bool { return s.Matches(id, zone, kind) })
}

// checkSelectors returns an error for a pattern that path.Match rejects.
func (p *Pool) checkSelectors() error {
	for _, selector := range p.Selectors {
		for _, pattern := range selector.IDs {
			if _, err := path.Match(pattern, ""); err != nil {
				return fmt.Errorf("the pool %s: box %q: %w", p.Name, pattern, err)
			}
		}
	}
	return nil
}

// Selector selects the endpoints of a pool. An empty field matches any endpoint.
type Selector struct {
	Zones, Kinds []int
	IDs          []string // patterns for path.Match
}

// Empty reports whether the selector has no conditions, and so matches every endpoint.
func (s *Selector) Empty() bool { return len(s.Zones) == 0 && len(s.Kinds) == 0 && len(s.IDs) == 0 }

// Matches reports whether the selector matches an endpoint.
func (s *Selector) Matches(id string, zone, kind int) bool {
	if len(s.Zones) > 0 && !slices.Contains(s.Zones, zone) {
		return false
	}
	if len(s.Kinds) > 0 && !slices.Contains(s.Kinds, kind) {
		return false
	}
	return len(s.IDs) == 0 || slices.ContainsFunc(s.IDs, func(pattern string) bool {
		matches, _ := path.Match(pattern, id)
		return matches
	})
}

// MigrationPlan is the configuration of a team's migration.
type MigrationPlan struct {
	Team   string
	To     string // name of the new pool
	Config MigrationConfig
}

// checkPools validates the pools and returns them with the missing shares filled in.
func (p *Plan) checkPools() ([]Pool, error) {
	if len(p.Pools) == 0 {
		return nil, ErrNoPool
	}
	sum, unset := 0.0, 0
	for i := range p.Pools {
		pool := &p.Pools[i]
		if p.poolIndex(pool.Name) != i {
			return nil, fmt.Errorf("the pool %s is named twice", pool.Name)
		}
		if pool.Share == 0 {
			unset++
		}
		sum += pool.Share
		if err := pool.checkSelectors(); err != nil {
			return nil, err
		}
	}
	if sum > 1+roundingError || unset > 0 && sum >= 1-roundingError {
		return nil, fmt.Errorf("the parts of the pools come to %g, and nothing is left", sum)
	}
	pools := slices.Clone(p.Pools)
	for i := range pools {
		if pools[i].Share == 0 {
			pools[i].Share = (1 - sum) / float64(unset)
		}
	}
	return pools, nil
}

// poolIndex returns the index of the pool with a name; below 0: there is none.
func (p *Plan) poolIndex(name string) int {
	return slices.IndexFunc(p.Pools, func(pool Pool) bool { return pool.Name == name })
}

// servicePoolIndex returns the index of a service's pool, or an error if the plan has no such pool.
func (p *Plan) servicePoolIndex(service, pool string) (int, error) {
	index := p.poolIndex(pool)
	if index < 0 {
		return 0, fmt.Errorf("the service %s: there is no pool %s", service, pool)
	}
	return index, nil
}

// checkMigrations validates the migrations and returns the index of each one's new pool.
func (p *Plan) checkMigrations() ([]int, error) {
	var pools []int
	teams := map[string]bool{}
	for _, migration := range p.Migrations {
		index := p.poolIndex(migration.To)
		if index < 0 || teams[migration.Team] {
			return nil, fmt.Errorf("the move of %s: there is no pool %s, or the team is moved twice",
				migration.Team, migration.To)
		}
		if !validSteps(migration.Config.Steps) {
			return nil, fmt.Errorf("the move of %s: %w", migration.Team, ErrSteps)
		}
		teams[migration.Team] = true
		pools = append(pools, index)
	}
	return pools, nil
}

// validSteps reports whether the steps rise from above 0 to 1, or are empty, which stands for the default steps.
func validSteps(steps []float64) bool {
	previous := 0.0
	for _, step := range steps {
		if !(step > previous && step <= 1) { // false for NaN
			return false
		}
		previous = step
	}
	return len(steps) == 0 || previous == 1
}
