package cli

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/miekg/dns"

	"sloequay/internal/emulator"
	"sloequay/internal/emulator/consul"
)

type tryOptions struct{ keep bool }

const (
	tryZone    = "boxes.try."
	tryTick    = 500 * time.Millisecond
	tryPace    = 10 * time.Millisecond // between two requests
	tryDNS     = 50 * time.Millisecond // between two queries
	tryObjects = 400
	tryPatient = 5 * time.Second
)

// stage is a doorman with stand-ins for all that it talks to.
type stage struct {
	out     io.Writer
	fleet   *emulator.Endpoints
	cluster *consul.Cluster
	agents  []*consul.Agent
	listen  string
	dns     string
	dir     string
	doorman *exec.Cmd
	ended   chan error
	began   time.Time

	mu     sync.Mutex
	counts map[string]int // of the current row, by front and end
	totals map[string]int
	took   []time.Duration
}

// runTry plays a few seconds of a doorman's life: a drain, a death, and an outage of the catalogue, under requests by both
// fronts. The doorman is this program's own `serve`, as a process of its own.
func runTry(out io.Writer, o tryOptions) (err error) {
	s := &stage{out: out, counts: map[string]int{}, totals: map[string]int{}}
	defer func() { err = errors.Join(err, s.close()) }()
	if err = s.build(); err != nil {
		return err
	}
	fmt.Fprintf(out, "doorman at %s, its DNS front at %s; %d stand-in boxes; the list comes from a stand-in for Consul at %s\n\n",
		s.listen, s.dns, 8, s.agents[0].Address())
	if err = s.play(); err != nil || !o.keep {
		return err
	}
	fmt.Fprintf(out, "\nIt is left running; interrupt to end it.\n  settings  %s --config %s --conf %s\n  doorman   %s\n  DNS       dig -p %s @%s n0.7f3a9c21e0b4d655.lookup._.%s SRV\n  catalogue curl http://%s/v1/health/service/cache\n",
		os.Args[0]+" boxes", filepath.Join(s.dir, "config.json"), filepath.Join(s.dir, "sloequay.conf"), s.listen, portOf(s.dns),
		hostOf(s.dns), tryZone, s.agents[0].Address())
	interrupt := make(chan os.Signal, 1)
	signal.Notify(interrupt, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-interrupt:
	case err = <-s.ended:
		s.ended <- err
	}
	return err
}

func hostOf(address string) string { h, _, _ := net.SplitHostPort(address); return h }
func portOf(address string) string { _, p, _ := net.SplitHostPort(address); return p }

// vacantAddress finds a loopback address that is free for both TCP and UDP.
func vacantAddress() (string, error) {
	for range 20 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		address := ln.Addr().String()
		_ = ln.Close()
		if p, err := net.ListenPacket("udp", address); err == nil {
			_ = p.Close()
			return address, nil
		}
	}
	return "", errors.New("no free port on loopback")
}

// build starts the stand-ins and the doorman, and waits until it is ready.
func (s *stage) build() error {
	var err error
	s.fleet, s.cluster = emulator.NewEndpoints(emulator.CachingResponder("o1")), consul.NewCluster()
	for _, b := range []struct{ id, service, class, site string }{{"c1", "cache", "std", "edge"}, {"c2", "cache", "std", "edge"},
		{"c3", "cache", "std", "edge"}, {"c4", "cache", "std", "edge"}, {"c5", "cache", "std", "edge"}, {"p1", "trunk", "parent", "hub"},
		{"p2", "trunk", "parent", "hub"}, {"o1", "archive", "origin", "hub"}} {
		ln, err := s.fleet.Add(b.id, "127.0.0.1:0")
		if err != nil {
			return err
		}
		at := ln.Addr().(*net.TCPAddr)
		s.cluster.Put(consul.Instance{Node: "node-" + b.id, Service: b.service, ID: b.id, Address: at.IP.String(), Port: at.Port,
			Meta: map[string]string{"site": b.site, "class": b.class}, Weights: consul.Weights{Passing: 8, Warning: 1}})
	}
	for i := range 2 {
		a, err := s.cluster.NewAgent(fmt.Sprint("agent", i))
		if err != nil {
			return err
		}
		s.agents = append(s.agents, a)
	}
	if s.listen, err = vacantAddress(); err != nil {
		return err
	}
	if s.dns, err = vacantAddress(); err != nil {
		return err
	}
	if s.dir, err = os.MkdirTemp("", "sloequay-try-"); err != nil {
		return err
	}
	config, err := json.Marshal(map[string]any{"name": "try", "listen": s.listen, "seed": "1",
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024}, "settings": json.RawMessage(emulator.Settings)})
	if err != nil {
		return err
	}
	text := fmt.Sprintf("dns {\n    listen %s\n    zone %s\n}\ncatalogue {\n    agent %s %s\n    service cache {\n    }\n    service trunk {\n    }\n"+
		"    service archive {\n    }\n    register {\n        service doorman\n    }\n}\n", s.dns, tryZone, s.agents[0].Address(), s.agents[1].Address())
	if err = os.WriteFile(filepath.Join(s.dir, "config.json"), config, 0o600); err != nil {
		return err
	}
	if err = os.WriteFile(filepath.Join(s.dir, "sloequay.conf"), []byte(text), 0o600); err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(s.dir, "log"))
	if err != nil {
		return err
	}
	defer log.Close()
	s.doorman = exec.Command(self, "serve", "--config", filepath.Join(s.dir, "config.json"), "--conf", filepath.Join(s.dir, "sloequay.conf"))
	s.doorman.Stderr = log
	if err = s.doorman.Start(); err != nil {
		return err
	}
	s.ended = make(chan error, 1)
	go func() { s.ended <- s.doorman.Wait() }()
	for end := time.Now().Add(tryPatient); ; time.Sleep(10 * time.Millisecond) {
		if text, _ := os.ReadFile(log.Name()); emulator.Ready(s.listen) && bytes.Count(text, []byte("event=endpoint-added")) >= 8 {
			return nil
		}
		if time.Now().After(end) {
			text, _ := os.ReadFile(log.Name())
			return fmt.Errorf("the doorman was not ready within %v; its log:\n%s", tryPatient, text)
		}
	}
}

