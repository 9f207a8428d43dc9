package keydir

import (
	"bytes"
	"crypto/rand"
	"encoding/base64"
	"errors"
	"fmt"
	"path/filepath"

	"sloequay/internal/atomicfile"
	"sloequay/internal/identity/tsig"
)

const (
	tsigFields      = 5  // per line: name, algorithm, secret, tenant, subject
	tsigSecretBytes = 32 // size of a secret that AddTSIGKey generates
)

// errTSIGKey describes the expected form of a line.
var errTSIGKey = errors.New("expected a name, an algorithm, a secret, a tenant and a subject")

// ParseTSIG parses TSIG keys, one per line: name, algorithm, secret in base64, tenant, subject. Errors never contain
// secrets.
func ParseTSIG(text []byte) (keys []tsig.Key, err error) {
	err = parseLines(text, func(words []string) error {
		if len(words) != tsigFields {
			return errTSIGKey
		}
		keys = append(keys, tsig.Key{
			Name:      words[0],
			Algorithm: words[1],
			Secret:    words[2],
			Tenant:    words[3],
			Subject:   words[4],
		})
		return nil
	})
	if err != nil {
		return nil, err
	}
	_, err = tsig.New(keys)
	return keys, err
}

// readTSIG reads the TSIG keys of a directory, from a file that only its owner may access. A missing file counts as
// empty.
func readTSIG(dir string) ([]tsig.Key, error) {
	path := filepath.Join(dir, tsigFile)
	if err := checkPrivate(path); isMissing(err) {
		return nil, nil
	} else if err != nil {
		return nil, err
	}
	text, err := readFile(path)
	if err != nil {
		return nil, err
	}
	keys, err := ParseTSIG(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return keys, nil
}

// AddTSIGKey generates a secret for a key, adds the key to the file, and returns the key with its secret.
func AddTSIGKey(dir string, key tsig.Key) (tsig.Key, error) {
	keys, err := readTSIG(dir)
	if err != nil {
		return key, err
	}
	secret := make([]byte, tsigSecretBytes)
	if _, err := rand.Read(secret); err != nil {
		return key, err
	}
	key.Secret = base64.StdEncoding.EncodeToString(secret)
	keys = append(keys, key)
	if _, err := tsig.New(keys); err != nil {
		return key, err
	}
	var text bytes.Buffer
	for _, line := range keys {
		for _, word := range []string{line.Name, line.Tenant, line.Subject} {
			if !isWord(word) {
				return key, fmt.Errorf("%q must not contain blanks", word)
			}
		}
		fmt.Fprintln(&text, line.Name, line.Algorithm, line.Secret, line.Tenant, line.Subject)
	}
	return key, atomicfile.Replace(filepath.Join(dir, tsigFile), text.Bytes(), privateMode)
}
