package cli

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"sloequay/internal/clock"
	"sloequay/internal/proxy"
	"sloequay/internal/proxy/admin"
	"sloequay/internal/quota"
)

// contractsOptions are the flags of `sloequay contracts`.
type contractsOptions struct {
	settings string
	show     bool
	explain  bool
	service  string
}

// contractsCommand is `sloequay contracts`.
func contractsCommand(out io.Writer, system *clock.System) *cobra.Command {
	var options contractsOptions
	command := &cobra.Command{
		Use:   "contracts [TEAM CLASS]",
		Short: "Check contracts, show how they stand, or explain what applies to a team's class",
		Example: "  sloequay contracts --conf deploy/sloequay.conf --check\n" +
			"  sloequay contracts --conf deploy/sloequay.conf --show\n" +
			"  sloequay contracts --conf deploy/sloequay.conf --explain lanes lookup",
		Args: cobra.MaximumNArgs(2),
		RunE: func(_ *cobra.Command, args []string) error { return contracts(out, system, options, args) },
	}
	addSettingsFlag(command, &options.settings)
	command.Flags().Bool("check", false, "say what is promised and can't be kept; this is what is done without a flag")
	command.Flags().BoolVar(&options.show, "show", false, "ask the running proxy how its contracts stand")
	command.Flags().BoolVar(&options.explain, "explain", false,
		"TEAM CLASS: which budgets apply, and what is left of them")
	command.Flags().StringVar(&options.service, "service", "", "with --explain: of this service")
	return command
}

// contracts does what the flags say. A running proxy is asked where the settings name its socket.
func contracts(out io.Writer, system *clock.System, options contractsOptions, args []string) error {
	settings, err := proxy.ReadSettings(system, options.settings)
	if err != nil {
		return err
	}
	if settings.Contracts == nil {
		return errors.New("the settings have no block contracts")
	}
	switch {
	case options.explain && len(args) != 2:
		return errors.New("--explain TEAM CLASS")
	case options.explain && settings.AdminSocket != "":
		query := strings.Join([]string{"contracts", args[0], args[1], options.service}, " ")
		return admin.Query(out, settings.AdminSocket, query)
	case options.show && settings.AdminSocket != "":
		return admin.Query(out, settings.AdminSocket, "contracts")
	case options.show:
		return errNoControl
	case options.explain:
		fmt.Fprintln(out, "as written, nothing being used:")
		ledger := settings.Contracts.Ledger()
		proxy.ExplainBudgets(out, ledger, system.Monotonic(), args[0], args[1], options.service)
		return nil
	}
	return checkContracts(out, settings.Contracts)
}

// checkContracts prints over-commitment with figures, and fails by it.
func checkContracts(out io.Writer, contracts *quota.Contracts) error {
	overcommitments := contracts.Root.Overcommitments()
	for _, overcommitment := range overcommitments {
		fmt.Fprintln(out, overcommitment)
	}
	if len(overcommitments) > 0 {
		return fmt.Errorf("%d budgets are promised more than once", len(overcommitments))
	}
	fmt.Fprintf(out, "%d contracts, shared by %d proxies: what is guaranteed can be kept\n",
		len(contracts.Root.Children), contracts.Instances)
	return nil
}
