package test

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// The fleet's platform holds a thread that neither waits nor ends for 20 s of real time for a crash, and one core is
// shared by many doormans: whoever has nothing to do must wait. Each case is one in which programs of this kind have been
// seen to spin: a peer that is half closed or does not read is always ready for the poller, and what is refused at once
// is tried again at once.

// process is what the system tells of a running process.
type process struct {
	threads  map[int]time.Duration // processor time
	all      time.Duration         // of those that have ended, too
	children []int
}

func look(pid int) (p process, err error) {
	p.threads = map[int]time.Duration{}
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	for _, path := range tasks {
		text, err := os.ReadFile(path)
		if err != nil {
			continue // it has ended
		}
		tid, _ := strconv.Atoi(filepath.Base(filepath.Dir(path)))
		n, _ := strconv.ParseInt(strings.Fields(string(text))[0], 10, 64)
		p.threads[tid] = time.Duration(n)
		p.all += time.Duration(n)
	}
	stats, _ := filepath.Glob("/proc/[0-9]*/stat")
	for _, path := range stats {
		text, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		after := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:])) // state, parent, ...
		if len(after) > 1 && after[1] == strconv.Itoa(pid) {
			child, _ := strconv.Atoi(filepath.Base(filepath.Dir(path)))
			p.children = append(p.children, child)
		}
	}
	if len(p.threads) == 0 {
		return p, fmt.Errorf("the process %d is gone", pid)
	}
	return p, err
}

// quietShare is how much of a core a doorman with nothing to do may use. It uses 0.01 to 0.03; a goroutine that spins uses
// all it gets, on a busy machine less than the whole.
const quietShare = 0.2

// busiest gives the share of a core that the process used in a window.
func busiest(t *testing.T, pid int, window time.Duration) float64 {
	t.Helper()
	before, err := look(pid)
	if err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	time.Sleep(window)
	after, err := look(pid)
	if err != nil {
		t.Fatal(err)
	}
	return float64(after.all-before.all) / float64(time.Since(began))
}

// TestNothingSpins: a doorman that has nothing to do, or only peers that make it look as if it had, waits. It never has
// children.
func TestNothingSpins(t *testing.T) {
	if _, err := os.Stat("/proc/self/schedstat"); err != nil {
		t.Skip("no schedstat here")
	}
	for _, c := range []struct {
		name    string
		prepare func(w *world) // before the program starts
		trouble func(w *world)
	}{
		{"nobody comes", nil, func(*world) {}},
		{"the bulletin refuses connections", func(w *world) { w.config["bulletin"] = "127.0.0.1:1" }, func(*world) {}},
		{"the bulletin closes each connection at once", func(w *world) {
			ln := w.listenOn("127.0.0.1:0")
			w.config["bulletin"] = ln.Addr().String()
			go func() {
				for {
					conn, err := ln.Accept()
					if err != nil {
						return
					}
					_ = conn.Close()
				}
			}()
		}, func(*world) {}},
		{"clients have half closed their connections", nil, func(w *world) {
			for id := range uint64(20) {
				c := w.dial()
				c.send(request(id+1, "footage", map[string]string{"item": "00000000000000aa", "limit": "60000"}, ""))
				_ = c.conn.(*net.TCPConn).CloseWrite()
			}
		}},
		{"clients do not read", func(w *world) {
			w.setScript(func(a *asked) { a.Answer("ACK", "-", strings.Repeat("x", 200<<10)) })
		}, func(w *world) {
			for range 5 {
				c := w.dial()
				for id := range uint64(30) {
					c.send(request(id+1, "footage", map[string]string{"limit": "60000", "ram": "2000"}, ""))
				}
			}
		}},
		{"boxes close each connection at once", func(w *world) {
			ln := w.listenOn("127.0.0.1:0")
			for _, h := range w.hosts {
				h["dial"] = ln.Addr().String()
			}
			go func() {
				for {
					conn, err := ln.Accept()
					if err != nil {
						return
					}
					_ = conn.Close()
				}
			}()
		}, func(w *world) {
			c := w.dial()
			for id := range uint64(30) {
				c.send(request(id+1, "footage", map[string]string{"limit": "60000"}, ""))
			}
		}},
		{"it leaves, and a request stays open", nil, func(w *world) {
			c := w.dial()
			c.send(request(1, "footage", map[string]string{"item": "00000000000000aa", "limit": "60000"}, ""))
			w.until("it is out", func() bool { return len(w.lines(word("ASK"))) > 0 })
			w.signal(syscall.SIGTERM)
			w.until("it leaves", func() bool { return strings.Contains(w.log.String(), "event=draining") })
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, func(a *asked) {
				if a.Fields["thing"] != "00000000000000aa" { // which are never answered
					a.Answer("ACK", "-", "sound")
				}
			})
			if c.prepare != nil {
				c.prepare(w)
			}
			w.run()
			c.trouble(w)
			// What the trouble itself brings about takes a moment; a spin does not end.
			w.until("the doorman waits", func() bool {
				return busiest(t, w.cmd.Process.Pid, 300*time.Millisecond) < quietShare
			})
			if share := busiest(t, w.cmd.Process.Pid, time.Second); share > quietShare {
				t.Errorf("it used %.2f of a core with nothing to do", share)
			}
			if p, _ := look(w.cmd.Process.Pid); len(p.children) > 0 {
				t.Errorf("it has the children %v", p.children)
			}
		})
	}
	t.Run("a goroutine that spins is seen", func(t *testing.T) {
		t.Parallel()
		w := newWorld(t, nil)
		self, err := os.Executable()
		if err != nil {
			t.Fatal(err)
		}
		w.program, w.env = self, []string{spinVariable + "=1"}
		w.run()
		w.until("it is seen", func() bool { return busiest(t, w.cmd.Process.Pid, time.Second) > quietShare })
	})
}
