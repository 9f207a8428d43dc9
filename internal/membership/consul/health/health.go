// Package health converts an instance in Consul's catalogue to an endpoint: its ID, address, zone, kind and weight, and
// whether its checks make it up, draining or gone. It does no I/O and does not depend on Consul's client library.
//
// Invariants: maintenance takes precedence over all other checks and means draining; otherwise the worst of the checks
// that count decides, as in Consul's own aggregation. An instance that can't be converted results in an error that
// names it, never in an incomplete endpoint.
//
// Bounds: errors quote at most 64 characters of each text from the catalogue, except for an instance's ID.
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
	ServiceID string // of the instance; empty for a check of the node
	Status    string
}

// Instance is one instance of a service as the catalogue describes it.
type Instance struct {
	ID            string
	Node          string
	Address       string // empty: NodeAddress is used
	NodeAddress   string
	Port          int
	Meta          map[string]string
	PassingWeight int
	WarningWeight int
	Checks        []Check
	CreateIndex   uint64 // differs for each registration
}

// Rules defines how the instances of a service are converted.
type Rules struct {
	// ID says what to use as an endpoint's ID: "service" (the instance's ID, which must then be unique in the
	// cluster), "node", "node/service", or "meta:KEY".
	ID string
	// Zone and Kind are names from the platform's settings. An empty one is taken from the instance's metadata, under
	// the key ZoneKey or KindKey.
	Zone, ZoneKey string
	Kind, KindKey string
	// StartedAtKey is the metadata key of the start time in Unix milliseconds, and WeightKey that of the weight. An
	// instance with a warning always has the warning weight of the catalogue instead.
	StartedAtKey, WeightKey string
	// Checks selects the checks that count: "all", "service", "node", or IDs of checks. IgnoredChecks are IDs of checks
	// that do not count, regardless of Checks. Maintenance always counts.
	Checks, IgnoredChecks []string
	Warning               membership.State // the state of an instance with a warning: Up or Draining
}

// DefaultRules returns the rules that apply unless the settings change them.
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

// The statuses of checks, and the IDs of the checks that indicate maintenance.
const (
	statusPassing            = "passing"
	statusWarning            = "warning"
	statusCritical           = "critical"
	nodeMaintenanceID        = "_node_maintenance"
	serviceMaintenancePrefix = "_service_maintenance:"
)

// maxWeight is the exclusive upper bound of a weight in the metadata.
const maxWeight = 1e9

// idForms lists the forms of Rules.ID, apart from metaPrefix followed by a key.
var idForms = []string{"service", "node", "node/service"}

const metaPrefix = "meta:"

// ValidateIDForm returns an error if form is not a form of Rules.ID.
func ValidateIDForm(form string) error {
	if slices.Contains(idForms, form) {
		return nil
	}
	if key, isMeta := strings.CutPrefix(form, metaPrefix); isMeta && key != "" {
		return nil
	}
	return fmt.Errorf("expected one of %s or meta:KEY, got %q", strings.Join(idForms, ", "), form)
}

// Entry converts an instance to an entry of a source. If the instance can't be used, it returns an error that names
// it; the instance is then to be left out of the list.
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
	if err := r.fillEntry(&entry, instance); err != nil {
		name := entry.ID
		if name == "" {
			name = nodeAndID(instance)
		}
		return entry, fmt.Errorf("%s: %w", name, err)
	}
	return entry, nil
}

// fillEntry sets the fields that may be invalid in the instance. It returns an error for the first invalid one.
func (r *Rules) fillEntry(entry *membership.Entry, instance *Instance) error {
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
	entry.Address, err = endpointAddress(instance)
	return err
}

// endpointID returns the endpoint's ID. It is empty if the ID comes from the metadata and its key is missing there.
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

// weight returns the weight of an instance without a warning.
func (r *Rules) weight(instance *Instance) (float64, error) {
	text := instance.Meta[r.WeightKey]
	if text == "" {
		return float64(instance.PassingWeight), nil
	}
	weight, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(weight) || weight <= 0 || weight >= maxWeight {
		return 0, fmt.Errorf("%s %.32q is not a number above 0 and below 1e9", r.WeightKey, text)
	}
	return weight, nil
}

// endpointAddress returns host:port. A host with a colon is taken for an IPv6 address and put in brackets.
func endpointAddress(instance *Instance) (string, error) {
	if instance.Port <= 0 || instance.Port > math.MaxUint16 {
		return "", fmt.Errorf("port %d is not in the range 1 to 65535", instance.Port)
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

// aggregateState returns the worst state of the checks that count. Maintenance takes precedence over them, because it
// is intentional and may make other checks fail.
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
			return state, false, fmt.Errorf("check %.64q has the unknown status %.32q", check.ID, check.Status)
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
