package cli

import (
	"slices"
	"time"

	"github.com/spf13/cobra"

	"sloequay/internal/identity"
)

// retiredKeyRetention is how long a retired key is listed still; nobody asks for it later.
const retiredKeyRetention = 30 * 24 * time.Hour

// rotateKeyOptions are the flags of `sloequay key rotate`.
type rotateKeyOptions struct {
	key      newKeyOptions
	rotation identity.Rotation
}

// rotateCommand is `sloequay key rotate`.
func (keys *keyEnvironment) rotateCommand() *cobra.Command {
	var options rotateKeyOptions
	command := &cobra.Command{
		Use:     "rotate",
		Short:   "Bring the next key: published, accepted, signing; the old one retires after the overlap",
		Example: "  sloequay key rotate --dir keys --publish 1m --accept 1m --overlap 24h",
		Args:    cobra.NoArgs,
		RunE:    func(*cobra.Command, []string) error { return keys.rotate(options) },
	}
	options.key.addFlags(command)
	flags := command.Flags()
	flags.DurationVar(&options.rotation.Publish, "publish", time.Minute,
		"until the new key is taken: every reader must have the file by then")
	flags.DurationVar(&options.rotation.Accept, "accept", time.Minute, "from then until it signs")
	flags.DurationVar(&options.rotation.Overlap, "overlap", 24*time.Hour,
		"from then until the old one retires: no token may live longer")
	return command
}

// rotate adds the next key, brings the signing ones to their ends, and drops what has long been retired.
func (keys *keyEnvironment) rotate(options rotateKeyOptions) error {
	_, list, err := keys.load()
	if err != nil {
		return err
	}
	now := keys.system.Unix()
	next, err := options.key.create(keys.directory)
	if err != nil {
		return err
	}
	present := make([]*identity.Key, 0, len(list))
	for i := range list {
		present = append(present, &list[i])
	}
	options.rotation.Rotate(now, &next, present)
	list = slices.DeleteFunc(append(list, next), func(key identity.Key) bool {
		return key.RetireAfter > 0 && now-key.RetireAfter > retiredKeyRetention
	})
	return keys.store(list, now)
}
