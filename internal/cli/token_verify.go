package cli

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"sloequay/internal/identity"
	"sloequay/internal/identity/keydir"
)

// verifyCommand returns the command `sloequay token verify`.
func (keys *keyEnvironment) verifyCommand() *cobra.Command {
	var audience string
	command := &cobra.Command{
		Use:     "verify TOKEN",
		Short:   "Check whether a proxy would accept a token now, and say why not",
		Example: "  sloequay token verify TOKEN --dir keys",
		Args:    cobra.ExactArgs(1),
		RunE:    func(_ *cobra.Command, args []string) error { return keys.verify(args[0], audience) },
	}
	command.Flags().StringVar(&audience, "audience", "", "audience that the token must name; default: any")
	return command
}

// verify prints whose token it is, or returns an error with the reason for which a proxy would deny it.
func (keys *keyEnvironment) verify(token, audience string) error {
	content, err := keydir.Read(keys.directory)
	if err != nil {
		return err
	}
	set, err := identity.NewKeys(content.Keys)
	if err != nil {
		return err
	}
	now := keys.system.Unix()
	claims, reason := checkSignature(set, token)
	if reason == identity.Allowed {
		policy := identity.Policy{Audience: audience}
		reason = policy.Check(now, &claims, set, newRevocations(content))
	}
	if reason != identity.Allowed {
		return fmt.Errorf("refused: %v", reason)
	}
	_, err = fmt.Fprintf(keys.out, "good: subject %s of tenant %s, by key %s, for %v more\n",
		claims.Subject, claims.Tenant, claims.KeyID, (claims.Expires - now).Round(time.Second))
	return err
}

// checkSignature returns the claims of a token if the key that it names has signed it, or else the reason to deny it.
func checkSignature(set *identity.Keys, token string) (identity.Claims, identity.Reason) {
	keyID, algorithm, reason := identity.ParseHeader(token)
	if reason != identity.Allowed {
		return identity.Claims{}, reason
	}
	key := set.Get(keyID)
	switch {
	case key == nil:
		return identity.Claims{}, identity.UnknownKey
	case key.Algorithm != algorithm:
		return identity.Claims{}, identity.WrongAlgorithm
	}
	return identity.Verify(token, key)
}

// newRevocations returns the revocations in a key directory.
func newRevocations(content keydir.Content) *identity.Revocations {
	revoked := identity.NewRevocations(len(content.Revoked) + 1)
	for _, revocation := range content.Revoked {
		_ = revoked.Add(revocation.Kind, revocation.Name, revocation.Until) // cannot fail: there is room for all
	}
	return revoked
}
