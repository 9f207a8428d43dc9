package cli

import (
	"fmt"
	"slices"

	"github.com/spf13/cobra"

	"sloequay/internal/identity"
)

// retireCommand returns the command `sloequay key retire`.
func (keys *keyEnvironment) retireCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "retire ID",
		Short:   "Retire a key: tokens that it signed are refused from now on",
		Example: "  sloequay key retire k1 --dir keys",
		Args:    cobra.ExactArgs(1),
		RunE:    func(_ *cobra.Command, args []string) error { return keys.retire(args[0]) },
	}
}

// retire retires a key now. A key that is not accepted yet retires 1 ns after its NotBefore, the earliest time that a
// key set allows, and so is never used.
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
