package quota

import (
	"fmt"
	"time"
)

const (
	rateMost  = 1e12
	burstMost = time.Hour
)

// Share gives the contracts of one of so many doormen: each budget divided by their number. The rates are what all of them let
// through together where clients spread evenly; one that all clients of a tenant come to admits its share alone.
func (s *Spec) Share(instances int) *Spec {
	if instances <= 1 {
		return s
	}
	out := *s
	for k := range out.Rates {
		out.Rates[k].Guaranteed /= float64(instances)
		out.Rates[k].Ceiling /= float64(instances)
	}
	for k, most := range out.MaxOpen {
		if most > 0 {
			out.MaxOpen[k] = max(1, most/float64(instances))
		}
	}
	out.Children = make([]*Spec, len(s.Children))
	for i, c := range s.Children {
		out.Children[i] = c.Share(instances)
	}
	return &out
}

// Overcommitment is something that contracts promise and can't keep.
type Overcommitment struct {
	Node       string
	Kind       Kind
	Guaranteed float64 // to those below, together
	Available  float64
}

// String words it for people.
func (f Overcommitment) String() string {
	return fmt.Sprintf("%s %s: %s/s are guaranteed below, of %s/s", f.Node, f.Kind, short(f.Guaranteed), short(f.Available))
}

// Overcommitments finds over-commitment: nodes that guarantee more than they are guaranteed themselves.
func (s *Spec) Overcommitments() (out []Overcommitment) { return s.check(s.Name, nil) }

func (s *Spec) check(path string, out []Overcommitment) []Overcommitment {
	for k := Requests; k < rateKinds; k++ {
		if l := s.Rates[k]; l.Set {
			if sum := s.promised(k); sum > l.Guaranteed*(1+1e-9) {
				out = append(out, Overcommitment{path, k, sum, l.Guaranteed})
			}
		}
	}
	for _, c := range s.Children {
		name := c.Name
		if name == "" {
			name = "others"
		}
		if s.Name != "installation" {
			name = path + "/" + name
		}
		out = c.check(name, out)
	}
	return out
}

// promised is what the nearest limited nodes below are guaranteed together.
func (s *Spec) promised(k Kind) (sum float64) {
	for _, c := range s.Children {
		if l := c.Rates[k]; l.Set {
			sum += l.Guaranteed
		} else {
			sum += c.promised(k)
		}
	}
	return sum
}
