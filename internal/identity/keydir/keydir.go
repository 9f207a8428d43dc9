// Package keydir stores keys and revocations in a directory:
//
//   - keys.json: a JWK set (RFC 7517, RFC 8037) with the validity times of each key;
//   - revoked: one revocation per line;
//   - tsig: one TSIG key, with its secret, per line;
//   - private/ID.pem: the private key of a key pair, needed only by a process that signs.
//
// The content is read completely or not at all. Writes replace a file atomically by a rename.
package keydir

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"sloequay/internal/identity"
	"sloequay/internal/identity/tsig"
)

// Names of the files.
const (
	keysFile    = "keys.json"
	revokedFile = "revoked"
	tsigFile    = "tsig"
	privateDir  = "private"
)

// maxFileBytes is the maximum size of a file that is read.
const maxFileBytes = 4 << 20

// Permissions of the files. The nonOwner masks are permissions that must not be set.
const (
	publicMode  = 0o644
	privateMode = 0o600

	nonOwnerWrite  = 0o022
	nonOwnerAccess = 0o077
)

// Content holds the content of a key directory.
type Content struct {
	Keys    []identity.Key
	Revoked []Revocation
	TSIG    []tsig.Key
}

// Read reads a key directory. An error names the file; the content is then incomplete and must not be used. A missing
// file of revocations or TSIG keys counts as empty.
func Read(dir string) (content Content, err error) {
	path := filepath.Join(dir, keysFile)
	text, err := readFile(path)
	if err != nil {
		return content, err
	}
	if content.Keys, err = ParseKeys(text); err != nil {
		return content, fmt.Errorf("%s: %w", path, err)
	}
	if content.Revoked, err = readRevoked(dir); err != nil {
		return content, err
	}
	content.TSIG, err = readTSIG(dir)
	return content, err
}

// Fingerprint returns a string that changes when the files of a key directory may have changed. It holds their sizes,
// modification times, modes and the system's stat data, such as inode numbers.
func Fingerprint(dir string) string {
	fingerprint := ""
	for _, name := range []string{keysFile, revokedFile, tsigFile} {
		info, err := os.Stat(filepath.Join(dir, name))
		if err != nil {
			continue
		}
		modified := info.ModTime().UnixNano()
		fingerprint += fmt.Sprintf("%s %d %d %v %v;", name, info.Size(), modified, info.Mode(), info.Sys())
	}
	return fingerprint
}

// readFile reads a file that only its owner may write, since other writers could grant themselves access.
func readFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	info, err := file.Stat()
	switch {
	case err != nil:
		return nil, err
	case info.Mode().Perm()&nonOwnerWrite != 0:
		return nil, fmt.Errorf("%s: its mode %v lets others write it", path, info.Mode().Perm())
	case !info.Mode().IsRegular() || info.Size() > maxFileBytes:
		return nil, fmt.Errorf("%s: expected a regular file of at most %d bytes", path, maxFileBytes)
	}
	return io.ReadAll(io.LimitReader(file, maxFileBytes))
}

// checkPrivate returns an error unless a file exists and only its owner has access to it.
func checkPrivate(path string) error {
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	if info.Mode().Perm()&nonOwnerAccess != 0 {
		return fmt.Errorf("%s: its mode %v lets others read it", path, info.Mode().Perm())
	}
	return nil
}

// parseLines calls parse with the words of each line, except empty lines and comments. Errors include the line number.
func parseLines(text []byte, parse func(words []string) error) error {
	lines := bufio.NewScanner(bytes.NewReader(text))
	for number := 1; lines.Scan(); number++ {
		words := strings.Fields(lines.Text())
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		if err := parse(words); err != nil {
			return fmt.Errorf("line %d: %w", number, err)
		}
	}
	return lines.Err()
}

// isWord reports whether a text can be written as one word of a line.
func isWord(text string) bool { return !strings.ContainsAny(text, " \t\r\n") }

// formatTime formats a Unix time as RFC 3339. It returns "" for 0, which means no time.
func formatTime(sinceEpoch time.Duration) string {
	if sinceEpoch == 0 {
		return ""
	}
	return time.Unix(0, int64(sinceEpoch)).UTC().Format(time.RFC3339Nano)
}

// Accepted range of the years of times.
const (
	minYear = 1970
	maxYear = 2200
)

// parseTime is the inverse of formatTime.
func parseTime(text string) (sinceEpoch time.Duration, err error) {
	if text == "" {
		return 0, nil
	}
	parsed, err := time.Parse(time.RFC3339Nano, text)
	if err != nil || parsed.Year() < minYear || parsed.Year() > maxYear {
		return 0, fmt.Errorf("invalid time %.40q, expected a form like 2026-01-02T15:04:05Z", text)
	}
	return time.Duration(parsed.UnixNano()), nil
}

// isMissing reports whether an error says that a file does not exist.
func isMissing(err error) bool { return errors.Is(err, os.ErrNotExist) }
