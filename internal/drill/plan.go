// Package drill plays fault drills: it starts many processes of the built program, each with an address and a folder of
// its own, beside emulators of endpoints, list service and clients; it puts faults between them by a plan, and checks
// what all of them recorded. Everything runs on loopback, bounded in count and time, and all that is started is ended.
package drill

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"sloequay/internal/config"
)

// The list services that a plan can name.
const (
	listWatchService = "bulletin"
	catalogueService = "catalogue"
)

// Plan is a drill: a cluster, a time line of faults, and what must hold. It is written in the line-based form of our
// settings, in which proxies are `doormans`, zones `plazas`, parents `trunks` and endpoints `boxes`.
type Plan struct {
	File string
	Text string // of a drawn plan, so that it can be saved

	Proxies         int // unless the command says otherwise
	Zones           int // of caches; proxies are spread over them evenly
	Caches          int // of each zone
	Parents         int
	Weight          float64 // of each endpoint: answers at full pace together
	Duration        time.Duration
	RequestRate     float64 // requests a second to each proxy
	Objects         int
	SizeKB          float64
	SlowReaderShare float64 // of clients' connections, that are read slowly
	CancelShare     float64 // of requests that their clients cancel
	ChargeShare     float64 // of requests that are keyed writes
	ClientLimit     time.Duration
	Deadline        time.Duration // of all classes; 0: as emulator.Settings has them
	// DialAfterTerm is how long after SIGTERM clients go on dialing a proxy; they use open connections until these are
	// closed. 0: they leave at SIGTERM.
	DialAfterTerm time.Duration
	Sockets       int // descriptors of each proxy
	ListService   string
	ListRate      float64       // calls a second that the list service answers; 0: any number
	StartSpread   time.Duration // over which proxies are started
	Peers         bool          // proxies know of each other
	FreshStart    bool          // endpoints have just started when the drill begins
	Settings      []string      // further lines of each proxy's settings
	Environment   []string      // of each process, beside this one's; not in a plan's text
	ColdCapacity  float64       // share of its capacity that an endpoint has when it has just started
	WarmUp        time.Duration // until it has all of it
	// OverloadFactor is the multiple of an endpoint's present capacity, as the mean over OverloadWindow, at which it
	// goes down for OverloadDowntime; 0: never.
	OverloadFactor   float64
	OverloadWindow   time.Duration
	OverloadDowntime time.Duration

	Steps      []Step
	Invariants []Invariant
}

// NewPlan has the values that hold without a line.
func NewPlan() *Plan {
	return &Plan{
		Proxies:          8,
		Zones:            2,
		Caches:           3,
		Parents:          2,
		Weight:           8,
		Duration:         15 * time.Second,
		RequestRate:      20,
		Objects:          300,
		SizeKB:           40,
		ClientLimit:      2 * time.Second,
		Sockets:          1024,
		ListService:      listWatchService,
		ColdCapacity:     0.2,
		WarmUp:           6 * time.Second,
		OverloadFactor:   2,
		OverloadWindow:   time.Second,
		OverloadDowntime: 4 * time.Second,
	}
}

