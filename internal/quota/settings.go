package quota

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"sloequay/internal/concurrency"
	"sloequay/internal/config"
	"sloequay/internal/retry"
)

var (
	errGivenTwice  = errors.New("given twice")
	errMinAboveMax = errors.New("least is above most")
)

const (
	maxRate       = 1e12 // units per second
	maxBurst      = time.Hour
	maxNameLength = 256 // bytes
	maxInstances  = 10_000
)

// Contracts is the block `contracts`, as configured.
type Contracts struct {
	Root            *Spec
	Instances       int // number of instances that share the contracts
	TeamRetries     retry.Config
	EndpointRetries retry.Config
	Adaptive        *concurrency.Config // nil: no concurrency limit
}

// Section returns the directives of the block `contracts`, and the Contracts that reading it fills in.
func Section() (*config.Section, *Contracts) {
	contracts := &Contracts{Root: &Spec{Name: installationName}, Instances: 1}
	section := contracts.Root.section(oneRate)
	section.Int("instances", &contracts.Instances, 1, maxInstances,
		"number of proxies that share these contracts; each enforces an equal part of every budget")
	section.Block("retries", false, "limits on retries, relative to first attempts", contracts.retriesSection)
	section.Block("adaptive", false, "adaptive limit on all open requests, adjusted by how requests end",
		contracts.adaptiveSection)
	seen := map[string]bool{}
	section.Block("team", true, "contract of one team", func(words []string) (*config.Section, error) {
		if len(words) != 1 {
			return nil, fmt.Errorf("expected the team's name, got %d words", len(words))
		}
		name := words[0]
		if !validName(name) || seen[name] {
			return nil, fmt.Errorf("the name %.80q is already in use, or is not 1 to %d bytes long",
				name, maxNameLength)
		}
		seen[name] = true
		return contracts.tenantSection(name), nil
	})
	section.Block("others", false, "contract shared by all teams that are not named; without it they are rejected",
		func([]string) (*config.Section, error) { return contracts.tenantSection(""), nil })
	return section, contracts
}

// Ledger returns a new ledger of this instance's share of the contracts.
func (c *Contracts) Ledger() *Ledger {
	ledger := NewLedger(c.Root.Share(c.Instances))
	if c.Adaptive != nil {
		ledger.LimitConcurrency(concurrency.New(*c.Adaptive))
	}
	return ledger
}

func (c *Contracts) retriesSection([]string) (*config.Section, error) {
	c.TeamRetries.Window = time.Second
	section := &config.Section{}
	section.Number("team-share", &c.TeamRetries.Share, 0, 5,
		"retries of one team, relative to its first attempts; 0: no limit")
	section.Rate("team-floor", &c.TeamRetries.Floor, 0, 1e6,
		"retries that one team may always make, regardless of its first attempts")
	section.Number("box-share", &c.EndpointRetries.Share, 0, 5,
		"retries to one endpoint, relative to first attempts; 0: no limit")
	section.Rate("box-floor", &c.EndpointRetries.Floor, 0, 1e6,
		"retries that one endpoint may always get, regardless of first attempts")
	section.Duration("window", &c.TeamRetries.Window, 10*time.Millisecond, time.Minute,
		"time in which unused retries decay to about a third")
	section.Check(func() error {
		c.EndpointRetries.Window = c.TeamRetries.Window
		return nil
	})
	return section, nil
}

func (c *Contracts) adaptiveSection([]string) (*config.Section, error) {
	limit := &concurrency.Config{
		Min: 16, Max: 100_000, Start: 200, MaxOverloadShare: 0.04, Window: 100 * time.Millisecond,
	}
	c.Adaptive = limit
	section := &config.Section{}
	section.Number("least", &limit.Min, 1, 1e6, "lower bound of the limit: requests that may always be open")
	section.Number("most", &limit.Max, 1, 1e6, "upper bound of the limit")
	section.Number("start", &limit.Start, 1, 1e6, "initial limit")
	section.Number("late", &limit.MaxOverloadShare, 0.001, 0.9,
		"share of requests late or rejected by endpoints, above which the limit is cut")
	section.Duration("window", &limit.Window, 10*time.Millisecond, 10*time.Second,
		"interval at which the limit is adjusted")
	section.Check(func() error {
		if limit.Min > limit.Max {
			return errMinAboveMax
		}
		return nil
	})
	return section, nil
}

