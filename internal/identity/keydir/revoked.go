package keydir

import (
	"bytes"
	"errors"
	"fmt"
	"path/filepath"
	"time"

	"sloequay/internal/atomicfile"
	"sloequay/internal/identity"
)

// Revocation is one line of the revocation file.
type Revocation struct {
	Kind  identity.RevocationKind
	Name  string
	Until time.Duration // Unix time
}

// errRevocation describes the expected form of a line.
var errRevocation = errors.New("expected token, subject or key, a name, and a time")

// ParseRevoked parses revocations, one per line: token, subject or key, its name, and the end of the revocation.
func ParseRevoked(text []byte) (revoked []Revocation, err error) {
	err = parseLines(text, func(words []string) error {
		kind, ok := parseKind(words[0])
		if len(words) != 3 || !ok {
			return errRevocation
		}
		until, err := parseTime(words[2])
		if err != nil {
			return err
		}
		revoked = append(revoked, Revocation{Kind: kind, Name: words[1], Until: until})
		return nil
	})
	if err != nil {
		return nil, err
	}
	return revoked, nil
}

func parseKind(word string) (kind identity.RevocationKind, ok bool) {
	for kind := identity.RevokedToken; kind <= identity.RevokedKey; kind++ {
		if kind.String() == word {
			return kind, true
		}
	}
	return 0, false
}

// readRevoked reads the revocations of a directory. A missing file counts as empty.
func readRevoked(dir string) ([]Revocation, error) {
	path := filepath.Join(dir, revokedFile)
	text, err := readFile(path)
	if err != nil && !isMissing(err) {
		return nil, err
	}
	revoked, err := ParseRevoked(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return revoked, nil
}

// Revoke adds a revocation to the file and removes those that have ended. now is Unix time.
func Revoke(dir string, now time.Duration, added Revocation) error {
	revoked, err := readRevoked(dir)
	if err != nil {
		return err
	}
	if !isWord(added.Name) || added.Name == "" {
		return fmt.Errorf("cannot revoke %q: expected a name without blanks", added.Name)
	}
	var text bytes.Buffer
	for _, revocation := range append(revoked, added) {
		if revocation.Until > now {
			fmt.Fprintf(&text, "%v %s %s\n", revocation.Kind, revocation.Name, formatTime(revocation.Until))
		}
	}
	return atomicfile.Replace(filepath.Join(dir, revokedFile), text.Bytes(), publicMode)
}
