package cli

import (
	"fmt"

	"github.com/spf13/cobra"

	"sloequay/internal/identity/keydir"
	"sloequay/internal/identity/tsig"
)

// tsigCommand returns the command `sloequay key tsig`.
func (keys *keyEnvironment) tsigCommand() *cobra.Command {
	var key tsig.Key
	command := &cobra.Command{
		Use:     "tsig NAME",
		Short:   "Create a shared TSIG secret for a DNS client, and print it once",
		Example: "  sloequay key tsig lane-3. --dir keys --tenant lanes --subject lane-3",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			key.Name = args[0]
			created, err := keydir.AddTSIGKey(keys.directory, key)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(keys.out, "%s:%s:%s\n", created.Algorithm, created.Name, created.Secret)
			return err
		},
	}
	flags := command.Flags()
	flags.StringVar(&key.Algorithm, "algorithm", tsig.Algorithms[0],
		"one of hmac-sha256, hmac-sha384, hmac-sha512")
	flags.StringVar(&key.Tenant, "tenant", "", "tenant of the client")
	flags.StringVar(&key.Subject, "subject", "", "subject of the client")
	return command
}
