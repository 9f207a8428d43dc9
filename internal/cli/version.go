package cli

import (
	"fmt"
	"io"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// versionCommand returns the command `sloequay version`.
func versionCommand(out io.Writer) *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version of this build",
		Example: "  sloequay version",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			_, err := fmt.Fprintln(out, "sloequay", version())
			return err
		},
	}
}

// version returns the module version, the commit and the Go version of the build, as far as the build records them.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	text := info.Main.Version
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" || setting.Key == "vcs.modified" && setting.Value == "true" {
			text += " " + setting.Key + "=" + setting.Value
		}
	}
	return text + " " + info.GoVersion
}
