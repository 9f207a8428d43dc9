// Package test starts the built program as a process, with emulators for all that it talks to, and holds it to what
// its clients, its endpoints and its operators may expect of it.
//
// The helpers stand in the files harness_*_test.go. A test makes a testbed, changes what it needs in its
// configuration, starts the program, and talks to it as clients, endpoints, list service and operators do. It waits
// for conditions; where it sleeps, the time itself is what the test is about.
package test

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"sloequay/internal/cli"
	"sloequay/internal/emulator"
)

// testbed is the program under test with emulators for all that it talks to.
type testbed struct {
	t *testing.T

	// What the program is started with; a test may change it before start.
	programPath     string           // path; empty: the build that is shipped
	env             []string         // beside the test's own
	flags           []string         // of the command serve
	config          map[string]any   // the platform's configuration
	configPath      string           // of the file that it is written to
	listedEndpoints []map[string]any // the endpoint list in config
	settingsPath    string           // of our settings, which addSettings adds to; empty: none
	ip              string           // loopback address of this testbed alone
	address         string           // that clients connect to
	dnsAddress      string           // empty: DNS is off

	// The process.
	cmd    *exec.Cmd // nil: none runs
	exited chan error
	log    logBuffer

	// The emulators.
	endpoints           *emulator.Endpoints
	listeners           map[string]net.Listener // of the endpoints, by id
	listService         *listService
	listFeed            chan string // lines for the list service to send
	listPolls           chan string // what the program has asked the list service for
	nameServer          *nameServer
	fullBacklogListener net.Listener // see listenWithFullBacklog
}

// placement is where an endpoint stands, by the first letter of its id: the service that a catalogue has it in, its
// class and its site.
func placement(id string) (service, class, site string) {
	switch id[0] {
	case 'p':
		return "trunk", "parent", "hub"
	case 'o':
		return "archive", "origin", "hub"
	}
	return "cache", "std", "edge"
}

// newTestbed has the caches c1 and c2, the parent p1 and the origin o1, all listed but for those in absent. They
// answer by respond; nil: as emulator.NewEndpoints does.
func newTestbed(t *testing.T, respond func(*receivedRequest), absent ...string) *testbed {
	t.Helper()
	bed := &testbed{t: t, listedEndpoints: []map[string]any{}, listeners: map[string]net.Listener{},
		endpoints: emulator.NewEndpoints(respond)}
	t.Cleanup(bed.endpoints.Close)
	for _, id := range []string{"c1", "c2", "p1", "o1"} {
		bed.addEndpoint(id)
		if !slices.Contains(absent, id) {
			bed.listedEndpoints = append(bed.listedEndpoints, bed.endpointEntry(id, "up"))
		}
	}
	var err error
	if bed.listService, err = newListService(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(bed.listService.close)
	bed.listFeed, bed.listPolls = bed.listService.feed, bed.listService.polls
	bed.address = bed.freeAddress()
	var settings any
	if err := json.Unmarshal([]byte(emulator.Settings), &settings); err != nil {
		t.Fatal(err)
	}
	initial := map[string]any{"seq": 1, "whole": true, "hosts": bed.listedEndpoints}
	bed.config = map[string]any{"name": "n1", "listen": bed.address, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024}, "settings": settings,
		"bulletin": bed.listService.address(),
		"known":    map[string]any{"no": 1, "items": []any{map[string]any{"no": 1, "roster": initial}}}}
	t.Cleanup(func() {
		bed.kill()
		if t.Failed() {
			t.Logf("log of the program:\n%s", bed.log.String())
		}
	})
	return bed
}

// testbedCount numbers the testbeds, so that each has a loopback address of its own.
var testbedCount atomic.Int32

// freeAddress gives an address that the program can listen on. It is on the testbed's own loopback address: on a
// shared one an emulator of another test took the port before the program did.
func (bed *testbed) freeAddress() string {
	if bed.ip == "" {
		n := testbedCount.Add(1)
		bed.ip = fmt.Sprintf("127.77.%d.%d", n>>8, n&255)
	}
	listener := bed.listenOn(bed.ip + ":0")
	defer listener.Close()
	return listener.Addr().String()
}

// listenOn listens until the test ends.
func (bed *testbed) listenOn(address string) net.Listener {
	bed.t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		bed.t.Fatal(err)
	}
	bed.t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// platformSettings is the block `settings` of the configuration.
func (bed *testbed) platformSettings() map[string]any { return bed.config["settings"].(map[string]any) }

// platformLimits is the block `limits` of the platform's settings.
func (bed *testbed) platformLimits() map[string]any {
	return bed.platformSettings()["limits"].(map[string]any)
}

// setDeadlines sets the deadline of all classes.
func (bed *testbed) setDeadlines(milliseconds int) {
	for _, class := range bed.platformSettings()["classes"].([]any) {
		class.(map[string]any)["deadline-ms"] = milliseconds
	}
}

