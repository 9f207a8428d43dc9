package test

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"sloequay/internal/emulator"
)

// replaceWithPipe replaces a file with a named pipe, so that reading the file blocks until a writer opens it.
func replaceWithPipe(t *testing.T, path string) {
	t.Helper()
	if err := errors.Join(os.Remove(path), unix.Mkfifo(path, 0o600)); err != nil {
		t.Fatal(err)
	}
}

// TestSIGTERMDuringReloads sends SIGHUP repeatedly while reading the settings blocks, and then SIGTERM. The program
// must drain at once, without waiting for the reloads.
func TestSIGTERMDuringReloads(t *testing.T) {
	t.Parallel()
	bed := newTestbed(t, nil)
	bed.addSettings("# nothing")
	bed.start()
	replaceWithPipe(t, bed.settingsPath)
	for range 30 {
		bed.signal(syscall.SIGHUP)
		time.Sleep(2 * time.Millisecond) // the kernel merges signals that arrive together
	}
	at := bed.terminate()
	if took := time.Since(at); took > time.Second {
		t.Errorf("draining began %v after SIGTERM, want at most 1 s", took)
	}
	bed.waitExit()
}

// TestUnreadLogDoesNotBlock writes the log to a full pipe that nobody reads. Requests must be served nevertheless, and
// the program must exit on SIGTERM even after the pipe has lost its reader.
func TestUnreadLogDoesNotBlock(t *testing.T) {
	t.Parallel()
	bed := newTestbed(t, nil)
	bed.writeConfig()
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer reader.Close()
	fillPipe(t, writer)
	bed.launch(exec.Command(programPath, "serve", "--config", bed.configPath), writer)
	bed.waitUntil("the program answers status", func() bool { return emulator.Ready(bed.address) })
	_ = writer.Close()
	client := bed.dial()
	for id := range uint64(20) {
		if answer := client.call(id+1, "footage", nil); answer.Error != "" {
			t.Fatalf("answer: got %+v, want the body served", answer)
		}
	}
	_ = reader.Close()
	bed.signal(syscall.SIGTERM)
	_ = client.conn.Close()
	bed.waitExit()
}

// fillPipe writes to a pipe until it is full.
func fillPipe(t *testing.T, writer *os.File) {
	t.Helper()
	if err := writer.SetWriteDeadline(time.Now().Add(100 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	for {
		if _, err := writer.Write(make([]byte, 4096)); err != nil {
			return
		}
	}
}

// TestSIGHUPDuringStart sends SIGHUP while the program starts, as happens if a new configuration is installed then. The
// signal must not end the program.
func TestSIGHUPDuringStart(t *testing.T) {
	t.Parallel()
	bed := newTestbed(t, nil)
	bed.writeConfig()
	settings := filepath.Join(t.TempDir(), "sloequay.conf")
	writeFile(t, settings, "")
	replaceWithPipe(t, settings)
	bed.launch(exec.Command(programPath, "serve", "--config", bed.configPath, "--conf", settings), &bed.log)
	pipe, err := os.OpenFile(settings, os.O_WRONLY, 0) // blocks until the program opens the file for reading
	if err != nil {
		t.Fatal(err)
	}
	bed.signal(syscall.SIGHUP)
	time.Sleep(100 * time.Millisecond) // the signal must arrive before the settings can be read
	_ = pipe.Close()
	bed.waitLogged("event=started")
	bed.expectRunning()
}
