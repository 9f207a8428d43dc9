// Package test runs the built program as a process against emulators of its clients, endpoints and services, and checks
// the behaviour that clients, endpoints and operators rely on.
//
// The shared helpers are in harness_test.go and harness_*_test.go. A test creates a testbed, adapts its configuration,
// starts the program, and communicates with it as clients, endpoints, the list service and operators do. Tests wait for
// conditions; they sleep only where the elapsed time itself is under test.
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

// testbed is the program under test and the emulators that it communicates with.
type testbed struct {
	t *testing.T

	// What the program is started with; a test may change it before start.
	programPath     string           // empty: the shipped build
	env             []string         // added to the environment of the test process
	flags           []string         // of the serve command
	config          map[string]any   // the platform's configuration
	configPath      string           // path of the file that config is written to
	listedEndpoints []map[string]any // the initial endpoint list in config
	settingsPath    string           // path of the proxy's own settings, see addSettings; empty: none
	ip              string           // loopback address that only this testbed uses
	address         string           // address that clients connect to
	dnsAddress      string           // address of the DNS frontend; empty: disabled

	// The running process.
	cmd    *exec.Cmd // nil: not running
	exited chan error
	log    logBuffer

	// The emulators.
	endpoints           *emulator.Endpoints
	listeners           map[string]net.Listener // of the endpoints, by id
	listService         *listService
	listFeed            chan string // lines that the list service sends
	listPolls           chan string // lines that the program sent to the list service
	nameServer          *nameServer
	fullBacklogListener net.Listener // see listenWithFullBacklog
}

// placement returns the catalogue service, the class and the site of an endpoint, which follow from the first letter of
// its id.
func placement(id string) (service, class, site string) {
	switch id[0] {
	case 'p':
		return "trunk", "parent", "hub"
	case 'o':
		return "archive", "origin", "hub"
	}
	return "cache", "std", "edge"
}

// newTestbed returns a testbed with the caches c1 and c2, the parent p1 and the origin o1. All but those in absent are
// in the initial endpoint list. respond responds to their attempts; nil uses the default of emulator.NewEndpoints.
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
			t.Logf("program log:\n%s", bed.log.String())
		}
	})
	return bed
}

// testbedCount numbers the testbeds, so that each gets its own loopback address.
var testbedCount atomic.Int32

// freeAddress returns an address that the program can listen on. It uses the testbed's own loopback address: on a
// shared one, an emulator of another test could take the port before the program does.
func (bed *testbed) freeAddress() string {
	if bed.ip == "" {
		n := testbedCount.Add(1)
		bed.ip = fmt.Sprintf("127.77.%d.%d", n>>8, n&255)
	}
	listener := bed.listenOn(bed.ip + ":0")
	defer listener.Close()
	return listener.Addr().String()
}

// listenOn listens on a TCP address. The listener is closed when the test ends.
func (bed *testbed) listenOn(address string) net.Listener {
	bed.t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		bed.t.Fatal(err)
	}
	bed.t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// platformSettings returns the "settings" object of the platform configuration.
func (bed *testbed) platformSettings() map[string]any { return bed.config["settings"].(map[string]any) }

// platformLimits returns the "limits" object of the platform settings.
func (bed *testbed) platformLimits() map[string]any {
	return bed.platformSettings()["limits"].(map[string]any)
}

// setDeadlines sets the deadline of every class.
func (bed *testbed) setDeadlines(milliseconds int) {
	for _, class := range bed.platformSettings()["classes"].([]any) {
		class.(map[string]any)["deadline-ms"] = milliseconds
	}
}

// addSettings appends lines to the proxy's own settings file, and has the program read it by the flag --conf.
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

// writeConfig writes the platform configuration, and overwrites that of an earlier call.
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

// start writes the platform configuration, starts the program and waits until it is ready.
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

// launch starts cmd as the program, with its log written to log, without waiting until it is ready.
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

// startTestBinary starts the test binary as the program. The environment variable selects its role in TestMain.
func (bed *testbed) startTestBinary(variable string) {
	bed.t.Helper()
	self, err := os.Executable()
	if err != nil {
		bed.t.Fatal(err)
	}
	bed.programPath, bed.env = self, []string{variable + "=1"}
	bed.start()
}

// signal sends a signal to the program.
func (bed *testbed) signal(s syscall.Signal) {
	bed.t.Helper()
	if err := bed.cmd.Process.Signal(s); err != nil {
		bed.t.Fatal(err)
	}
}

// terminate sends SIGTERM, waits until the program drains, and returns the time at which the signal was sent.
func (bed *testbed) terminate() time.Time {
	bed.t.Helper()
	sentAt := time.Now()
	bed.signal(syscall.SIGTERM)
	bed.waitLogged("event=draining")
	return sentAt
}

// waitExit waits until the program exits on its own, and fails the test unless its exit status is 0.
func (bed *testbed) waitExit() {
	bed.t.Helper()
	select {
	case err := <-bed.exited:
		if bed.cmd = nil; err != nil {
			bed.t.Errorf("the program exited with %v, want exit status 0", err)
		}
	case <-time.After(waitLimit):
		bed.t.Errorf("the program is still running after %v, want it to exit on its own", waitLimit)
	}
}

// expectRunning fails the test if the program has exited.
func (bed *testbed) expectRunning() {
	bed.t.Helper()
	select {
	case err := <-bed.exited:
		bed.cmd = nil
		bed.t.Errorf("the program exited with %v, want it still running", err)
	default:
	}
}

// kill ends the program by SIGKILL if it is running.
func (bed *testbed) kill() {
	if bed.cmd != nil {
		_ = bed.cmd.Process.Signal(syscall.SIGKILL)
		<-bed.exited
		bed.cmd = nil
	}
}

// programPath is the path of the program under test, which TestMain builds.
var programPath string

// runProgram runs a command of the program and returns its combined standard output and error.
func runProgram(args ...string) (string, error) {
	out, err := exec.Command(programPath, args...).CombinedOutput()
	return string(out), err
}

// mustRunProgram is like runProgram but fails the test if the command fails.
func mustRunProgram(t *testing.T, args ...string) string {
	t.Helper()
	out, err := runProgram(args...)
	if err != nil {
		t.Fatalf("sloequay %v: got error %v, want success; output:\n%s", args, err, out)
	}
	return out
}

// TestMain builds the program and runs the tests. In a process that a test started with one of the environment
// variables below, it instead runs the program itself or the supervisor of injected faults.
func TestMain(m *testing.M) {
	if os.Getenv(filterVariable) == "1" {
		serveUnderFilter()
	}
	if faults := os.Getenv(supervisorVariable); faults != "" {
		runSupervisor(faults)
	}
	if faults := os.Getenv(faultsVariable); faults != "" {
		serveWithFaults(faults)
	}
	if os.Getenv(spinVariable) == "1" {
		go func() {
			//lint:ignore SA5002 spins on purpose: TestIdleProxyDoesNotSpin checks that it detects a spinning goroutine
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

// buildClockstepProgram builds the program with a Unix clock that a test can set, and returns its path. It builds it
// only once.
var buildClockstepProgram = sync.OnceValues(func() (string, error) {
	path := programPath + "-clockstep"
	build := exec.Command("go", "build", "-tags", "clockstep", "-o", path, "../cmd/sloequay")
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
})
