package cli

import (
	"io"

	"github.com/spf13/cobra"

	"sloequay/internal/clock"
	"sloequay/internal/proxy"
)

// endpointsOptions holds the flags of `sloequay endpoints`.
type endpointsOptions struct {
	files fileOptions
	fetch proxy.EndpointsOptions
}

// endpointsCommand returns the command `sloequay endpoints`.
func endpointsCommand(out io.Writer, system *clock.System) *cobra.Command {
	var options endpointsOptions
	command := &cobra.Command{
		Use:     "endpoints",
		Aliases: []string{"boxes"}, // name in earlier releases
		Short:   "Poll each source of endpoints once and print the merged view",
		Example: "  sloequay endpoints --config config.json --conf deploy/sloequay.conf --wait 5s",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			plan, err := options.files.load(system)
			if err != nil {
				return err
			}
			return proxy.PrintEndpoints(out, plan, options.fetch)
		},
	}
	options.files.addFlags(command)
	command.Flags().DurationVar(&options.fetch.Wait, "wait", proxy.DefaultEndpointsWait,
		"timeout for each source")
	return command
}
