package route

import (
	"errors"
	"fmt"
	"path"
	"slices"
)

// roundingError is what the shares of the pools may come to beyond 1.
const roundingError = 1e-9

var (
	// ErrNoPool is returned for a plan without a pool.
	ErrNoPool = errors.New("no pool")
	// ErrSteps is returned for a migration whose steps do not rise, or do not end at 1.
	ErrSteps = errors.New("steps must rise from above 0 to 1")
)

// Plan is services and pools as written.
type Plan struct {
	Pools      []Pool            // the first is for services that name none
	Services   map[string]string // the pool of each
	Rules      []Rule
	Migrations []MigrationPlan
}

// Pool is one set of endpoints with a decision module of its own.
type Pool struct {
	Name      string
	Selectors []Selector // an endpoint is the pool's if any matches; empty: if no other pool selects it
	Share     float64    // of what is divided among pools: connections, open requests; 0: an even part of the rest
}

// selects reports whether some selector matches an endpoint.
func (p *Pool) selects(id string, zone, kind int) bool {
	return slices.ContainsFunc(p.Selectors, func(s Selector) bool { return s.Matches(id, zone, kind) })
}

// checkSelectors returns an error for a pattern that path.Match doesn't take.
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

// Selector says which endpoints are a pool's. What is empty matches any.
type Selector struct {
	Zones, Kinds []int
	IDs          []string // patterns as path.Match takes them
}

// Empty reports whether it matches every endpoint.
func (s *Selector) Empty() bool { return len(s.Zones) == 0 && len(s.Kinds) == 0 && len(s.IDs) == 0 }

// Matches reports whether it selects an endpoint.
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

// MigrationPlan is a migration as written.
type MigrationPlan struct {
	Team   string
	To     string // the pool's name
	Config MigrationConfig
}

// checkPools returns the pools with the shares that were left open filled in.
func (p *Plan) checkPools() ([]Pool, error) {
	if len(p.Pools) == 0 {
		return nil, ErrNoPool
	}
	sum, open := 0.0, 0
	for i := range p.Pools {
		pool := &p.Pools[i]
		if p.pool(pool.Name) != i {
			return nil, fmt.Errorf("the pool %s is named twice", pool.Name)
		}
		if pool.Share == 0 {
			open++
		}
		sum += pool.Share
		if err := pool.checkSelectors(); err != nil {
			return nil, err
		}
	}
	if sum > 1+roundingError || open > 0 && sum >= 1-roundingError {
		return nil, fmt.Errorf("the parts of the pools come to %g, and nothing is left", sum)
	}
	pools := slices.Clone(p.Pools)
	for i := range pools {
		if pools[i].Share == 0 {
			pools[i].Share = (1 - sum) / float64(open)
		}
	}
	return pools, nil
}

// pool returns the index of the pool of a name; below 0: there is none.
func (p *Plan) pool(name string) int {
	return slices.IndexFunc(p.Pools, func(pool Pool) bool { return pool.Name == name })
}

// poolOfService returns the index of a service's pool.
func (p *Plan) poolOfService(service, pool string) (int, error) {
	index := p.pool(pool)
	if index < 0 {
		return 0, fmt.Errorf("the service %s: there is no pool %s", service, pool)
	}
	return index, nil
}

// checkMigrations returns the index of each migration's pool.
func (p *Plan) checkMigrations() ([]int, error) {
	var pools []int
	teams := map[string]bool{}
	for _, migration := range p.Migrations {
		index := p.pool(migration.To)
		if index < 0 || teams[migration.Team] {
			return nil, fmt.Errorf("the move of %s: there is no pool %s, or the team is moved twice",
				migration.Team, migration.To)
		}
		if !rising(migration.Config.Steps) {
			return nil, fmt.Errorf("the move of %s: %w", migration.Team, ErrSteps)
		}
		teams[migration.Team] = true
		pools = append(pools, index)
	}
	return pools, nil
}

// rising reports whether steps rise from above 0 to 1; none stand for the default ones.
func rising(steps []float64) bool {
	previous := 0.0
	for _, step := range steps {
		if !(step > previous && step <= 1) { // NaN is neither
			return false
		}
		previous = step
	}
	return len(steps) == 0 || previous == 1
}
