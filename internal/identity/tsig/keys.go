package tsig

import (
	"encoding/base64"
	"fmt"
	"slices"
	"strings"

	"github.com/miekg/dns"

	"sloequay/internal/identity"
)

// Key is a shared secret with the subject that it identifies.
type Key struct {
	Name      string // domain name
	Algorithm string // one of Algorithms
	Secret    string // base64
	Tenant    string
	Subject   string
}

// Algorithms lists the accepted algorithms. MD5 and SHA-1 are not accepted.
var Algorithms = []string{"hmac-sha256", "hmac-sha384", "hmac-sha512"}

// MaxKeys is the maximum size of a key set.
const MaxKeys = 4096

// minSecretBytes is the minimum length of a secret. RFC 8945, section 8 asks for the length of the hash.
const minSecretBytes = 32

// Keys is an immutable set of keys by name. A nil *Keys is an empty set.
type Keys struct{ byName map[string]*boundKey }

// boundKey is a key with the caller that it identifies.
type boundKey struct {
	Key
	caller identity.Caller
}

// New returns a set of keys. An error about a key names the key but never contains its secret.
func New(all []Key) (*Keys, error) {
	if len(all) > MaxKeys {
		return nil, fmt.Errorf("got %d keys, want at most %d", len(all), MaxKeys)
	}
	keys := &Keys{byName: map[string]*boundKey{}}
	for _, key := range all {
		key.Name = dns.CanonicalName(key.Name)
		if err := key.check(); err != nil {
			return nil, err
		}
		if keys.byName[key.Name] != nil {
			return nil, fmt.Errorf("duplicate key name %s", key.Name)
		}
		caller := identity.Caller{Frontend: "dns", Tenant: key.Tenant, Subject: key.Subject}
		keys.byName[key.Name] = &boundKey{Key: key, caller: caller}
	}
	return keys, nil
}

// check returns an error unless the key is valid.
func (k *Key) check() error {
	secret, err := base64.StdEncoding.DecodeString(k.Secret)
	_, isName := dns.IsDomainName(k.Name)
	switch {
	case !isName || k.Name == ".":
		return fmt.Errorf("key %.64q: the name is not a valid domain name", k.Name)
	case !slices.Contains(Algorithms, k.Algorithm):
		expected := strings.Join(Algorithms, ", ")
		return fmt.Errorf("key %s: algorithm %.32q: expected one of %s", k.Name, k.Algorithm, expected)
	case err != nil || len(secret) < minSecretBytes:
		return fmt.Errorf("key %s: the secret must be at least %d bytes in base64", k.Name, minSecretBytes)
	case k.Tenant == "" || k.Subject == "":
		return fmt.Errorf("key %s: tenant and subject are required", k.Name)
	}
	return nil
}

// get returns the key with the name and algorithm of a record, or nil if there is none.
func (k *Keys) get(record *dns.TSIG) *boundKey {
	if k == nil {
		return nil
	}
	key := k.byName[dns.CanonicalName(record.Hdr.Name)]
	if key == nil || dns.CanonicalName(record.Algorithm) != key.Algorithm+"." {
		return nil
	}
	return key
}
