// Package drill runs fault drills. A drill starts many processes of the built program, each with its own address and
// folder, together with emulators of the endpoints, the list service and the clients. It injects faults between them
// according to a plan and checks what all of them recorded. Everything runs on loopback, is bounded in count and time,
// and is stopped at the end.
package drill

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"sloequay/internal/config"
)

// The list services that a plan can select.
const (
	listWatchService = "bulletin"
	catalogueService = "catalogue"
)

// Plan describes a drill: the cluster, the schedule of faults and the invariants that must hold. Its text has the
// line-based format of the proxy's settings, in which proxies are `doormans`, zones `plazas`, parents `trunks` and
// endpoints `boxes`.
type Plan struct {
	File string
	Text string // of a randomly drawn plan, so that it can be saved; empty for other plans

	Proxies         int // the drill command can override it
	Zones           int // zones with caches; the proxies are distributed over them evenly
	Caches          int // in each zone
	Parents         int
	Weight          float64 // of each endpoint: how many responses it sends concurrently at full rate
	Duration        time.Duration
	RequestRate     float64 // requests per second to each proxy
	Objects         int
	SizeKB          float64
	SlowReaderShare float64 // share of the client connections that are read slowly
	CancelShare     float64 // share of the requests that their clients cancel
	ChargeShare     float64 // share of the requests that are keyed writes
	ClientLimit     time.Duration
	Deadline        time.Duration // of all classes; 0: the deadlines in emulator.Settings
	// DialAfterTerm is how long after SIGTERM clients continue to dial a proxy; they use open connections until these
	// are closed. 0: clients stop using the proxy at SIGTERM.
	DialAfterTerm time.Duration
	Sockets       int // file descriptors of each proxy
	ListService   string
	ListRate      float64       // calls per second that the list service answers; 0: unlimited
	StartSpread   time.Duration // the time over which proxy starts are spread
	Peers         bool          // the proxies form a fleet of peers
	FreshStart    bool          // endpoints have just started when the drill begins
	Settings      []string      // additional lines in each proxy's settings file
	Environment   []string      // added to each process's inherited environment; not part of a plan's text
	ColdCapacity  float64       // share of its full capacity that an endpoint has at its start
	WarmUp        time.Duration // the time after its start until an endpoint has full capacity
	// OverloadFactor is the load, averaged over OverloadWindow and as a multiple of its current capacity, above which a
	// warming endpoint crashes for OverloadDowntime; 0: never.
	OverloadFactor   float64
	OverloadWindow   time.Duration
	OverloadDowntime time.Duration

	Steps      []Step
	Invariants []Invariant
}

// NewPlan returns a plan with the default values.
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

// Load reads a plan from a file. An error names the file, line and key.
func Load(path string) (*Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse parses a plan's text; name stands for the file in errors.
func Parse(name string, text []byte) (*Plan, error) {
	plan := NewPlan()
	plan.File = name
	if err := plan.section().Parse(name, text); err != nil {
		return nil, err
	}
	return plan, nil
}

// section binds the plan's directives to its fields.
func (p *Plan) section() *config.Section {
	section := &config.Section{}
	p.bindCluster(section)
	p.bindEndpoints(section)
	section.Repeated("doorman", func(words []string) error {
		p.Settings = append(p.Settings, strings.Join(words, " "))
		return nil
	}, "a line of each proxy's settings; @dir, @ip, @name and @plaza expand to its own values, @{ and @} to braces")
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
	section.Int("doormans", &p.Proxies, 1, 1000, "number of proxies, each a process of the program")
	section.Int("plazas", &p.Zones, 1, 16, "number of zones with caches")
	section.Int("caches", &p.Caches, 1, 64, "number of caches in each zone")
	section.Int("trunks", &p.Parents, 0, 16, "number of parents, all in the hub")
	section.Duration("lasts", &p.Duration, time.Second, time.Hour, "duration of the drill")
	section.Rate("rate", &p.RequestRate, 0.1, 1000, "rate of requests to each proxy")
	section.Int("objects", &p.Objects, 1, 1_000_000, "number of different objects requested")
	section.Number("size", &p.SizeKB, 0.1, 2000, "size of each object in KB")
	section.Number("charges", &p.ChargeShare, 0, 1, "share of requests that are keyed writes")
	section.Number("leaves", &p.CancelShare, 0, 1, "share of requests that their clients cancel within 0.12 s")
	section.Duration("limit", &p.ClientLimit, 50*time.Millisecond, time.Minute, "how long a client waits for an answer")
	section.Duration("deadline", &p.Deadline, 0, time.Minute, "deadline of all classes; 0: those of the emulator")
	section.Duration("stay", &p.DialAfterTerm, 0, time.Minute,
		"how long clients still dial after SIGTERM; they use open connections until these close; 0: they stop at once")
	section.Int("sockets", &p.Sockets, 64, 1024, "file descriptors of each proxy")
	section.Choice("list", &p.ListService, []string{listWatchService, catalogueService}, "the list service")
	section.Rate("list-rate", &p.ListRate, 0, 1e6, "rate of calls that the list service answers; 0/s: unlimited")
	section.Duration("spread", &p.StartSpread, 0, time.Minute, "time over which `start` spreads the starts of proxies")
	section.Number("slow-readers", &p.SlowReaderShare, 0, 1, "share of client connections that are read slowly")
	section.Flag("peers", &p.Peers, "the proxies form a fleet of peers")
}

// bindEndpoints binds the directives for the endpoints' capacity.
func (p *Plan) bindEndpoints(section *config.Section) {
	section.Number("share", &p.Weight, 1, 1000, "weight of an endpoint: concurrent answers at full rate")
	section.Flag("cold", &p.FreshStart, "endpoints have just started")
	section.Number("cold-from", &p.ColdCapacity, 0.01, 1, "share of its capacity that an endpoint has at its start")
	section.Duration("cold-for", &p.WarmUp, 0, time.Minute, "time after its start until an endpoint has full capacity")
	section.Number("fall", &p.OverloadFactor, 0, 100,
		"multiple of its current capacity above which a warming endpoint crashes; 0: never")
	section.Duration("fall-for", &p.OverloadWindow, 100*time.Millisecond, time.Minute,
		"window over which the load is averaged to detect overload")
	section.Duration("down-for", &p.OverloadDowntime, 100*time.Millisecond, time.Minute,
		"how long an endpoint that crashed from overload stays down")
}

// The protocol's times for a planned restart: SIGKILL comes no sooner after SIGTERM than killGrace plus the longest
// deadline, which counts as at most maxKillDeadline. The process must answer by then each request that arrives later
// than killGrace after SIGTERM.
const (
	maxKillDeadline = 3 * time.Second
	killGrace       = 700 * time.Millisecond
)

// earliestKill returns the shortest time after SIGTERM at which the protocol allows SIGKILL.
func (p *Plan) earliestKill() time.Duration {
	if p.Deadline == 0 {
		return maxKillDeadline + killGrace // emulator.Settings has a deadline of 6 s
	}
	return min(p.Deadline, maxKillDeadline) + killGrace
}

// validate checks what involves more than one directive.
func (p *Plan) validate() error {
	if len(p.Invariants) == 0 {
		return errors.New("no invariants: a plan needs at least one `hold` line")
	}
	for _, step := range p.Steps {
		if _, ok := step.action.(byzantineAction); ok && !p.Peers {
			return fmt.Errorf("at %s: a byzantine peer needs a fleet of peers (directive `peers`)", step.Line)
		}
		if step.At > p.Duration {
			return fmt.Errorf("at %s: later than the drill's end at %v", step.Line, p.Duration)
		}
	}
	return nil
}
