package cli

import (
	"slices"
	"time"

	"github.com/spf13/cobra"

	"sloequay/internal/identity"
)

// retiredKeyRetention is how long a retired key stays listed. After that, nobody is expected to ask for it.
const retiredKeyRetention = 30 * 24 * time.Hour

// rotateKeyOptions holds the flags of `sloequay key rotate`.
type rotateKeyOptions struct {
	key      newKeyOptions
	rotation identity.Rotation
}

// rotateCommand returns the command `sloequay key rotate`.
func (keys *keyEnvironment) rotateCommand() *cobra.Command {
	var options rotateKeyOptions
	command := &cobra.Command{
		Use:     "rotate",
		Short:   "Add the next key: published, then accepted, then signing; the old one retires after the overlap",
		Example: "  sloequay key rotate --dir keys --publish 1m --accept 1m --overlap 24h",
		Args:    cobra.NoArgs,
		RunE:    func(*cobra.Command, []string) error { return keys.rotate(options) },
	}
	options.key.addFlags(command)
	flags := command.Flags()
	flags.DurationVar(&options.rotation.Publish, "publish", time.Minute,
		"time until the new key is accepted: every reader must have the file by then")
	flags.DurationVar(&options.rotation.Accept, "accept", time.Minute, "time from acceptance until the new key signs")
	flags.DurationVar(&options.rotation.Overlap, "overlap", 24*time.Hour,
		"time from when the new key signs until the old key retires: no token may be valid for longer")
	return command
}

// rotate adds the next key, schedules the end of the existing ones, and deletes keys that retired longer than
// retiredKeyRetention ago.
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
	existing := make([]*identity.Key, 0, len(list))
	for i := range list {
		existing = append(existing, &list[i])
	}
	options.rotation.Rotate(now, &next, existing)
	list = slices.DeleteFunc(append(list, next), func(key identity.Key) bool {
		return key.RetireAfter > 0 && now-key.RetireAfter > retiredKeyRetention
	})
	return keys.store(list, now)
}
