package quota

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"sloequay/internal/concurrency"
	"sloequay/internal/config"
	"sloequay/internal/retry"
)

// Contracts is the block `contracts` as written.
type Contracts struct {
	Root            *Spec
	Instances       int // doormen that share the contracts
	TeamRetries     retry.Config
	EndpointRetries retry.Config
	Adaptive        *concurrency.Config // nil: what is open in all is not limited by what is learned
}

// Section gives the directives of the block `contracts`, and what they say once it was read.
func Section() (*config.Section, *Contracts) {
	c := &Contracts{Root: &Spec{Name: "installation"}, Instances: 1}
	s := c.Root.section(false)
	s.Int("instances", &c.Instances, 1, 10_000, "doormen that these contracts are shared by; each has its part of every budget")
	s.Block("retries", false, "how many repeated attempts there may be to first ones", func([]string) (*config.Section, error) {
		p := &config.Section{}
		c.TeamRetries.Window = time.Second
		p.Number("team-share", &c.TeamRetries.Share, 0, 5, "of one team; 0: no limit")
		p.Rate("team-floor", &c.TeamRetries.Floor, 0, 1e6, "that one team has whatever its first tries")
		p.Number("box-share", &c.EndpointRetries.Share, 0, 5, "to one box; 0: no limit")
		p.Rate("box-floor", &c.EndpointRetries.Floor, 0, 1e6, "that one box gets whatever its first tries")
		p.Duration("window", &c.TeamRetries.Window, 10*time.Millisecond, time.Minute, "in which what lies unused melts to a third")
		p.Check(func() error {
			c.EndpointRetries.Window = c.TeamRetries.Window
			return nil
		})
		return p, nil
	})
	s.Block("adaptive", false, "a limit on all that is open, learned from how requests end", func([]string) (*config.Section, error) {
		a := &concurrency.Config{Min: 16, Max: 100_000, Start: 200, MaxOverloadShare: 0.04, Window: 100 * time.Millisecond}
		c.Adaptive = a
		p := &config.Section{}
		p.Number("least", &a.Min, 1, 1e6, "requests that may always be open")
		p.Number("most", &a.Max, 1, 1e6, "and that may never be exceeded")
		p.Number("start", &a.Start, 1, 1e6, "what it begins with")
		p.Number("late", &a.MaxOverloadShare, 0.001, 0.9, "share of requests, late or turned away by boxes, from which it is cut")
		p.Duration("window", &a.Window, 10*time.Millisecond, 10*time.Second, "how often it is looked at")
		p.Check(func() error {
			if a.Min > a.Max {
				return errors.New("least is above most")
			}
			return nil
		})
		return p, nil
	})
	named := map[string]bool{}
	tenant := func(name string) *config.Section {
		t := &Spec{Name: name}
		c.Root.Children = append(c.Root.Children, t)
		section := t.section(true)
		section.Words("class", &t.Classes, nil, "classes that it may use; all without it")
		t.below(section, "service", func(v *Spec, at *config.Section) { v.below(at, "for", nil, "what one class of the service has of it") },
			"what one of its services has of it")
		t.below(section, "for", nil, "what one class has of it")
		return section
	}
	s.Block("team", true, "what one team has agreed to", func(words []string) (*config.Section, error) {
		if len(words) != 1 {
			return nil, fmt.Errorf("expected the team's name, got %d words", len(words))
		}
		if words[0] == "" || len(words[0]) > nameMost || named[words[0]] {
			return nil, fmt.Errorf("the team %.80q is named twice, or is no name of 1 to %d letters", words[0], nameMost)
		}
		named[words[0]] = true
		return tenant(words[0]), nil
	})
	s.Block("others", false, "what all teams have that are not named, together; without it they are refused",
		func([]string) (*config.Section, error) { return tenant(""), nil })
	return s, c
}

const nameMost = 256

// below adds a block for the children of a node.
func (s *Spec) below(section *config.Section, word string, more func(*Spec, *config.Section), help string) {
	section.Block(word, true, help, func(words []string) (*config.Section, error) {
		if len(words) != 1 || words[0] == "" || len(words[0]) > nameMost {
			return nil, fmt.Errorf("expected a name of 1 to %d letters", nameMost)
		}
		if slices.ContainsFunc(s.Children, func(o *Spec) bool { return o.Name == words[0] }) {
			return nil, fmt.Errorf("%s is named twice", words[0])
		}
		child := &Spec{Name: words[0]}
		s.Children = append(s.Children, child)
		at := child.section(true)
		if more != nil {
			more(child, at)
		}
		return at, nil
	})
}

// section gives the directives that every node has.
func (s *Spec) section(below bool) *config.Section {
	section := &config.Section{}
	for k := Requests; k < rateKinds; k++ {
		help := k.String() + " a second"
		if below {
			help += ": guaranteed, and the ceiling where more may be borrowed"
		}
		section.Each(k.String(), func(words []string) error {
			if s.Rates[k].Set {
				return errors.New("given twice")
			}
			l, err := parseLimit(words, below)
			s.Rates[k] = l
			return err
		}, help)
	}
	section.Number(OpenRequests.String(), &s.MaxOpen[OpenRequests-rateKinds], 0, 1e9, "requests open together; 0: no limit")
	var size int64
	section.Size(OpenBytes.String(), &size, 0, 1<<50, "what open requests may come to together; 0B: no limit")
	section.Duration("burst", &s.Burst, 0, burstMost, "whose worth of each rate may come at once; a second's without it")
	if below {
		section.Number("weight", &s.Weight, 0, 1e6, "its part of what is spare, among its siblings; 1 without it")
	}
	section.Check(func() error {
		s.MaxOpen[OpenBytes-rateKinds] = float64(size)
		return nil
	})
	return section
}

// parseLimit reads `200/s` or `200/s 600/s`.
func parseLimit(words []string, ceiling bool) (Limit, error) {
	if len(words) == 0 || len(words) > 2 || len(words) == 2 && !ceiling {
		return Limit{}, fmt.Errorf("expected one rate%s, got %d words", map[bool]string{true: ", or two", false: ""}[ceiling], len(words))
	}
	var rates []float64
	for _, w := range words {
		digits, ok := strings.CutSuffix(w, "/s")
		v, err := strconv.ParseFloat(digits, 64)
		if !ok || err != nil || !(v >= 0 && v <= rateMost) {
			return Limit{}, fmt.Errorf("expected a rate of 0/s to %g/s, got %.80q", float64(rateMost), w)
		}
		rates = append(rates, v)
	}
	l := Limit{Set: true, Guaranteed: rates[0], Ceiling: rates[len(rates)-1]}
	if l.Ceiling < l.Guaranteed {
		return Limit{}, fmt.Errorf("the ceiling %s is under what is guaranteed, %s", words[1], words[0])
	}
	return l, nil
}

// Ledger makes what is in force of the contracts: this doorman's share.
func (c *Contracts) Ledger() *Ledger {
	b := NewLedger(c.Root.Share(c.Instances))
	if c.Adaptive != nil {
		b.LimitConcurrency(concurrency.New(*c.Adaptive))
	}
	return b
}