// close ends all of it: the doorman first, as an operator would.
func (s *stage) close() error {
	var err error
	if s.doorman != nil {
		_ = s.doorman.Process.Signal(syscall.SIGTERM)
		select {
		case err = <-s.ended:
		case <-time.After(tryPatient):
			_ = s.doorman.Process.Kill()
			err = errors.New("the doorman did not end by itself")
		}
	}
	for _, a := range s.agents {
		a.Close()
	}
	if s.fleet != nil {
		s.fleet.Close()
	}
	if s.dir != "" {
		err = errors.Join(err, os.RemoveAll(s.dir))
	}
	return err
}

func (s *stage) say(format string, args ...any) {
	fmt.Fprintf(s.out, "%5.1f s  -- %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// count notes the end of a request.
func (s *stage) count(front, end string, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[front+" "+end]++
	s.totals[end]++
	if end == "served" {
		s.took = append(s.took, took)
	}
}

// requests sends by the platform's front until stop is closed, and returns once all are answered.
func (s *stage) requests(stop <-chan struct{}) error {
	c, err := emulator.Dial(s.listen)
	if err != nil {
		return err
	}
	defer c.Conn.Close()
	var mu sync.Mutex
	sent, at := uint64(0), map[uint64]time.Time{}
	go func() {
		rng := rand.New(rand.NewSource(1))
		zipf := rand.NewZipf(rng, 1.1, 8, tryObjects-1)
		tick := time.NewTicker(tryPace)
		defer tick.Stop()
		for {
			select {
			case <-stop:
				return
			case <-tick.C:
			}
			mu.Lock()
			sent++
			id := sent
			at[id] = time.Now()
			mu.Unlock()
			if c.Send(emulator.Request(id, "lookup", map[string]string{"item": fmt.Sprintf("%016x", zipf.Uint64()+1), "ram": "20"}, "")) != nil {
				return
			}
		}
	}()
	for {
		a, err := c.Read(200 * time.Millisecond)
		if err == nil {
			mu.Lock()
			took := time.Since(at[a.ID])
			delete(at, a.ID)
			mu.Unlock()
			s.count("rpc", map[string]string{"": "served", "Overloaded": "refused"}[a.Error], took)
			continue
		}
		select {
		case <-stop:
			mu.Lock()
			defer mu.Unlock()
			for range at {
				s.count("rpc", "failed", 0) // never answered
			}
			return nil
		default:
		}
		var timeout net.Error
		if !errors.As(err, &timeout) || !timeout.Timeout() {
			return err
		}
	}
}

// queries asks by DNS until stop is closed.
func (s *stage) queries(stop <-chan struct{}) error {
	conn, err := net.Dial("udp", s.dns)
	if err != nil {
		return err
	}
	defer conn.Close()
	c := &dns.Conn{Conn: conn}
	rng := rand.New(rand.NewSource(2))
	tick := time.NewTicker(tryDNS)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return nil
		case <-tick.C:
		}
		m := new(dns.Msg).SetQuestion(fmt.Sprintf("n0.%016x.lookup._.%s", rng.Intn(tryObjects)+1, tryZone), dns.TypeSRV)
		began := time.Now()
		_ = conn.SetDeadline(began.Add(3 * time.Second))
		end := "failed"
		if c.WriteMsg(m) == nil {
			if a, err := c.ReadMsg(); err == nil && a.Rcode == dns.RcodeSuccess && len(a.Answer) > 0 {
				end = "served"
			} else if err == nil && a.Rcode == dns.RcodeRefused {
				end = "refused"
			}
		}
		s.count("dns", end, time.Since(began))
	}
}

