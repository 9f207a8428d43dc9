package quota

import (
	"fmt"
	"time"
)

const (
	// minLendTime times a node's guaranteed rate is the least that the node can lend at once, beyond the bursts that it
	// guarantees to the nodes below.
	minLendTime = 100 * time.Millisecond
	// defaultBurstSeconds replaces Spec.Burst in a node whose contract does not set one.
	defaultBurstSeconds = 1.0
	// roundingFactor is the factor by which rounding may make the sum of many parts exceed their total.
	roundingFactor = 1 + 1e-9
	// installationName is the name of the root. The paths of other nodes leave it out.
	installationName = "installation"
)

// Spec is one node of the contracts, as configured.
type Spec struct {
	Name     string
	Weight   float64 // share of the spare units, relative to its siblings; 0: 1
	Rates    [rateKinds]Limit
	MaxOpen  [openKinds]float64 // by kind, from OpenRequests on; 0: no limit
	Burst    time.Duration      // the burst of each rate is the rate times this duration; 0: one second
	Classes  []string           // classes that a tenant may use; empty: all
	Children []*Spec

	portion float64 // of a tenant: its share of the concurrency limit, from 0 to 1
}

// Share returns the contracts that one of several instances enforces: each budget divided by the number of instances.
// All instances together admit the full rates only if clients spread their requests evenly. If all clients of a tenant
// send to one instance, that one admits no more than its share.
func (s *Spec) Share(instances int) *Spec {
	if instances <= 1 {
		return s
	}
	share := *s
	for k := range share.Rates {
		share.Rates[k].Guaranteed /= float64(instances)
		share.Rates[k].Ceiling /= float64(instances)
	}
	for k, limit := range share.MaxOpen {
		if limit > 0 {
			share.MaxOpen[k] = max(1, limit/float64(instances))
		}
	}
	share.Children = make([]*Spec, len(s.Children))
	for i, child := range s.Children {
		share.Children[i] = child.Share(instances)
	}
	return &share
}

// Overcommitment is a budget of which a node guarantees more to the nodes below than it has.
type Overcommitment struct {
	Node       string
	Kind       Kind
	Guaranteed float64 // sum over the nodes below, units per second
	Available  float64 // guaranteed to the node itself, units per second
}

// String describes the over-commitment for operators.
func (o Overcommitment) String() string {
	return fmt.Sprintf("%s %s: %s/s are guaranteed below, of %s/s",
		o.Node, o.Kind, formatUnits(o.Guaranteed), formatUnits(o.Available))
}

// Overcommitments returns the budgets of which a node guarantees more than it is guaranteed itself.
func (s *Spec) Overcommitments() []Overcommitment { return s.overcommitments(s.Name, nil) }

func (s *Spec) overcommitments(path string, found []Overcommitment) []Overcommitment {
	for k := Requests; k < rateKinds; k++ {
		limit := s.Rates[k]
		if !limit.Set {
			continue
		}
		if sum := s.guaranteedBelow(k); sum > limit.Guaranteed*roundingFactor {
			found = append(found, Overcommitment{path, k, sum, limit.Guaranteed})
		}
	}
	for _, child := range s.Children {
		name := child.Name
		if name == "" {
			name = othersName
		}
		if s.Name != installationName {
			name = path + "/" + name
		}
		found = child.overcommitments(name, found)
	}
	return found
}

// guaranteedBelow returns the sum of the guaranteed rates of the nearest limited nodes below.
func (s *Spec) guaranteedBelow(kind Kind) float64 {
	sum := 0.0
	for _, child := range s.Children {
		if limit := child.Rates[kind]; limit.Set {
			sum += limit.Guaranteed
		} else {
			sum += child.guaranteedBelow(kind)
		}
	}
	return sum
}

// reserve returns the sum of the guaranteed bursts of the nearest limited nodes below.
func (s *Spec) reserve(kind Kind) float64 {
	sum := 0.0
	for _, child := range s.Children {
		if child.Rates[kind].Set {
			guaranteed, _ := child.meters(kind)
			sum += guaranteed.burst
		} else {
			sum += child.reserve(kind)
		}
	}
	return sum
}

// meters returns the meters of the guaranteed part and of the ceiling of a kind. The ceiling's burst includes the
// guaranteed burst, which includes the bursts that are guaranteed to the nodes below.
func (s *Spec) meters(kind Kind) (guaranteed, ceiling meter) {
	limit := s.Rates[kind]
	guaranteed = meter{rate: limit.Guaranteed, burst: limit.Guaranteed * s.burstSeconds()}
	if limit.Guaranteed > 0 {
		guaranteed.burst = max(guaranteed.burst, 1)
	}
	if below := s.reserve(kind); below > 0 { // the bursts guaranteed below, and some units to lend
		lendable := 0.0
		if limit.Guaranteed > 0 { // otherwise lent units would never be refilled
			lendable = max(1, limit.Guaranteed*minLendTime.Seconds())
		}
		guaranteed.burst = max(guaranteed.burst, below+lendable)
	}
	ceiling = meter{rate: limit.Ceiling, burst: guaranteed.burst}
	if extra := limit.Ceiling - limit.Guaranteed; extra > 0 {
		ceiling.burst += max(1, extra*s.burstSeconds())
	}
	return guaranteed, ceiling
}

// setPortions sets each tenant's portion of the concurrency limit, by guaranteed rates of requests or else by weights.
func (s *Spec) setPortions() {
	guaranteed, weights := 0.0, 0.0
	for _, tenant := range s.Children {
		guaranteed += tenant.Rates[Requests].Guaranteed
		weights += tenant.weight()
	}
	for _, tenant := range s.Children {
		if guaranteed > 0 {
			tenant.portion = tenant.Rates[Requests].Guaranteed / guaranteed
		} else {
			tenant.portion = tenant.weight() / weights
		}
	}
}

// child returns the child with a name; nil: there is none.
func (s *Spec) child(name string) *Spec {
	for _, child := range s.Children {
		if child.Name == name {
			return child
		}
	}
	return nil
}

func (s *Spec) weight() float64 {
	if s.Weight > 0 {
		return s.Weight
	}
	return 1
}

func (s *Spec) burstSeconds() float64 {
	if s.Burst > 0 {
		return s.Burst.Seconds()
	}
	return defaultBurstSeconds
}
