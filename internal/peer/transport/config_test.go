package transport

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestInvalidKeyFiles checks that a key file with an invalid line is rejected with the line's number, and that a key
// file that other users may read is rejected.
func TestInvalidKeyFiles(t *testing.T) {
	const key = "MDEyMzQ1Njc4OWFiY2RlZg==\n"
	for _, c := range []struct {
		text string
		mode os.FileMode
		line int
		want string
	}{
		{key + "short\n", 0o600, 2, ":2: expected 16, 24 or 32 bytes"},
		{key, 0o644, 0, "accessible to other users"},
	} {
		path := filepath.Join(t.TempDir(), "key")
		if err := os.WriteFile(path, []byte(c.text), c.mode); err != nil {
			t.Fatal(err)
		}
		_, err := readKeys(path)
		var invalid *KeyFileError
		if !errors.As(err, &invalid) || invalid.Line != c.line || !strings.Contains(err.Error(), c.want) {
			t.Errorf("key file with content %q: got error %v, want %q", c.text, err, c.want)
		}
	}
}
