package cli

import (
	"errors"
	"io"

	"github.com/spf13/cobra"

	"sloequay/internal/clock"
	"sloequay/internal/proxy"
	"sloequay/internal/proxy/admin"
)

// errNoControl is returned where the settings name no socket of the running proxy.
var errNoControl = errors.New("the settings have no `control` by which a running proxy could be asked")

// stateCommand is `sloequay state`.
func stateCommand(out io.Writer, system *clock.System) *cobra.Command {
	return queryCommand(out, system, "state",
		"Ask the running proxy how much it holds: clients, requests, timers, endpoints, connections")
}

// peersCommand is `sloequay peers`.
func peersCommand(out io.Writer, system *clock.System) *cobra.Command {
	return queryCommand(out, system, "peers",
		"Ask the running proxy which others are alive, which lists it holds, and whether it polls for them")
}

// queryCommand is a command that puts one query, its own name, to the running proxy.
func queryCommand(out io.Writer, system *clock.System, query, short string) *cobra.Command {
	var settings string
	command := &cobra.Command{
		Use:     query,
		Short:   short,
		Example: "  sloequay " + query + " --conf deploy/sloequay.conf",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			read, err := proxy.ReadSettings(system, settings)
			if err != nil {
				return err
			}
			if read.AdminSocket == "" {
				return errNoControl
			}
			return admin.Query(out, read.AdminSocket, query)
		},
	}
	addSettingsFlag(command, &settings)
	return command
}
