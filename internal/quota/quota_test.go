package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gonum.org/v1/gonum/stat"
	"pgregory.net/rapid"
)

const (
	start = 1_800_000_000 * time.Second
	ms    = time.Millisecond
)

func rates(k Kind, guaranteed, ceiling float64) (out [rateKinds]Limit) {
	out[k] = Limit{Set: true, Guaranteed: guaranteed, Ceiling: ceiling}
	return out
}

func installation(capacity float64, tenants ...*Spec) *Spec {
	return &Spec{Name: "installation", Rates: rates(Requests, capacity, capacity), Children: tenants}
}

func tenant(name string, guaranteed, ceiling, weight float64) *Spec {
	return &Spec{Name: name, Rates: rates(Requests, guaranteed, ceiling), Weight: weight}
}

// taken is one admission, as the plain model keeps it: what was charged when, to which nodes.
type taken struct {
	at   time.Duration
	cost float64
}

// TestTree plays random trees and random demands. After each admission the plain model counts, for each node on the path, all that
// it was charged over every window that ends now, against its ceiling; what lies within a leaf's own guaranteed part by a token
// bucket of its own is never refused; a refusal takes nothing; and at the end nothing is held.
func TestTree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		root := &Spec{Name: "installation"}
		leaves := [][]string{}
		sum := 0.0
		for i := range rapid.IntRange(1, 4).Draw(t, "tenants") {
			s := &Spec{Name: fmt.Sprint("t", i), Weight: float64(rapid.IntRange(0, 5).Draw(t, "weight"))}
			below := 0.0
			for j := range rapid.IntRange(0, 3).Draw(t, "services") {
				g := float64(rapid.IntRange(0, 20).Draw(t, "guaranteed"))
				v := tenant(fmt.Sprint("s", j), g, g+float64(rapid.IntRange(0, 60).Draw(t, "beyond")), float64(j))
				v.Burst = time.Duration(rapid.IntRange(1, 2000).Draw(t, "burst")) * ms
				s.Children = append(s.Children, v)
				below += g
				leaves = append(leaves, []string{s.Name, v.Name})
			}
			if rapid.IntRange(0, 3).Draw(t, "limited") > 0 {
				g := below + float64(rapid.IntRange(0, 20).Draw(t, "more"))
				s.Rates = rates(Requests, g, g+float64(rapid.IntRange(0, 60).Draw(t, "beyond")))
				s.Burst = time.Duration(rapid.IntRange(1, 2000).Draw(t, "burst")) * ms
				below = g
			}
			s.MaxOpen[0] = float64(rapid.IntRange(0, 30).Draw(t, "open"))
			sum += below
			root.Children = append(root.Children, s)
			leaves = append(leaves, []string{s.Name, ""})
		}
		if rapid.Bool().Draw(t, "whole") {
			c := sum + float64(rapid.IntRange(1, 50).Draw(t, "capacity"))
			root.Rates = rates(Requests, c, c)
		}
		if faults := root.Overcommitments(); len(faults) > 0 {
			t.Fatalf("a sound tree has faults: %v", faults)
		}
		b := NewLedger(root)
		now := start
		charged := map[*node][]taken{}
		var open []Grant
		// The guaranteed part of each leaf by a bucket of tokens.
		type bucket struct {
			tokens float64
			at     time.Duration
		}
		owned := map[*rate]*bucket{}
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			now += time.Duration(rapid.IntRange(0, 120).Draw(t, "pause")) * ms
			if len(open) > 0 && rapid.IntRange(0, 2).Draw(t, "an end") == 0 {
				i := rapid.IntRange(0, len(open)-1).Draw(t, "of")
				open[i].Release(now)
				open = slices.Delete(open, i, i+1)
				continue
			}
			path := rapid.SampledFrom(leaves).Draw(t, "leaf")
			n, _ := b.find(now, path[0], path[1], "")
			full := false
			for p := n; p != nil; p = p.parent {
				full = full || p.spec.MaxOpen[0] > 0 && p.openUnits[0] >= p.spec.MaxOpen[0]
			}
			own := n.limitOf(Requests)
			within := false
			if own != nil && len(own.node.spec.Children) == 0 && own.guaranteed.rate > 0 {
				k := owned[own]
				if k == nil {
					k = &bucket{own.guaranteed.burst, now}
					owned[own] = k
				}
				k.tokens = math.Min(own.guaranteed.burst, k.tokens+(now-k.at).Seconds()*own.guaranteed.rate)
				k.at = now
				if within = k.tokens >= 1+1e-6; k.tokens >= 1-1e-6 && !within {
					continue // on the edge, where rounding decides
				}
			}
			before := b.InFlight()
			g, refusal := b.Admit(now, path[0], path[1], "", Cost{})
			if refusal != nil {
				if within && !full {
					t.Fatalf("%v is within its guaranteed part and was refused: %v", path, refusal)
				}
				if refusal.Node == "" || b.InFlight() != before {
					t.Fatalf("a refusal without a budget, or that took something: %+v", refusal)
				}
				continue
			}
			if full {
				t.Fatalf("%v was admitted beyond what may be open", path)
			}
			open = append(open, g)
			if within {
				owned[own].tokens--
			}
			for p := n; p != nil; p = p.parent {
				charged[p] = append(charged[p], taken{now, 1})
				r := p.rates[Requests]
				if r == nil {
					continue
				}
				total, list := 0.0, charged[p]
				for i := len(list) - 1; i >= 0; i-- {
					total += list[i].cost
					if most := r.ceiling.rate*(now-list[i].at).Seconds() + r.ceiling.burst; total > most+1e-6 {
						t.Fatalf("%s was charged %g in %v, and its ceiling is %g", p.name, total, now-list[i].at, most)
					}
				}
			}
		}
		for _, g := range open {
			g.Release(now)
		}
		if b.InFlight() != 0 || b.root.openUnits != [openKinds]float64{} {
			t.Fatalf("%d are held at the end", b.InFlight())
		}
		now += 2 * time.Hour
		for range 100 {
			b.sweep(now)
		}
		if b.Tenants() != 0 {
			t.Fatalf("%d idle tenants are kept", b.Tenants())
		}
	})
}

