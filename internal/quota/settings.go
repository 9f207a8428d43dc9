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
	maxRate       = 1e12 // units a second
	maxBurst      = time.Hour
	maxNameLength = 256 // bytes
	maxInstances  = 10_000
)

// Contracts is the block `contracts` as written.
type Contracts struct {
	Root            *Spec
	Instances       int // that share the contracts
	TeamRetries     retry.Config
	EndpointRetries retry.Config
	Adaptive        *concurrency.Config // nil: no concurrency limit is learned
}

// Section returns the directives of the block `contracts`, and what they say once it was read.
func Section() (*config.Section, *Contracts) {
	contracts := &Contracts{Root: &Spec{Name: installationName}, Instances: 1}
	section := contracts.Root.section(oneRate)
	section.Int("instances", &contracts.Instances, 1, maxInstances,
		"proxies that these contracts are shared by; each has its part of every budget")
	section.Block("retries", false, "how many repeated attempts there may be to first ones", contracts.retriesSection)
	section.Block("adaptive", false, "a limit on all that is open, learned from how requests end",
		contracts.adaptiveSection)
	named := map[string]bool{}
	section.Block("team", true, "what one team has agreed to", func(words []string) (*config.Section, error) {
		if len(words) != 1 {
			return nil, fmt.Errorf("expected the team's name, got %d words", len(words))
		}
		name := words[0]
		if !validName(name) || named[name] {
			return nil, fmt.Errorf("the team %.80q is named twice, or is no name of 1 to %d letters",
				name, maxNameLength)
		}
		named[name] = true
		return contracts.tenantSection(name), nil
	})
	section.Block("others", false, "what all teams have that are not named, together; without it they are refused",
		func([]string) (*config.Section, error) { return contracts.tenantSection(""), nil })
	return section, contracts
}

// Ledger returns the ledger of this instance's share of the contracts.
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
	section.Number("team-share", &c.TeamRetries.Share, 0, 5, "of one team; 0: no limit")
	section.Rate("team-floor", &c.TeamRetries.Floor, 0, 1e6, "that one team has whatever its first attempts")
	section.Number("box-share", &c.EndpointRetries.Share, 0, 5, "to one endpoint; 0: no limit")
	section.Rate("box-floor", &c.EndpointRetries.Floor, 0, 1e6, "that one endpoint gets whatever its first attempts")
	section.Duration("window", &c.TeamRetries.Window, 10*time.Millisecond, time.Minute,
		"in which what lies unused melts to a third")
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
	section.Number("least", &limit.Min, 1, 1e6, "requests that may always be open")
	section.Number("most", &limit.Max, 1, 1e6, "and that may never be exceeded")
	section.Number("start", &limit.Start, 1, 1e6, "what it begins with")
	section.Number("late", &limit.MaxOverloadShare, 0.001, 0.9,
		"share of requests, late or rejected by endpoints, from which it is cut")
	section.Duration("window", &limit.Window, 10*time.Millisecond, 10*time.Second, "how often it is looked at")
	section.Check(func() error {
		if limit.Min > limit.Max {
			return errMinAboveMax
		}
		return nil
	})
	return section, nil
}

// tenantSection adds a tenant and returns the directives of its block; an empty name stands for all others.
func (c *Contracts) tenantSection(name string) *config.Section {
	tenant := &Spec{Name: name}
	c.Root.Children = append(c.Root.Children, tenant)
	section := tenant.memberSection()
	section.Words("class", &tenant.Classes, nil, "classes that it may use; all without it")
	tenant.childBlock(section, "service", "what one of its services has of it",
		func(service *Spec, section *config.Section) {
			service.childBlock(section, "for", "what one class of the service has of it", nil)
		})
	tenant.childBlock(section, "for", "what one class has of it", nil)
	return section
}

// childBlock adds a block for the children of a node. extend adds directives to each child's block; nil: none.
func (s *Spec) childBlock(section *config.Section, word, help string, extend func(*Spec, *config.Section)) {
	section.Block(word, true, help, func(words []string) (*config.Section, error) {
		if len(words) != 1 || !validName(words[0]) {
			return nil, fmt.Errorf("expected a name of 1 to %d letters", maxNameLength)
		}
		name := words[0]
		if s.child(name) != nil {
			return nil, fmt.Errorf("%s is named twice", name)
		}
		child := &Spec{Name: name}
		s.Children = append(s.Children, child)
		childSection := child.memberSection()
		if extend != nil {
			extend(child, childSection)
		}
		return childSection, nil
	})
}

func validName(name string) bool { return name != "" && len(name) <= maxNameLength }

// memberSection returns the directives of every node but the installation.
func (s *Spec) memberSection() *config.Section {
	section := s.section(rateAndCeiling)
	section.Number("weight", &s.Weight, 0, 1e6, "its part of what is spare, among its siblings; 1 without it")
	return section
}

// section returns the directives that every node has.
func (s *Spec) section(form rateForm) *config.Section {
	section := &config.Section{}
	for k := Requests; k < rateKinds; k++ {
		section.Each(k.String(), func(words []string) error {
			if s.Rates[k].Set {
				return errGivenTwice
			}
			limit, err := form.parse(words)
			s.Rates[k] = limit
			return err
		}, k.String()+form.help)
	}
	section.Number(OpenRequests.String(), &s.MaxOpen[OpenRequests-rateKinds], 0, 1e9,
		"requests open together; 0: no limit")
	var openBytes int64
	section.Size(OpenBytes.String(), &openBytes, 0, 1<<50, "what open requests may come to together; 0B: no limit")
	section.Duration("burst", &s.Burst, 0, maxBurst,
		"whose worth of each rate may come at once; a second's without it")
	section.Check(func() error {
		s.MaxOpen[OpenBytes-rateKinds] = float64(openBytes)
		return nil
	})
	return section
}

// rateForm is how the directives of a node's rates are written.
type rateForm struct {
	maxRates int
	expected string
	help     string // after the kind's word
}

var (
	// oneRate is `200/s`: the installation has nobody to borrow from.
	oneRate = rateForm{maxRates: 1, expected: "one rate", help: " a second"}
	// rateAndCeiling is `200/s` or `200/s 600/s`.
	rateAndCeiling = rateForm{
		maxRates: 2, expected: "one rate, or two",
		help: " a second: guaranteed, and the ceiling where more may be borrowed",
	}
)

// parse reads the rates of a directive.
func (f rateForm) parse(words []string) (Limit, error) {
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
		return Limit{}, fmt.Errorf("the ceiling %s is under what is guaranteed, %s", words[1], words[0])
	}
	return limit, nil
}

// parseRate reads a rate like `200/s`.
func parseRate(word string) (float64, error) {
	digits, suffixed := strings.CutSuffix(word, "/s")
	rate, err := strconv.ParseFloat(digits, 64)
	if !suffixed || err != nil || !(rate >= 0 && rate <= maxRate) { // NaN is neither
		return 0, fmt.Errorf("expected a rate of 0/s to %g/s, got %.80q", float64(maxRate), word)
	}
	return rate, nil
}
