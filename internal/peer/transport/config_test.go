package transport

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestBadKeys: a key file that others may read, or that has another line in it, is rejected with the line's number.
func TestBadKeys(t *testing.T) {
	const key = "MDEyMzQ1Njc4OWFiY2RlZg==\n"
	for _, c := range []struct {
		text string
		mode os.FileMode
		line int
		want string
	}{
		{key + "short\n", 0o600, 2, ":2: expected 16, 24 or 32 bytes"},
		{key, 0o644, 0, "others may read it"},
	} {
		path := filepath.Join(t.TempDir(), "key")
		if err := os.WriteFile(path, []byte(c.text), c.mode); err != nil {
			t.Fatal(err)
		}
		_, err := readKeys(path)
		var invalid *KeyFileError
		if !errors.As(err, &invalid) || invalid.Line != c.line || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: %v, want %q", c.text, err, c.want)
		}
	}
}
