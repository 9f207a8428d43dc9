// Command standin plays the platform, the clients and the depots of a review case around a running proxy. It starts the
// proxy with the command of the deploy file, and exits with 0 if the rule of the case held, 1 if it was broken, and 2 if
// the case could not run.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"sloequay/internal/emulator"
)

// verdicts of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cannotRun is the panic value for a case that could not run.
type cannotRun string

func giveUp(format string, args ...any) { panic(cannotRun(fmt.Sprintf(format, args...))) }

func must(err error) {
	if err != nil {
		giveUp("%v", err)
	}
}

// bench holds everything that a case has started.
type bench struct {
	mu      sync.Mutex
	began   time.Time
	record  io.Writer
	dir     string // temporary folder
	cleanup []func()
}

// note writes a line to the record, with the seconds since the start.
func (b *bench) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%8.3f  %s\n", time.Since(b.began).Seconds(), fmt.Sprintf(format, args...))
}

func (b *bench) atEnd(f func()) { b.cleanup = append(b.cleanup, f) }

// runCase runs a case with its record in a file, ends all that it started and returns its verdict.
func runCase(recordPath string, run func(*bench) int) (verdict int) {
	file, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer file.Close()
	b := &bench{began: time.Now(), record: io.MultiWriter(file, os.Stdout)}
	if b.dir, err = os.MkdirTemp("", "review"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer os.RemoveAll(b.dir)
	defer func() {
		if cause := recover(); cause != nil {
			why, known := cause.(cannotRun)
			if !known {
				panic(cause)
			}
			b.note("the case could not run: %s", string(why))
			verdict = failed
		}
		for i := len(b.cleanup) - 1; i >= 0; i-- {
			b.cleanup[i]()
		}
		b.note("verdict %d", verdict)
	}()
	return run(b)
}

// proxy is one running doorman.
type proxy struct {
	bench  *bench
	name   string
	cmd    *exec.Cmd
	exited chan struct{}
	exitAt time.Time
	err    error
}

// startProxy starts `bin/sloequay serve`, as the deploy file does, with the platform's configuration in the
// environment. A settings file of the project's own is named by --conf if there is one.
func (b *bench) startProxy(name string, config map[string]any, settings string) *proxy {
	text, err := json.Marshal(config)
	must(err)
	path := filepath.Join(b.dir, name+".json")
	must(os.WriteFile(path, text, 0o600))
	command := "exec bin/sloequay serve"
	if settings != "" {
		settingsPath := filepath.Join(b.dir, name+".conf")
		must(os.WriteFile(settingsPath, []byte(settings), 0o600))
		command += " --conf " + settingsPath
	}
	p := &proxy{bench: b, name: name, exited: make(chan struct{})}
	p.cmd = exec.Command("/bin/sh", "-c", command)
	p.cmd.Env = append(os.Environ(), "BALANCER_NAME="+name, "BALANCER_CONFIG="+path,
		fmt.Sprint("BALANCER_LISTEN=", config["listen"]), "TMPDIR="+b.dir)
	stderr, err := p.cmd.StderrPipe()
	must(err)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(p.cmd.Start())
	logged := make(chan struct{})
	go func() {
		defer close(logged)
		for lines := bufio.NewScanner(stderr); lines.Scan(); {
			b.note("%s log: %s", name, lines.Text())
		}
	}()
	go func() {
		<-logged
		p.err = p.cmd.Wait()
		p.exitAt = time.Now()
		close(p.exited)
	}()
	b.atEnd(p.kill)
	return p
}

// waitReady waits until the proxy answers status with true.
func (p *proxy) waitReady(address string) {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if emulator.Ready(address) {
			p.bench.note("%s is ready", p.name)
			return
		}
	}
	giveUp("%s was not ready within 20 s", p.name)
}

func (p *proxy) signal(s syscall.Signal) {
	p.bench.note("%v to %s", s, p.name)
	must(p.cmd.Process.Signal(s))
}

func (p *proxy) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

func (p *proxy) kill() {
	if !p.hasExited() {
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
}

// freeAddress returns a loopback address that nothing listens on.
func freeAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	defer listener.Close()
	return listener.Addr().String()
}

// depot is a sound depot: it answers NOOP at once, and requests by its function answer.
type depot struct {
	id, address string
	listener    net.Listener
	mu          sync.Mutex
	attempts    []*attempt
}

// attempt is a request that a depot has read whole.
type attempt struct {
	id     string
	fields map[string]string
	at     time.Time
}

// startDepot starts a depot. answer returns the word, the fields and the body of the answer to a request.
func (b *bench) startDepot(id string, answer func(*attempt) (word, fields string, body []byte)) *depot {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	d := &depot{id: id, address: listener.Addr().String(), listener: listener}
	b.atEnd(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go d.serve(conn, answer)
		}
	}()
	return d
}

