package proxy

import (
	"fmt"
	"io"
	"strings"
	"time"

	"sloequay/internal/proxy/admin"
	"sloequay/internal/quota"
)

// shownMost is how many tenants are shown.
const shownMost = 50

// control opens the operators' socket, which meets the loop by posted tasks.
func (d *server) control(path string) {
	err := admin.Listen(path, func(words []string, to chan<- string) { d.loop.Post(func() { to <- d.ask(words) }) })
	if err != nil {
		d.log.Event("admin-socket-failed", "path", path, "error", err)
	}
}

// ask answers a question of an operator's. It runs on the loop.
func (d *server) ask(words []string) string {
	var out strings.Builder
	now := d.clock.Monotonic()
	switch {
	case len(words) == 1 && words[0] == "state":
		d.state(&out)
	case len(words) == 1 && words[0] == "peers":
		if d.sources.fleet == nil {
			return "error: there is no list service that peers could spare\n"
		}
		d.sources.fleet.writeStatus(&out)
	case len(words) == 0 || words[0] != "contracts":
		return "error: the questions are: state; peers; contracts; contracts TEAM CLASS [SERVICE]\n"
	case d.contracts == nil:
		return "error: no contracts are in force\n"
	case len(words) == 1:
		stands, all := d.contracts.BusiestTenants(now, shownMost)
		fmt.Fprintf(&out, "version %d, %d open, %d of %d tenants in use shown\n", d.contracts.Version, d.contracts.InFlight(), len(stands), all)
		if l := d.contracts.ConcurrencyLimit(); l != nil {
			fmt.Fprintf(&out, "capacity %.0f open, as learned; %d are\n", l.Value(), l.Open())
		}
		uses := d.contracts.InstallationUsage(now)
		for _, s := range stands {
			uses = append(uses, s.Usages...)
		}
		_ = quota.WriteTable(&out, uses)
		for _, s := range stands {
			if s.InFlight > 0 {
				fmt.Fprintf(&out, "%s has %d open\n", s.Node, s.InFlight)
			}
		}
	case len(words) >= 3:
		service := ""
		if len(words) > 3 {
			service = words[3]
		}
		Explain(&out, d.contracts, now, words[1], words[2], service)
	default:
		return "error: contracts TEAM CLASS [SERVICE]\n"
	}
	return out.String()
}

// state tells how much the doorman holds, a kind a line. All of it must come back to what it was once a bad day is over.
func (d *server) state(out io.Writer) {
	fmt.Fprintf(out, "clients %d\nviolations %d\n", d.front.Clients(), d.monitor.Violations())
	for i, p := range d.pools {
		b, c := p.broker.Sizes(), p.depots.Sizes()
		for _, line := range []struct {
			kind string
			n    int
		}{{"open", b.Open}, {"module", b.PolicyRequests}, {"timers", b.Timers}, {"boxes", b.Endpoints}, {"gone", b.GoneEndpoints}, {"purges", b.Purges},
			{"spoken-to", c.Endpoints}, {"connections", c.Connections}, {"sent", c.Open}, {"given-up", c.Canceled}} {
			fmt.Fprintf(out, "pool.%d.%s %d\n", i, line.kind, line.n)
		}
	}
}

// Explain prints which budgets apply to a request, the nearest first, and what is left.
func Explain(out io.Writer, b *quota.Ledger, now time.Duration, team, class, service string) {
	uses, refusal := b.Explain(now, team, service, class)
	if refusal != nil {
		fmt.Fprintln(out, "refused:", refusal)
		return
	}
	if len(uses) == 0 {
		fmt.Fprintln(out, "no budget applies")
		return
	}
	_ = quota.WriteTable(out, uses)
}
