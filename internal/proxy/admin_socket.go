package proxy

import (
	"fmt"
	"io"
	"strings"
	"time"

	"sloequay/internal/memory"
	"sloequay/internal/proxy/admin"
	"sloequay/internal/quota"
)

// maxTenantsShown is the maximum number of tenants in an answer, the busiest first.
const maxTenantsShown = 50

// The answers to commands that cannot be carried out.
const (
	usageText          = "error: expected one of: state; peers; contracts; contracts TEAM CLASS [SERVICE]\n"
	contractsUsageText = "error: expected contracts TEAM CLASS [SERVICE]\n"
	noContractsText    = "error: no contracts are in force\n"
	noFleetText        = "error: no catalogue is configured, so there are no lists to exchange with peers\n"
)

// openAdminSocket opens the operators' socket. Its commands are answered on the event loop.
func (s *server) openAdminSocket(path string) {
	err := admin.Listen(path, func(words []string, answer chan<- string) {
		s.loop.Post(func() { answer <- s.answerCommand(words) })
	}, func(err error) {
		s.loop.Post(func() { s.log.Event("accept-failed", "path", path, "error", err) })
	})
	if err != nil {
		s.log.Event("admin-socket-failed", "path", path, "error", err)
	}
}

// answerCommand returns the answer to an operator's command.
func (s *server) answerCommand(words []string) string {
	var out strings.Builder
	switch {
	case len(words) == 1 && words[0] == "state":
		s.writeState(&out)
	case len(words) == 1 && words[0] == "peers":
		if s.sources.fleet == nil {
			return noFleetText
		}
		s.sources.fleet.writeStatus(&out)
	case len(words) == 0 || words[0] != "contracts":
		return usageText
	case s.quotas == nil:
		return noContractsText
	case len(words) == 1:
		s.writeUsage(&out)
	case len(words) >= 3:
		service := ""
		if len(words) > 3 {
			service = words[3]
		}
		ExplainBudgets(&out, s.quotas, s.clock.Monotonic(), words[1], words[2], service)
	default:
		return contractsUsageText
	}
	return out.String()
}

// writeState prints the number of invariant violations, the bytes that peers have yet to take, the closed connections
// on which some of these are still sent, the bytes held for open requests and queries, and how many objects of each
// kind the proxy holds, one kind per line. After a fault is over, the numbers of objects must return to their earlier
// values.
func (s *server) writeState(out io.Writer) {
	fmt.Fprintf(out, "clients %d\nviolations %d\n", s.frontend.Clients(), s.monitor.Violations())
	fmt.Fprintf(out, "unsent %d\ndraining %d\n", s.loop.UnsentBytes(), s.loop.DrainingRelays())
	for _, kind := range []memory.Kind{memory.Requests, memory.Queries} {
		fmt.Fprintf(out, "memory.%s %d\n", kind, s.memory.Reserved(kind))
	}
	for i, pool := range s.pools {
		requests := pool.broker.Sizes()
		attempts := pool.connections.Sizes()
		for _, line := range []struct {
			kind  string
			count int
		}{
			{"open", requests.Open},
			{"module", requests.PolicyRequests},
			{"timers", requests.Timers},
			{"boxes", requests.Endpoints},
			{"gone", requests.GoneEndpoints},
			{"purges", requests.Purges},
			{"spoken-to", attempts.Endpoints},
			{"connections", attempts.Connections},
			{"sent", attempts.Open},
			{"given-up", attempts.RememberedIDs},
		} {
			fmt.Fprintf(out, "pool.%d.%s %d\n", i, line.kind, line.count)
		}
	}
}

// writeUsage prints the budgets of the installation and of the busiest tenants, with their usage.
func (s *server) writeUsage(out io.Writer) {
	now := s.clock.Monotonic()
	tenants, total := s.quotas.BusiestTenants(now, maxTenantsShown)
	fmt.Fprintf(out, "version %d, %d open, %d of %d tenants in use shown\n",
		s.quotas.Version, s.quotas.InFlight(), len(tenants), total)
	if limit := s.quotas.ConcurrencyLimit(); limit != nil {
		fmt.Fprintf(out, "capacity %.0f open (adaptive limit); %d open now\n", limit.Value(), limit.Open())
	}
	usages := s.quotas.InstallationUsage(now)
	for _, tenant := range tenants {
		usages = append(usages, tenant.Usages...)
	}
	_ = quota.WriteTable(out, usages)
	for _, tenant := range tenants {
		if tenant.InFlight > 0 {
			fmt.Fprintf(out, "%s has %d open\n", tenant.Node, tenant.InFlight)
		}
	}
}

// ExplainBudgets prints the budgets that apply to a request, the most specific first, and what is left of them.
func ExplainBudgets(out io.Writer, quotas *quota.Ledger, now time.Duration, team, class, service string) {
	usages, refusal := quotas.Explain(now, team, service, class)
	if refusal != nil {
		fmt.Fprintln(out, "refused:", refusal)
		return
	}
	if len(usages) == 0 {
		fmt.Fprintln(out, "no budget applies")
		return
	}
	_ = quota.WriteTable(out, usages)
}
