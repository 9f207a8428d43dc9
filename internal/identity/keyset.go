package identity

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// MaxKeys bounds a key set.
const MaxKeys = 1024

// Keys is a set of keys, by id. It does not change: Replace makes the next one. Nil is a set without keys.
type Keys struct {
	byID        map[string]*Key
	thumbprints map[string]keyThumbprint // by id
	ids         []string                 // sorted
}

// NewKeys returns a set. All keys must be sound, with ids of their own.
func NewKeys(all []Key) (*Keys, error) {
	if len(all) > MaxKeys {
		return nil, fmt.Errorf("%d keys, at most %d are held", len(all), MaxKeys)
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

// add puts a key at the end of the set.
func (k *Keys) add(key *Key) error {
	if err := ValidID(key.ID); err != nil {
		return err
	}
	thumbprint, err := key.thumbprint()
	switch {
	case err != nil:
		return err
	case k.byID[key.ID] != nil:
		return fmt.Errorf("key %s is there twice", key.ID)
	case key.RetireAfter > 0 && key.RetireAfter <= key.NotBefore:
		return fmt.Errorf("key %s retires before it is taken", key.ID)
	}
	k.byID[key.ID] = key
	k.thumbprints[key.ID] = thumbprint
	k.ids = append(k.ids, key.ID)
	return nil
}

// Replace returns the set of new keys, unless an id of the old ones has other bytes there: a key never changes under
// its id.
func (k *Keys) Replace(all []Key) (*Keys, error) {
	next, err := NewKeys(all)
	if err != nil || k == nil {
		return next, err
	}
	for _, id := range next.ids {
		if old, known := k.thumbprints[id]; known && old != next.thumbprints[id] {
			return nil, fmt.Errorf("key %s has other bytes than before; a new key needs a new id", id)
		}
	}
	return next, nil
}

// Get returns the key of an id, or nil.
func (k *Keys) Get(id string) *Key {
	if k == nil {
		return nil
	}
	return k.byID[id]
}

// All returns all keys by id.
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

// Signer returns the key that new tokens are signed by: of those in the state KeySigning the one that began last;
// nil: none is in it.
func (k *Keys) Signer(now time.Duration) *Key {
	var signer *Key
	for _, key := range k.All() {
		if key.State(now) == KeySigning && (signer == nil || cmp.Compare(key.SignFrom, signer.SignFrom) > 0) {
			signer = key
		}
	}
	return signer
}

// Rotation is the times of a rotation.
type Rotation struct {
	Publish time.Duration // from now until the new key is accepted, when every reader must have it
	Accept  time.Duration // from then until it signs
	Overlap time.Duration // from then until the old one retires: as long as the longest token lives
}

// Rotate sets the times of the next key, and brings those of the present signers to their ends.
func (r Rotation) Rotate(now time.Duration, next *Key, present []*Key) {
	next.NotBefore = now + r.Publish
	next.SignFrom = next.NotBefore + r.Accept
	for _, key := range present {
		endsBefore := key.SignUntil > 0 && key.SignUntil <= next.SignFrom
		if key.State(now) == KeyRetired || endsBefore {
			continue
		}
		key.SignUntil = next.SignFrom
		key.RetireAfter = next.SignFrom + r.Overlap
	}
}
