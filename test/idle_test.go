package test

import (
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// idleShare is how much of a core a doorman with nothing to do may use. It uses 0.01 to 0.03; a goroutine that spins uses
// all it gets, on a busy machine less than the whole.
const idleShare = 0.2

// TestIdleProxyDoesNotSpin: a doorman that has nothing to do, or only peers that make it look as if it had, waits. It never has
// children.
func TestIdleProxyDoesNotSpin(t *testing.T) {
	if _, err := os.Stat("/proc/self/schedstat"); err != nil {
		t.Skip("no schedstat here")
	}
	for _, c := range []struct {
		name    string
		prepare func(w *testbed) // before the program starts
		trouble func(w *testbed)
	}{
		{"nobody comes", nil, func(*testbed) {}},
		{"the bulletin refuses connections", func(w *testbed) { w.config["bulletin"] = "127.0.0.1:1" }, func(*testbed) {}},
		{"the bulletin closes each connection at once", func(w *testbed) {
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
		}, func(*testbed) {}},
		{"clients have half closed their connections", nil, func(w *testbed) {
			for id := range uint64(20) {
				c := w.dial()
				c.send(request(id+1, "footage", map[string]string{"item": "00000000000000aa", "limit": "60000"}, ""))
				_ = c.conn.(*net.TCPConn).CloseWrite()
			}
		}},
		{"clients do not read", func(w *testbed) {
			w.setResponder(func(a *receivedRequest) { a.Answer("ACK", "-", strings.Repeat("x", 200<<10)) })
		}, func(w *testbed) {
			for range 5 {
				c := w.dial()
				for id := range uint64(30) {
					c.send(request(id+1, "footage", map[string]string{"limit": "60000", "ram": "2000"}, ""))
				}
			}
		}},
		{"boxes close each connection at once", func(w *testbed) {
			ln := w.listenOn("127.0.0.1:0")
			for _, h := range w.listed {
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
		}, func(w *testbed) {
			c := w.dial()
			for id := range uint64(30) {
				c.send(request(id+1, "footage", map[string]string{"limit": "60000"}, ""))
			}
		}},
		{"it leaves, and a request stays open", nil, func(w *testbed) {
			c := w.dial()
			c.send(request(1, "footage", map[string]string{"item": "00000000000000aa", "limit": "60000"}, ""))
			w.waitUntil("it is out", func() bool { return len(w.received(hasWord("ASK"))) > 0 })
			w.signal(syscall.SIGTERM)
			w.waitUntil("it leaves", func() bool { return strings.Contains(w.log.String(), "event=draining") })
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newTestbed(t, func(a *receivedRequest) {
				if a.Fields["thing"] != "00000000000000aa" { // which are never answered
					a.Answer("ACK", "-", "sound")
				}
			})
			if c.prepare != nil {
				c.prepare(w)
			}
			w.start()
			c.trouble(w)
			// What the trouble itself brings about takes a moment; a spin does not end.
			w.waitUntil("the doorman waits", func() bool {
				return cpuShare(t, w.cmd.Process.Pid, 300*time.Millisecond) < idleShare
			})
			if share := cpuShare(t, w.cmd.Process.Pid, time.Second); share > idleShare {
				t.Errorf("it used %.2f of a core with nothing to do", share)
			}
			if p, _ := readProcessUsage(w.cmd.Process.Pid); len(p.children) > 0 {
				t.Errorf("it has the children %v", p.children)
			}
		})
	}
	t.Run("a goroutine that spins is seen", func(t *testing.T) {
		t.Parallel()
		w := newTestbed(t, nil)
		self, err := os.Executable()
		if err != nil {
			t.Fatal(err)
		}
		w.program, w.env = self, []string{spinVariable + "=1"}
		w.start()
		w.waitUntil("it is seen", func() bool { return cpuShare(t, w.cmd.Process.Pid, time.Second) > idleShare })
	})
}
