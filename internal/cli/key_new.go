package cli

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"sloequay/internal/identity"
	"sloequay/internal/identity/keydir"
)

// errKeysExist is returned by `sloequay key new` if the directory already has keys.
var errKeysExist = errors.New(
	"there are keys already: use `key rotate`, which adds a key and keeps tokens of the old one valid for a while")

// newKeyOptions holds the flags of the commands that create a key.
type newKeyOptions struct {
	id        string // empty: random
	algorithm string
}

// addFlags adds the flags to a command.
func (options *newKeyOptions) addFlags(command *cobra.Command) {
	command.Flags().StringVar(&options.id, "id", "", "id of the new key; default: random")
	command.Flags().StringVar(&options.algorithm, "algorithm", string(identity.EdDSA),
		"signature algorithm: EdDSA or ES256")
}

// create creates a key pair, and writes its private key to the directory.
func (options *newKeyOptions) create(directory string) (identity.Key, error) {
	id := options.id
	if id == "" {
		id = randomID("k")
	}
	return keydir.NewKeyPair(directory, id, identity.Algorithm(options.algorithm))
}

// newCommand returns the command `sloequay key new`.
func (keys *keyEnvironment) newCommand() *cobra.Command {
	var options newKeyOptions
	command := &cobra.Command{
		Use:     "new",
		Short:   "Create the first key, which is in force at once",
		Example: "  sloequay key new --dir keys --id k1",
		Args:    cobra.NoArgs,
		RunE:    func(*cobra.Command, []string) error { return keys.createFirst(options) },
	}
	options.addFlags(command)
	return command
}

// createFirst creates the first key of a directory, and the directory itself if it does not exist.
func (keys *keyEnvironment) createFirst(options newKeyOptions) error {
	_, existing, err := keys.load()
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	if err == nil && len(existing) > 0 {
		return errKeysExist
	}
	if err := os.MkdirAll(keys.directory, 0o755); err != nil {
		return err
	}
	key, err := options.create(keys.directory)
	if err != nil {
		return err
	}
	key.NotBefore = keys.system.Unix()
	key.SignFrom = key.NotBefore
	if err := keydir.WriteKeys(keys.directory, []identity.Key{key}); err != nil {
		return err
	}
	_, err = fmt.Fprintf(keys.out, "key %s signs from now on\n", key.ID)
	return err
}