func (d *depot) serve(conn net.Conn, answer func(*attempt) (string, string, []byte)) {
	defer conn.Close()
	var writeMu sync.Mutex
	write := func(id, word, fields string, body []byte) {
		writeMu.Lock()
		defer writeMu.Unlock()
		frame := fmt.Appendf(nil, "%s %s %s %d\r\n", id, word, fields, len(body))
		_, _ = conn.Write(append(append(frame, body...), "\r\n"...))
	}
	for reader := bufio.NewReader(conn); ; {
		line, err := reader.ReadString('\n')
		words := strings.Fields(line)
		if err != nil || len(words) < 2 {
			return
		}
		switch {
		case words[0] == "NOOP" || words[0] == "INFO":
			fmt.Fprintf(lockedWriter{&writeMu, conn}, "%s READY - 0\r\n\r\n", words[1])
		case words[0] == "ASK" && len(words) == 4:
			var size int
			if _, err := fmt.Sscan(words[3], &size); err != nil {
				return
			}
			if _, err := io.CopyN(io.Discard, reader, int64(size)+2); err != nil {
				return
			}
			read := &attempt{id: words[1], fields: map[string]string{}, at: time.Now()}
			for field := range strings.SplitSeq(words[2], ",") {
				name, value, _ := strings.Cut(field, "=")
				read.fields[name] = value
			}
			d.mu.Lock()
			d.attempts = append(d.attempts, read)
			d.mu.Unlock()
			go func() {
				if word, fields, body := answer(read); word != "" {
					write(read.id, word, fields, body)
				}
			}()
		}
	}
}

type lockedWriter struct {
	mu *sync.Mutex
	w  io.Writer
}

func (l lockedWriter) Write(data []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(data)
}

func (d *depot) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.attempts)
}

// countClass returns how many attempts of a class the depot has read.
func (d *depot) countClass(class string) (count int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, read := range d.attempts {
		if read.fields["profile"] == class {
			count++
		}
	}
	return count
}

// depotShare is the share of a depot in the list: how many transfers to clients its link carries at full pace.
const depotShare = 4

// host returns the depot's entry of the bulletin's list.
func (d *depot) host(site, class, health string) map[string]any {
	return map[string]any{"host": d.id, "dial": d.address, "site": site, "class": class, "block": 0,
		"health": health, "share": depotShare, "born_ms": 0}
}

// bulletin serves the list of depots: heartbeats, and events that a case adds.
type bulletin struct {
	mu       sync.Mutex
	listener net.Listener
	address  string
	events   []string // JSON, without the number
	first    int      // number of events in known
	conns    map[net.Conn]bool
	wake     chan struct{}
}

// startBulletin starts a bulletin whose first event is the whole list.
func (b *bench) startBulletin(hosts []map[string]any) *bulletin {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s := &bulletin{listener: listener, address: listener.Addr().String(), conns: map[net.Conn]bool{}}
	s.events = append(s.events, rosterEvent(true, hosts))
	s.first = 1
	b.atEnd(s.stop)
	go s.accept(listener)
	return s
}

// rosterEvent returns an event of the list, without its number.
func rosterEvent(whole bool, hosts []map[string]any) string {
	text, err := json.Marshal(map[string]any{"seq": 1, "whole": whole, "hosts": hosts})
	must(err)
	return `"roster":` + string(text)
}

func (s *bulletin) line(i int) string { return fmt.Sprintf(`{"no":%d,%s}`, i+1, s.events[i]) }

// known returns the events of the start, for the configuration.
func (s *bulletin) known() map[string]any {
	items := []any{}
	for i := range s.first {
		items = append(items, json.RawMessage(s.line(i)))
	}
	return map[string]any{"no": s.first, "items": items}
}

// tell adds an event.
func (s *bulletin) tell(event string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, event)
}

// stop closes the listener and all connections.
func (s *bulletin) stop() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.conns = map[net.Conn]bool{}
}

// pause takes the bulletin down, as stop does, until resume.
func (s *bulletin) pause() { s.stop() }

// resume brings the bulletin up again at its address.
func (s *bulletin) resume() {
	var err error
	for range 50 {
		if s.listener, err = net.Listen("tcp", s.address); err == nil {
			go s.accept(s.listener)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	giveUp("the bulletin could not come up again: %v", err)
}

func (s *bulletin) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		go s.serve(conn)
	}
}

