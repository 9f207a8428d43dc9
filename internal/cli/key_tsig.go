package cli

import (
	"fmt"

	"github.com/spf13/cobra"

	"sloequay/internal/identity/keydir"
	"sloequay/internal/identity/tsig"
)

// tsigCommand is `sloequay key tsig`.
func (keys *keyEnvironment) tsigCommand() *cobra.Command {
	var secret tsig.Key
	command := &cobra.Command{
		Use:     "tsig NAME",
		Short:   "Make a shared secret for a DNS client, and print it once",
		Example: "  sloequay key tsig lane-3. --dir keys --tenant lanes --subject lane-3",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			secret.Name = args[0]
			made, err := keydir.AddTSIGKey(keys.directory, secret)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(keys.out, "%s:%s:%s\n", made.Algorithm, made.Name, made.Secret)
			return err
		},
	}
	flags := command.Flags()
	flags.StringVar(&secret.Algorithm, "algorithm", tsig.Algorithms[0],
		"one of hmac-sha256, hmac-sha384, hmac-sha512")
	flags.StringVar(&secret.Tenant, "tenant", "", "of which tenant the client is")
	flags.StringVar(&secret.Subject, "subject", "", "who it is")
	return command
}
