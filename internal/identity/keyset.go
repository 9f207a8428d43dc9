package identity

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// MaxKeys is the maximum size of a key set.
const MaxKeys = 1024

// Keys is an immutable set of keys by id. Replace returns a new set. A nil *Keys is an empty set.
type Keys struct {
	byID        map[string]*Key
	thumbprints map[string]keyThumbprint // by id
	ids         []string                 // sorted
}

// NewKeys returns a set of keys. All keys must be valid and have distinct ids.
func NewKeys(all []Key) (*Keys, error) {
	if len(all) > MaxKeys {
		return nil, fmt.Errorf("got %d keys, want at most %d", len(all), MaxKeys)
	}
	set := &Keys{byID: map[string]*Key{}, thumbprints: map[string]keyThumbprint{}}
	for _, key := range all {
		if err := set.add(&key); err != nil {
			return nil, err
		}
	}
	slices.Sort(set.ids)
	return set, nil
}

// add validates a key and adds it to the set. The caller sorts the ids.
func (k *Keys) add(key *Key) error {
	if err := ValidID(key.ID); err != nil {
		return err
	}
	thumbprint, err := key.thumbprint()
	switch {
	case err != nil:
		return err
	case k.byID[key.ID] != nil:
		return fmt.Errorf("duplicate key id %s", key.ID)
	case key.RetireAfter > 0 && key.RetireAfter <= key.NotBefore:
		return fmt.Errorf("key %s retires before it is accepted", key.ID)
	}
	k.byID[key.ID] = key
	k.thumbprints[key.ID] = thumbprint
	k.ids = append(k.ids, key.ID)
	return nil
}

// Replace returns a set of new keys. It returns an error if the public key of an id in both sets differs, since the key
// of an id must never change.
func (k *Keys) Replace(all []Key) (*Keys, error) {
	next, err := NewKeys(all)
	if err != nil || k == nil {
		return next, err
	}
	for _, id := range next.ids {
		if old, known := k.thumbprints[id]; known && old != next.thumbprints[id] {
			return nil, fmt.Errorf("key %s has a different public key than before; a new key needs a new id", id)
		}
	}
	return next, nil
}

// Get returns the key with an id, or nil.
func (k *Keys) Get(id string) *Key {
	if k == nil {
		return nil
	}
	return k.byID[id]
}

// All returns all keys, sorted by id.
func (k *Keys) All() []*Key {
	if k == nil {
		return nil
	}
	all := make([]*Key, len(k.ids))
	for i, id := range k.ids {
		all[i] = k.byID[id]
	}
	return all
}

// Signer returns the key to sign new tokens with: of the keys in the state KeySigning the one with the latest SignFrom.
// It returns nil if there is none.
func (k *Keys) Signer(now time.Duration) *Key {
	var signer *Key
	for _, key := range k.All() {
		if key.State(now) == KeySigning && (signer == nil || cmp.Compare(key.SignFrom, signer.SignFrom) > 0) {
			signer = key
		}
	}
	return signer
}

// Rotation holds the durations of the phases of a key rotation.
type Rotation struct {
	Publish time.Duration // from publication until the new key is accepted; every reader must have it by then
	Accept  time.Duration // from acceptance until the new key signs
	Overlap time.Duration // from when the new key signs until the old one retires; at least a token's maximum lifetime
}

// Rotate sets the times of the next key, and the times when the current keys stop signing and retire.
func (r Rotation) Rotate(now time.Duration, next *Key, current []*Key) {
	next.NotBefore = now + r.Publish
	next.SignFrom = next.NotBefore + r.Accept
	for _, key := range current {
		stopsBefore := key.SignUntil > 0 && key.SignUntil <= next.SignFrom
		if key.State(now) == KeyRetired || stopsBefore {
			continue
		}
		key.SignUntil = next.SignFrom
		key.RetireAfter = next.SignFrom + r.Overlap
	}
}