// Load reads a plan. An error names file, line and key.
func Load(path string) (*Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse reads a plan's text.
func Parse(name string, text []byte) (*Plan, error) {
	plan := NewPlan()
	plan.File = name
	if err := plan.section().Parse(name, text); err != nil {
		return nil, err
	}
	return plan, nil
}

// section binds the directives.
func (p *Plan) section() *config.Section {
	section := &config.Section{}
	p.bindCluster(section)
	p.bindEndpoints(section)
	section.Repeated("doorman", func(words []string) error {
		p.Settings = append(p.Settings, strings.Join(words, " "))
		return nil
	}, "a line of each proxy's settings; @dir, @ip, @name and @plaza stand for its own, @{ and @} for braces")
	section.Repeated("at", func(words []string) error {
		step, err := parseStep(words)
		p.Steps = append(p.Steps, step)
		return err
	}, "TIME STEP ... [for TIME]")
	section.Repeated("hold", func(words []string) error {
		invariant, err := parseInvariant(words)
		p.Invariants = append(p.Invariants, invariant)
		return err
	}, "CHECK ... [from TIME] [to TIME]")
	section.Check(p.validate)
	return section
}

// bindCluster binds the directives for the cluster's size, its load and the list service.
func (p *Plan) bindCluster(section *config.Section) {
	section.Int("doormans", &p.Proxies, 1, 1000, "proxies, as processes of the program")
	section.Int("plazas", &p.Zones, 1, 16, "zones of caches")
	section.Int("caches", &p.Caches, 1, 64, "of each zone")
	section.Int("trunks", &p.Parents, 0, 16, "parents, at the hub")
	section.Duration("lasts", &p.Duration, time.Second, time.Hour, "the drill")
	section.Rate("rate", &p.RequestRate, 0.1, 1000, "requests to each proxy")
	section.Int("objects", &p.Objects, 1, 1_000_000, "that are asked for")
	section.Number("size", &p.SizeKB, 0.1, 2000, "KB of each")
	section.Number("charges", &p.ChargeShare, 0, 1, "share of requests that are keyed writes")
	section.Number("leaves", &p.CancelShare, 0, 1, "share of requests that their clients cancel within 0.12 s")
	section.Duration("limit", &p.ClientLimit, 50*time.Millisecond, time.Minute, "that a client waits")
	section.Duration("deadline", &p.Deadline, 0, time.Minute, "of all classes; 0: as the emulators have them")
	section.Duration("stay", &p.DialAfterTerm, 0, time.Minute,
		"after SIGTERM, in which clients still connect; they use open ones until these close; 0: they leave at once")
	section.Int("sockets", &p.Sockets, 64, 1024, "descriptors of each proxy")
	section.Choice("list", &p.ListService, []string{listWatchService, catalogueService}, "the list service")
	section.Rate("list-rate", &p.ListRate, 0, 1e6, "calls that it answers; 0/s: any number")
	section.Duration("spread", &p.StartSpread, 0, time.Minute, "over which `start` starts proxies")
	section.Number("slow-readers", &p.SlowReaderShare, 0, 1, "share of clients' connections that are read slowly")
	section.Flag("peers", &p.Peers, "proxies know of each other")
}

// bindEndpoints binds the directives for what an endpoint can do.
func (p *Plan) bindEndpoints(section *config.Section) {
	section.Number("share", &p.Weight, 1, 1000, "weight of an endpoint: answers at full pace together")
	section.Flag("cold", &p.FreshStart, "endpoints have just started")
	section.Number("cold-from", &p.ColdCapacity, 0.01, 1, "of its capacity that an endpoint has at its start")
	section.Duration("cold-for", &p.WarmUp, 0, time.Minute, "until it has all of it")
	section.Number("fall", &p.OverloadFactor, 0, 100,
		"multiple of its capacity at which an endpoint goes down; 0: never")
	section.Duration("fall-for", &p.OverloadWindow, 100*time.Millisecond, time.Minute, "window for that")
	section.Duration("down-for", &p.OverloadDowntime, 100*time.Millisecond, time.Minute,
		"that an endpoint stays down then")
}

// The protocol's figures for a planned restart: SIGKILL comes no sooner after SIGTERM than the longest deadline, which
// counts as maxKillDeadline where it is longer, and killGrace. A request that comes later than killGrace after SIGTERM
// has to be answered by then.
const (
	maxKillDeadline = 3 * time.Second
	killGrace       = 700 * time.Millisecond
)

// earliestKill is how long after SIGTERM the protocol has SIGKILL come at the earliest.
func (p *Plan) earliestKill() time.Duration {
	if p.Deadline == 0 {
		return maxKillDeadline + killGrace // emulator.Settings has a deadline of 6 s
	}
	return min(p.Deadline, maxKillDeadline) + killGrace
}

// validate checks what no single directive can.
func (p *Plan) validate() error {
	if len(p.Invariants) == 0 {
		return errors.New("nothing has to hold: a drill without `hold` shows nothing")
	}
	for _, step := range p.Steps {
		if _, ok := step.action.(byzantineAction); ok && !p.Peers {
			return fmt.Errorf("at %s: there are no peers to lie to", step.Line)
		}
		if step.At > p.Duration {
			return fmt.Errorf("at %s: beyond the drill's %v", step.Line, p.Duration)
		}
	}
	return nil
}
