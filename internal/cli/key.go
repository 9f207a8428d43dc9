package cli

import (
	"cmp"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"sloequay/internal/clock"
	"sloequay/internal/identity"
	"sloequay/internal/identity/keydir"
)

// keyEnvironment holds what the subcommands of `key` and `token` share.
type keyEnvironment struct {
	out       io.Writer
	system    *clock.System
	directory string // directory of the keys
}

// keyCommand returns the command `sloequay key` with its subcommands.
func keyCommand(out io.Writer, system *clock.System) *cobra.Command {
	keys := &keyEnvironment{out: out, system: system}
	return keys.groupCommand("key", "Manage the keys that sign tokens",
		keys.newCommand(), keys.listCommand(), keys.rotateCommand(), keys.retireCommand(), keys.revokeCommand(),
		keys.tsigCommand())
}

// groupCommand returns a command with subcommands that share the flag --dir.
func (keys *keyEnvironment) groupCommand(use, short string, commands ...*cobra.Command) *cobra.Command {
	command := &cobra.Command{Use: use, Short: short, Example: "  sloequay " + use + " --help"}
	command.PersistentFlags().StringVar(&keys.directory, "dir", "keys", "directory of the keys")
	command.AddCommand(commands...)
	return command
}

// load reads the keys of the directory, and checks that they form a valid set.
func (keys *keyEnvironment) load() (*identity.Keys, []identity.Key, error) {
	content, err := keydir.Read(keys.directory)
	if err != nil {
		return nil, nil, err
	}
	set, err := identity.NewKeys(content.Keys)
	return set, content.Keys, err
}

// store writes the keys to the directory and prints them.
func (keys *keyEnvironment) store(list []identity.Key, now time.Duration) error {
	if err := keydir.WriteKeys(keys.directory, list); err != nil {
		return err
	}
	return printKeys(keys.out, list, now)
}

// listCommand returns the command `sloequay key list`.
func (keys *keyEnvironment) listCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   "Print the keys with their states and times",
		Example: "  sloequay key list --dir keys",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			_, list, err := keys.load()
			if err != nil {
				return err
			}
			return printKeys(keys.out, list, keys.system.Unix())
		},
	}
}

// printKeys prints keys as a table. It sorts list by the time from which the keys are accepted.
func printKeys(out io.Writer, list []identity.Key, now time.Duration) error {
	slices.SortFunc(list, func(one, other identity.Key) int { return cmp.Compare(one.NotBefore, other.NotBefore) })
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "KEY\tALGORITHM\tSTATE\tTAKEN FROM\tSIGNS FROM\tSIGNS UNTIL\tRETIRES")
	for i := range list {
		key := &list[i]
		fmt.Fprintf(table, "%s\t%s\t%v\t%s\t%s\t%s\t%s\n", key.ID, key.Algorithm, key.State(now),
			formatUnix(key.NotBefore), formatUnix(key.SignFrom), formatUnix(key.SignUntil),
			formatUnix(key.RetireAfter))
	}
	return table.Flush()
}

// formatUnix formats a Unix time. Zero stands for no time and gives "-".
func formatUnix(at time.Duration) string {
	if at == 0 {
		return "-"
	}
	return time.Unix(0, int64(at)).UTC().Format(time.RFC3339)
}

// randomIDBytes is the number of random bytes in a generated id.
const randomIDBytes = 6

// randomID returns a random id with a prefix.
func randomID(prefix string) string {
	random := make([]byte, randomIDBytes)
	_, _ = rand.Read(random) // never fails
	return prefix + hex.EncodeToString(random)
}
