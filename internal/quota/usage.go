package quota

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Usage is how one budget stands.
type Usage struct {
	Node       string
	Kind       Kind
	Guaranteed float64 // of a rate, a second
	Ceiling    float64 // of a rate, a second; of what is open, the limit
	Left       float64 // guaranteed and not used yet; of what is open, how much more may be
	Borrowable float64 // that its own ceiling would let it borrow
}

// Explain returns the budgets that apply to a request, the nearest first, and what is left of each.
func (l *Ledger) Explain(now time.Duration, tenant, service, class string) ([]Usage, *Rejection) {
	leaf, rejection := l.find(now, tenant, service, class)
	if rejection != nil {
		return nil, rejection
	}
	var usages []Usage
	for n := leaf; n != nil; n = n.parent {
		usages = append(usages, n.budgets(now)...)
	}
	return usages, nil
}

// TenantStatus is how one tenant in service stands.
type TenantStatus struct {
	Node     string
	InFlight int
	Usages   []Usage
}

// BusiestTenants returns how tenants stand, those with the most requests in flight first and at most limit of them, and
// how many tenants are in service.
func (l *Ledger) BusiestTenants(now time.Duration, limit int) (busiest []TenantStatus, inService int) {
	tenants := slices.Clone(l.inService)
	slices.SortFunc(tenants, func(a, b *node) int {
		return cmp.Or(cmp.Compare(b.inFlight, a.inFlight), cmp.Compare(a.name, b.name))
	})
	for _, tenant := range tenants[:min(limit, len(tenants))] {
		busiest = append(busiest, TenantStatus{tenant.name, tenant.inFlight, tenant.budgets(now)})
	}
	return busiest, len(tenants)
}

// InstallationUsage returns how the installation's own budgets stand.
func (l *Ledger) InstallationUsage(now time.Duration) []Usage { return l.root.budgets(now) }

// WriteTable writes budgets as a table for people.
func WriteTable(w io.Writer, usages []Usage) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "budget\tkind\tguaranteed\tceiling\tleft\tto borrow")
	for _, u := range usages {
		ceiling, left := formatUnits(u.Ceiling), formatUnits(u.Left)
		if u.Kind >= rateKinds {
			fmt.Fprintf(table, "%s\t%s\t-\t%s\t%s\t-\n", u.Node, u.Kind, ceiling, left)
			continue
		}
		fmt.Fprintf(table, "%s\t%s\t%s/s\t%s/s\t%s\t%s\n",
			u.Node, u.Kind, formatUnits(u.Guaranteed), ceiling, left, formatUnits(u.Borrowable))
	}
	return table.Flush()
}
