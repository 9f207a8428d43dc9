package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
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

	"github.com/miekg/dns"

	"sloequay/msgpack"
)

// patience is how long a test waits for what must happen; no test rests on anything taking long.
const patience = 10 * time.Second

var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "sloequay")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "sloequay")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// asked is one line that a stand-in box has read.
type asked struct {
	Box, Word, ID string
	Fields        map[string]string
	Body          string
	At            time.Time
	answer        func(word, fields, body string)
	conn          net.Conn
}

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

// world is a program under test with stand-ins for all that it talks to.
type world struct {
	t        *testing.T
	config   map[string]any
	flags    []string
	ip       string
	listen   string
	dns      string
	resolver string
	path     string           // of the configuration
	hosts    []map[string]any // of the list
	log      logbook
	cmd      *exec.Cmd
	exited   chan error
	boxes    map[string]net.Listener
	bulletin net.Listener
	full     net.Listener // see fullListener
	feed     chan string  // lines for the bulletin to tell
	after    chan string  // what the program asked of the bulletin

	mu     sync.Mutex
	script func(a *asked)      // what boxes do; nil: answer hit with the object as the body
	deaf   func(a *asked) bool // whether a NOOP is not answered; nil: all are
	heard  []*asked
	names  []string // what the name server was asked for
	cond   *sync.Cond
}

// newWorld has caches c1 and c2, the parent p1 and the origin o1, all listed but for those in absent.
func newWorld(t *testing.T, script func(*asked), absent ...string) *world {
	w := &world{t: t, script: script, boxes: map[string]net.Listener{}, feed: make(chan string, 64),
		after: make(chan string, 64)}
	w.cond = sync.NewCond(&w.mu)
	for _, b := range []struct{ id, site, class string }{{"c1", "edge", "std"}, {"c2", "edge", "std"},
		{"p1", "hub", "parent"}, {"o1", "hub", "origin"}} {
		w.boxes[b.id] = w.listenOn("127.0.0.1:0")
		go w.serveBox(b.id, w.boxes[b.id])
		if !strings.Contains(strings.Join(absent, " "), b.id) {
			w.hosts = append(w.hosts, host(b.id, w.boxes[b.id].Addr().String(), b.site, b.class, "up", 0))
		}
	}
	w.bulletin = w.listenOn("127.0.0.1:0")
	go w.serveBulletin()
	w.listen = w.free()
	var site any
	if err := json.Unmarshal([]byte(siteSettings), &site); err != nil {
		t.Fatal(err)
	}
	w.config = map[string]any{"name": "n1", "listen": w.listen, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024}, "settings": site,
		"bulletin": w.bulletin.Addr().String(), "known": map[string]any{"no": 1, "items": []any{
			map[string]any{"no": 1, "roster": map[string]any{"seq": 1, "whole": true, "hosts": w.hosts}}}}}
	t.Cleanup(func() {
		w.kill()
		if t.Failed() {
			t.Logf("log of the program:\n%s", w.log.String())
		}
	})
	return w
}

// siteSettings has a class of each kind: kept until purged, kept for 20 s, and keyed writes.
const siteSettings = `{"classes":[
{"name":"footage","on-time-ms":500,"deadline-ms":6000,"worth":2,"aim-stretch":2,"idempotency":"repeatable"},
{"name":"lookup","on-time-ms":250,"deadline-ms":3000,"worth":1,"aim-stretch":2,"idempotency":"repeatable"},
{"name":"charge","on-time-ms":700,"deadline-ms":3000,"worth":3,"idempotency":"by_key","group":"all","window-ms":3000}],
"n-instances":1,"ordinal":0,"zone":1,"dcs":["hub","edge"],"machine-types":["std","parent","origin"],"weights":"rough",
"family-info":{"shield-kind":1,"master-kind":2,"max-age-ms":[0,20000,0],"stale-for-ms":[0,10000,0],
"uncached":[false,false,true],"instances-by-zone":[0,1],"pass-through-ok":true,"peers-fill":"any","detail":"all",
"one-flow-kb-per-s":9500,"purge-slack-ms":300,"purge-takes-ms":6000},
"limits":{"attempts-cap":6,"cancelling":true,"may-probe":true,"second-copies":false,"streams-per-conn":32,"dial-timeout-ms":400,
"conn-idle-ms":30000,"retry-after":true,"max-retry-after-ms":500,"open-cap":20000},
"safety":{"drain-grace-ms":1000,"answer-slack-ms":8}}`

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

