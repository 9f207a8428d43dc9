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

// contractsCommand is `sloequay contracts`.
func contractsCommand(out io.Writer, system *clock.System) *cobra.Command {
	var path, service string
	var check, show, explained bool
	c := &cobra.Command{Use: "contracts", Short: "Check contracts, show how they stand, or explain what applies to a team's class",
		Args: cobra.MaximumNArgs(2), RunE: func(_ *cobra.Command, args []string) error {
			o, err := proxy.ReadSettings(system, path)
			if err != nil {
				return err
			}
			if o.Contracts == nil {
				return errors.New("the settings have no block contracts")
			}
			switch {
			case explained && len(args) != 2:
				return errors.New("--explain TEAM CLASS")
			case (show || explained) && o.AdminSocket != "":
				question := "contracts"
				if explained {
					question = strings.Join([]string{"contracts", args[0], args[1], service}, " ")
				}
				return admin.Query(out, o.AdminSocket, question)
			case show:
				return errors.New("the settings have no `control` by which a running doorman could be asked")
			case explained:
				fmt.Fprintln(out, "as written, nothing being used:")
				proxy.Explain(out, o.Contracts.Ledger(), system.Monotonic(), args[0], args[1], service)
				return nil
			}
			return checkContracts(out, o.Contracts)
		}}
	c.Flags().StringVar(&path, "conf", "", "our settings")
	c.Flags().BoolVar(&check, "check", false, "say what is promised and can't be kept; this is what is done without a flag")
	c.Flags().BoolVar(&show, "show", false, "ask the running doorman how its contracts stand")
	c.Flags().BoolVar(&explained, "explain", false, "TEAM CLASS: which budgets apply, and what is left of them")
	c.Flags().StringVar(&service, "service", "", "with --explain: of this service")
	return c
}

// checkContracts tells over-commitment with figures, and fails by it.
func checkContracts(out io.Writer, c *quota.Contracts) error {
	faults := c.Root.Overcommitments()
	for _, f := range faults {
		fmt.Fprintln(out, f)
	}
	if len(faults) > 0 {
		return fmt.Errorf("%d budgets are promised more than once", len(faults))
	}
	fmt.Fprintf(out, "%d contracts, shared by %d doormen: what is guaranteed can be kept\n", len(c.Root.Children), c.Instances)
	return nil
}

// askCommand is a command that puts one question to the running doorman, as `sloequay state`.
func askCommand(out io.Writer, system *clock.System, question, short string) *cobra.Command {
	var path string
	c := &cobra.Command{Use: question, Short: short, Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		o, err := proxy.ReadSettings(system, path)
		if err != nil {
			return err
		}
		if o.AdminSocket == "" {
			return errors.New("the settings have no `control` by which a running doorman could be asked")
		}
		return admin.Query(out, o.AdminSocket, question)
	}}
	c.Flags().StringVar(&path, "conf", "", "our settings")
	return c
}
