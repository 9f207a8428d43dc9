// Package health reads an instance of Consul's catalogue as an endpoint: its ID, address, zone, kind and weight, and
// by its checks whether it is up, draining or gone. It does no I/O and does not know the client library.
//
// Invariants: maintenance goes before all other checks and means draining; apart from it the worst of the checks that
// count decides, as in Consul's own aggregation. An instance that can't be read is an error that names it and never
// an endpoint with gaps.
//
// Bounds: texts of the catalogue's stand in errors up to 64 bytes each, an instance's ID apart.
package health

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"sloequay/internal/membership"
)

// Check is one check of an instance or of its node.
type Check struct {
	ID        string
	ServiceID string // of the instance; empty: it is the node's check
	Status    string
}

// Instance is what the catalogue says of one instance of a service.
type Instance struct {
	ID            string
	Node          string
	Address       string // empty: the node's address is the instance's
	NodeAddress   string
	Port          int
	Meta          map[string]string
	PassingWeight int
	WarningWeight int
	Checks        []Check
	CreateIndex   uint64 // another one with each registration
}

// Rules is how instances of a service are read.
type Rules struct {
	// ID is where an endpoint's ID comes from: "service" (the instance's ID, which must then be unique in the
	// cluster), "node", "node/service", or "meta:KEY".
	ID string
	// Zone and Kind are names of the platform's settings. Where they are empty, the metadata under ZoneKey and
	// KindKey has them.
	Zone, ZoneKey string
	Kind, KindKey string
	// StartedAtKey names the metadata with the Unix millisecond of a start, WeightKey the metadata with the weight.
	// An instance with a warning has its weight from the catalogue in any case.
	StartedAtKey, WeightKey string
	// Checks are the checks that count: "all", "service", "node", or IDs of checks. IgnoredChecks are IDs of checks
	// that do not count, whatever Checks says. Maintenance always counts.
	Checks, IgnoredChecks []string
	Warning               membership.State // the state that a warning means: Up or Draining
}

// DefaultRules returns the rules in force where the settings say nothing.
func DefaultRules() Rules {
	return Rules{
		ID:           "service",
		ZoneKey:      "site",
		KindKey:      "class",
		StartedAtKey: "born_ms",
		WeightKey:    "capacity",
		Checks:       []string{"all"},
		Warning:      membership.Up,
	}
}

// The statuses of checks, and the IDs of those that mean maintenance.
const (
	statusPassing            = "passing"
	statusWarning            = "warning"
	statusCritical           = "critical"
	nodeMaintenanceID        = "_node_maintenance"
	serviceMaintenancePrefix = "_service_maintenance:"
)

// maxWeight bounds a weight of the metadata.
const maxWeight = 1e9

// idForms are the forms of Rules.ID, beside metaPrefix with a key.
var idForms = []string{"service", "node", "node/service"}

const metaPrefix = "meta:"

// ValidateIDForm returns an error for a text that is no form of Rules.ID.
func ValidateIDForm(form string) error {
	if slices.Contains(idForms, form) {
		return nil
	}
	if key, isMeta := strings.CutPrefix(form, metaPrefix); isMeta && key != "" {
		return nil
	}
	return fmt.Errorf("expected one of %s or meta:KEY, got %q", strings.Join(idForms, ", "), form)
}

// Entry returns an instance as a source's entry. An instance that can't be used is an error, which names it; it is to
// be left out of the list.
func (r *Rules) Entry(instance *Instance) (membership.Entry, error) {
	entry := membership.Entry{
		ID:          r.endpointID(instance),
		Zone:        r.Zone,
		Kind:        r.Kind,
		Incarnation: instance.CreateIndex,
	}
	if entry.Zone == "" {
		entry.Zone = instance.Meta[r.ZoneKey]
	}
	if entry.Kind == "" {
		entry.Kind = instance.Meta[r.KindKey]
	}
	if err := r.readInto(&entry, instance); err != nil {
		name := entry.ID
		if name == "" {
			name = nodeAndID(instance)
		}
		return entry, fmt.Errorf("%s: %w", name, err)
	}
	return entry, nil
}