// serveBox is a stand-in for a cache, the parent or the origin.
func (w *world) serveBox(id string, ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			r := bufio.NewReader(conn)
			var writing sync.Mutex
			for {
				line, err := r.ReadString('\n')
				if err != nil {
					return
				}
				words := strings.Fields(line)
				a := &asked{Box: id, Word: words[0], ID: words[1], Fields: map[string]string{}, At: time.Now(), conn: conn}
				if a.Word == "ASK" {
					for _, f := range strings.Split(words[2], ",") {
						name, value, _ := strings.Cut(f, "=")
						a.Fields[name] = value
					}
					var n int
					if _, err := fmt.Sscan(words[3], &n); err != nil {
						return
					}
					body := make([]byte, n+2)
					if _, err := io.ReadFull(r, body); err != nil {
						return
					}
					a.Body = string(body[:n])
				}
				a.answer = func(word, fields, body string) {
					writing.Lock()
					defer writing.Unlock()
					_, _ = fmt.Fprintf(conn, "%s %s %s %d\r\n%s\r\n", a.ID, word, fields, len(body), body)
				}
				w.mu.Lock()
				w.heard = append(w.heard, a)
				script, deaf := w.script, w.deaf
				w.cond.Broadcast()
				w.mu.Unlock()
				switch {
				case a.Word == "NOOP" && (deaf == nil || !deaf(a)):
					a.answer("READY", "-", "")
				case a.Word != "ASK":
				case script != nil:
					go script(a)
				default:
					a.answer("ACK", "tag=t1,minted=1,remark=hit", a.Fields["thing"])
				}
			}
		}()
	}
}

// serveBulletin tells each line of feed to whoever is connected. The line "!" ends the connection.
func (w *world) serveBulletin() {
	for {
		conn, err := w.bulletin.Accept()
		if err != nil {
			return
		}
		line, err := bufio.NewReader(conn).ReadString('\n')
		if err == nil {
			w.after <- strings.TrimSpace(line)
			for text := range w.feed {
				if text == "!" {
					break
				}
				if _, err := io.WriteString(conn, text+"\n"); err != nil {
					break
				}
			}
		}
		_ = conn.Close()
	}
}

// run starts the program and waits until it is ready.
func (w *world) run() {
	w.t.Helper()
	w.path = filepath.Join(w.t.TempDir(), "config.json")
	w.configure()
	w.cmd = exec.Command(program, append([]string{"serve", "--config", w.path}, w.flags...)...)
	w.cmd.Stderr = &w.log
	if err := w.cmd.Start(); err != nil {
		w.t.Fatal(err)
	}
	exited := make(chan error, 1)
	cmd := w.cmd
	go func() { exited <- cmd.Wait() }()
	w.exited = exited
	w.until("the program answers status", func() bool {
		conn, err := net.Dial("tcp", w.listen)
		if err != nil {
			return false
		}
		defer conn.Close()
		c := &client{t: w.t, conn: conn, r: bufio.NewReader(conn)}
		c.send(request(1, "status", nil, ""))
		a, err := c.read()
		return err == nil && a.Ready
	})
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
func (w *world) lines(fits func(*asked) bool) []*asked {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*asked
	for _, a := range w.heard {
		if fits(a) {
			out = append(out, a)
		}
	}
	return out
}

func (w *world) setScript(script func(*asked)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.script = script
}

// nameServer is a stand-in for the name server that knows boxes listed by name.
func (w *world) nameServer(records map[string]string) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = conn.Close() })
	w.resolver = conn.LocalAddr().String()
	go func() {
		packet := make([]byte, 2000)
		for {
			n, from, err := conn.ReadFrom(packet)
			if err != nil {
				return
			}
			q := &dns.Msg{}
			if q.Unpack(packet[:n]) != nil {
				continue
			}
			name := q.Question[0].Name
			w.mu.Lock()
			w.names = append(w.names, name)
			w.mu.Unlock()
			m := new(dns.Msg).SetReply(q)
			m.Answer = append(m.Answer, &dns.A{A: net.ParseIP(records[name]),
				Hdr: dns.RR_Header{Name: name, Rrtype: dns.TypeA, Class: dns.ClassINET}})
			if out, err := m.Pack(); err == nil {
				_, _ = conn.WriteTo(out, from)
			}
		}
	}()
}

