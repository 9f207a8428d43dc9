package quota_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sloequay/internal/concurrency"
	"sloequay/internal/digesttest"
	"sloequay/internal/quota"
)

const (
	decisionSeeds = 24
	bytesKind     = 2  // index among the kinds of rates
	bytesScale    = 20 // bytes per request, so that the limits on bytes do not reject nearly all requests
)

// simulation runs one seed: random contracts, which are replaced while requests are in flight, and random requests.
type simulation struct {
	random   *rand.Rand
	recorder *digesttest.Recorder
	ledger   *quota.Ledger
	now      time.Duration
	granted  []quota.Grant
	counts   map[string]int
}

// drawNumber draws a number from 0 to below limit, sometimes with a fraction.
func (s *simulation) drawNumber(limit int) float64 {
	number := float64(s.random.IntN(limit))
	if s.random.IntN(4) == 0 {
		number += s.random.Float64()
	}
	return number
}

func (s *simulation) drawLimit(below float64) quota.Limit {
	limit := quota.Limit{Set: true, Guaranteed: below}
	if s.random.IntN(3) > 0 {
		limit.Guaranteed += s.drawNumber(30)
	}
	limit.Ceiling = limit.Guaranteed
	if s.random.IntN(2) == 0 {
		limit.Ceiling += s.drawNumber(60)
	}
	return limit
}

// drawSpec draws a node with nodes below it. It also returns the guaranteed rate of each kind.
func (s *simulation) drawSpec(name string, depth int) (*quota.Spec, [5]float64) {
	spec := &quota.Spec{Name: name}
	if s.random.IntN(2) == 0 {
		spec.Weight = float64(s.random.IntN(6)) // integers, as their sums are exact in any order
	}
	if s.random.IntN(2) == 0 {
		spec.Burst = time.Duration(1+s.random.IntN(2000)) * time.Millisecond
	}
	var below [5]float64
	if depth < 3 {
		for i := range s.random.IntN(4) {
			child, guaranteed := s.drawSpec(fmt.Sprintf("%c%d", 'a'+depth, i), depth+1)
			spec.Children = append(spec.Children, child)
			for kind := range below {
				below[kind] += guaranteed[kind]
			}
		}
	}
	for kind := range below {
		if s.random.IntN(3) == 0 {
			continue
		}
		if s.random.IntN(12) == 0 { // over-committed
			below[kind] /= 2
		}
		spec.Rates[kind] = s.drawLimit(below[kind])
		if kind == bytesKind {
			spec.Rates[kind].Guaranteed *= bytesScale
			spec.Rates[kind].Ceiling *= bytesScale
		}
		below[kind] = spec.Rates[kind].Guaranteed
	}
	if s.random.IntN(3) == 0 {
		spec.MaxOpen[0] = 1 + s.drawNumber(20)
	}
	if s.random.IntN(3) == 0 {
		spec.MaxOpen[1] = 50 + s.drawNumber(200)
	}
	if depth == 1 && s.random.IntN(4) == 0 {
		spec.Classes = []string{"c0", "c1"}
	}
	return spec, below
}

// drawContracts draws the contracts of an installation, and returns the share of one of up to three instances.
func (s *simulation) drawContracts() *quota.Spec {
	root := &quota.Spec{Name: "installation"}
	var guaranteed [5]float64
	names := []string{"t0", "t1", "t2", "t3", ""}
	for _, name := range names {
		if s.random.IntN(5) == 0 {
			continue
		}
		tenant, below := s.drawSpec(name, 1)
		root.Children = append(root.Children, tenant)
		for kind := range guaranteed {
			guaranteed[kind] += below[kind]
		}
	}
	for kind := range guaranteed {
		if s.random.IntN(2) == 0 {
			capacity := guaranteed[kind] + s.drawNumber(40)
			root.Rates[kind] = quota.Limit{Set: true, Guaranteed: capacity, Ceiling: capacity}
		}
	}
	if s.random.IntN(4) == 0 {
		root.MaxOpen[0] = 10 + s.drawNumber(60)
	}
	for _, overcommitment := range root.Overcommitments() {
		s.counts["over-commitments"]++
		s.recorder.Add("over-committed %s %v %v", overcommitment, overcommitment.Guaranteed, overcommitment.Available)
	}
	share := root.Share(1 + s.random.IntN(3))
	s.recorder.Add("over-committed in a share %v", share.Overcommitments())
	return share
}

