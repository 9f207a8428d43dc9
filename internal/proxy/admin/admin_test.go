package admin

import (
	"errors"
	"net"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
)

// listen opens a socket whose answers are the words of the command, or an error for the command `bad`.
func listen(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "admin")
	err := Listen(path, func(words []string, answer chan<- string) {
		if words[0] == "bad" {
			answer <- "error: no such command\n"
			return
		}
		answer <- strings.Join(words, ",") + "\n"
	}, ignoreFailure)
	if err != nil {
		t.Fatal(err)
	}
	return path
}

func TestQuery(t *testing.T) {
	path := listen(t)
	var out strings.Builder
	if err := Query(&out, path, "contracts lanes  urgent"); err != nil || out.String() != "contracts,lanes,urgent\n" {
		t.Errorf("answer %q, %v", out.String(), err)
	}
	out.Reset()
	err := Query(&out, path, "bad")
	if err == nil || err.Error() != "no such command" || out.Len() > 0 {
		t.Errorf("a command that is refused: %q, %v", out.String(), err)
	}
	if err := Query(&out, path+".none", "state"); err == nil {
		t.Error("no error without a socket")
	}
}

// TestListenInUse: a socket on which a process answers is not taken over.
func TestListenInUse(t *testing.T) {
	path := listen(t)
	if err := Listen(path, nil, nil); !errors.Is(err, ErrInUse) {
		t.Errorf("got %v, want %v", err, ErrInUse)
	}
}

// TestListenReplacesStaleSocket: what a killed process left is not in the way.
func TestListenReplacesStaleSocket(t *testing.T) {
	path := filepath.Join(t.TempDir(), "admin")
	stale, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	stale.SetUnlinkOnClose(false)
	if err := stale.Close(); err != nil {
		t.Fatal(err)
	}
	if err := Listen(path, func([]string, chan<- string) {}, ignoreFailure); err != nil {
		t.Error(err)
	}
}

// failingListener fails its first accepts, as one does where the machine has no descriptor or memory left.
type failingListener struct {
	net.Listener
	failures []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.failures) > 0 {
		err := l.failures[0]
		l.failures = l.failures[1:]
		return nil, err
	}
	return l.Listener.Accept()
}

// TestFailedAcceptsEndNothing guards against an operators' socket that is dead for the rest of the process after one
// accept has failed for a moment.
func TestFailedAcceptsEndNothing(t *testing.T) {
	path := filepath.Join(t.TempDir(), "admin")
	listener, err := net.Listen("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	failing := &failingListener{Listener: listener, failures: []error{syscall.ENFILE, syscall.ENOMEM}}
	var reported atomic.Int64
	go accept(failing, func(_ []string, answer chan<- string) { answer <- "well\n" },
		func(error) { reported.Add(1) })
	var out strings.Builder
	if err := Query(&out, path, "state"); err != nil || out.String() != "well\n" {
		t.Errorf("answer %q, %v", out.String(), err)
	}
	if got := reported.Load(); got != 2 {
		t.Errorf("%d failures were reported, want 2", got)
	}
}

func ignoreFailure(error) {}
