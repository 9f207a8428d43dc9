package cli

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"sloequay/internal/clock"
)

// checkOptions holds the flags of `sloequay check`.
type checkOptions struct {
	files         fileOptions
	printSettings bool
}

// checkCommand returns the command `sloequay check`.
func checkCommand(out io.Writer, system *clock.System) *cobra.Command {
	var options checkOptions
	command := &cobra.Command{
		Use:     "check",
		Short:   "Read and check all configuration files, report errors, and exit",
		Example: "  sloequay check --config config.json --conf deploy/sloequay.conf --print",
		Args:    cobra.NoArgs,
		RunE:    func(*cobra.Command, []string) error { return check(out, system, options) },
	}
	options.files.addFlags(command)
	addReplacedFlags(command)
	command.Flags().BoolVar(&options.printSettings, "print", false,
		"print the proxy's own settings in force, with defaults marked")
	return command
}

// check reads and checks the files, and prints the settings or a summary.
func check(out io.Writer, system *clock.System, options checkOptions) error {
	plan, err := options.files.load(system)
	if err != nil {
		return err
	}
	if options.printSettings {
		return plan.Print(out)
	}
	_, err = fmt.Fprintln(out, plan)
	return err
}
