// Package cli is the command line of sloequay. It stands apart from cmd/sloequay so that the tests can run it in a
// process of their own, under the system-call filter of the platform.
//
// Each command has a file with the struct of its flags, a function that builds the command and the work that it does.
package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"sloequay/internal/clock"
)

// Main runs the command that the process's arguments name. It exits with 1 after an error.
func Main() {
	if err := rootCommand(os.Stdout, clock.NewSystem()).Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "sloequay:", err)
		os.Exit(1)
	}
}

// rootCommand is the command line. All that it runs goes by one clock.
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
