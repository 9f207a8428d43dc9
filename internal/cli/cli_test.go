package cli

import (
	"io"
	"testing"

	"github.com/spf13/cobra"

	"sloequay/internal/clock"
)

// TestCommandsExplainThemselves: each command says what it does, with an example.
func TestCommandsExplainThemselves(t *testing.T) {
	var check func(command *cobra.Command)
	check = func(command *cobra.Command) {
		if command.Short == "" {
			t.Errorf("%s says not what it does", command.CommandPath())
		}
		if command.HasParent() && command.Example == "" {
			t.Errorf("%s has no example", command.CommandPath())
		}
		for _, below := range command.Commands() {
			check(below)
		}
	}
	check(rootCommand(io.Discard, clock.NewSystem()))
}

// TestEarlierNames: commands and flags of earlier releases do what those that have taken their place do.
func TestEarlierNames(t *testing.T) {
	cases := map[string]struct {
		args    []string
		command string // that is run
		flag    string // whose value counts
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
				t.Fatalf("got the command %q, %v, want %q", command.Name(), err, example.command)
			}
			if err := command.ParseFlags(args); err != nil {
				t.Fatal(err)
			}
			if got := command.Flags().Lookup(example.flag).Value.String(); got != example.value {
				t.Errorf("--%s is %q, want %q", example.flag, got, example.value)
			}
		})
	}
}