// asked gives the names that the name server was asked for.
func (w *world) asked() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.names...)
}

func word(word string) func(*asked) bool { return func(a *asked) bool { return a.Word == word } }

// client is a stand-in for a client of the platform's front.
type client struct {
	t    *testing.T
	conn net.Conn
	r    *bufio.Reader
}

func (w *world) dial() *client {
	w.t.Helper()
	conn, err := net.Dial("tcp", w.listen)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = conn.Close() })
	return &client{t: w.t, conn: conn, r: bufio.NewReader(conn)}
}

func (c *client) send(b []byte) {
	c.t.Helper()
	if _, err := c.conn.Write(b); err != nil {
		c.t.Fatal(err)
	}
}

// reply is an answer as the client reads it.
type reply struct {
	ID     uint64
	Error  string // empty: served
	Fields map[string]string
	Body   string
	Ready  bool // of status
}

// request builds a frame; fields override those of a sound request for object 7f3a9c21e0b4d655.
func request(id uint64, method string, fields map[string]string, body string) []byte {
	all := map[string]string{"txn": fmt.Sprintf("%016x", id), "limit": "2000", "item": "7f3a9c21e0b4d655", "nth": "0",
		"batch": "3", "ram": "40"}
	for k, v := range fields {
		all[k] = v
	}
	b := msgpack.AppendText(msgpack.AppendUint(msgpack.AppendUint(msgpack.AppendArray(nil, 4), 0), id), method)
	if method == "status" {
		return msgpack.AppendMap(msgpack.AppendArray(b, 1), 0)
	}
	b = msgpack.AppendMap(msgpack.AppendArray(b, 2), len(all))
	for k, v := range all {
		b = msgpack.AppendText(msgpack.AppendText(b, k), v)
	}
	return msgpack.AppendBinary(b, []byte(body))
}

// read takes one answer.
func (c *client) read() (reply, error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(patience))
	var data []byte
	for {
		b, err := c.r.ReadByte()
		if err != nil {
			return reply{}, err
		}
		data = append(data, b)
		if a, ok := parseReply(data); ok {
			return a, nil
		}
	}
}

func parseReply(data []byte) (reply, bool) {
	r := msgpack.Reader{Data: data}
	r.Array()
	r.Uint()
	a := reply{ID: r.Uint(), Fields: map[string]string{}}
	if r.Err != nil || r.Pos >= len(data) {
		return a, false
	}
	failed := data[r.Pos] != 0xc0
	if !failed {
		r.Skip()
	}
	r.Array()
	switch {
	case failed:
		a.Error = string(r.Text(100))
	case r.Err == nil && r.Pos < len(data) && data[r.Pos]|1 == 0xc3:
		a.Ready = data[r.Pos] == 0xc3
		r.Skip()
	default:
		a.Body = string(r.Binary(1 << 20))
	}
	for n := r.Map(); n > 0 && r.Err == nil; n-- {
		a.Fields[string(r.Text(1000))] = string(r.Text(1000))
	}
	if failed {
		r.Skip()
	}
	return a, r.Err == nil
}

// want reads one answer and fails without it.
func (c *client) want() reply {
	c.t.Helper()
	a, err := c.read()
	if err != nil {
		c.t.Fatalf("no answer: %v", err)
	}
	return a
}
