package cli

import (
	"errors"
	"io"

	"github.com/spf13/cobra"

	"sloequay/internal/clock"
	"sloequay/internal/proxy"
	"sloequay/internal/proxy/admin"
)

// errNoAdminSocket is returned if the settings do not name the operators' socket of the running proxy.
var errNoAdminSocket = errors.New(
	"the settings have no directive `control`, which names the socket on which to query a running proxy")

// stateCommand returns the command `sloequay state`.
func stateCommand(out io.Writer, system *clock.System) *cobra.Command {
	return queryCommand(out, system, "state",
		"Print how many objects the running proxy holds: clients, requests, timers, endpoints, connections")
}

// peersCommand returns the command `sloequay peers`.
func peersCommand(out io.Writer, system *clock.System) *cobra.Command {
	return queryCommand(out, system, "peers",
		"Print which peers of the running proxy are alive, which lists it holds, and whether it polls for them")
}

// queryCommand returns a command that sends its own name as a query to the running proxy.
func queryCommand(out io.Writer, system *clock.System, query, short string) *cobra.Command {
	var settingsPath string
	command := &cobra.Command{
		Use:     query,
		Short:   short,
		Example: "  sloequay " + query + " --conf deploy/sloequay.conf",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			settings, err := proxy.ReadSettings(system, settingsPath)
			if err != nil {
				return err
			}
			if settings.AdminSocket == "" {
				return errNoAdminSocket
			}
			return admin.Query(out, settings.AdminSocket, query)
		},
	}
	addSettingsFlag(command, &settingsPath)
	return command
}
