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

// patience is how long a test waits for what must happen; no test rests on anything taking long.
const patience = 10 * time.Second

var program string

func TestMain(m *testing.M) {
	if os.Getenv(filterVariable) == "1" {
		underFilter()
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

// asked is one line that a stand-in box has read.
type asked = emulator.ReceivedRequest

// logbook is what the program logs; it may be read while the program runs.
type logbook struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logbook) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logbook) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

func (l *logbook) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text.Reset()
}

// matches says whether an expression fits anywhere in a text.
func matches(expression, text string) bool { return regexp.MustCompile(expression).MatchString(text) }

// world is a program under test with stand-ins for all that it talks to.
type world struct {
	t        *testing.T
	config   map[string]any
	flags    []string
	program  string   // empty: the one that is shipped
	env      []string // beside the test's own
	conf     string   // our settings, which w.own adds to
	ip       string
	listen   string
	dns      string
	resolver string
	path     string           // of the configuration
	hosts    []map[string]any // of the list
	log      logbook
	cmd      *exec.Cmd
	exited   chan error
	fleet    *emulator.Endpoints
	boxes    map[string]net.Listener
	bulletin *emulator.ListService
	full     net.Listener // see fullListener
	feed     chan string  // lines for the bulletin to tell
	after    chan string  // what the program asked of the bulletin
	names    *emulator.NameServer
}

// newWorld has caches c1 and c2, the parent p1 and the origin o1, all listed but for those in absent.
func newWorld(t *testing.T, script func(*asked), absent ...string) *world {
	w := &world{t: t, hosts: []map[string]any{}, boxes: map[string]net.Listener{}, fleet: emulator.NewEndpoints(script)}
	t.Cleanup(w.fleet.Close)
	for _, b := range []struct{ id, site, class string }{{"c1", "edge", "std"}, {"c2", "edge", "std"},
		{"p1", "hub", "parent"}, {"o1", "hub", "origin"}} {
		var err error
		if w.boxes[b.id], err = w.fleet.Add(b.id, "127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(strings.Join(absent, " "), b.id) {
			w.hosts = append(w.hosts, host(b.id, w.boxes[b.id].Addr().String(), b.site, b.class, "up", 0))
		}
	}
	var err error
	if w.bulletin, err = emulator.NewListService(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.bulletin.Close)
	w.feed, w.after = w.bulletin.Feed, w.bulletin.After
	w.listen = w.free()
	var site any
	if err := json.Unmarshal([]byte(emulator.Settings), &site); err != nil {
		t.Fatal(err)
	}
	w.config = map[string]any{"name": "n1", "listen": w.listen, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024}, "settings": site,
		"bulletin": w.bulletin.Address(), "known": map[string]any{"no": 1, "items": []any{
			map[string]any{"no": 1, "roster": map[string]any{"seq": 1, "whole": true, "hosts": w.hosts}}}}}
	t.Cleanup(func() {
		w.kill()
		if t.Failed() {
			t.Logf("log of the program:\n%s", w.log.String())
		}
	})
	return w
}

func host(id, dial, site, class, health string, born int64) map[string]any {
	return map[string]any{"host": id, "dial": dial, "site": site, "class": class, "block": 0, "health": health,
		"share": 4, "born_ms": born}
}

var worlds atomic.Int32

// free gives an address to the program. It is on a loopback address of the world's own: on a shared one a stand-in of
// another test took the port before the program did.
func (w *world) free() string {
	if w.ip == "" {
		n := worlds.Add(1)
		w.ip = fmt.Sprintf("127.77.%d.%d", n>>8, n&255)
	}
	ln := w.listenOn(w.ip + ":0")
	defer ln.Close()
	return ln.Addr().String()
}

func (w *world) listenOn(address string) net.Listener {
	w.t.Helper()
	ln, err := net.Listen("tcp", address)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = ln.Close() })
	return ln
}

// run starts the program and waits until it is ready.
func (w *world) run() {
	w.t.Helper()
	w.path = filepath.Join(w.t.TempDir(), "config.json")
	w.configure()
	if w.program == "" {
		w.program = program
	}
	w.cmd = exec.Command(w.program, append([]string{"serve", "--config", w.path}, w.flags...)...)
	w.cmd.Stderr, w.cmd.Env = &w.log, append(os.Environ(), w.env...)
	if err := w.cmd.Start(); err != nil {
		w.t.Fatal(err)
	}
	exited := make(chan error, 1)
	cmd := w.cmd
	go func() { exited <- cmd.Wait() }()
	w.exited = exited
	w.until("the program answers status", func() bool { return emulator.Ready(w.listen) })
}

