// Package keydir keeps an identity's keys and revocations in a directory:
//
//   - keys.json: a JWK set (RFC 7517, RFC 8037) with the times of each key;
//   - revoked: a line a revocation;
//   - tsig: a line a shared secret of DNS;
//   - private/ID.pem: the private half of a key, which only a process that signs needs.
//
// What is read is read completely or not at all, and what is written replaces a file by a rename.
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

// maxFileBytes is the longest file that is read.
const maxFileBytes = 4 << 20

// Permissions of the files.
const (
	publicMode  = 0o644
	privateMode = 0o600

	othersMayWrite = 0o022
	othersMayUse   = 0o077
)

// Content is all that a directory says.
type Content struct {
	Keys    []identity.Key
	Revoked []Revocation
	TSIG    []tsig.Key
}

// Read reads a directory. Any fault is an error that names the file, and then nothing of it counts. Without a file of
// revocations or of DNS secrets there are none.
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

// Fingerprint returns a text that changes when a directory's files may have changed: their times, sizes and numbers.
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

// readFile reads a file that only its owner can write: others could grant themselves access.
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
	case info.Mode().Perm()&othersMayWrite != 0:
		return nil, fmt.Errorf("%s: its mode %v lets others write it", path, info.Mode().Perm())
	case !info.Mode().IsRegular() || info.Size() > maxFileBytes:
		return nil, fmt.Errorf("%s: expected a file of at most %d bytes", path, maxFileBytes)
	}
	return io.ReadAll(io.LimitReader(file, maxFileBytes))
}

// checkPrivate returns an error unless a file is there that only its owner can read.
func checkPrivate(path string) error {
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	if info.Mode().Perm()&othersMayUse != 0 {
		return fmt.Errorf("%s: its mode %v lets others read it", path, info.Mode().Perm())
	}
	return nil
}

// parseLines calls parse with the words of each line, but for empty ones and comments. Its errors get the line's
// number.
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

// isWord reports whether a text can be one word of a line.
func isWord(text string) bool { return !strings.ContainsAny(text, " \t\r\n") }

// formatTime writes a time on the Unix clock as RFC 3339; 0, which is none, as an empty text.
func formatTime(sinceEpoch time.Duration) string {
	if sinceEpoch == 0 {
		return ""
	}
	return time.Unix(0, int64(sinceEpoch)).UTC().Format(time.RFC3339Nano)
}

// The years that a time may be of.
const (
	minYear = 1970
	maxYear = 2200
)

// parseTime is the reverse of formatTime.
func parseTime(text string) (sinceEpoch time.Duration, err error) {
	if text == "" {
		return 0, nil
	}
	parsed, err := time.Parse(time.RFC3339Nano, text)
	if err != nil || parsed.Year() < minYear || parsed.Year() > maxYear {
		return 0, fmt.Errorf("%.40q is no time as 2026-01-02T15:04:05Z", text)
	}
	return time.Duration(parsed.UnixNano()), nil
}

// isMissing reports whether an error says that a file is not there.
func isMissing(err error) bool { return errors.Is(err, os.ErrNotExist) }
