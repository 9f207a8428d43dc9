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
	errNoSigningKey     = errors.New("no key signs now")
	errIncompleteClaims = errors.New("--subject and --tenant are required")
)

// signOptions holds the flags of `sloequay token sign`.
type signOptions struct {
	claims   identity.Claims
	audience string
	lifetime time.Duration
}

// signCommand returns the command `sloequay token sign`.
func (keys *keyEnvironment) signCommand() *cobra.Command {
	var options signOptions
	command := &cobra.Command{
		Use:     "sign",
		Short:   "Sign a new token",
		Example: "  sloequay token sign --dir keys --subject lane-1 --tenant lanes --life 1h",
		Args:    cobra.NoArgs,
		RunE:    func(*cobra.Command, []string) error { return keys.sign(options) },
	}
	flags := command.Flags()
	flags.StringVar(&options.claims.Subject, "subject", "", "subject of the token: the caller")
	flags.StringVar(&options.claims.Tenant, "tenant", "", "tenant of the caller")
	flags.StringVar(&options.claims.Site, "site", "", "site from which the subject calls")
	flags.StringVar(&options.claims.Thumbprint, "certificate", "",
		"thumbprint of the client certificate to which the token is bound (x5t#S256)")
	flags.StringVar(&options.audience, "audience", "", "audience of the token")
	flags.DurationVar(&options.lifetime, "life", time.Hour, "how long the token is valid")
	return command
}

// sign signs a token with the current signing key, and prints it.
func (keys *keyEnvironment) sign(options signOptions) error {
	set, _, err := keys.load()
	if err != nil {
		return err
	}
	now := keys.system.Unix()
	key := set.Signer(now)
	if key == nil {
		return errNoSigningKey
	}
	private, err := keydir.ReadPrivateKey(keys.directory, key)
	if err != nil {
		return err
	}
	claims := options.claims
	if claims.Subject == "" || claims.Tenant == "" {
		return errIncompleteClaims
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
