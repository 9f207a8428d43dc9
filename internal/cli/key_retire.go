package cli

import (
	"fmt"
	"slices"

	"github.com/spf13/cobra"

	"sloequay/internal/identity"
)

// retireCommand is `sloequay key retire`.
func (keys *keyEnvironment) retireCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "retire ID",
		Short:   "Have a key taken no more, from now on",
		Example: "  sloequay key retire k1 --dir keys",
		Args:    cobra.ExactArgs(1),
		RunE:    func(_ *cobra.Command, args []string) error { return keys.retire(args[0]) },
	}
}

// retire ends a key's life now; one that is not in force yet never will be.
func (keys *keyEnvironment) retire(id string) error {
	_, list, err := keys.load()
	if err != nil {
		return err
	}
	index := slices.IndexFunc(list, func(key identity.Key) bool { return key.ID == id })
	if index < 0 {
		return fmt.Errorf("there is no key %s", id)
	}
	now := keys.system.Unix()
	list[index].RetireAfter = max(now, list[index].NotBefore+1)
	return keys.store(list, now)
}
