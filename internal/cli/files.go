package cli

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"sloequay/internal/clock"
	"sloequay/internal/proxy"
)

// fileOptions holds the flags that name the two configuration files of a proxy.
type fileOptions struct {
	configPath   string // the platform configuration
	settingsPath string // the proxy's own settings; empty: all that they configure is off
}

// addFlags adds the flags to a command.
func (options *fileOptions) addFlags(command *cobra.Command) {
	command.Flags().StringVar(&options.configPath, "config", os.Getenv("BALANCER_CONFIG"),
		"file of the platform configuration; default: $BALANCER_CONFIG")
	addSettingsFlag(command, &options.settingsPath)
}

// load reads and checks both files.
func (options *fileOptions) load(system *clock.System) (*proxy.Plan, error) {
	return proxy.Load(system, options.configPath, options.settingsPath)
}

// addSettingsFlag adds the flag that names the file of the proxy's own settings.
func addSettingsFlag(command *cobra.Command, path *string) {
	command.Flags().StringVar(path, "conf", "",
		"file of the proxy's own settings, such as deploy/sloequay.conf; default: all that it configures is off")
}

// replacedFlags maps each flag of earlier releases to the block of the settings that has replaced it.
var replacedFlags = map[string]string{"contracts": "contracts", "dns": "dns", "catalog": "catalogue"}

// addReplacedFlags adds the replaced flags, hidden, to a command. Each returns an error that names the block to use.
func addReplacedFlags(command *cobra.Command) {
	for flag, block := range replacedFlags {
		command.Flags().Func(flag, "", func(string) error {
			return fmt.Errorf("replaced by the block %q in the file that --conf names; "+
				"deploy/sloequay.conf has an example", block)
		})
		_ = command.Flags().MarkHidden(flag)
	}
}
