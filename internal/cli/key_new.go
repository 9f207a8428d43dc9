package cli

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"sloequay/internal/identity"
	"sloequay/internal/identity/keydir"
)

// errKeysExist is returned for a first key where there are keys.
var errKeysExist = errors.New(
	"there are keys already: rotate brings a new one without refusing what the old one signed")

// newKeyOptions are the flags of the commands that make a key.
type newKeyOptions struct {
	id        string // empty: drawn
	algorithm string
}

// addFlags adds them to a command.
func (options *newKeyOptions) addFlags(command *cobra.Command) {
	command.Flags().StringVar(&options.id, "id", "", "the new key's id; drawn without it")
	command.Flags().StringVar(&options.algorithm, "algorithm", string(identity.EdDSA), "EdDSA or ES256")
}

// create makes a key in a directory.
func (options *newKeyOptions) create(directory string) (identity.Key, error) {
	id := options.id
	if id == "" {
		id = randomID("k")
	}
	return keydir.NewKeyPair(directory, id, identity.Algorithm(options.algorithm))
}

// newCommand is `sloequay key new`.
func (keys *keyEnvironment) newCommand() *cobra.Command {
	var options newKeyOptions
	command := &cobra.Command{
		Use:     "new",
		Short:   "Make the first key, in force at once",
		Example: "  sloequay key new --dir keys --id k1",
		Args:    cobra.NoArgs,
		RunE:    func(*cobra.Command, []string) error { return keys.createFirst(options) },
	}
	options.addFlags(command)
	return command
}

// createFirst makes the first key of a directory, and the directory where it is not there.
func (keys *keyEnvironment) createFirst(options newKeyOptions) error {
	_, present, err := keys.load()
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	if err == nil && len(present) > 0 {
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
