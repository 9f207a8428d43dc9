package quota

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// TenantStatus is how one tenant in service stands.
type TenantStatus struct {
	Node     string
	InFlight int
	Usages   []Usage
}

// BusiestTenants tells how tenants stand, those with the most open first, at most so many, and how many there are.
func (b *Ledger) BusiestTenants(now time.Duration, most int) (out []TenantStatus, all int) {
	list := slices.Clone(b.ring)
	slices.SortFunc(list, func(x, y *node) int { return cmp.Or(cmp.Compare(y.open, x.open), cmp.Compare(x.name, y.name)) })
	for _, n := range list[:min(most, len(list))] {
		out = append(out, TenantStatus{n.name, n.open, n.own(now)})
	}
	return out, len(list)
}

// InstallationUsage tells how the installation's own budgets stand.
func (b *Ledger) InstallationUsage(now time.Duration) []Usage { return b.root.own(now) }

// WriteTable writes budgets as a table for people.
func WriteTable(w io.Writer, uses []Usage) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "budget\tkind\tguaranteed\tceiling\tleft\tto borrow")
	for _, u := range uses {
		if u.Kind >= rateKinds {
			fmt.Fprintf(t, "%s\t%s\t-\t%s\t%s\t-\n", u.Node, u.Kind, short(u.Ceiling), short(u.Left))
			continue
		}
		fmt.Fprintf(t, "%s\t%s\t%s/s\t%s/s\t%s\t%s\n", u.Node, u.Kind, short(u.Guaranteed), short(u.Ceiling), short(u.Left), short(u.Borrowable))
	}
	return t.Flush()
}
