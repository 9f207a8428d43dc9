package cli

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"sloequay/internal/clock"
	"sloequay/internal/identity"
)

// tokenCommand is `sloequay token`, with its commands.
func tokenCommand(out io.Writer, system *clock.System) *cobra.Command {
	keys := &keyEnvironment{out: out, system: system}
	return keys.group("token", "Tokens that callers show", keys.signCommand(), keys.showCommand(), keys.verifyCommand())
}

// shownToken is what a token says, as `sloequay token show` prints it.
type shownToken struct {
	Claims map[string]any `json:"claims"`
	Header map[string]any `json:"header"`
}

// showCommand is `sloequay token show`.
func (keys *keyEnvironment) showCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "show TOKEN",
		Short:   "Print what a token says, its signature unchecked",
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
