package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"sloequay/internal/emulator"
)

// world is one run of a case: the record, the temporary folder, and the processes that were started.
type world struct {
	dir     string // temporary
	trouble bool   // whether the disruption is played
	began   time.Time

	mu       sync.Mutex
	record   *os.File
	doormans []*doorman
}

// newWorld opens the record of a case.
func newWorld(folder string) (*world, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: record}
	w.note("began, disruption %v", w.trouble)
	return w, nil
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.3f s  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes that were started and removes the temporary folder.
func (w *world) close() {
	for _, d := range w.doormans {
		d.kill()
		<-d.ended
	}
	_ = os.RemoveAll(w.dir)
	_ = w.record.Close()
}

// freeAddress returns a loopback address with a port that nobody listens at.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// listEntry is a depot as the bulletin lists it.
type listEntry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	Born   int64   `json:"born_ms"`
}

// options says how a doorman is started.
type options struct {
	memoryMB, sockets int
	settings          string // of the platform; empty: emulator.Settings
	conf              string // our own settings; empty: none
	bulletin          string // address; empty: none
	depots            []listEntry
}

// doorman is a running process of the project's own program.
type doorman struct {
	name, address string
	cmd           *exec.Cmd
	log           *bytes.Buffer
	logMu         sync.Mutex
	ended         chan struct{}
	exit          error
}

// Write takes a part of the process's log.
func (d *doorman) Write(p []byte) (int, error) {
	d.logMu.Lock()
	defer d.logMu.Unlock()
	return d.log.Write(p)
}

// logged returns the log so far.
func (d *doorman) logged() string {
	d.logMu.Lock()
	defer d.logMu.Unlock()
	return d.log.String()
}

// runCommand returns the command `run` of the deploy file.
func runCommand() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	found := regexp.MustCompile(`(?m)^run\s*=\s*"(.*)"`).FindSubmatch(text)
	if found == nil {
		return "", errors.New("deploy/balancer.toml has no line run")
	}
	return string(found[1]), nil
}

// start starts a doorman by the command of the deploy file and waits until it says that it is ready.
func (w *world) start(name string, o options) (*doorman, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	return w.startAt(name, address, o)
}

// startAt is start at a given address.
func (w *world) startAt(name, address string, o options) (*doorman, error) {
	command, err := runCommand()
	if err != nil {
		return nil, err
	}
	if o.settings == "" {
		o.settings = emulator.Settings
	}
	if o.depots == nil {
		o.depots = []listEntry{}
	}
	list, err := json.Marshal(o.depots)
	if err != nil {
		return nil, err
	}
	config := fmt.Sprintf(`{"name":%q,"listen":%q,"seed":"%016x","limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},
"bulletin":%q,"flow_bytes_per_s":310000,"link_bytes_per_s":1240000,
"known":{"no":1,"items":[{"no":1,"roster":{"seq":1,"whole":true,"hosts":%s}}]},"settings":%s}`,
		name, address, time.Now().UnixNano(), o.memoryMB, o.sockets, o.bulletin, list, o.settings)
	file := filepath.Join(w.dir, name+".json")
	if err := os.WriteFile(file, []byte(config), 0o600); err != nil {
		return nil, err
	}
	if o.conf != "" {
		conf := filepath.Join(w.dir, name+".conf")
		if err := os.WriteFile(conf, []byte(o.conf), 0o600); err != nil {
			return nil, err
		}
		command += " --conf " + conf
	}
	d := &doorman{name: name, address: address, log: &bytes.Buffer{}, ended: make(chan struct{})}
	d.cmd = exec.Command("/bin/sh", "-c", command)
	d.cmd.Env = append(os.Environ(), "BALANCER_NAME="+name, "BALANCER_LISTEN="+address, "BALANCER_CONFIG="+file,
		"TMPDIR="+w.dir)
	d.cmd.Stdout, d.cmd.Stderr = d, d
	if err := d.cmd.Start(); err != nil {
		return nil, err
	}
	w.doormans = append(w.doormans, d)
	go func() {
		d.exit = d.cmd.Wait()
		close(d.ended)
	}()
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if emulator.Ready(address) {
			w.note("%s is ready at %s", name, address)
			return d, nil
		}
		if d.hasEnded() {
			break
		}
	}
	return nil, fmt.Errorf("%s did not become ready:\n%s", name, d.logged())
}

func (d *doorman) hasEnded() bool {
	select {
	case <-d.ended:
		return true
	default:
		return false
	}
}

// signal sends a signal to the process, which `exec` made the program itself.
func (d *doorman) signal(s syscall.Signal) { _ = d.cmd.Process.Signal(s) }

func (d *doorman) kill() {
	if !d.hasEnded() {
		d.signal(syscall.SIGKILL)
	}
}

// anonymousMB returns how much memory of its own the process holds (RssAnon), in MB, without the pages of its program.
func (d *doorman) anonymousMB() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

// addDepots starts stand-in depots on loopback and returns their entries in the list.
func addDepots(depots *emulator.Endpoints, ids ...string) ([]listEntry, error) {
	var entries []listEntry
	for _, id := range ids {
		listener, err := depots.Add(id, "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		entry := listEntry{Host: id, Dial: listener.Addr().String(), Site: "edge", Class: "std", Block: 1, Health: "up",
			Share: 4}
		switch id[0] {
		case 'p':
			entry.Site, entry.Class = "hub", "parent"
		case 'o':
			entry.Site, entry.Class = "hub", "origin"
		}
		entries = append(entries, entry)
	}
	return entries, nil
}