// readInto reads what can be wrong with an instance. The order decides which fault is named.
func (r *Rules) readInto(entry *membership.Entry, instance *Instance) error {
	var err error
	if entry.StartedAtMS, err = r.startedAtMS(instance); err != nil {
		return err
	}
	state, isWarning, err := r.aggregateState(instance)
	if err != nil {
		return err
	}
	entry.State = state
	if isWarning {
		entry.Weight = float64(instance.WarningWeight)
	} else if entry.Weight, err = r.weight(instance); err != nil {
		return err
	}
	entry.Address, err = addressOf(instance)
	return err
}

// endpointID may return an empty text, where the metadata lacks the key.
func (r *Rules) endpointID(instance *Instance) string {
	if key, isMeta := strings.CutPrefix(r.ID, metaPrefix); isMeta {
		return instance.Meta[key]
	}
	switch r.ID {
	case "node":
		return instance.Node
	case "node/service":
		return nodeAndID(instance)
	}
	return instance.ID
}

func nodeAndID(instance *Instance) string { return instance.Node + "/" + instance.ID }

func (r *Rules) startedAtMS(instance *Instance) (int64, error) {
	text := instance.Meta[r.StartedAtKey]
	if text == "" {
		return 0, nil
	}
	startedAtMS, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s %.32q is not a number of milliseconds", r.StartedAtKey, text)
	}
	return startedAtMS, nil
}

// weight returns the weight of an instance that has no warning.
func (r *Rules) weight(instance *Instance) (float64, error) {
	text := instance.Meta[r.WeightKey]
	if text == "" {
		return float64(instance.PassingWeight), nil
	}
	weight, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(weight) || weight <= 0 || weight >= maxWeight {
		return 0, fmt.Errorf("%s %.32q is not a number above 0", r.WeightKey, text)
	}
	return weight, nil
}

// addressOf returns host:port. A host with a colon is taken for an IPv6 address and put into brackets.
func addressOf(instance *Instance) (string, error) {
	if instance.Port <= 0 || instance.Port > math.MaxUint16 {
		return "", fmt.Errorf("port %d", instance.Port)
	}
	host := instance.Address
	if host == "" {
		host = instance.NodeAddress
	}
	if strings.Contains(host, ":") {
		host = "[" + host + "]"
	}
	return host + ":" + strconv.Itoa(instance.Port), nil
}

// aggregateState returns the worst state of the checks that count. Maintenance goes before the rest: it is meant, and
// other checks may fail because of it.
func (r *Rules) aggregateState(instance *Instance) (state membership.State, isWarning bool, err error) {
	if slices.ContainsFunc(instance.Checks, isMaintenance) {
		return membership.Draining, false, nil
	}
	state = membership.Up
	for _, check := range instance.Checks {
		if !r.counts(check) {
			continue
		}
		switch check.Status {
		case statusPassing:
		case statusWarning:
			isWarning = true
			state = min(state, r.Warning)
		case statusCritical:
			state = membership.Gone
		default:
			return state, false, fmt.Errorf("check %.64q has the status %.32q", check.ID, check.Status)
		}
	}
	return state, isWarning, nil
}

func isMaintenance(check Check) bool {
	return check.ID == nodeMaintenanceID || strings.HasPrefix(check.ID, serviceMaintenancePrefix)
}

func (r *Rules) counts(check Check) bool {
	if slices.Contains(r.IgnoredChecks, check.ID) {
		return false
	}
	return slices.ContainsFunc(r.Checks, func(selector string) bool {
		switch selector {
		case "all", check.ID:
			return true
		case "service":
			return check.ServiceID != ""
		case "node":
			return check.ServiceID == ""
		}
		return false
	})
}