func newSimulation(seed uint64, recorder *digesttest.Recorder, counts map[string]int) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 0xc0_47)), recorder: recorder, now: 1000 * time.Second,
		counts: counts}
	s.ledger = quota.NewLedger(s.drawContracts())
	if seed%3 == 0 {
		s.ledger.LimitConcurrency(concurrency.New(concurrency.Config{Min: 4, Max: 40, Start: 12}))
	}
	return s
}

// recordRejection records a rejection; nil: the request was admitted.
func (s *simulation) recordRejection(what string, rejection *quota.Rejection) {
	if rejection == nil {
		s.counts[what]++
		s.recorder.Add("%s at %d", what, int64(s.now))
		return
	}
	s.counts[what+" rejected by "+rejection.Kind.String()]++
	s.recorder.Add("%s at %d rejected: %s; %s; %v %v %d", what, int64(s.now), rejection, rejection.BudgetName(),
		rejection.Requested, rejection.Left, int64(rejection.RetryAfter))
}

func (s *simulation) recordUsages(usages []quota.Usage) {
	for _, usage := range usages {
		s.recorder.Add("%s %s %v %v %v %v", usage.Node, usage.Kind, usage.Guaranteed, usage.Ceiling, usage.Left,
			usage.Borrowable)
	}
	var table bytes.Buffer
	err := quota.WriteTable(&table, usages)
	s.recorder.Add("%s %v", table.String(), err)
}

// drawRequest draws the tenant, the service and the class of a request.
func (s *simulation) drawRequest() (tenant, service, class string) {
	tenant = []string{"t0", "t0", "t1", "t1", "t2", "t3", "x", "y"}[s.random.IntN(8)]
	service = []string{"", "b0", "b1", "b2"}[s.random.IntN(4)]
	class = []string{"", "c0", "c1", "c2", "b0"}[s.random.IntN(5)]
	return tenant, service, class
}

func (s *simulation) admit() {
	tenant, service, class := s.drawRequest()
	cost := quota.Cost{PriorityWeight: s.drawNumber(4), Bytes: s.drawNumber(30)}
	if s.random.IntN(20) == 0 {
		cost.Bytes *= 10
	}
	grant, rejection := s.ledger.Admit(s.now, tenant, service, class, cost)
	s.recordRejection("admission", rejection)
	if rejection != nil {
		return
	}
	s.recorder.Add("granted to %q", grant.Tenant())
	s.granted = append(s.granted, grant)
	s.recordRejection("first attempt", grant.SpendAttempt(s.now))
	if s.random.IntN(4) == 0 {
		s.recordRejection("retry", grant.SpendRetry(s.now))
	}
}

// release releases a random grant.
func (s *simulation) release() {
	i := s.random.IntN(len(s.granted))
	grant := s.granted[i]
	s.granted = append(s.granted[:i], s.granted[i+1:]...)
	outcome, took := concurrency.Outcome(s.random.IntN(4)), time.Duration(s.random.IntN(400))*time.Millisecond
	if s.random.IntN(3) > 0 {
		outcome = 0
	}
	if s.random.IntN(3) == 0 {
		grant.Release(s.now)
		return
	}
	grant.ReleaseWithOutcome(s.now, outcome, took)
}

