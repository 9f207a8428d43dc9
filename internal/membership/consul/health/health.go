// Package health says what an instance of a catalogue means as a box: its id, place and kind, and by its checks whether it
// is up, draining or gone. It knows no client library and does no I/O.
package health

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"sloequay/internal/membership"
)

// Check is one check of an instance or of its node.
type Check struct {
	ID        string
	ServiceID string // the instance's id; empty: it is the node's
	Status    string
}

// Instance is what a catalogue says of an instance.
type Instance struct {
	ID, Node                     string
	Address, NodeAddress         string // the node's holds where the instance has none
	Port                         int
	Meta                         map[string]string
	PassingWeight, WarningWeight int // its weights by health
	Checks                       []Check
	CreateIndex                  uint64 // another one with each registration
}

// Rules is how instances of a service are read.
type Rules struct {
	// ID is where a box's id comes from: "service" (the instance's id, which must then be its own in all the cluster),
	// "node", "node/service", or "meta:KEY".
	ID string
	// Zone and Class are words of the platform's settings; with the keys they come from the metadata.
	Zone, ZoneKey string
	Kind, KindKey string
	// StartedAtKey names the metadata that has the Unix millisecond of a late start; CapacityKey the weight.
	StartedAtKey, WeightKey string
	// Checks that count: "all", "service", "node", or ids of checks. Ignore are ids of such that do not, whatever Checks
	// says. Maintenance always counts.
	Checks, IgnoredChecks []string
	Warning               membership.State // what a warning means: Up or Draining
}

// DefaultRules gives the rules in force where the settings say nothing.
func DefaultRules() Rules {
	return Rules{ID: "service", ZoneKey: "site", KindKey: "class", StartedAtKey: "born_ms", WeightKey: "capacity",
		Checks: []string{"all"}, Warning: membership.Up}
}

// The states of checks, and the ids of those that mean maintenance.
const (
	passing            = "passing"
	warning            = "warning"
	critical           = "critical"
	nodeMaintenance    = "_node_maintenance"
	serviceMaintenance = "_service_maintenance:"
)

// idForms are the forms of Rules.ID.
var idForms = []string{"service", "node", "node/service"}

// ValidateIDForm says whether a text is a form of Rules.ID.
func ValidateIDForm(form string) error {
	if key, ok := strings.CutPrefix(form, "meta:"); slices.Contains(idForms, form) || ok && key != "" {
		return nil
	}
	return fmt.Errorf("expected one of %s or meta:KEY, got %q", strings.Join(idForms, ", "), form)
}

// Read gives an instance as a box. The error names the instance and what makes it of no use; such a one is left out.
func (r *Rules) Read(in *Instance) (membership.Entry, error) {
	e := membership.Entry{ID: in.ID, Zone: r.Zone, Kind: r.Kind, Incarnation: in.CreateIndex}
	key, meta := strings.CutPrefix(r.ID, "meta:")
	switch {
	case meta:
		e.ID = in.Meta[key]
	case r.ID == "node":
		e.ID = in.Node
	case r.ID == "node/service":
		e.ID = in.Node + "/" + in.ID
	}
	name := e.ID
	if name == "" {
		name = in.Node + "/" + in.ID
	}
	if e.Zone == "" {
		e.Zone = in.Meta[r.ZoneKey]
	}
	if e.Kind == "" {
		e.Kind = in.Meta[r.KindKey]
	}
	if text := in.Meta[r.StartedAtKey]; text != "" {
		born, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return e, fmt.Errorf("%s: %s %.32q is not a number of milliseconds", name, r.StartedAtKey, text)
		}
		e.StartedAtMS = born
	}
	state, warned, err := r.aggregateState(in)
	if err != nil {
		return e, fmt.Errorf("%s: %w", name, err)
	}
	e.State, e.Weight = state, float64(in.PassingWeight)
	if warned {
		e.Weight = float64(in.WarningWeight)
	}
	if text := in.Meta[r.WeightKey]; text != "" && !warned {
		weight, err := strconv.ParseFloat(text, 64)
		if err != nil || !(weight > 0 && weight < 1e9) {
			return e, fmt.Errorf("%s: %s %.32q is not a number above 0", name, r.WeightKey, text)
		}
		e.Weight = weight
	}
	address := in.Address
	if address == "" {
		address = in.NodeAddress
	}
	if strings.Contains(address, ":") {
		address = "[" + address + "]"
	}
	if in.Port <= 0 || in.Port > 65535 {
		return e, fmt.Errorf("%s: port %d", name, in.Port)
	}
	e.Address = address + ":" + strconv.Itoa(in.Port)
	return e, nil
}

// aggregateState is the word of the checks: the worst of those that count, as Consul's own aggregation has it; maintenance,
// which is meant, goes before what may follow from it.
func (r *Rules) aggregateState(in *Instance) (state membership.State, warned bool, err error) {
	state = membership.Up
	for _, c := range in.Checks {
		if c.ID == nodeMaintenance || strings.HasPrefix(c.ID, serviceMaintenance) {
			return membership.Draining, false, nil
		}
	}
	for _, c := range in.Checks {
		if !r.counts(c) {
			continue
		}
		switch c.Status {
		case passing:
		case warning:
			warned = true
			state = min(state, r.Warning)
		case critical:
			state = membership.Gone
		default:
			return state, false, fmt.Errorf("check %.64q has the status %.32q", c.ID, c.Status)
		}
	}
	return state, warned, nil
}

func (r *Rules) counts(c Check) bool {
	if slices.Contains(r.IgnoredChecks, c.ID) {
		return false
	}
	for _, which := range r.Checks {
		if which == "all" || which == "service" && c.ServiceID != "" || which == "node" && c.ServiceID == "" || which == c.ID {
			return true
		}
	}
	return false
}
