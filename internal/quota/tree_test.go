package quota

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// roundingError is what sums in the model may differ by.
const roundingError = 1e-6

// charge is one admission at a node.
type charge struct {
	at   time.Duration
	cost float64
}

// tokenBucket is the plain way to count against a guaranteed part.
type tokenBucket struct {
	tokens float64
	at     time.Duration
}

// refill adds what has come since the last time.
func (b *tokenBucket) refill(now time.Duration, limit *rate) {
	b.tokens = min(limit.guaranteed.burst, b.tokens+(now-b.at).Seconds()*limit.guaranteed.rate)
	b.at = now
}

// treeModel plays random requests against a ledger and keeps, in the plainest way, what it has admitted.
type treeModel struct {
	t       *rapid.T
	ledger  *Ledger
	paths   [][]string // tenant and service
	now     time.Duration
	open    []Grant
	charges map[*node][]charge
	buckets map[*rate]*tokenBucket // of the guaranteed parts of leaves
}

// drawTree draws contracts that are not over-committed, and the paths of their nodes.
func drawTree(t *rapid.T) (root *Spec, paths [][]string) {
	root = &Spec{Name: "installation"}
	sum := 0.0
	for i := range rapid.IntRange(1, 4).Draw(t, "tenants") {
		spec := &Spec{Name: fmt.Sprint("t", i), Weight: float64(rapid.IntRange(0, 5).Draw(t, "weight"))}
		below := 0.0
		for j := range rapid.IntRange(0, 3).Draw(t, "services") {
			guaranteed := float64(rapid.IntRange(0, 20).Draw(t, "guaranteed"))
			ceiling := guaranteed + float64(rapid.IntRange(0, 60).Draw(t, "beyond"))
			service := tenant(fmt.Sprint("s", j), guaranteed, ceiling, float64(j))
			service.Burst = time.Duration(rapid.IntRange(1, 2000).Draw(t, "burst")) * ms
			spec.Children = append(spec.Children, service)
			below += guaranteed
			paths = append(paths, []string{spec.Name, service.Name})
		}
		if rapid.IntRange(0, 3).Draw(t, "limited") > 0 {
			below += float64(rapid.IntRange(0, 20).Draw(t, "more"))
			spec.Rates = rates(Requests, below, below+float64(rapid.IntRange(0, 60).Draw(t, "beyond")))
			spec.Burst = time.Duration(rapid.IntRange(1, 2000).Draw(t, "burst")) * ms
		}
		spec.MaxOpen[0] = float64(rapid.IntRange(0, 30).Draw(t, "open"))
		sum += below
		root.Children = append(root.Children, spec)
		paths = append(paths, []string{spec.Name, ""})
	}
	if rapid.Bool().Draw(t, "installation limited") {
		capacity := sum + float64(rapid.IntRange(1, 50).Draw(t, "capacity"))
		root.Rates = rates(Requests, capacity, capacity)
	}
	return root, paths
}

// TestTree plays random trees and random demands. After each admission the plain model counts, for each node on the
// path, all that it was charged over every window that ends now, against its ceiling; what lies within a leaf's own
// guaranteed part by a token bucket of its own is never rejected; a rejection takes nothing; and at the end nothing is
// open.
func TestTree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		root, paths := drawTree(t)
		if found := root.Overcommitments(); len(found) > 0 {
			t.Fatalf("a sound tree is over-committed: %v", found)
		}
		m := &treeModel{
			t: t, ledger: NewLedger(root), paths: paths, now: start,
			charges: map[*node][]charge{}, buckets: map[*rate]*tokenBucket{},
		}
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			m.now += time.Duration(rapid.IntRange(0, 120).Draw(t, "pause")) * ms
			if len(m.open) > 0 && rapid.IntRange(0, 2).Draw(t, "an end") == 0 {
				i := rapid.IntRange(0, len(m.open)-1).Draw(t, "of")
				m.open[i].Release(m.now)
				m.open = slices.Delete(m.open, i, i+1)
				continue
			}
			m.admit()
		}
		m.end()
	})
}

// admit sends a request along a random path and compares the ledger's decision with the model's.
func (m *treeModel) admit() {
	path := rapid.SampledFrom(m.paths).Draw(m.t, "leaf")
	leaf, _ := m.ledger.find(m.now, path[0], path[1], "")
	full := false
	for n := leaf; n != nil; n = n.parent {
		full = full || n.spec.MaxOpen[0] > 0 && n.openUnits[0] >= n.spec.MaxOpen[0]
	}
	bucket := m.bucket(leaf)
	within := false
	if bucket != nil {
		within = bucket.tokens >= 1+roundingError
		if !within && bucket.tokens >= 1-roundingError {
			return // on the edge, where rounding decides
		}
	}
	before := m.ledger.InFlight()
	grant, rejection := m.ledger.Admit(m.now, path[0], path[1], "", Cost{})
	switch {
	case rejection != nil && within && !full:
		m.t.Fatalf("%v is within its guaranteed part and was rejected: %v", path, rejection)
	case rejection != nil && (rejection.Node == "" || m.ledger.InFlight() != before):
		m.t.Fatalf("a rejection without a budget, or that took something: %+v", rejection)
	case rejection != nil:
		return
	case full:
		m.t.Fatalf("%v was admitted beyond what may be open", path)
	}
	m.open = append(m.open, grant)
	if within {
		bucket.tokens--
	}
	m.checkCeilings(leaf)
}

// bucket returns the refilled bucket of a leaf's own guaranteed part; nil: it has none.
func (m *treeModel) bucket(leaf *node) *tokenBucket {
	limit := leaf.limitOf(Requests)
	if limit == nil || len(limit.node.spec.Children) > 0 || limit.guaranteed.rate <= 0 {
		return nil
	}
	bucket := m.buckets[limit]
	if bucket == nil {
		bucket = &tokenBucket{limit.guaranteed.burst, m.now}
		m.buckets[limit] = bucket
	}
	bucket.refill(m.now, limit)
	return bucket
}

// checkCeilings counts an admission at each node of the path over every window that ends now.
func (m *treeModel) checkCeilings(leaf *node) {
	for n := leaf; n != nil; n = n.parent {
		m.charges[n] = append(m.charges[n], charge{m.now, 1})
		limit := n.rates[Requests]
		if limit == nil {
			continue
		}
		total := 0.0
		for _, c := range slices.Backward(m.charges[n]) {
			total += c.cost
			window := m.now - c.at
			bound := limit.ceiling.rate*window.Seconds() + limit.ceiling.burst
			if total > bound+roundingError {
				m.t.Fatalf("%s was charged %g in %v, and its ceiling is %g", n.name, total, window, bound)
			}
		}
	}
}

// end releases all that is open, and checks that nothing is left of it and of idle tenants.
func (m *treeModel) end() {
	for _, grant := range m.open {
		grant.Release(m.now)
	}
	if m.ledger.InFlight() != 0 || m.ledger.root.openUnits != [openKinds]float64{} {
		m.t.Fatalf("%d are in flight at the end", m.ledger.InFlight())
	}
	m.now += 2 * time.Hour
	for range 100 {
		m.ledger.sweep(m.now)
	}
	if m.ledger.Tenants() != 0 {
		m.t.Fatalf("%d idle tenants are left", m.ledger.Tenants())
	}
}
