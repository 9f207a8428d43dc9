package quota

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// roundingError is the number of units by which the sums of the model and of the ledger may differ.
const roundingError = 1e-6

// charge is what one admission has charged to a node.
type charge struct {
	at   time.Duration
	cost float64
}

// tokenBucket is the model of a guaranteed part: a token bucket that counts its tokens.
type tokenBucket struct {
	tokens float64
	at     time.Duration
}

// refill adds the tokens since the last refill.
func (b *tokenBucket) refill(now time.Duration, limit *rate) {
	b.tokens = min(limit.guaranteed.burst, b.tokens+(now-b.at).Seconds()*limit.guaranteed.rate)
	b.at = now
}

// treeModel sends random requests to a ledger and records what it admits, as a simple reference to compare with.
type treeModel struct {
	t       *rapid.T
	ledger  *Ledger
	paths   [][]string // each the names of a tenant and of one of its services
	now     time.Duration
	open    []Grant
	charges map[*node][]charge
	buckets map[*rate]*tokenBucket // models of the guaranteed parts of leaves
}

// drawTree draws random contracts that are not over-committed, and the paths of their nodes.
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

// TestTreeAgainstModel compares a ledger of random contracts with a simple model, for random requests. At each
// admission, the charges to every node on the path must keep its ceiling over all windows that end now. A request
// within the guaranteed part of a leaf, which the model counts by a token bucket, must be admitted. A rejection must
// take nothing, and no request may be open at the end.
func TestTreeAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		root, paths := drawTree(t)
		if found := root.Overcommitments(); len(found) > 0 {
			t.Fatalf("over-commitments of contracts that keep their guarantees: got %v, want none", found)
		}
		m := &treeModel{
			t: t, ledger: NewLedger(root), paths: paths, now: start,
			charges: map[*node][]charge{}, buckets: map[*rate]*tokenBucket{},
		}
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			m.now += time.Duration(rapid.IntRange(0, 120).Draw(t, "pause")) * ms
			if len(m.open) > 0 && rapid.IntRange(0, 2).Draw(t, "release") == 0 {
				i := rapid.IntRange(0, len(m.open)-1).Draw(t, "grant")
				m.open[i].Release(m.now)
				m.open = slices.Delete(m.open, i, i+1)
				continue
			}
			m.admit()
		}
		m.checkEnd()
	})
}

// admit sends a request along a random path and compares the ledger's decision with the model's.
func (m *treeModel) admit() {
	path := rapid.SampledFrom(m.paths).Draw(m.t, "leaf")
	leaf, _ := m.ledger.find(m.now, path[0], path[1], "")
	openLimitReached := false
	for n := leaf; n != nil; n = n.parent {
		openLimitReached = openLimitReached || n.spec.MaxOpen[0] > 0 && n.openUnits[0] >= n.spec.MaxOpen[0]
	}
	bucket := m.bucket(leaf)
	withinGuarantee := false
	if bucket != nil {
		withinGuarantee = bucket.tokens >= 1+roundingError
		if !withinGuarantee && bucket.tokens >= 1-roundingError {
			return // so close to a full token that rounding decides
		}
	}
	before := m.ledger.InFlight()
	grant, rejection := m.ledger.Admit(m.now, path[0], path[1], "", Cost{})
	switch {
	case rejection != nil && withinGuarantee && !openLimitReached:
		m.t.Fatalf("request of %v within its guaranteed part: got rejection %v, want admission", path, rejection)
	case rejection != nil && (rejection.Node == "" || m.ledger.InFlight() != before):
		m.t.Fatalf("rejection %+v names no budget, or has changed the requests in flight", rejection)
	case rejection != nil:
		return
	case openLimitReached:
		m.t.Fatalf("request of %v beyond its limit on open requests: got admission, want rejection", path)
	}
	m.open = append(m.open, grant)
	if withinGuarantee {
		bucket.tokens--
	}
	m.checkCeilings(leaf)
}

// bucket returns the refilled token bucket for the guaranteed part of a leaf; nil: it has none of its own.
func (m *treeModel) bucket(leaf *node) *tokenBucket {
	limit := leaf.nearestLimit(Requests)
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

// checkCeilings records an admission at each node of the path, and compares the charges over every window that ends now
// with the node's ceiling.
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
				m.t.Fatalf("charges of %s: got %g in %v, want at most its ceiling of %g", n.name, total, window, bound)
			}
		}
	}
}

// checkEnd releases all grants, and checks that no request is open then and that idle tenants are dropped.
func (m *treeModel) checkEnd() {
	for _, grant := range m.open {
		grant.Release(m.now)
	}
	if m.ledger.InFlight() != 0 || m.ledger.root.openUnits != [openKinds]float64{} {
		m.t.Fatalf("requests in flight at the end: got %d, want 0, and nothing open at the root", m.ledger.InFlight())
	}
	m.now += 2 * time.Hour
	for range 100 {
		m.ledger.sweep(m.now)
	}
	if m.ledger.Tenants() != 0 {
		m.t.Fatalf("idle tenants after the sweeps: got %d, want 0", m.ledger.Tenants())
	}
}
