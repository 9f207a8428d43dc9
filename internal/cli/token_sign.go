package cli

import (
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"sloequay/internal/identity"
	"sloequay/internal/identity/keydir"
)

var (
	errNoSigner = errors.New("no key signs now")
	errNoCaller = errors.New("--subject and --tenant are needed")
)

// signOptions are the flags of `sloequay token sign`.
type signOptions struct {
	claims   identity.Claims
	audience string
	lifetime time.Duration
}

// signCommand is `sloequay token sign`.
func (keys *keyEnvironment) signCommand() *cobra.Command {
	var options signOptions
	command := &cobra.Command{
		Use:     "sign",
		Short:   "Make a token",
		Example: "  sloequay token sign --dir keys --subject lane-1 --tenant lanes --life 1h",
		Args:    cobra.NoArgs,
		RunE:    func(*cobra.Command, []string) error { return keys.sign(options) },
	}
	flags := command.Flags()
	flags.StringVar(&options.claims.Subject, "subject", "", "who calls")
	flags.StringVar(&options.claims.Tenant, "tenant", "", "of which tenant")
	flags.StringVar(&options.claims.Site, "site", "", "from which site it calls")
	flags.StringVar(&options.claims.Thumbprint, "certificate", "",
		"thumbprint of the client certificate that it is bound to (x5t#S256)")
	flags.StringVar(&options.audience, "audience", "", "for whom it is")
	flags.DurationVar(&options.lifetime, "life", time.Hour, "how long it is valid")
	return command
}

// sign makes a token by the key that signs now, and prints it.
func (keys *keyEnvironment) sign(options signOptions) error {
	set, _, err := keys.load()
	if err != nil {
		return err
	}
	now := keys.system.Unix()
	key := set.Signer(now)
	if key == nil {
		return errNoSigner
	}
	private, err := keydir.ReadPrivateKey(keys.directory, key)
	if err != nil {
		return err
	}
	claims := options.claims
	if claims.Subject == "" || claims.Tenant == "" {
		return errNoCaller
	}
	claims.ID = randomID("t")
	claims.Issued = now
	claims.Expires = now + options.lifetime
	token, err := identity.Sign(claims, options.audience, key.Algorithm, key.ID, private)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(keys.out, token)
	return err
}
