// Package cli implements the command line of sloequay. It is separate from cmd/sloequay so that tests can run it in a
// separate process, under the platform's system-call filter.
//
// Each command has its own file, with a struct for its flags, a function that builds the command, and the function that
// runs it.
package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"sloequay/internal/clock"
)

// Main runs the command that the process's arguments name. On an error, it exits with status 1.
func Main() {
	if err := rootCommand(os.Stdout, clock.NewSystem()).Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "sloequay:", err)
		os.Exit(1)
	}
}

// rootCommand returns the command line. All commands use the same clock.
func rootCommand(out io.Writer, system *clock.System) *cobra.Command {
	root := &cobra.Command{
		Use:               "sloequay",
		Short:             "A request-routing proxy between many teams' clients and the endpoints of a media network",
		SilenceUsage:      true,
		SilenceErrors:     true,
		CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true},
	}
	root.AddCommand(
		serveCommand(system),
		checkCommand(out, system),
		endpointsCommand(out, system),
		contractsCommand(out, system),
		stateCommand(out, system),
		peersCommand(out, system),
		keyCommand(out, system),
		tokenCommand(out, system),
		drillCommand(out),
		tryCommand(out),
		versionCommand(out),
	)
	return root
}
