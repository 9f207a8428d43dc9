package test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"sloequay/internal/cli"
	"sloequay/internal/emulator"
)

// waitLimit is how long a test waits for what must happen; no test rests on anything taking long.
const waitLimit = 10 * time.Second

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

// receivedRequest is one line that a stand-in box has read.
type receivedRequest = emulator.ReceivedRequest

// logBuffer is what the program logs; it may be read while the program runs.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

func (l *logBuffer) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text.Reset()
}

// matches says whether an expression fits anywhere in a text.
func matches(expression, text string) bool { return regexp.MustCompile(expression).MatchString(text) }

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

func listEntry(id, dial, site, class, health string, born int64) map[string]any {
	return map[string]any{"host": id, "dial": dial, "site": site, "class": class, "block": 0, "health": health,
		"share": 4, "born_ms": born}
}

var testbedCount atomic.Int32

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

// signal sends one to the program.
func (w *testbed) signal(s syscall.Signal) {
	w.t.Helper()
	if err := w.cmd.Process.Signal(s); err != nil {
		w.t.Fatal(err)
	}
}

func (w *testbed) kill() {
	if w.cmd != nil {
		_ = w.cmd.Process.Signal(syscall.SIGKILL)
		<-w.exited
		w.cmd = nil
	}
}

// waitUntil waits for a condition.
func (w *testbed) waitUntil(what string, ok func() bool) {
	w.t.Helper()
	for end := time.Now().Add(waitLimit); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			w.t.Fatalf("waited %v in vain until %s", waitLimit, what)
		}
	}
}

// received gives what the boxes have heard that fits.
func (w *testbed) received(fits func(*receivedRequest) bool) []*receivedRequest {
	return w.endpoints.Received(fits)
}

func (w *testbed) setResponder(script func(*receivedRequest)) { w.endpoints.Script(script) }

// startNameServer is a stand-in for the name server that knows boxes listed by name.
func (w *testbed) startNameServer(records map[string]string) {
	var err error
	if w.nameServer, err = emulator.NewNameServer(records); err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(w.nameServer.Close)
	w.resolver = w.nameServer.Address()
}

func hasWord(word string) func(*receivedRequest) bool {
	return func(a *receivedRequest) bool { return a.Word == word }
}

// client is a stand-in for a client of the platform's front, for a test.
type client struct {
	t        *testing.T
	conn     net.Conn
	protocol *emulator.Client
}

func (w *testbed) dial() *client {
	w.t.Helper()
	c, err := emulator.Dial(w.address)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = c.Conn.Close() })
	return &client{t: w.t, conn: c.Conn, protocol: c}
}

func (c *client) send(b []byte) {
	c.t.Helper()
	if err := c.protocol.Send(b); err != nil {
		c.t.Fatal(err)
	}
}

// reply is an answer as the client reads it.
type reply = emulator.Reply

// request builds a frame; see standin.Request.
var request = emulator.Request

// read takes one answer.
func (c *client) read() (reply, error) { return c.protocol.Read(waitLimit) }

// mustRead reads one answer and fails without it.
func (c *client) mustRead() reply {
	c.t.Helper()
	a, err := c.read()
	if err != nil {
		c.t.Fatalf("no answer: %v", err)
	}
	return a
}

// openRequests is 500 requests that are open, held by the boxes' script.
type openRequests struct {
	testbed *testbed
	held    chan *receivedRequest
	clients []*client
}

const requestsPerClient, openClients = 25, 20

// openMany sends 500 requests, each with an id and a key of its own, and waits until all are with the boxes.
func (w *testbed) openMany(held chan *receivedRequest, class string, fields map[string]string) *openRequests {
	w.t.Helper()
	c := &openRequests{testbed: w, held: held}
	for n := range openClients {
		client := w.dial()
		c.clients = append(c.clients, client)
		for id := range uint64(requestsPerClient) {
			f := maps.Clone(fields)
			f["unique"], f["txn"], f["limit"], f["ram"] = fmt.Sprintf("u%d.%d", n, id), fmt.Sprintf("%08x%08x", n, id), "60000", "0.1"
			client.send(request(id, class, f, ""))
		}
	}
	w.waitUntil("all are open", func() bool { return len(held) == requestsPerClient*openClients })
	return c
}

// answerAll has the boxes answer, and each request be served once.
func (c *openRequests) answerAll() {
	c.testbed.t.Helper()
	for range requestsPerClient * openClients {
		a := <-c.held
		a.Answer("ACK", "tag=t1", "done")
	}
	for _, client := range c.clients {
		seen := map[uint64]bool{}
		for range requestsPerClient {
			a := client.mustRead()
			if seen[a.ID] || a.Error != "" {
				c.testbed.t.Errorf("%+v, want each open request served once", a)
			}
			seen[a.ID] = true
		}
	}
}
