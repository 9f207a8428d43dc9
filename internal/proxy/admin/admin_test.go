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

// startEchoSocket opens a socket that answers with the words of the command, or with an error to the command `bad`.
func startEchoSocket(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "admin")
	err := Listen(path, func(words []string, answer chan<- string) {
		if words[0] == "bad" {
			answer <- "error: no such command\n"
			return
		}
		answer <- strings.Join(words, ",") + "\n"
	}, ignoreError)
	if err != nil {
		t.Fatal(err)
	}
	return path
}

func TestQuery(t *testing.T) {
	path := startEchoSocket(t)
	var out strings.Builder
	if err := Query(&out, path, "contracts lanes  urgent"); err != nil || out.String() != "contracts,lanes,urgent\n" {
		t.Errorf("answer: got %q, error %v, want the words joined by commas", out.String(), err)
	}
	out.Reset()
	err := Query(&out, path, "bad")
	if err == nil || err.Error() != "no such command" || out.Len() > 0 {
		t.Errorf("rejected command: got output %q, error %v, want no output and the handler's error", out.String(), err)
	}
	if err := Query(&out, path+".none", "state"); err == nil {
		t.Error("query without a socket: got no error, want one")
	}
}

// TestListenInUse checks that a socket on which a process listens is not replaced.
func TestListenInUse(t *testing.T) {
	path := startEchoSocket(t)
	if err := Listen(path, nil, nil); !errors.Is(err, ErrInUse) {
		t.Errorf("second Listen on the socket: got error %v, want %v", err, ErrInUse)
	}
}

// TestListenReplacesStaleSocket checks that the socket file of a killed process is replaced.
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
	if err := Listen(path, func([]string, chan<- string) {}, ignoreError); err != nil {
		t.Error(err)
	}
}

// failingListener fails its first accepts, like a listener on a machine that is out of file descriptors or memory.
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

// TestServingContinuesAfterFailedAccepts guards against an operators' socket that stays dead until the process ends
// because one accept failed temporarily.
func TestServingContinuesAfterFailedAccepts(t *testing.T) {
	path := filepath.Join(t.TempDir(), "admin")
	listener, err := net.Listen("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	failing := &failingListener{Listener: listener, failures: []error{syscall.ENFILE, syscall.ENOMEM}}
	var reported atomic.Int64
	go accept(failing, func(_ []string, answer chan<- string) { answer <- "ok\n" },
		func(error) { reported.Add(1) })
	var out strings.Builder
	if err := Query(&out, path, "state"); err != nil || out.String() != "ok\n" {
		t.Errorf("answer: got %q, error %v, want the handler's answer", out.String(), err)
	}
	if got := reported.Load(); got != 2 {
		t.Errorf("failed accepts reported: got %d, want 2", got)
	}
}

func ignoreError(error) {}
