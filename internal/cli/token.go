package cli

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"sloequay/internal/clock"
	"sloequay/internal/identity"
)

// tokenCommand returns the command `sloequay token` with its subcommands.
func tokenCommand(out io.Writer, system *clock.System) *cobra.Command {
	keys := &keyEnvironment{out: out, system: system}
	return keys.groupCommand("token", "Sign, show and verify the tokens of callers",
		keys.signCommand(), keys.showCommand(), keys.verifyCommand())
}

// shownToken is the content of a token as `sloequay token show` prints it.
type shownToken struct {
	Claims map[string]any `json:"claims"`
	Header map[string]any `json:"header"`
}

// showCommand returns the command `sloequay token show`.
func (keys *keyEnvironment) showCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "show TOKEN",
		Short:   "Print the content of a token without checking its signature",
		Example: "  sloequay token show TOKEN",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			header, claims, err := identity.ParseUnverified(args[0])
			if err != nil {
				return err
			}
			text, err := json.MarshalIndent(shownToken{Claims: claims, Header: header}, "", "  ")
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(keys.out, "%s\n", text)
			return err
		},
	}
}