func (s *bulletin) serve(conn net.Conn) {
	defer conn.Close()
	var after int
	if _, err := fmt.Fscanf(conn, "after %d\n", &after); err != nil {
		return
	}
	beat := time.Now()
	for {
		s.mu.Lock()
		var out string
		for ; after < len(s.events); after++ {
			out += s.line(after) + "\n"
		}
		if time.Since(beat) >= time.Second {
			beat = time.Now()
			out += fmt.Sprintf("%d\n", after)
		}
		s.mu.Unlock()
		if _, err := conn.Write([]byte(out)); err != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// platformSettings returns settings of the platform for one zone of caches behind a hub, as the site's pages give them.
func platformSettings(proxies int) map[string]any {
	class := func(name string, aim, deadline, window int, worth float64, idempotency string) map[string]any {
		return map[string]any{"name": name, "on-time-ms": aim, "deadline-ms": deadline, "window-ms": window,
			"worth": worth, "idempotency": idempotency, "group": "all", "aim-stretch": 2, "late-value": 0.15}
	}
	return map[string]any{
		"classes": []any{class("footage", 500, 6000, 5000, 2, "repeatable"),
			class("lookup", 250, 3000, 5000, 1, "repeatable"), class("charge", 700, 3000, 3000, 3, "by_key")},
		"n-instances": proxies, "ordinal": 0, "zone": 1, "dcs": []string{"north-trunk", "edge-1"},
		"machine-types": []string{"standard", "parent", "origin"}, "weights": "rough", "discovery": "pushed",
		"family-info": map[string]any{"shield-kind": 1, "master-kind": 2, "max-age-ms": []int{0, 20000, 0},
			"stale-for-ms": []int{0, 10000, 0}, "uncached": []bool{false, false, true},
			"instances-by-zone": []int{0, proxies}, "pass-through-ok": true, "peers-fill": "any", "detail": "all",
			"one-flow-kb-per-s": 9500, "purge-slack-ms": 300, "purge-takes-ms": 6000, "upper-cold-from": 0.064,
			"upper-cold-ms": 22000, "upper-fall-multiple": 2},
		"limits": map[string]any{"attempts-cap": 6, "cancelling": true, "may-probe": true, "second-copies": false,
			"streams-per-conn": 32, "dial-timeout-ms": 400, "conn-idle-ms": 30000, "retry-after": true,
			"max-retry-after-ms": 500, "open-cap": 20000},
		"safety": map[string]any{"drain-grace-ms": 1000, "answer-slack-ms": 8, "cold-from": 0.2, "cold-ms": 16000,
			"tip-multiple": 2, "overload-for-ms": 1500},
	}
}

// platformConfig returns the platform's configuration of one doorman.
func platformConfig(name, listen string, memoryMB, sockets int, list *bulletin, settings map[string]any) map[string]any {
	return map[string]any{"name": name, "listen": listen, "seed": fmt.Sprintf("8c1f30d27a5be9%02x", len(listen)),
		"limits":   map[string]any{"cores": 1, "memory_mb": memoryMB, "sockets": sockets},
		"bulletin": list.address, "flow_bytes_per_s": 9500000, "link_bytes_per_s": 38000000,
		"known": list.known(), "settings": settings}
}

// clientBuffer is the receive buffer of a client's socket in bytes, as small machines have it.
const clientBuffer = 16 << 10

// dialClient connects a client.
func (b *bench) dialClient(address string) net.Conn {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, clientBuffer)
		})
		return errors.Join(controlErr, err)
	}}
	conn, err := dialer.Dial("tcp", address)
	must(err)
	b.atEnd(func() { conn.Close() })
	return conn
}

// pacedConn is a client's connection whose bytes are read in the background, at most rate of them a second; 0: as many
// as come. What was read waits in memory, so that decoding it holds up nothing.
type pacedConn struct {
	net.Conn
	mu       sync.Mutex
	arrived  *sync.Cond
	waiting  []byte
	total    int
	end      error
	endAt    time.Time
	deadline time.Time
}

// pacedChunk is the most that a paced client reads at once.
const pacedChunk = 8192

func newPacedConn(conn net.Conn, rate float64) *pacedConn {
	c := &pacedConn{Conn: conn}
	c.arrived = sync.NewCond(&c.mu)
	go c.pump(rate)
	return c
}

func (c *pacedConn) pump(rate float64) {
	chunk := make([]byte, 256<<10)
	if rate > 0 {
		chunk = chunk[:pacedChunk]
	}
	for next := time.Now(); ; {
		n, err := c.Conn.Read(chunk)
		c.mu.Lock()
		c.waiting = append(c.waiting, chunk[:n]...)
		c.total += n
		if err != nil {
			c.end, c.endAt = err, time.Now()
		}
		c.arrived.Broadcast()
		c.mu.Unlock()
		if err != nil {
			return
		}
		if rate > 0 {
			if now := time.Now(); next.Before(now) {
				next = now
			}
			next = next.Add(time.Duration(float64(n) / rate * float64(time.Second)))
			time.Sleep(time.Until(next))
		}
	}
}

// Read returns what has been read in the background.
func (c *pacedConn) Read(data []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.waiting) == 0 && c.end == nil {
		if !c.deadline.IsZero() && time.Now().After(c.deadline) {
			return 0, os.ErrDeadlineExceeded
		}
		c.arrived.Wait()
	}
	if len(c.waiting) == 0 {
		return 0, c.end
	}
	n := copy(data, c.waiting)
	c.waiting = c.waiting[n:]
	return n, nil
}

// SetReadDeadline limits how long Read waits.
func (c *pacedConn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = at
	time.AfterFunc(time.Until(at)+time.Millisecond, c.arrived.Broadcast)
	return nil
}

// ended returns how many bytes were read and, if the connection has ended, when and why.
func (c *pacedConn) ended() (total int, at time.Time, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.total, c.endAt, c.end
}

// cases are the cases by their numbers; each adds itself.
var cases = map[string]func(*bench) int{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(failed)
	}
	os.Exit(runCase(os.Args[2], cases[os.Args[1]]))
}

// hasTrouble reports whether the case runs with its disruption.
func hasTrouble() bool { return os.Getenv("TROUBLE") != "0" }
