package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gonum.org/v1/gonum/stat"
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

// demand is what one tenant sends: at a rate, evenly, from a time.
type demand struct {
	name     string
	rate     float64
	from, to time.Duration
	admitted []time.Duration
	rejected int
	next     time.Duration
}

// play runs demands side by side in simulated time, and ends each request at once.
func play(ledger *Ledger, length time.Duration, demands ...*demand) {
	random := rand.New(rand.NewPCG(1, 2))
	for i := range demands {
		demands[i].next = start + demands[i].from
	}
	for {
		first := demands[0]
		for _, other := range demands {
			if other.next < first.next {
				first = other
			}
		}
		now := first.next
		if now > start+length {
			return
		}
		if first.to == 0 || now < start+first.to {
			if grant, rejection := ledger.Admit(now, first.name, "", "", Cost{}); rejection == nil {
				grant.Release(now)
				first.admitted = append(first.admitted, now-start)
			} else {
				first.rejected++
			}
		}
		first.next += time.Duration(random.ExpFloat64() / first.rate * 1e9)
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

// TestNodeWithoutGuaranteeLendsNothing guards against a node that guarantees nothing above a child that is guaranteed
// something: it lent its spare burst without end, and took what a sibling is guaranteed.
func TestNodeWithoutGuaranteeLendsNothing(t *testing.T) {
	greedy := tenant("greedy", 0, 100, 1)
	greedy.Children = []*Spec{{Name: "service", Rates: rates(Requests, 1, 100)}}
	ledger := NewLedger(installation(20, greedy, tenant("modest", 10, 10, 1)))
	const length = 20 * time.Second
	modest, admitted := 0, 0
	for now := start; now < start+length; now += 5 * ms {
		if grant, rejection := ledger.Admit(now, "greedy", "service", "", Cost{}); rejection == nil {
			grant.Release(now)
			admitted++
		}
		if (now-start)%(100*ms) != 0 {
			continue
		}
		if grant, rejection := ledger.Admit(now, "modest", "", "", Cost{}); rejection == nil {
			grant.Release(now)
			modest++
		}
	}
	if want := int(length / (100 * ms)); modest != want {
		t.Errorf("%d of %d requests within the guaranteed part were admitted, beside %d of the sibling's",
			modest, want, admitted)
	}
}

// TestSpareByWeight: what nobody has a guarantee of is divided by weight among a hundred that want more than there is,
// and all of it is used. Measured by Jain's index of what each has over its weight.
func TestSpareByWeight(t *testing.T) {
	root := installation(1000)
	var demands []*demand
	for i := range 100 {
		weight := float64(1 + i%5)
		root.Children = append(root.Children, tenant(fmt.Sprint("t", i), 0, 1000, weight))
		demands = append(demands, &demand{name: fmt.Sprint("t", i), rate: 60})
	}
	play(NewLedger(root), 20*time.Second, demands...)
	var perWeight []float64
	total := 0
	for i, d := range demands {
		admitted := d.between(5*time.Second, 20*time.Second)
		total += admitted
		perWeight = append(perWeight, float64(admitted)/float64(1+i%5))
	}
	mean := stat.Mean(perWeight, nil)
	squares := 0.0
	for _, rate := range perWeight {
		squares += rate * rate
	}
	jain := mean * mean * float64(len(perWeight)) / squares
	t.Logf("Jain's index %.4f, %d of 15000 used", jain, total)
	if jain < 0.98 || total < 14_700 || total > 15_600 {
		t.Errorf("Jain's index %.4f, %d of 15000 used", jain, total)
	}
}

// TestOwnerComesBack: the lender has its guarantee from its first request on, and the borrower what is left; alone, the
// borrower has it all.
func TestOwnerComesBack(t *testing.T) {
	ledger := NewLedger(installation(100, tenant("owner", 80, 80, 1), tenant("other", 10, 100, 1)))
	owner, other := &demand{name: "owner", rate: 70, from: 10 * time.Second}, &demand{name: "other", rate: 300}
	play(ledger, 20*time.Second, owner, other)
	if owner.rejected > 0 {
		t.Errorf("%d of the owner's requests within its guarantee were rejected", owner.rejected)
	}
	if admitted := other.between(2*time.Second, 10*time.Second); admitted < 780 || admitted > 820 {
		t.Errorf("alone, the borrower had %d in 8 s, want 800", admitted)
	}
	if admitted := other.between(11*time.Second, 20*time.Second); admitted < 9*10 || admitted > 9*35 {
		t.Errorf("beside the owner the borrower had %d in 9 s", admitted)
	}
}

// TestUnlimitedAbove: where the installation has no limit, ceilings alone bound what is borrowed.
func TestUnlimitedAbove(t *testing.T) {
	ledger := NewLedger(&Spec{Name: "installation", Children: []*Spec{tenant("a", 10, 50, 1)}})
	d := &demand{name: "a", rate: 400}
	play(ledger, 10*time.Second, d)
	if admitted := d.between(2*time.Second, 10*time.Second); admitted < 390 || admitted > 410 {
		t.Errorf("%d in 8 s, want 400", admitted)
	}
}

// TestRetryAfter: who is rejected comes back after its Retry-After, and is admitted then, or nearly: 300 clients of one
// tenant that each want one request, at three times what it may send. The error is that of the Retry-After against the
// time until admission.
func TestRetryAfter(t *testing.T) {
	for name, root := range map[string]*Spec{
		"its own":  installation(1000, tenant("a", 50, 50, 1)),
		"borrowed": installation(50, tenant("a", 10, 50, 1)),
	} {
		ledger := NewLedger(root)
		random := rand.New(rand.NewPCG(3, 4))
		type client struct{ at, first, retryAfter time.Duration }
		var waiting []client
		at := start
		for range 300 {
			at += time.Duration(random.ExpFloat64() / 150 * 1e9)
			waiting = append(waiting, client{at: at})
		}
		var deviations []float64
		rejectedTwice := 0
		for len(waiting) > 0 {
			i := 0
			for j := range waiting {
				if waiting[j].at < waiting[i].at {
					i = j
				}
			}
			earliest := &waiting[i]
			grant, rejection := ledger.Admit(earliest.at, "a", "", "", Cost{})
			if rejection == nil {
				grant.Release(earliest.at)
				if earliest.first > 0 {
					ratio := float64(earliest.at-earliest.first) / float64(earliest.retryAfter)
					deviations = append(deviations, math.Abs(ratio-1))
				}
				waiting = slices.Delete(waiting, i, i+1)
				continue
			}
			if earliest.first == 0 {
				earliest.first, earliest.retryAfter = earliest.at, rejection.RetryAfter
			} else {
				rejectedTwice++
			}
			earliest.at += rejection.RetryAfter
		}
		slices.Sort(deviations)
		median := stat.Quantile(0.5, stat.Empirical, deviations, nil)
		p95 := stat.Quantile(0.95, stat.Empirical, deviations, nil)
		t.Logf("%s: %d had a Retry-After; error median %.3f, 95th percentile %.3f; %d were rejected once more",
			name, len(deviations), median, p95, rejectedTwice)
		if median > 0.2 || p95 > 0.2 {
			t.Errorf("%s: error of the Retry-After: median %.3f, 95th percentile %.3f", name, median, p95)
		}
	}
}

// TestChangesInFlight: contracts change while requests are open, once to nothing and back: grants are given back where
// they were taken, and what is open counts again when its tenant is back.
func TestChangesInFlight(t *testing.T) {
	with := func(open float64) *Spec {
		spec := tenant("a", 1000, 1000, 1)
		spec.MaxOpen[0] = open
		spec.Children = []*Spec{{Name: "s", Rates: rates(Bytes, 1e6, 1e6)}}
		return &Spec{Name: "installation", Children: []*Spec{spec}}
	}
	const admitted = Kind(0xff) // no kind
	ledger := NewLedger(with(0))
	now := start
	var grants []Grant
	admit := func() *Rejection {
		grant, rejection := ledger.Admit(now, "a", "s", "", Cost{Bytes: 10})
		if rejection == nil {
			grants = append(grants, grant)
		}
		return rejection
	}
	for range 500 {
		if rejection := admit(); rejection != nil {
			t.Fatal(rejection)
		}
	}
	for i, root := range []*Spec{with(600), with(400), {Name: "installation"}, with(501), with(500)} {
		now += ms
		ledger.ReplaceContracts(now, root)
		rejection := admit()
		want := []Kind{admitted, OpenRequests, NoContract, admitted, OpenRequests}[i]
		got := admitted
		if rejection != nil {
			got = rejection.Kind
		}
		if got != want {
			t.Errorf("change %d: %v", i, rejection)
		}
		grants[0].Release(now)
		grants = grants[1:]
		if i == 0 { // at 500 again
			continue
		}
		if rejection == nil {
			grants[0].Release(now)
			grants = grants[1:]
		}
		for len(grants) < 500 && i == 3 {
			if admit() != nil {
				break
			}
		}
	}
	for _, grant := range grants {
		grant.Release(now)
	}
	if ledger.InFlight() != 0 {
		t.Errorf("%d are in flight at the end", ledger.InFlight())
	}
}

// TestRejections: each names its budget.
func TestRejections(t *testing.T) {
	team := tenant("a", 1, 1, 1)
	team.Classes = []string{"lookup"}
	team.Children = []*Spec{{Name: "pictures", Rates: rates(PriorityWeight, 2, 2)}}
	open := tenant("open", 1000, 1000, 1)
	open.MaxOpen[0] = 1
	ledger := NewLedger(installation(2000, team, open, &Spec{Name: "free"}))
	for _, test := range []struct {
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
		_, rejection := ledger.Admit(start, test.tenant, test.service, test.class, test.cost)
		got := ""
		if rejection != nil {
			if got = rejection.String(); rejection.RetryAfter <= 0 {
				t.Errorf("%s: no Retry-After", got)
			}
		}
		if got != test.want {
			t.Errorf("%s %s: %q, want %q", test.tenant, test.class, got, test.want)
		}
	}
	over := installation(10, tenant("a", 8, 8, 1), &Spec{Name: "b", Children: []*Spec{tenant("s", 5, 5, 1)}})
	const want = "installation requests: 13/s are guaranteed below, of 10/s"
	if found := over.Overcommitments(); len(found) != 1 || found[0].String() != want {
		t.Errorf("over-commitment: %v, want %s", found, want)
	}
	if found := over.Share(4).Overcommitments(); len(found) != 1 || found[0].Guaranteed != 13.0/4 {
		t.Errorf("a share of over-commitment: %v", found)
	}
}
