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

// demand is the load of one tenant: requests at a rate, with exponential pauses, from a time on. A to of 0 means no
// end.
type demand struct {
	name     string
	rate     float64
	from, to time.Duration
	admitted []time.Duration
	rejected int
	next     time.Duration
}

// simulate sends the requests of all demands in simulated time, and releases each admitted one at once.
func simulate(ledger *Ledger, length time.Duration, demands ...*demand) {
	random := rand.New(rand.NewPCG(1, 2))
	for i := range demands {
		demands[i].next = start + demands[i].from
	}
	for {
		earliest := demands[0]
		for _, other := range demands {
			if other.next < earliest.next {
				earliest = other
			}
		}
		now := earliest.next
		if now > start+length {
			return
		}
		if earliest.to == 0 || now < start+earliest.to {
			if grant, rejection := ledger.Admit(now, earliest.name, "", "", Cost{}); rejection == nil {
				grant.Release(now)
				earliest.admitted = append(earliest.admitted, now-start)
			} else {
				earliest.rejected++
			}
		}
		earliest.next += time.Duration(random.ExpFloat64() / earliest.rate * 1e9)
	}
}

func (d *demand) admittedBetween(from, to time.Duration) (n int) {
	for _, at := range d.admitted {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// TestNodeWithoutGuaranteeLendsNothing guards against a node without a guaranteed rate above a child that has one: it
// lent its spare burst without end, and so used up what its sibling is guaranteed.
func TestNodeWithoutGuaranteeLendsNothing(t *testing.T) {
	unguaranteed := tenant("unguaranteed", 0, 100, 1)
	unguaranteed.Children = []*Spec{{Name: "service", Rates: rates(Requests, 1, 100)}}
	ledger := NewLedger(installation(20, unguaranteed, tenant("sibling", 10, 10, 1)))
	const length = 20 * time.Second
	siblingAdmitted, admitted := 0, 0
	for now := start; now < start+length; now += 5 * ms {
		if grant, rejection := ledger.Admit(now, "unguaranteed", "service", "", Cost{}); rejection == nil {
			grant.Release(now)
			admitted++
		}
		if (now-start)%(100*ms) != 0 {
			continue
		}
		if grant, rejection := ledger.Admit(now, "sibling", "", "", Cost{}); rejection == nil {
			grant.Release(now)
			siblingAdmitted++
		}
	}
	if want := int(length / (100 * ms)); siblingAdmitted != want {
		t.Errorf("admitted requests of the sibling within its guarantee: got %d, want %d, beside %d of the other node",
			siblingAdmitted, want, admitted)
	}
}

// TestSpareIsSharedByWeight checks that a rate that is not guaranteed to anybody is divided by weight among a hundred
// tenants that demand more than there is, and that all of it is used. Fairness is Jain's index of the tenants' admitted
// requests divided by their weights.
func TestSpareIsSharedByWeight(t *testing.T) {
	root := installation(1000)
	var demands []*demand
	for i := range 100 {
		weight := float64(1 + i%5)
		root.Children = append(root.Children, tenant(fmt.Sprint("t", i), 0, 1000, weight))
		demands = append(demands, &demand{name: fmt.Sprint("t", i), rate: 60})
	}
	simulate(NewLedger(root), 20*time.Second, demands...)
	var perWeight []float64
	total := 0
	for i, d := range demands {
		admitted := d.admittedBetween(5*time.Second, 20*time.Second)
		total += admitted
		perWeight = append(perWeight, float64(admitted)/float64(1+i%5))
	}
	mean := stat.Mean(perWeight, nil)
	squares := 0.0
	for _, rate := range perWeight {
		squares += rate * rate
	}
	jain := mean * mean * float64(len(perWeight)) / squares
	t.Logf("Jain's index %.4f; %d of 15000 requests admitted", jain, total)
	if jain < 0.98 || total < 14_700 || total > 15_600 {
		t.Errorf("got Jain's index %.4f, want at least 0.98; %d requests admitted, want 14700 to 15600",
			jain, total)
	}
}

// TestLenderReclaimsItsGuarantee checks that a borrower gets the whole rate while the lender is idle, and that the
// lender has its guarantee from its first request on, and the borrower the rest.
func TestLenderReclaimsItsGuarantee(t *testing.T) {
	ledger := NewLedger(installation(100, tenant("owner", 80, 80, 1), tenant("other", 10, 100, 1)))
	owner, other := &demand{name: "owner", rate: 70, from: 10 * time.Second}, &demand{name: "other", rate: 300}
	simulate(ledger, 20*time.Second, owner, other)
	if owner.rejected > 0 {
		t.Errorf("rejected requests of the owner within its guarantee: got %d, want 0", owner.rejected)
	}
	if admitted := other.admittedBetween(2*time.Second, 10*time.Second); admitted < 780 || admitted > 820 {
		t.Errorf("requests of the borrower alone in 8 s: got %d, want 780 to 820", admitted)
	}
	if admitted := other.admittedBetween(11*time.Second, 20*time.Second); admitted < 9*10 || admitted > 9*35 {
		t.Errorf("requests of the borrower beside the owner in 9 s: got %d, want 90 to 315", admitted)
	}
}

// TestCeilingAloneBoundsBorrowing checks that a tenant may send up to its ceiling if the installation has no limit.
func TestCeilingAloneBoundsBorrowing(t *testing.T) {
	ledger := NewLedger(&Spec{Name: "installation", Children: []*Spec{tenant("a", 10, 50, 1)}})
	load := &demand{name: "a", rate: 400}
	simulate(ledger, 10*time.Second, load)
	if admitted := load.admittedBetween(2*time.Second, 10*time.Second); admitted < 390 || admitted > 410 {
		t.Errorf("admitted requests in 8 s: got %d, want 390 to 410", admitted)
	}
}

// TestRetryAfter checks that a rejected client that comes back after its Retry-After is admitted at about that time.
// 300 clients of one tenant send one request each, at three times the rate of the tenant. The error of a Retry-After is
// its relative deviation from the time until admission.
func TestRetryAfter(t *testing.T) {
	for name, root := range map[string]*Spec{
		"guaranteed": installation(1000, tenant("a", 50, 50, 1)),
		"borrowed":   installation(50, tenant("a", 10, 50, 1)),
	} {
		ledger := NewLedger(root)
		random := rand.New(rand.NewPCG(3, 4))
		type client struct{ nextTry, firstRejected, retryAfter time.Duration }
		var waiting []client
		at := start
		for range 300 {
			at += time.Duration(random.ExpFloat64() / 150 * 1e9)
			waiting = append(waiting, client{nextTry: at})
		}
		var deviations []float64
		rejectedTwice := 0
		for len(waiting) > 0 {
			i := 0
			for j := range waiting {
				if waiting[j].nextTry < waiting[i].nextTry {
					i = j
				}
			}
			earliest := &waiting[i]
			grant, rejection := ledger.Admit(earliest.nextTry, "a", "", "", Cost{})
			if rejection == nil {
				grant.Release(earliest.nextTry)
				if earliest.firstRejected > 0 {
					ratio := float64(earliest.nextTry-earliest.firstRejected) / float64(earliest.retryAfter)
					deviations = append(deviations, math.Abs(ratio-1))
				}
				waiting = slices.Delete(waiting, i, i+1)
				continue
			}
			if earliest.firstRejected == 0 {
				earliest.firstRejected, earliest.retryAfter = earliest.nextTry, rejection.RetryAfter
			} else {
				rejectedTwice++
			}
			earliest.nextTry += rejection.RetryAfter
		}
		slices.Sort(deviations)
		median := stat.Quantile(0.5, stat.Empirical, deviations, nil)
		p95 := stat.Quantile(0.95, stat.Empirical, deviations, nil)
		t.Logf("%s rate: %d clients had a Retry-After; error: median %.3f, 95th percentile %.3f; %d retries rejected",
			name, len(deviations), median, p95, rejectedTwice)
		if median > 0.2 || p95 > 0.2 {
			t.Errorf("%s rate: Retry-After error: got median %.3f, 95th percentile %.3f, want at most 0.2",
				name, median, p95)
		}
	}
}

// TestReplaceContractsWithOpenRequests replaces the contracts while requests are open, once by empty ones and back
// again. Grants must be released at the nodes that admitted them, and requests that are still open must count again
// once their tenant is back.
func TestReplaceContractsWithOpenRequests(t *testing.T) {
	withMaxOpen := func(maxOpen float64) *Spec {
		spec := tenant("a", 1000, 1000, 1)
		spec.MaxOpen[0] = maxOpen
		spec.Children = []*Spec{{Name: "s", Rates: rates(Bytes, 1e6, 1e6)}}
		return &Spec{Name: "installation", Children: []*Spec{spec}}
	}
	const admitted = Kind(0xff) // stands for an admitted request; not a Kind
	ledger := NewLedger(withMaxOpen(0))
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
	for i, root := range []*Spec{
		withMaxOpen(600), withMaxOpen(400), {Name: "installation"}, withMaxOpen(501), withMaxOpen(500),
	} {
		now += ms
		ledger.ReplaceContracts(now, root)
		rejection := admit()
		want := []Kind{admitted, OpenRequests, NoContract, admitted, OpenRequests}[i]
		got := admitted
		if rejection != nil {
			got = rejection.Kind
		}
		if got != want {
			t.Errorf("after contract change %d: got rejection %v, want another outcome", i, rejection)
		}
		grants[0].Release(now)
		grants = grants[1:]
		if i == 0 { // 500 requests are open again
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
		t.Errorf("in flight after all releases: got %d, want 0", ledger.InFlight())
	}
}

// TestRejections checks the reasons of rejections, and the reports of over-commitments.
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
				t.Errorf("rejection %q: got no Retry-After, want one", got)
			}
		}
		if got != test.want {
			t.Errorf("rejection of tenant %s, class %s: got %q, want %q", test.tenant, test.class, got, test.want)
		}
	}
	overcommitted := installation(10, tenant("a", 8, 8, 1), &Spec{Name: "b", Children: []*Spec{tenant("s", 5, 5, 1)}})
	const want = "installation requests: 13/s are guaranteed below, of 10/s"
	if found := overcommitted.Overcommitments(); len(found) != 1 || found[0].String() != want {
		t.Errorf("over-commitments: got %v, want %s", found, want)
	}
	if found := overcommitted.Share(4).Overcommitments(); len(found) != 1 || found[0].Guaranteed != 13.0/4 {
		t.Errorf("over-commitments of one of 4 instances: got %v, want 13/4 guaranteed", found)
	}
}
