package test

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"sloequay/internal/cli"
	"sloequay/internal/emulator"
)

// testbed is a program under test with stand-ins for all that it talks to.
type testbed struct {
	t            *testing.T
	config       map[string]any
	flags        []string
	program      string   // empty: the one that is shipped
	env          []string // beside the test's own
	settingsPath string   // our settings, which w.own adds to
	ip           string
	address      string
	dnsAddress   string
	resolver     string
	configPath   string           // of the configuration
	listed       []map[string]any // of the list
	log          logBuffer
	cmd          *exec.Cmd
	exited       chan error
	endpoints    *emulator.Endpoints
	listeners    map[string]net.Listener
	listService  *emulator.ListService
	fullListener net.Listener // see fullListener
	listFeed     chan string  // lines for the bulletin to tell
	listPolls    chan string  // what the program asked of the bulletin
	nameServer   *emulator.NameServer
}

// newTestbed has caches c1 and c2, the parent p1 and the origin o1, all listed but for those in absent.
func newTestbed(t *testing.T, script func(*receivedRequest), absent ...string) *testbed {
	w := &testbed{t: t, listed: []map[string]any{}, listeners: map[string]net.Listener{}, endpoints: emulator.NewEndpoints(script)}
	t.Cleanup(w.endpoints.Close)
	for _, b := range []struct{ id, site, class string }{{"c1", "edge", "std"}, {"c2", "edge", "std"},
		{"p1", "hub", "parent"}, {"o1", "hub", "origin"}} {
		var err error
		if w.listeners[b.id], err = w.endpoints.Add(b.id, "127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(strings.Join(absent, " "), b.id) {
			w.listed = append(w.listed, listEntry(b.id, w.listeners[b.id].Addr().String(), b.site, b.class, "up", 0))
		}
	}
	var err error
	if w.listService, err = emulator.NewListService(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.listService.Close)
	w.listFeed, w.listPolls = w.listService.Feed, w.listService.After
	w.address = w.freeAddress()
	var site any
	if err := json.Unmarshal([]byte(emulator.Settings), &site); err != nil {
		t.Fatal(err)
	}
	w.config = map[string]any{"name": "n1", "listen": w.address, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024}, "settings": site,
		"bulletin": w.listService.Address(), "known": map[string]any{"no": 1, "items": []any{
			map[string]any{"no": 1, "roster": map[string]any{"seq": 1, "whole": true, "hosts": w.listed}}}}}
	t.Cleanup(func() {
		w.kill()
		if t.Failed() {
			t.Logf("log of the program:\n%s", w.log.String())
		}
	})
	return w
}

var testbedCount atomic.Int32

// start starts the program and waits until it is ready.
func (w *testbed) start() {
	w.t.Helper()
	w.configPath = filepath.Join(w.t.TempDir(), "config.json")
	w.writeConfig()
	if w.program == "" {
		w.program = program
	}
	w.cmd = exec.Command(w.program, append([]string{"serve", "--config", w.configPath}, w.flags...)...)
	w.cmd.Stderr, w.cmd.Env = &w.log, append(os.Environ(), w.env...)
	if err := w.cmd.Start(); err != nil {
		w.t.Fatal(err)
	}
	exited := make(chan error, 1)
	cmd := w.cmd
	go func() { exited <- cmd.Wait() }()
	w.exited = exited
	w.waitUntil("the program answers status", func() bool { return emulator.Ready(w.address) })
}

// signal sends one to the program.
func (w *testbed) signal(s syscall.Signal) {
	w.t.Helper()
	if err := w.cmd.Process.Signal(s); err != nil {
		w.t.Fatal(err)
	}
}

// terminate sends SIGTERM and says when.
func (w *testbed) terminate() time.Time {
	w.t.Helper()
	at := time.Now()
	w.signal(syscall.SIGTERM)
	w.waitUntil("it is leaving", func() bool { return strings.Contains(w.log.String(), "event=draining") })
	return at
}

// waitExit waits until the program has ended by itself, with exit status 0.
func (w *testbed) waitExit() {
	w.t.Helper()
	select {
	case err := <-w.exited:
		if w.cmd = nil; err != nil {
			w.t.Errorf("the program ended with %v", err)
		}
	case <-time.After(waitLimit):
		w.t.Errorf("the program does not end")
	}
}

func (w *testbed) kill() {
	if w.cmd != nil {
		_ = w.cmd.Process.Signal(syscall.SIGKILL)
		<-w.exited
		w.cmd = nil
	}
}

// addSettings adds to our settings, and has the program read them.
func (w *testbed) addSettings(text string) {
	w.t.Helper()
	if w.settingsPath == "" {
		w.settingsPath = filepath.Join(w.t.TempDir(), "sloequay.conf")
		w.flags = append(w.flags, "--conf", w.settingsPath)
	}
	f, err := os.OpenFile(w.settingsPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err == nil {
		_, err = f.WriteString(text + "\n")
		err = errors.Join(err, f.Close())
	}
	if err != nil {
		w.t.Fatal(err)
	}
}

// writeConfig writes the configuration.
func (w *testbed) writeConfig() {
	w.t.Helper()
	text, err := json.Marshal(w.config)
	if err == nil {
		err = os.WriteFile(w.configPath, text, 0o600)
	}
	if err != nil {
		w.t.Fatal(err)
	}
}

// platformLimits is the settings' block of that name.
func (w *testbed) platformLimits() map[string]any {
	return w.config["settings"].(map[string]any)["limits"].(map[string]any)
}

// setDeadlines sets the deadline of all classes.
func (w *testbed) setDeadlines(ms int) {
	for _, c := range w.config["settings"].(map[string]any)["classes"].([]any) {
		c.(map[string]any)["deadline-ms"] = ms
	}
}

func (w *testbed) writeFile(text string) string {
	path := filepath.Join(w.t.TempDir(), "file.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		w.t.Fatal(err)
	}
	return path
}

// freeAddress gives an address to the program. It is on a loopback address of the world's own: on a shared one a stand-in of
// another test took the port before the program did.
func (w *testbed) freeAddress() string {
	if w.ip == "" {
		n := testbedCount.Add(1)
		w.ip = fmt.Sprintf("127.77.%d.%d", n>>8, n&255)
	}
	ln := w.listenOn(w.ip + ":0")
	defer ln.Close()
	return ln.Addr().String()
}

func (w *testbed) listenOn(address string) net.Listener {
	w.t.Helper()
	ln, err := net.Listen("tcp", address)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = ln.Close() })
	return ln
}

var program string

func TestMain(m *testing.M) {
	if os.Getenv(filterVariable) == "1" {
		serveUnderFilter()
	}
	if os.Getenv(spinVariable) == "1" {
		go func() {
			for {
			}
		}()
		cli.Main()
		os.Exit(0)
	}
	dir, err := os.MkdirTemp("", "sloequay")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "sloequay")
	if out, err := exec.Command("go", "build", "-o", program, "../cmd/sloequay").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// clockstepProgram is the program with a Unix clock that a test can set.
var clockstepProgram = sync.OnceValues(func() (string, error) {
	path := program + "-clockstep"
	if out, err := exec.Command("go", "build", "-tags", "clockstep", "-o", path, "../cmd/sloequay").CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
})
