package cli

import (
	"io"
	"testing"

	"github.com/spf13/cobra"

	"sloequay/internal/clock"
)

// TestCommandsHaveHelp checks that each command has a short description, and each but the root an example.
func TestCommandsHaveHelp(t *testing.T) {
	var check func(command *cobra.Command)
	check = func(command *cobra.Command) {
		if command.Short == "" {
			t.Errorf("%s: got no short description, want one", command.CommandPath())
		}
		if command.HasParent() && command.Example == "" {
			t.Errorf("%s: got no example, want one", command.CommandPath())
		}
		for _, subcommand := range command.Commands() {
			check(subcommand)
		}
	}
	check(rootCommand(io.Discard, clock.NewSystem()))
}

// TestDeprecatedNames checks that commands and flags of earlier releases act like those that have replaced them.
func TestDeprecatedNames(t *testing.T) {
	cases := map[string]struct {
		args    []string
		command string // the command that is run
		flag    string // the flag that must have the value
		value   string
	}{
		"command boxes":   {[]string{"boxes", "--wait", "3s"}, "endpoints", "wait", "3s"},
		"flag --doormans": {[]string{"drill", "--doormans", "30"}, "drill", "proxies", "30"},
		"flag --proxies":  {[]string{"drill", "--proxies", "30"}, "drill", "proxies", "30"},
	}
	for name, example := range cases {
		t.Run(name, func(t *testing.T) {
			command, args, err := rootCommand(io.Discard, clock.NewSystem()).Find(example.args)
			if err != nil || command.Name() != example.command {
				t.Fatalf("got command %q, error %v, want command %q", command.Name(), err, example.command)
			}
			if err := command.ParseFlags(args); err != nil {
				t.Fatal(err)
			}
			if got := command.Flags().Lookup(example.flag).Value.String(); got != example.value {
				t.Errorf("--%s: got %q, want %q", example.flag, got, example.value)
			}
		})
	}
}
