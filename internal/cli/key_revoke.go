package cli

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"sloequay/internal/identity"
	"sloequay/internal/identity/keydir"
)

// revokeCommand is `sloequay key revoke`.
func (keys *keyEnvironment) revokeCommand() *cobra.Command {
	var length time.Duration
	command := &cobra.Command{
		Use:     "revoke token|subject|key NAME",
		Short:   "Refuse a token, all of a subject, or all that a key signed",
		Example: "  sloequay key revoke subject lane-2 --dir keys --for 24h",
		Args:    cobra.ExactArgs(2),
		RunE:    func(_ *cobra.Command, args []string) error { return keys.revoke(args[0], args[1], length) },
	}
	command.Flags().DurationVar(&length, "for", 31*24*time.Hour, "how long: no token that it names may live longer")
	return command
}

// revoke writes a revocation of so long from now.
func (keys *keyEnvironment) revoke(kindName, name string, length time.Duration) error {
	kind, err := parseRevocationKind(kindName)
	if err != nil {
		return err
	}
	now := keys.system.Unix()
	revocation := keydir.Revocation{Kind: kind, Name: name, Until: now + length}
	if err := keydir.Revoke(keys.directory, now, revocation); err != nil {
		return err
	}
	_, err = fmt.Fprintf(keys.out, "%s %s is revoked for %v; running proxies take it over within a second\n",
		kindName, name, length)
	return err
}

// parseRevocationKind reads the operator's word for what is revoked.
func parseRevocationKind(text string) (identity.RevocationKind, error) {
	for kind := identity.RevokedToken; kind <= identity.RevokedKey; kind++ {
		if kind.String() == text {
			return kind, nil
		}
	}
	return 0, fmt.Errorf("expected token, subject or key, got %q", text)
}
