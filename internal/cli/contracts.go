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

// contractsOptions holds the flags of `sloequay contracts`.
type contractsOptions struct {
	settingsPath string
	show         bool
	explain      bool
	service      string
}

// contractsCommand returns the command `sloequay contracts`.
func contractsCommand(out io.Writer, system *clock.System) *cobra.Command {
	var options contractsOptions
	command := &cobra.Command{
		Use:   "contracts [TEAM CLASS]",
		Short: "Check contracts, show their usage, or explain which budgets apply to a team's class",
		Example: "  sloequay contracts --conf deploy/sloequay.conf --check\n" +
			"  sloequay contracts --conf deploy/sloequay.conf --show\n" +
			"  sloequay contracts --conf deploy/sloequay.conf --explain lanes lookup",
		Args: cobra.MaximumNArgs(2),
		RunE: func(_ *cobra.Command, args []string) error { return contracts(out, system, options, args) },
	}
	addSettingsFlag(command, &options.settingsPath)
	command.Flags().Bool("check", false, "report over-committed budgets; the default action")
	command.Flags().BoolVar(&options.show, "show", false, "print the usage of the contracts in the running proxy")
	command.Flags().BoolVar(&options.explain, "explain", false,
		"print the budgets that apply to TEAM CLASS, and what is left of them")
	command.Flags().StringVar(&options.service, "service", "", "with --explain: the service of the request")
	return command
}

// contracts carries out the action that the flags select. --show needs a running proxy; --explain asks one if the
// settings name its socket, and otherwise explains the budgets as configured.
func contracts(out io.Writer, system *clock.System, options contractsOptions, args []string) error {
	settings, err := proxy.ReadSettings(system, options.settingsPath)
	if err != nil {
		return err
	}
	if settings.Contracts == nil {
		return errors.New("the settings have no block `contracts`")
	}
	switch {
	case options.explain && len(args) != 2:
		return errors.New("--explain needs two arguments: TEAM CLASS")
	case options.explain && settings.AdminSocket != "":
		query := strings.Join([]string{"contracts", args[0], args[1], options.service}, " ")
		return admin.Query(out, settings.AdminSocket, query)
	case options.show && settings.AdminSocket != "":
		return admin.Query(out, settings.AdminSocket, "contracts")
	case options.show:
		return errNoAdminSocket
	case options.explain:
		fmt.Fprintln(out, "budgets in the settings, with nothing in use:")
		ledger := settings.Contracts.Ledger()
		proxy.ExplainBudgets(out, ledger, system.Monotonic(), args[0], args[1], options.service)
		return nil
	}
	return checkContracts(out, settings.Contracts)
}

// checkContracts prints each over-committed budget with its rates, and returns an error if there are any.
func checkContracts(out io.Writer, contracts *quota.Contracts) error {
	overcommitments := contracts.Root.Overcommitments()
	for _, overcommitment := range overcommitments {
		fmt.Fprintln(out, overcommitment)
	}
	if len(overcommitments) > 0 {
		return fmt.Errorf("%d budgets are over-committed", len(overcommitments))
	}
	fmt.Fprintf(out, "%d contracts, shared by %d proxies: no budget is over-committed\n",
		len(contracts.Root.Children), contracts.Instances)
	return nil
}