// own adds to our settings, and has the program read them.
func (w *world) own(text string) {
	w.t.Helper()
	if w.conf == "" {
		w.conf = filepath.Join(w.t.TempDir(), "sloequay.conf")
		w.flags = append(w.flags, "--conf", w.conf)
	}
	f, err := os.OpenFile(w.conf, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err == nil {
		_, err = f.WriteString(text + "\n")
		err = errors.Join(err, f.Close())
	}
	if err != nil {
		w.t.Fatal(err)
	}
}

// configure writes the configuration.
func (w *world) configure() {
	w.t.Helper()
	text, err := json.Marshal(w.config)
	if err == nil {
		err = os.WriteFile(w.path, text, 0o600)
	}
	if err != nil {
		w.t.Fatal(err)
	}
}

// signal sends one to the program.
func (w *world) signal(s syscall.Signal) {
	w.t.Helper()
	if err := w.cmd.Process.Signal(s); err != nil {
		w.t.Fatal(err)
	}
}

func (w *world) kill() {
	if w.cmd != nil {
		_ = w.cmd.Process.Signal(syscall.SIGKILL)
		<-w.exited
		w.cmd = nil
	}
}

// until waits for a condition.
func (w *world) until(what string, ok func() bool) {
	w.t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			w.t.Fatalf("waited %v in vain until %s", patience, what)
		}
	}
}

// lines gives what the boxes have heard that fits.
func (w *world) lines(fits func(*asked) bool) []*asked { return w.fleet.Received(fits) }

func (w *world) setScript(script func(*asked)) { w.fleet.Script(script) }

// nameServer is a stand-in for the name server that knows boxes listed by name.
func (w *world) nameServer(records map[string]string) {
	var err error
	if w.names, err = emulator.NewNameServer(records); err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(w.names.Close)
	w.resolver = w.names.Address()
}

func word(word string) func(*asked) bool { return func(a *asked) bool { return a.Word == word } }

// client is a stand-in for a client of the platform's front, for a test.
type client struct {
	t    *testing.T
	conn net.Conn
	c    *emulator.Client
}

func (w *world) dial() *client {
	w.t.Helper()
	c, err := emulator.Dial(w.listen)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = c.Conn.Close() })
	return &client{t: w.t, conn: c.Conn, c: c}
}

func (c *client) send(b []byte) {
	c.t.Helper()
	if err := c.c.Send(b); err != nil {
		c.t.Fatal(err)
	}
}

// reply is an answer as the client reads it.
type reply = emulator.Reply

// request builds a frame; see standin.Request.
var request = emulator.Request

// read takes one answer.
func (c *client) read() (reply, error) { return c.c.Read(patience) }

// want reads one answer and fails without it.
func (c *client) want() reply {
	c.t.Helper()
	a, err := c.read()
	if err != nil {
		c.t.Fatalf("no answer: %v", err)
	}
	return a
}

// crowd is 500 requests that are open, held by the boxes' script.
type crowd struct {
	w       *world
	held    chan *asked
	clients []*client
}

const crowdEach, crowdMany = 25, 20

// crowd sends 500 requests, each with an id and a key of its own, and waits until all are with the boxes.
func (w *world) crowd(held chan *asked, class string, fields map[string]string) *crowd {
	w.t.Helper()
	c := &crowd{w: w, held: held}
	for n := range crowdMany {
		client := w.dial()
		c.clients = append(c.clients, client)
		for id := range uint64(crowdEach) {
			f := maps.Clone(fields)
			f["unique"], f["txn"], f["limit"], f["ram"] = fmt.Sprintf("u%d.%d", n, id), fmt.Sprintf("%08x%08x", n, id), "60000", "0.1"
			client.send(request(id, class, f, ""))
		}
	}
	w.until("all are open", func() bool { return len(held) == crowdEach*crowdMany })
	return c
}

// served has the boxes answer, and each request be served once.
func (c *crowd) served() {
	c.w.t.Helper()
	for range crowdEach * crowdMany {
		a := <-c.held
		a.Answer("ACK", "tag=t1", "done")
	}
	for _, client := range c.clients {
		seen := map[uint64]bool{}
		for range crowdEach {
			a := client.want()
			if seen[a.ID] || a.Error != "" {
				c.w.t.Errorf("%+v, want each open request served once", a)
			}
			seen[a.ID] = true
		}
	}
}
