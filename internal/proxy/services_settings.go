package proxy

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"sloequay/internal/config"
	"sloequay/internal/route"
)

// serviceSettings holds the settings in the block `services`. Zones and kinds are names from the platform
// configuration; newTable resolves them to indices.
type serviceSettings struct {
	pools []*poolSettings
	plan  route.Plan
}

// poolSettings holds the settings in a block `pool`.
type poolSettings struct {
	route.Pool
	selectors []selectorWords
}

// selectorWords selects endpoints by the names of their zones and kinds and by their IDs. An endpoint must match every
// list that is not empty.
type selectorWords struct {
	zones []string
	kinds []string
	ids   []string
}

// section returns the directives of the block.
func (s *serviceSettings) section() *config.Section {
	s.plan.Services = map[string]string{}
	section := &config.Section{}
	section.Block("pool", true,
		"endpoints with their own policy; the first pool serves requests of no service", s.poolSection)
	section.Repeated("service", s.addService, "a service and its pool")
	section.Repeated("rule", s.addRule, "assigns requests to a service; the first rule that matches applies")
	section.Block("move", true, "a team that migrates to another pool in steps", s.migrationSection)
	return section
}

// poolSection returns the directives of a block `pool`. Its only word is the name of the pool.
func (s *serviceSettings) poolSection(words []string) (*config.Section, error) {
	if len(words) != 1 {
		return nil, fmt.Errorf("expected the pool's name, got %d words", len(words))
	}
	pool := &poolSettings{Pool: route.Pool{Name: words[0]}}
	s.pools = append(s.pools, pool)
	section := &config.Section{}
	section.Number("part", &pool.Share, 0, 1,
		"share of connections and of open requests; default: an equal part of what is left")
	section.Repeated("boxes", func(words []string) error {
		selector, err := parseSelector(words)
		pool.selectors = append(pool.selectors, selector)
		return err
	}, "selects endpoints: site=, class=, id= with values separated by commas; "+
		"default: the endpoints that no other pool selects")
	return section, nil
}

// parseSelector parses the words of a directive `boxes`.
func parseSelector(words []string) (selectorWords, error) {
	var selector selectorWords
	if len(words) == 0 {
		return selector, errors.New("expected site=, class= or id=")
	}
	lists := map[string]*[]string{"site": &selector.zones, "class": &selector.kinds, "id": &selector.ids}
	for _, word := range words {
		name, value, _ := strings.Cut(word, "=")
		list := lists[name]
		if list == nil || value == "" {
			return selector, fmt.Errorf("expected site=, class= or id=, got %.80q", word)
		}
		*list = append(*list, strings.Split(value, ",")...)
	}
	return selector, nil
}

// addService parses the words of a directive `service`.
func (s *serviceSettings) addService(words []string) error {
	if len(words) != 2 {
		return errors.New("expected the service's name and its pool's name")
	}
	service, pool := words[0], words[1]
	if s.plan.Services[service] != "" {
		return fmt.Errorf("the service %s is defined twice", service)
	}
	s.plan.Services[service] = pool
	return nil
}

// addRule parses the words of a directive `rule`.
func (s *serviceSettings) addRule(words []string) error {
	if len(words) < 1 {
		return errors.New("expected the service's name")
	}
	rule := route.Rule{Service: words[0]}
	conditions := map[string]*string{"team": &rule.Team, "class": &rule.Class, "zone": &rule.Zone}
	for _, word := range words[1:] {
		name, value, _ := strings.Cut(word, "=")
		condition := conditions[name]
		if condition == nil || value == "" || *condition != "" {
			return fmt.Errorf("expected team=, class= or zone=, each once, got %.80q", word)
		}
		*condition = value
	}
	s.plan.Rules = append(s.plan.Rules, rule)
	return nil
}

// migrationSection returns the directives of a block `move`. Its words are a team and the pool that it migrates to.
func (s *serviceSettings) migrationSection(words []string) (*config.Section, error) {
	if len(words) != 2 {
		return nil, errors.New("expected the team and the pool that it migrates to")
	}
	index := len(s.plan.Migrations)
	s.plan.Migrations = append(s.plan.Migrations, route.MigrationPlan{Team: words[0], To: words[1]})
	migration := route.MigrationConfig{Hold: time.Minute, MinResults: 50, Tolerance: 0.02, MaxAttempts: 3}
	var steps []string
	section := &config.Section{}
	section.Words("steps", &steps, nil, "shares of the new pool; default: 0.01 0.05 0.25 0.5 1")
	section.Duration("hold", &migration.Hold, 10*time.Millisecond, 24*time.Hour,
		"time for which a step must succeed before the next one")
	section.Int("least", &migration.MinResults, 1, 1_000_000,
		"minimum number of results of the new pool before its failure ratio is judged")
	section.Number("worse", &migration.Tolerance, 0.0001, 0.5,
		"tolerated excess of the new pool's failure ratio over the old pool's")
	section.Int("tries", &migration.MaxAttempts, 1, 100, "steps back after which the migration is abandoned")
	section.Check(func() error {
		shares, err := parseSteps(steps)
		migration.Steps = shares
		s.plan.Migrations[index].Config = migration
		return err
	})
	return section, nil
}

// parseSteps parses the shares of a migration's steps.
func parseSteps(words []string) ([]float64, error) {
	var shares []float64
	for _, word := range words {
		share, err := strconv.ParseFloat(word, 64)
		if err != nil {
			return nil, fmt.Errorf("steps: expected shares from 0 to 1, got %.80q", word)
		}
		shares = append(shares, share)
	}
	return shares, nil
}

// newTable returns the table of routes. In it zones and kinds are indices into the names of the platform configuration.
func (s *serviceSettings) newTable(now time.Duration, zoneNames, kindNames []string) (*route.Table, error) {
	plan := s.plan
	for _, settings := range s.pools {
		pool := settings.Pool
		for _, words := range settings.selectors {
			selector, err := words.resolve(settings.Name, zoneNames, kindNames)
			if err != nil {
				return nil, err
			}
			pool.Selectors = append(pool.Selectors, selector)
		}
		plan.Pools = append(plan.Pools, pool)
	}
	table, err := route.NewTable(now, plan)
	if err != nil {
		return nil, fmt.Errorf("services: %w", err)
	}
	return table, nil
}

// resolve returns the selector with indices in place of the names of zones and kinds. pool is the name of the pool, for
// the error.
func (s selectorWords) resolve(pool string, zoneNames, kindNames []string) (route.Selector, error) {
	zones, unknownZone := indicesOf(s.zones, zoneNames)
	if unknownZone != "" {
		return route.Selector{}, unknownNameError(pool, "site", unknownZone)
	}
	kinds, unknownKind := indicesOf(s.kinds, kindNames)
	if unknownKind != "" {
		return route.Selector{}, unknownNameError(pool, "class", unknownKind)
	}
	return route.Selector{IDs: s.ids, Zones: zones, Kinds: kinds}, nil
}

// indicesOf returns the indices of words in names. If a word is not in names, it returns the first such word instead.
func indicesOf(words, names []string) (indices []int, unknown string) {
	for _, word := range words {
		index := slices.Index(names, word)
		if index < 0 {
			return nil, word
		}
		indices = append(indices, index)
	}
	return indices, ""
}

func unknownNameError(pool, directive, word string) error {
	return fmt.Errorf("services: the pool %s: the %s %s is not in the platform configuration", pool, directive, word)
}