// inspect records the state that operators are shown.
func (s *simulation) inspect() {
	tenant, service, class := s.drawRequest()
	usages, rejection := s.ledger.Explain(s.now, tenant, service, class)
	s.recordRejection("explanation", rejection)
	s.recordUsages(usages)
	s.recordUsages(s.ledger.InstallationUsage(s.now))
	statuses, all := s.ledger.BusiestTenants(s.now, 2)
	s.recorder.Add("%d tenants", all)
	for _, status := range statuses {
		s.recorder.Add("%s has %d open", status.Node, status.InFlight)
		s.recordUsages(status.Usages)
	}
}

func (s *simulation) step() {
	s.now += time.Duration(s.random.ExpFloat64() * float64(8*time.Millisecond))
	switch draw := s.random.IntN(1000); {
	case draw < 1:
		s.counts["idle gaps"]++
		s.now += time.Duration(s.random.IntN(40)) * time.Second
	case draw < 4:
		s.counts["contract changes"]++
		s.ledger.ReplaceContracts(s.now, s.drawContracts())
	case draw < 30:
		s.inspect()
	case draw < 40:
		for range 20 { // a burst
			s.admit()
		}
	case draw < 450 && len(s.granted) > 0, len(s.granted) > 60:
		s.release()
	default:
		s.admit()
	}
	s.recorder.Add("%d tenants, %d in flight, version %d", s.ledger.Tenants(), s.ledger.InFlight(), s.ledger.Version)
	if limit := s.ledger.ConcurrencyLimit(); limit != nil {
		s.recorder.Add("capacity %v, %d open", limit.Value(), limit.Open())
	}
}

// decisionMinimums is how often each outcome must occur at least, over all seeds, so that the digests cover it.
var decisionMinimums = map[string]int{
	"admission": 10000, "admission rejected by bytes": 2000, "admission rejected by capacity": 900,
	"admission rejected by class": 4000, "admission rejected by contract": 2000, "admission rejected by open": 1200,
	"admission rejected by open-bytes": 700, "admission rejected by requests": 5000,
	"admission rejected by worth": 5000, "explanation": 800, "explanation rejected by class": 100,
	"explanation rejected by contract": 50, "first attempt": 9000, "first attempt rejected by attempts": 1800,
	"over-commitments": 80, "idle gaps": 40, "contract changes": 100, "retry": 1800, "retry rejected by attempts": 700,
	"retry rejected by repeats": 180,
}

// TestDecisions runs random contracts and requests and compares the digests of all results with the golden file.
func TestDecisions(t *testing.T) {
	counts := map[string]int{}
	digesttest.Check(t, decisionSeeds, func(seed uint64, recorder *digesttest.Recorder) {
		s := newSimulation(seed, recorder, counts)
		for range 1000 + 100*seed {
			s.step()
		}
		for len(s.granted) > 0 {
			s.release()
		}
		s.recorder.Add("%d in flight at the end", s.ledger.InFlight())
	})
	digesttest.CheckCounts(t, counts, decisionMinimums)
}

// TestPrintedSettings compares the printed directives of the block with the golden file, and checks that the ledger has
// the default concurrency limit.
func TestPrintedSettings(t *testing.T) {
	section, contracts := quota.Section()
	const text = "requests 100/s\ninstances 4\nteam a {\nrequests 40/s 80/s\nopen 9\nservice s {\nworth 4/s\n" +
		"for c {\nbytes 8/s\n}\n}\nfor d {\nrepeats 1/s\n}\n}\nothers {\nopen-bytes 1MiB\n}\n" +
		"retries {\n}\nadaptive {\n}"
	if err := section.Parse("f", []byte(text)); err != nil {
		t.Fatal(err)
	}
	var printed strings.Builder
	if err := section.Print(&printed); err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile("testdata/settings.txt")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), printed.String()); diff != "" {
		t.Errorf("printed settings differ (-want +got):\n%s", diff)
	}
	ledger := contracts.Ledger()
	if got := ledger.ConcurrencyLimit().Value(); got != 200 {
		t.Errorf("initial concurrency limit: got %v, want 200", got)
	}
}