// addSettings adds lines to our settings, and has the program read them.
func (bed *testbed) addSettings(lines ...string) {
	bed.t.Helper()
	if bed.settingsPath == "" {
		bed.settingsPath = filepath.Join(bed.t.TempDir(), "sloequay.conf")
		bed.flags = append(bed.flags, "--conf", bed.settingsPath)
	}
	file, err := os.OpenFile(bed.settingsPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err == nil {
		_, err = file.WriteString(strings.Join(lines, "\n") + "\n")
		err = errors.Join(err, file.Close())
	}
	if err != nil {
		bed.t.Fatal(err)
	}
}

// writeConfig writes the configuration, over that of an earlier call.
func (bed *testbed) writeConfig() {
	bed.t.Helper()
	if bed.configPath == "" {
		bed.configPath = filepath.Join(bed.t.TempDir(), "config.json")
	}
	text, err := json.Marshal(bed.config)
	if err != nil {
		bed.t.Fatal(err)
	}
	writeFile(bed.t, bed.configPath, string(text))
}

// start writes the configuration, starts the program and waits until it is ready.
func (bed *testbed) start() {
	bed.t.Helper()
	bed.writeConfig()
	if bed.programPath == "" {
		bed.programPath = programPath
	}
	arguments := append([]string{"serve", "--config", bed.configPath}, bed.flags...)
	bed.launch(exec.Command(bed.programPath, arguments...), &bed.log)
	bed.waitUntil("the program answers status", func() bool { return emulator.Ready(bed.address) })
}

// launch starts a process as the program, with its log going to a writer, and does not wait until it is ready.
func (bed *testbed) launch(cmd *exec.Cmd, log io.Writer) {
	bed.t.Helper()
	cmd.Stderr, cmd.Env = log, append(os.Environ(), bed.env...)
	if err := cmd.Start(); err != nil {
		bed.t.Fatal(err)
	}
	exited := make(chan error, 1)
	go func() { exited <- cmd.Wait() }()
	bed.cmd, bed.exited = cmd, exited
}

// startTestBinary starts the test binary as the program, with a variable in its environment by which TestMain knows.
func (bed *testbed) startTestBinary(variable string) {
	bed.t.Helper()
	self, err := os.Executable()
	if err != nil {
		bed.t.Fatal(err)
	}
	bed.programPath, bed.env = self, []string{variable + "=1"}
	bed.start()
}

// signal sends one to the program.
func (bed *testbed) signal(s syscall.Signal) {
	bed.t.Helper()
	if err := bed.cmd.Process.Signal(s); err != nil {
		bed.t.Fatal(err)
	}
}

// terminate sends SIGTERM, waits until the program drains, and gives when the signal was sent.
func (bed *testbed) terminate() time.Time {
	bed.t.Helper()
	at := time.Now()
	bed.signal(syscall.SIGTERM)
	bed.waitLogged("event=draining")
	return at
}

// waitExit waits until the program has ended by itself, and fails unless its exit status is 0.
func (bed *testbed) waitExit() {
	bed.t.Helper()
	select {
	case err := <-bed.exited:
		if bed.cmd = nil; err != nil {
			bed.t.Errorf("the program ended with %v, want exit status 0", err)
		}
	case <-time.After(waitLimit):
		bed.t.Errorf("the program still runs after %v, want it to end by itself", waitLimit)
	}
}

// expectRunning fails if the program has ended.
func (bed *testbed) expectRunning() {
	bed.t.Helper()
	select {
	case err := <-bed.exited:
		bed.cmd = nil
		bed.t.Errorf("the program ended with %v, want it to run still", err)
	default:
	}
}

// kill ends the program at once, if it runs.
func (bed *testbed) kill() {
	if bed.cmd != nil {
		_ = bed.cmd.Process.Signal(syscall.SIGKILL)
		<-bed.exited
		bed.cmd = nil
	}
}

// programPath is the path of the build under test, which TestMain makes.
var programPath string

// runProgram runs a command of the program to its end, and gives what it prints on either stream.
func runProgram(args ...string) (string, error) {
	out, err := exec.Command(programPath, args...).CombinedOutput()
	return string(out), err
}

// mustRunProgram is runProgram for a command that must succeed.
func mustRunProgram(t *testing.T, args ...string) string {
	t.Helper()
	out, err := runProgram(args...)
	if err != nil {
		t.Fatalf("sloequay %v: %v, want it to succeed; it printed\n%s", args, err, out)
	}
	return out
}

// TestMain builds the program and runs the tests. In a process that a test has started it is the program itself,
// under the condition that the environment names.
func TestMain(m *testing.M) {
	if os.Getenv(filterVariable) == "1" {
		serveUnderFilter()
	}
	if faults := os.Getenv(supervisorVariable); faults != "" {
		superviseFaults(faults)
	}
	if faults := os.Getenv(faultsVariable); faults != "" {
		serveWithFaults(faults)
	}
	if os.Getenv(spinVariable) == "1" {
		go func() {
			//lint:ignore SA5002 it must spin: TestIdleProxyDoesNotSpin is to see that it would find one that does
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
	programPath = filepath.Join(dir, "sloequay")
	if out, err := exec.Command("go", "build", "-o", programPath, "../cmd/sloequay").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// buildClockstepProgram builds the program with a Unix clock that a test can set, once, and gives its path.
var buildClockstepProgram = sync.OnceValues(func() (string, error) {
	path := programPath + "-clockstep"
	build := exec.Command("go", "build", "-tags", "clockstep", "-o", path, "../cmd/sloequay")
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
})
