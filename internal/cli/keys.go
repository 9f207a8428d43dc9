package cli

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"sloequay/internal/clock"
	"sloequay/internal/identity"
	"sloequay/internal/identity/keydir"
	"sloequay/internal/identity/tsig"
)

func randomID(prefix string) string {
	b := make([]byte, 6)
	_, _ = rand.Read(b)
	return prefix + hex.EncodeToString(b)
}

// keyCommands are `key` and `token`, which work on a directory of keys.
func keyCommands(out io.Writer, system *clock.System) []*cobra.Command {
	var dir string
	group := func(use, short string, commands ...*cobra.Command) *cobra.Command {
		c := &cobra.Command{Use: use, Short: short}
		c.PersistentFlags().StringVar(&dir, "dir", "keys", "directory of the keys")
		c.AddCommand(commands...)
		return c
	}
	load := func() (*identity.Keys, []identity.Key, error) {
		c, err := keydir.Read(dir)
		if err != nil {
			return nil, nil, err
		}
		set, err := identity.NewKeys(c.Keys)
		return set, c.Keys, err
	}
	var id, algorithm string
	named := func(c *cobra.Command) *cobra.Command {
		c.Flags().StringVar(&id, "id", "", "the new key's id; drawn without it")
		c.Flags().StringVar(&algorithm, "algorithm", string(identity.EdDSA), "EdDSA or ES256")
		return c
	}
	fresh := func() string {
		if id != "" {
			return id
		}
		return randomID("k")
	}
	keyNew := named(&cobra.Command{Use: "new", Short: "Make the first key, in force at once", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		if _, old, err := load(); err == nil && len(old) > 0 {
			return errors.New("there are keys already: rotate brings a new one without refusing what the old one signed")
		} else if err != nil && !errors.Is(err, os.ErrNotExist) {
			return err
		}
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return err
		}
		k, err := keydir.NewKeyPair(dir, fresh(), identity.Algorithm(algorithm))
		if err != nil {
			return err
		}
		k.NotBefore = system.Unix()
		k.SignFrom = k.NotBefore
		if err := keydir.WriteKeys(dir, []identity.Key{k}); err != nil {
			return err
		}
		_, err = fmt.Fprintf(out, "key %s signs from now on\n", k.ID)
		return err
	}})
	keyList := &cobra.Command{Use: "list", Short: "Print the keys with their states and times", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		_, keys, err := load()
		if err != nil {
			return err
		}
		return writeKeys(out, keys, system.Unix())
	}}
	r := identity.Rotation{}
	keyRotate := named(&cobra.Command{Use: "rotate", Short: "Bring the next key: published, accepted, signing; the old one retires after the overlap",
		Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
			_, keys, err := load()
			if err != nil {
				return err
			}
			now := system.Unix()
			next, err := keydir.NewKeyPair(dir, fresh(), identity.Algorithm(algorithm))
			if err != nil {
				return err
			}
			present := make([]*identity.Key, 0, len(keys))
			for i := range keys {
				present = append(present, &keys[i])
			}
			r.Rotate(now, &next, present)
			keys = slices.DeleteFunc(append(keys, next), func(k identity.Key) bool {
				return k.RetireAfter > 0 && now-k.RetireAfter > 30*24*time.Hour // nobody asks for it any more
			})
			if err := keydir.WriteKeys(dir, keys); err != nil {
				return err
			}
			return writeKeys(out, keys, now)
		}})
	keyRotate.Flags().DurationVar(&r.Publish, "publish", time.Minute, "until the new key is taken: every reader must have the file by then")
	keyRotate.Flags().DurationVar(&r.Accept, "accept", time.Minute, "from then until it signs")
	keyRotate.Flags().DurationVar(&r.Overlap, "overlap", 24*time.Hour, "from then until the old one retires: no token may live longer")
	keyRetire := &cobra.Command{Use: "retire ID", Short: "Have a key taken no more, from now on", Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
		_, keys, err := load()
		if err != nil {
			return err
		}
		i := slices.IndexFunc(keys, func(k identity.Key) bool { return k.ID == args[0] })
		if i < 0 {
			return fmt.Errorf("there is no key %s", args[0])
		}
		now := system.Unix()
		keys[i].RetireAfter = max(now, keys[i].NotBefore+1)
		if err := keydir.WriteKeys(dir, keys); err != nil {
			return err
		}
		return writeKeys(out, keys, now)
	}}
	var span time.Duration
	keyRevoke := &cobra.Command{Use: "revoke token|subject|key NAME", Short: "Refuse a token, all of a subject, or all that a key signed", Args: cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			for what := identity.RevokedToken; what <= identity.RevokedKey; what++ {
				if what.String() == args[0] {
					now := system.Unix()
					if err := keydir.Revoke(dir, now, keydir.Revocation{What: what, Name: args[1], Until: now + span}); err != nil {
						return err
					}
					_, err := fmt.Fprintf(out, "%s %s is revoked for %v; running doormen take it over within a second\n", args[0], args[1], span)
					return err
				}
			}
			return fmt.Errorf("expected token, subject or key, got %q", args[0])
		}}
	keyRevoke.Flags().DurationVar(&span, "for", 31*24*time.Hour, "how long: no token that it names may live longer")
	shared := tsig.Key{}
	keyTSIG := &cobra.Command{Use: "tsig NAME", Short: "Make a shared secret for a DNS client, and print it once", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			shared.Name = args[0]
			k, err := keydir.AddTSIGKey(dir, shared)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(out, "%s:%s:%s\n", k.Algorithm, k.Name, k.Secret)
			return err
		}}
	keyTSIG.Flags().StringVar(&shared.Algorithm, "algorithm", tsig.Algorithms[0], "one of hmac-sha256, hmac-sha384, hmac-sha512")
	keyTSIG.Flags().StringVar(&shared.Tenant, "tenant", "", "of which tenant the client is")
	keyTSIG.Flags().StringVar(&shared.Subject, "subject", "", "who it is")
	claims := identity.Claims{}
	var audience string
	var life time.Duration
	tokenSign := &cobra.Command{Use: "sign", Short: "Make a token", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		set, _, err := load()
		if err != nil {
			return err
		}
		now := system.Unix()
		k := set.Signer(now)
		if k == nil {
			return errors.New("no key signs now")
		}
		private, err := keydir.ReadPrivateKey(dir, k)
		if err != nil {
			return err
		}
		claims.ID, claims.Issued, claims.Expires = randomID("t"), now, now+life
		if claims.Subject == "" || claims.Tenant == "" {
			return errors.New("--subject and --tenant are needed")
		}
		token, err := identity.Sign(claims, audience, k.Algorithm, k.ID, private)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintln(out, token)
		return err
	}}
	tokenSign.Flags().StringVar(&claims.Subject, "subject", "", "who calls")
	tokenSign.Flags().StringVar(&claims.Tenant, "tenant", "", "of which tenant")
	tokenSign.Flags().StringVar(&claims.Site, "site", "", "from which site it calls")
	tokenSign.Flags().StringVar(&claims.Thumbprint, "certificate", "", "thumbprint of the client certificate that it is bound to (x5t#S256)")
	tokenSign.Flags().StringVar(&audience, "audience", "", "for whom it is")
	tokenSign.Flags().DurationVar(&life, "life", time.Hour, "how long it is valid")
	tokenVerify := &cobra.Command{Use: "verify TOKEN", Short: "Say whether a doorman would take a token now, and why not", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			c, err := keydir.Read(dir)
			if err != nil {
				return err
			}
			set, err := identity.NewKeys(c.Keys)
			if err != nil {
				return err
			}
			now := system.Unix()
			revoked := identity.NewRevocations(len(c.Revoked) + 1)
			for _, r := range c.Revoked {
				_ = revoked.Add(r.What, r.Name, r.Until)
			}
			keyID, algorithm, reason := identity.ParseHeader(args[0])
			k := set.Get(keyID)
			var got identity.Claims
			switch {
			case reason != identity.Allowed:
			case k == nil:
				reason = identity.UnknownKey
			case k.Algorithm != algorithm:
				reason = identity.WrongAlgorithm
			default:
				if got, reason = identity.Verify(args[0], k); reason == identity.Allowed {
					policy := identity.Policy{Audience: audience}
					reason = policy.Check(now, &got, set, revoked)
				}
			}
			if reason != identity.Allowed {
				return fmt.Errorf("refused: %v", reason)
			}
			_, err = fmt.Fprintf(out, "good: subject %s of tenant %s, by key %s, for %v more\n", got.Subject, got.Tenant, got.KeyID, (got.Expires - now).Round(time.Second))
			return err
		}}
	tokenVerify.Flags().StringVar(&audience, "audience", "", "for whom it must be")
	tokenShow := &cobra.Command{Use: "show TOKEN", Short: "Print what a token says, its signature unchecked", Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
		head, body, err := identity.ParseUnverified(args[0])
		if err != nil {
			return err
		}
		text, err := json.MarshalIndent(map[string]any{"header": head, "claims": body}, "", "  ")
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(out, "%s\n", text)
		return err
	}}
	return []*cobra.Command{group("key", "Keys that tokens are signed by", keyNew, keyList, keyRotate, keyRetire, keyRevoke, keyTSIG),
		group("token", "Tokens that callers show", tokenSign, tokenShow, tokenVerify)}
}

// writeKeys prints keys as a table.
func writeKeys(out io.Writer, keys []identity.Key, now time.Duration) error {
	slices.SortFunc(keys, func(a, b identity.Key) int {
		if a.NotBefore != b.NotBefore {
			return int(min(1, max(-1, a.NotBefore-b.NotBefore)))
		}
		return 0
	})
	at := func(d time.Duration) string {
		if d == 0 {
			return "-"
		}
		return time.Unix(0, int64(d)).UTC().Format(time.RFC3339)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "KEY\tALGORITHM\tSTATE\tTAKEN FROM\tSIGNS FROM\tSIGNS UNTIL\tRETIRES")
	for i := range keys {
		k := &keys[i]
		fmt.Fprintf(w, "%s\t%s\t%v\t%s\t%s\t%s\t%s\n", k.ID, k.Algorithm, k.State(now), at(k.NotBefore), at(k.SignFrom), at(k.SignUntil), at(k.RetireAfter))
	}
	return w.Flush()
}
