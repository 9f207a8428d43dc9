package cli

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"sloequay/internal/clock"
	"sloequay/internal/proxy"
)

// fileOptions are the flags that name the two files of a proxy.
type fileOptions struct {
	config   string // the platform's configuration
	settings string // ours; empty: all that is in them is off
}

// addFlags adds them to a command.
func (options *fileOptions) addFlags(command *cobra.Command) {
	command.Flags().StringVar(&options.config, "config", os.Getenv("BALANCER_CONFIG"),
		"the platform's configuration; $BALANCER_CONFIG without it")
	addSettingsFlag(command, &options.settings)
}

// load reads both files.
func (options *fileOptions) load(system *clock.System) (*proxy.Plan, error) {
	return proxy.Load(system, options.config, options.settings)
}

// addSettingsFlag adds the flag that names our settings.
func addSettingsFlag(command *cobra.Command, path *string) {
	command.Flags().StringVar(path, "conf", "",
		"our settings, as deploy/sloequay.conf; without it all that is in them is off")
}

// movedFlags are flags of earlier releases, by the block of our settings that has taken their place.
var movedFlags = map[string]string{"contracts": "contracts", "dns": "dns", "catalog": "catalogue"}

// addMovedFlags has a command that is given such a flag say where its settings are now.
func addMovedFlags(command *cobra.Command) {
	for flag, block := range movedFlags {
		command.Flags().Func(flag, "", func(string) error {
			return fmt.Errorf("its settings stand in the block %q of the file that --conf names now; "+
				"deploy/sloequay.conf has an example", block)
		})
		_ = command.Flags().MarkHidden(flag)
	}
}
