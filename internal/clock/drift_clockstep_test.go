//go:build clockstep

package clock

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// TestDriftFileSetsUnixTime checks that a build with the tag clockstep adds the drift in the file to Unix time.
func TestDriftFileSetsUnixTime(t *testing.T) {
	path := filepath.Join(t.TempDir(), "drift")
	t.Setenv(driftFileVariable, path)
	const drift = -time.Hour
	if err := os.WriteFile(path, fmt.Append(nil, int64(drift)), 0o600); err != nil {
		t.Fatal(err)
	}
	system := NewSystem()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		got := time.Until(system.UnixTime())
		if (got - drift).Abs() < time.Minute {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("Unix time is %v ahead of the machine's 10 s after the file was written, want %v", got, drift)
		}
	}
}