// row prints what came in the last while, and which boxes were used.
func (s *stage) row(since time.Time) {
	s.mu.Lock()
	counts := s.counts
	s.counts = map[string]int{}
	s.mu.Unlock()
	sends := map[string]int{}
	for _, a := range s.fleet.Received(func(a *emulator.ReceivedRequest) bool { return a.Word == "ASK" && a.At.After(since) }) {
		sends[a.Endpoint]++
	}
	var used []string
	for box, n := range sends {
		used = append(used, fmt.Sprintf("%s %d", box, n))
	}
	slices.Sort(used)
	fmt.Fprintf(s.out, "%5.1f s  %4d %4d %4d   %4d %4d %4d   %s\n", time.Since(s.began).Seconds(), counts["rpc served"],
		counts["rpc refused"], counts["rpc failed"], counts["dns served"], counts["dns refused"], counts["dns failed"], strings.Join(used, ", "))
}

// lastUse is when a box was last sent something, or named as a source.
func (s *stage) lastUse(id string) time.Time {
	lines := s.fleet.Received(func(a *emulator.ReceivedRequest) bool {
		return a.Word == "ASK" && (a.Endpoint == id || a.Fields["via"] == id)
	})
	if len(lines) == 0 {
		return time.Time{}
	}
	return lines[len(lines)-1].At
}

// act is one thing that happens on the stage.
type act struct {
	at time.Duration
	do func()
}

// play sends requests while the acts take place, and prints the timeline.
func (s *stage) play() error {
	fmt.Fprintln(s.out, "             by RPC            by DNS\n    time  srvd rfsd fail   srvd rfsd fail   sends to boxes")
	s.began = time.Now()
	stop := make(chan struct{})
	fault := make(chan error, 2)
	var done sync.WaitGroup
	done.Add(2)
	go func() { defer done.Done(); fault <- s.requests(stop) }()
	go func() { defer done.Done(); fault <- s.queries(stop) }()
	var drained, marked, back, lastC1 time.Time
	acts := []act{
		{1500 * time.Millisecond, func() {
			s.say("c1 drains: the catalogue has it in maintenance")
			s.cluster.Mark("cache", "c1", "maintenance")
			drained = s.cluster.Written("c1")
		}},
		{2500 * time.Millisecond, func() {
			s.say("c2 is killed: its connections are reset, and new ones refused")
			s.fleet.Kill("c2")
		}},
		{2800 * time.Millisecond, func() {
			s.say("its check finds that: critical")
			s.cluster.Mark("cache", "c2", consul.Critical)
			marked = s.cluster.Written("c2")
		}},
		{3500 * time.Millisecond, func() {
			s.say("the catalogue stops answering, on both agents")
			for _, a := range s.agents {
				a.SetFault(consul.Hang, 0)
			}
			s.cluster.Mark("archive", "o1", consul.Passing)
		}},
		{5500 * time.Millisecond, func() {
			lastC1 = s.lastUse("c1")
			s.say("the catalogue answers again, and c1 is back in service")
			s.cluster.Mark("cache", "c1", consul.Passing)
			for _, a := range s.agents {
				a.SetFault(consul.None, 0)
			}
			back = time.Now()
		}},
	}
	row := s.began
	var err error
	for end := s.began.Add(7500 * time.Millisecond); time.Now().Before(end) && err == nil; {
		next := row.Add(tryTick)
		if len(acts) > 0 && s.began.Add(acts[0].at).Before(next) {
			next = s.began.Add(acts[0].at)
		}
		select {
		case <-time.After(time.Until(next)):
		case err = <-fault:
			continue
		}
		if len(acts) > 0 && !time.Now().Before(s.began.Add(acts[0].at)) {
			acts[0].do()
			acts = acts[1:]
			continue
		}
		s.row(row)
		row = next
	}
	close(stop)
	done.Wait()
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	slices.Sort(s.took)
	if len(s.took) == 0 {
		return errors.New("nothing was served")
	}
	at := func(q float64) time.Duration {
		return s.took[min(len(s.took)-1, int(q*float64(len(s.took))))].Round(10 * time.Microsecond)
	}
	fmt.Fprintf(s.out, "\nserved %d, refused %d, failed %d; half of the answers within %v, 99 of 100 within %v\n", s.totals["served"],
		s.totals["refused"], s.totals["failed"]+s.totals[""], at(0.5), at(0.99))
	after := func(use, mark time.Time) time.Duration { return max(0, use.Sub(mark)).Round(10 * time.Microsecond) }
	fmt.Fprintf(s.out, "last send to c1: %v after its drain (1 s allowed); in use again %v after the catalogue's return\n", after(lastC1, drained),
		after(s.firstUse("c1", back), back))
	fmt.Fprintf(s.out, "last send to c2: %v after it was marked critical (1 s allowed)\n", after(s.lastUse("c2"), marked))
	return nil
}

// firstUse is when a box was first sent something after a time.
func (s *stage) firstUse(id string, after time.Time) time.Time {
	lines := s.fleet.Received(func(a *emulator.ReceivedRequest) bool {
		return a.Word == "ASK" && a.Endpoint == id && a.At.After(after)
	})
	if len(lines) == 0 {
		return time.Time{}
	}
	return lines[0].At
}