// tenantSection adds a tenant and returns the directives of its block. An empty name stands for all tenants not named.
func (c *Contracts) tenantSection(name string) *config.Section {
	tenant := &Spec{Name: name}
	c.Root.Children = append(c.Root.Children, tenant)
	section := tenant.nonRootSection()
	section.Words("class", &tenant.Classes, nil, "classes that the team may use; all if not given")
	tenant.childBlock(section, "service", "contract of one of its services",
		func(service *Spec, section *config.Section) {
			service.childBlock(section, "for", "contract of one class of the service", nil)
		})
	tenant.childBlock(section, "for", "contract of one class", nil)
	return section
}

// childBlock adds a block for the children of a node. extend adds directives to each child's block; nil: none.
func (s *Spec) childBlock(section *config.Section, directive, help string, extend func(*Spec, *config.Section)) {
	section.Block(directive, true, help, func(words []string) (*config.Section, error) {
		if len(words) != 1 || !validName(words[0]) {
			return nil, fmt.Errorf("expected one name of 1 to %d bytes", maxNameLength)
		}
		name := words[0]
		if s.child(name) != nil {
			return nil, fmt.Errorf("%s is named twice", name)
		}
		child := &Spec{Name: name}
		s.Children = append(s.Children, child)
		childSection := child.nonRootSection()
		if extend != nil {
			extend(child, childSection)
		}
		return childSection, nil
	})
}

func validName(name string) bool { return name != "" && len(name) <= maxNameLength }

// nonRootSection returns the directives of a node other than the installation.
func (s *Spec) nonRootSection() *config.Section {
	section := s.section(rateAndCeiling)
	section.Number("weight", &s.Weight, 0, 1e6, "share of the spare units, relative to its siblings; 1 if not given")
	return section
}

// section returns the directives that every node has.
func (s *Spec) section(syntax rateSyntax) *config.Section {
	section := &config.Section{}
	for k := Requests; k < rateKinds; k++ {
		section.Repeated(k.String(), func(words []string) error {
			if s.Rates[k].Set {
				return errGivenTwice
			}
			limit, err := syntax.parse(words)
			s.Rates[k] = limit
			return err
		}, k.String()+syntax.help)
	}
	section.Number(OpenRequests.String(), &s.MaxOpen[OpenRequests-rateKinds], 0, 1e9,
		"requests that may be open at the same time; 0: no limit")
	var openBytes int64
	section.Size(OpenBytes.String(), &openBytes, 0, 1<<50, "total size of the open requests; 0B: no limit")
	section.Duration("burst", &s.Burst, 0, maxBurst,
		"time whose amount of each rate may come at once; one second if not given")
	section.Check(func() error {
		s.MaxOpen[OpenBytes-rateKinds] = float64(openBytes)
		return nil
	})
	return section
}

// rateSyntax is the syntax of the directives for a node's rates.
type rateSyntax struct {
	maxRates int
	expected string
	help     string // follows the name of the kind
}

var (
	// oneRate reads `200/s`. The installation has nobody to borrow from, and so no higher ceiling.
	oneRate = rateSyntax{maxRates: 1, expected: "one rate", help: " per second"}
	// rateAndCeiling reads `200/s` or `200/s 600/s`.
	rateAndCeiling = rateSyntax{
		maxRates: 2, expected: "one or two rates",
		help: " per second: guaranteed, and the ceiling if more may be borrowed",
	}
)

// parse parses the rates of a directive.
func (f rateSyntax) parse(words []string) (Limit, error) {
	if len(words) == 0 || len(words) > f.maxRates {
		return Limit{}, fmt.Errorf("expected %s, got %d words", f.expected, len(words))
	}
	guaranteed, err := parseRate(words[0])
	if err != nil {
		return Limit{}, err
	}
	limit := Limit{Set: true, Guaranteed: guaranteed, Ceiling: guaranteed}
	if len(words) == 1 {
		return limit, nil
	}
	limit.Ceiling, err = parseRate(words[1])
	if err != nil {
		return Limit{}, err
	}
	if limit.Ceiling < limit.Guaranteed {
		return Limit{}, fmt.Errorf("the ceiling %s is below the guaranteed rate %s", words[1], words[0])
	}
	return limit, nil
}

// parseRate parses a rate such as `200/s`.
func parseRate(word string) (float64, error) {
	digits, suffixed := strings.CutSuffix(word, "/s")
	rate, err := strconv.ParseFloat(digits, 64)
	if !suffixed || err != nil || !(rate >= 0 && rate <= maxRate) { // false for NaN
		return 0, fmt.Errorf("expected a rate of 0/s to %g/s, got %.80q", float64(maxRate), word)
	}
	return rate, nil
}
