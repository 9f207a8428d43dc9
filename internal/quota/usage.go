package quota

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Usage is the state of one budget.
type Usage struct {
	Node       string
	Kind       Kind
	Guaranteed float64 // of a rate: units per second
	Ceiling    float64 // of a rate: units per second; of OpenRequests and OpenBytes: the limit
	Left       float64 // of a rate: guaranteed units not used yet; of OpenRequests and OpenBytes: what may be added
	Borrowable float64 // of a rate: units that its own ceiling lets it borrow now
}

// Explain returns the state of the budgets that apply to a request, from the nearest node upward.
func (l *Ledger) Explain(now time.Duration, tenant, service, class string) ([]Usage, *Rejection) {
	leaf, rejection := l.find(now, tenant, service, class)
	if rejection != nil {
		return nil, rejection
	}
	var usages []Usage
	for n := leaf; n != nil; n = n.parent {
		usages = append(usages, n.usages(now)...)
	}
	return usages, nil
}

// TenantStatus is the state of one tenant in service.
type TenantStatus struct {
	Node     string
	InFlight int
	Usages   []Usage
}

// BusiestTenants returns the state of at most limit tenants, those with the most requests in flight first, and the
// number of tenants in service.
func (l *Ledger) BusiestTenants(now time.Duration, limit int) (busiest []TenantStatus, inService int) {
	tenants := slices.Clone(l.inService)
	slices.SortFunc(tenants, func(a, b *node) int {
		return cmp.Or(cmp.Compare(b.inFlight, a.inFlight), cmp.Compare(a.name, b.name))
	})
	for _, tenant := range tenants[:min(limit, len(tenants))] {
		busiest = append(busiest, TenantStatus{tenant.name, tenant.inFlight, tenant.usages(now)})
	}
	return busiest, len(tenants)
}

// InstallationUsage returns the state of the installation's own budgets.
func (l *Ledger) InstallationUsage(now time.Duration) []Usage { return l.root.usages(now) }

// WriteTable writes the state of budgets as an aligned text table.
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
