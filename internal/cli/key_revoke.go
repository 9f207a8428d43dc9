package cli

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"sloequay/internal/identity"
	"sloequay/internal/identity/keydir"
)

// revokeCommand returns the command `sloequay key revoke`.
func (keys *keyEnvironment) revokeCommand() *cobra.Command {
	var lifetime time.Duration
	command := &cobra.Command{
		Use:     "revoke token|subject|key NAME",
		Short:   "Revoke a token, all tokens of a subject, or all tokens that a key signed",
		Example: "  sloequay key revoke subject lane-2 --dir keys --for 24h",
		Args:    cobra.ExactArgs(2),
		RunE:    func(_ *cobra.Command, args []string) error { return keys.revoke(args[0], args[1], lifetime) },
	}
	command.Flags().DurationVar(&lifetime, "for", 31*24*time.Hour,
		"how long the revocation lasts; no covered token may be valid for longer")
	return command
}

// revoke adds a revocation that lasts for lifetime from now.
func (keys *keyEnvironment) revoke(kindName, name string, lifetime time.Duration) error {
	kind, err := parseRevocationKind(kindName)
	if err != nil {
		return err
	}
	now := keys.system.Unix()
	revocation := keydir.Revocation{Kind: kind, Name: name, Until: now + lifetime}
	if err := keydir.Revoke(keys.directory, now, revocation); err != nil {
		return err
	}
	_, err = fmt.Fprintf(keys.out, "%s %s is revoked for %v; running proxies apply this within a second\n",
		kindName, name, lifetime)
	return err
}

// parseRevocationKind returns the kind of revocation that an argument names.
func parseRevocationKind(text string) (identity.RevocationKind, error) {
	for kind := identity.RevokedToken; kind <= identity.RevokedKey; kind++ {
		if kind.String() == text {
			return kind, nil
		}
	}
	return 0, fmt.Errorf("expected token, subject or key, got %q", text)
}
