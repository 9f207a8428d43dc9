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

// replaceByPipe puts a named pipe in the place of a file, so that whoever reads the file waits for a writer.
func replaceByPipe(t *testing.T, path string) {
	t.Helper()
	if err := errors.Join(os.Remove(path), unix.Mkfifo(path, 0o600)); err != nil {
		t.Fatal(err)
	}
}

// TestSIGTERMDuringReloads: the files are slow to read, and SIGHUP comes again and again. SIGTERM, which comes last,
// waits for none of that: the program drains at once.
func TestSIGTERMDuringReloads(t *testing.T) {
	t.Parallel()
	bed := newTestbed(t, nil)
	bed.addSettings("# nothing")
	bed.start()
	replaceByPipe(t, bed.settingsPath)
	for range 30 {
		bed.signal(syscall.SIGHUP)
		time.Sleep(2 * time.Millisecond) // signals that come at once are one
	}
	at := bed.terminate()
	if took := time.Since(at); took > time.Second {
		t.Errorf("the program drains %v after SIGTERM, want it at once", took)
	}
	bed.waitExit()
}

// TestUnreadLogStopsNothing: nobody reads the log any more, and its pipe is full. Requests are served all the same, and
// the program ends when it is told to, also once the pipe has no reader.
func TestUnreadLogStopsNothing(t *testing.T) {
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
			t.Fatalf("answer %+v, want the body served", answer)
		}
	}
	_ = reader.Close()
	bed.signal(syscall.SIGTERM)
	_ = client.conn.Close()
	bed.waitExit()
}

// fillPipe writes to a pipe until it takes no more.
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

// TestSIGHUPDuringStart: a configuration is put in place while the program starts. SIGHUP must not end it.
func TestSIGHUPDuringStart(t *testing.T) {
	t.Parallel()
	bed := newTestbed(t, nil)
	bed.writeConfig()
	settings := filepath.Join(t.TempDir(), "sloequay.conf")
	writeFile(t, settings, "")
	replaceByPipe(t, settings)
	bed.launch(exec.Command(programPath, "serve", "--config", bed.configPath, "--conf", settings), &bed.log)
	pipe, err := os.OpenFile(settings, os.O_WRONLY, 0) // opens once the program reads it
	if err != nil {
		t.Fatal(err)
	}
	bed.signal(syscall.SIGHUP)
	time.Sleep(100 * time.Millisecond) // for the signal to arrive, or the settings would be read before
	_ = pipe.Close()
	bed.waitLogged("event=started")
	bed.expectRunning()
}