// demand is what one tenant sends: at a rate, evenly, from a time.
type demand struct {
	name     string
	rate     float64
	from, to time.Duration
	admitted []time.Duration
	refused  int
	next     time.Duration
}

// play runs demands side by side in simulated time, and ends each request at once.
func play(b *Ledger, length time.Duration, demands ...*demand) {
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range demands {
		demands[i].next = start + demands[i].from
	}
	for {
		d := demands[0]
		for _, o := range demands {
			if o.next < d.next {
				d = o
			}
		}
		now := d.next
		if now > start+length {
			return
		}
		if d.to == 0 || now < start+d.to {
			if g, refusal := b.Admit(now, d.name, "", "", Cost{}); refusal == nil {
				g.Release(now)
				d.admitted = append(d.admitted, now-start)
			} else {
				d.refused++
			}
		}
		d.next += time.Duration(rng.ExpFloat64() / d.rate * 1e9)
	}
}

func (d *demand) between(from, to time.Duration) (n int) {
	for _, at := range d.admitted {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// TestSpareByWeight: what nobody has a guarantee of is divided by weight among a hundred that want more than there is, and all
// of it is used. Told by Jain's index of what each has over its weight.
func TestSpareByWeight(t *testing.T) {
	root := installation(1000)
	var demands []*demand
	weights := 0.0
	for i := range 100 {
		w := float64(1 + i%5)
		weights += w
		root.Children = append(root.Children, tenant(fmt.Sprint("t", i), 0, 1000, w))
		demands = append(demands, &demand{name: fmt.Sprint("t", i), rate: 60})
	}
	play(NewLedger(root), 20*time.Second, demands...)
	var per []float64
	total := 0
	for i, d := range demands {
		n := d.between(5*time.Second, 20*time.Second)
		total += n
		per = append(per, float64(n)/float64(1+i%5))
	}
	mean := stat.Mean(per, nil)
	squares := 0.0
	for _, x := range per {
		squares += x * x
	}
	jain := mean * mean * float64(len(per)) / squares
	t.Logf("Jain's index %.4f, %d of 15000 used", jain, total)
	if jain < 0.98 || total < 14_700 || total > 15_600 {
		t.Errorf("Jain's index %.4f, %d of 15000 used", jain, total)
	}
}

// TestOwnerComesBack: the lender has its guarantee from its first request on, and the borrower what is left; alone, the borrower
// has it all.
func TestOwnerComesBack(t *testing.T) {
	b := NewLedger(installation(100, tenant("owner", 80, 80, 1), tenant("other", 10, 100, 1)))
	owner, other := &demand{name: "owner", rate: 70, from: 10 * time.Second}, &demand{name: "other", rate: 300}
	play(b, 20*time.Second, owner, other)
	if owner.refused > 0 {
		t.Errorf("%d of the owner's requests within its guarantee were refused", owner.refused)
	}
	if n := other.between(2*time.Second, 10*time.Second); n < 780 || n > 820 {
		t.Errorf("alone, the borrower had %d in 8 s, want 800", n)
	}
	if n := other.between(11*time.Second, 20*time.Second); n < 9*10 || n > 9*35 {
		t.Errorf("beside the owner the borrower had %d in 9 s", n)
	}
}

// TestUnlimitedAbove: where the installation has no limit, ceilings alone bound what is borrowed.
func TestUnlimitedAbove(t *testing.T) {
	b := NewLedger(&Spec{Name: "installation", Children: []*Spec{tenant("a", 10, 50, 1)}})
	d := &demand{name: "a", rate: 400}
	play(b, 10*time.Second, d)
	if n := d.between(2*time.Second, 10*time.Second); n < 390 || n > 410 {
		t.Errorf("%d in 8 s, want 400", n)
	}
}

// TestPromises: who is refused comes back when it was told, and is admitted then, or nearly: 300 clients of one tenant that each
// want one request, at three times what it may send. The error is that of the time told against the one of admission.
func TestPromises(t *testing.T) {
	for name, root := range map[string]*Spec{"its own": installation(1000, tenant("a", 50, 50, 1)), "borrowed": installation(50, tenant("a", 10, 50, 1))} {
		b := NewLedger(root)
		rng := rand.New(rand.NewPCG(3, 4))
		type client struct{ at, first, told time.Duration }
		var waiting []client
		at := start
		for range 300 {
			at += time.Duration(rng.ExpFloat64() / 150 * 1e9)
			waiting = append(waiting, client{at: at})
		}
		var errors []float64
		again := 0
		for len(waiting) > 0 {
			i := 0
			for j := range waiting {
				if waiting[j].at < waiting[i].at {
					i = j
				}
			}
			c := &waiting[i]
			g, refusal := b.Admit(c.at, "a", "", "", Cost{})
			if refusal == nil {
				g.Release(c.at)
				if c.first > 0 {
					errors = append(errors, math.Abs(float64(c.at-c.first)/float64(c.told)-1))
				}
				waiting = slices.Delete(waiting, i, i+1)
				continue
			}
			if c.first == 0 {
				c.first, c.told = c.at, refusal.RetryAfter
			} else {
				again++
			}
			c.at += refusal.RetryAfter
		}
		slices.Sort(errors)
		median, p95 := stat.Quantile(0.5, stat.Empirical, errors, nil), stat.Quantile(0.95, stat.Empirical, errors, nil)
		t.Logf("%s: %d were told a time; error median %.3f, 95th percentile %.3f; %d came in vain once more", name, len(errors), median, p95, again)
		if median > 0.2 || p95 > 0.2 {
			t.Errorf("%s: error of the times told: median %.3f, 95th percentile %.3f", name, median, p95)
		}
	}
}

// TestChangesInFlight: contracts change while requests are open, once to nothing and back: grants are given back where they were
// taken, and what is open counts again when its tenant is back.
func TestChangesInFlight(t *testing.T) {
	with := func(open float64) *Spec {
		s := tenant("a", 1000, 1000, 1)
		s.MaxOpen[0] = open
		s.Children = []*Spec{{Name: "s", Rates: rates(Bytes, 1e6, 1e6)}}
		return &Spec{Name: "installation", Children: []*Spec{s}}
	}
	b := NewLedger(with(0))
	now := start
	var grants []Grant
	admit := func() *Rejection {
		g, refusal := b.Admit(now, "a", "s", "", Cost{Bytes: 10})
		if refusal == nil {
			grants = append(grants, g)
		}
		return refusal
	}
	for range 500 {
		if refusal := admit(); refusal != nil {
			t.Fatal(refusal)
		}
	}
	for i, root := range []*Spec{with(600), with(400), {Name: "installation"}, with(501), with(500)} {
		now += ms
		b.Renew(now, root)
		refusal := admit()
		want := []Kind{kindCount, OpenRequests, NoContract, kindCount, OpenRequests}[i]
		switch {
		case want == kindCount && refusal != nil, want != kindCount && (refusal == nil || refusal.Kind != want):
			t.Errorf("change %d: %v", i, refusal)
		}
		grants[0].Release(now)
		if grants = grants[1:]; i == 0 { // at 500 again
			continue
		}
		if refusal == nil {
			grants[0].Release(now)
			grants = grants[1:]
		}
		for len(grants) < 500 && i == 3 {
			if admit() != nil {
				break
			}
		}
	}
	for _, g := range grants {
		g.Release(now)
	}
	if b.InFlight() != 0 {
		t.Errorf("%d are held at the end", b.InFlight())
	}
}

// TestRefusals: each names its budget.
func TestRefusals(t *testing.T) {
	a := tenant("a", 1, 1, 1)
	a.Classes = []string{"lookup"}
	a.Children = []*Spec{{Name: "pictures", Rates: rates(PriorityWeight, 2, 2)}}
	open := tenant("open", 1000, 1000, 1)
	open.MaxOpen[0] = 1
	b := NewLedger(installation(2000, a, open, &Spec{Name: "free"}))
	for _, c := range []struct {
		tenant, service, class string
		cost                   Cost
		want                   string
	}{
		{"a", "", "charge", Cost{}, "the class is not in the contract of a"},
		{"a", "pictures", "lookup", Cost{PriorityWeight: 2}, ""},
		{"a", "pictures", "lookup", Cost{PriorityWeight: 2}, "budget a requests: asked 1, left 0"},
		{"x", "", "lookup", Cost{}, "no contract for x"},
		{"open", "", "lookup", Cost{}, ""},
		{"open", "", "lookup", Cost{}, "budget open open: asked 1, left 0"},
		{"free", "", "lookup", Cost{}, ""},
	} {
		_, refusal := b.Admit(start, c.tenant, c.service, c.class, c.cost)
		got := ""
		if refusal != nil {
			if got = refusal.String(); refusal.RetryAfter <= 0 {
				t.Errorf("%s: no time is told", got)
			}
		}
		if got != c.want {
			t.Errorf("%s %s: %q, want %q", c.tenant, c.class, got, c.want)
		}
	}
	over := installation(10, tenant("a", 8, 8, 1), &Spec{Name: "b", Children: []*Spec{tenant("s", 5, 5, 1)}})
	if faults := over.Overcommitments(); len(faults) != 1 || faults[0].String() != "installation requests: 13/s are guaranteed below, of 10/s" {
		t.Errorf("over-commitment: %v", faults)
	}
	if faults := over.Share(4).Overcommitments(); len(faults) != 1 || faults[0].Guaranteed != 13.0/4 {
		t.Errorf("a share of over-commitment: %v", faults)
	}
}
