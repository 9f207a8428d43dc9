package test

import (
	"net"
	"os"
	"strings"
	"testing"
	"time"
)

// The fleet's platform holds a thread that neither waits nor ends for 20 s of real time for a crash, and one core is
// shared by many proxies: whoever has nothing to do must wait. Each case is one in which programs of this kind have
// been seen to spin: a peer that is half closed or does not read is always ready for the poller, and what is refused
// at once is tried again at once.

// maxIdleCPUShare is how much of a core a proxy with nothing to do may use. It uses 0.01 to 0.03; a goroutine that spins
// uses all it gets, on a busy machine less than the whole.
const maxIdleCPUShare = 0.2

// unansweredObject is an object that endpoints never answer for in these tests.
const unansweredObject = "00000000000000aa"

// idleCase is something that could make a proxy look as if it had something to do.
type idleCase struct {
	name        string
	beforeStart func(bed *testbed) // before the program starts; nil: nothing
	afterStart  func(bed *testbed) // once it runs; nil: nothing
}

var idleCases = []idleCase{
	{"nobody comes", nil, nil},
	{"the list service refuses connections", func(bed *testbed) { bed.config["bulletin"] = "127.0.0.1:1" }, nil},
	{"the list service closes each connection at once", func(bed *testbed) {
		bed.config["bulletin"] = bed.listenAndClose()
	}, nil},
	{"clients have half closed their connections", nil, func(bed *testbed) {
		for id := range uint64(20) {
			client := bed.dial()
			client.send(request(id+1, "footage", map[string]string{"item": unansweredObject, "limit": "60000"}, ""))
			_ = client.conn.(*net.TCPConn).CloseWrite()
		}
	}},
	{"clients do not read", func(bed *testbed) {
		bed.setResponder(func(attempt *receivedRequest) { attempt.Answer("ACK", "-", strings.Repeat("x", 200<<10)) })
	}, func(bed *testbed) {
		for range 5 {
			client := bed.dial()
			for id := range uint64(30) {
				client.send(request(id+1, "footage", map[string]string{"limit": "60000", "ram": "2000"}, ""))
			}
		}
	}},
	{"endpoints close each connection at once", func(bed *testbed) {
		address := bed.listenAndClose()
		for _, entry := range bed.listedEndpoints {
			entry["dial"] = address
		}
	}, func(bed *testbed) {
		client := bed.dial()
		for id := range uint64(30) {
			client.send(request(id+1, "footage", map[string]string{"limit": "60000"}, ""))
		}
	}},
	{"it leaves, and a request stays open", nil, func(bed *testbed) {
		client := bed.dial()
		client.send(request(1, "footage", map[string]string{"item": unansweredObject, "limit": "60000"}, ""))
		bed.waitFirstAttempt()
		bed.terminate()
	}},
}

// TestIdleProxyDoesNotSpin: a proxy that has nothing to do, or only peers that make it look as if it had, waits. It
// never has children.
func TestIdleProxyDoesNotSpin(t *testing.T) {
	if _, err := os.Stat("/proc/self/schedstat"); err != nil {
		t.Skip("no schedstat here")
	}
	for _, c := range idleCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			bed := newTestbed(t, func(attempt *receivedRequest) {
				if attempt.Fields["thing"] != unansweredObject {
					attempt.Answer("ACK", "-", "sound")
				}
			})
			if c.beforeStart != nil {
				c.beforeStart(bed)
			}
			bed.start()
			if c.afterStart != nil {
				c.afterStart(bed)
			}
			// What the case itself brings about takes a moment; a spin does not end.
			bed.waitUntil("the proxy waits", func() bool {
				return cpuShare(t, bed.cmd.Process.Pid, 300*time.Millisecond) < maxIdleCPUShare
			})
			if share := cpuShare(t, bed.cmd.Process.Pid, time.Second); share > maxIdleCPUShare {
				t.Errorf("it used %.2f of a core with nothing to do, want at most %.2f", share, maxIdleCPUShare)
			}
			if usage, _ := readProcessUsage(bed.cmd.Process.Pid); len(usage.children) > 0 {
				t.Errorf("it has the children %v, want none", usage.children)
			}
		})
	}
	t.Run("a goroutine that spins is seen", func(t *testing.T) {
		t.Parallel()
		bed := newTestbed(t, nil)
		bed.startTestBinary(spinVariable)
		bed.waitUntil("it is seen", func() bool { return cpuShare(t, bed.cmd.Process.Pid, time.Second) > maxIdleCPUShare })
	})
}

// TestFailedFileWatchDoesNotSpin guards against a goroutine that asks without end for notices of changed files,
// as the system had no memory for a moment to watch where they come from. Each fault draws other calls that fail.
func TestFailedFileWatchDoesNotSpin(t *testing.T) {
	for _, errno := range []string{"ENOMEM", "ENFILE", "ENOBUFS", "EMFILE"} {
		t.Run(errno, func(t *testing.T) {
			t.Parallel()
			bed := newTLSTestbed(t, nil)
			bed.startWithFaults("epoll_ctl_add/go=" + errno + "%0.5")
			bed.dial().call(1, "lookup", nil) // it has started
			if share := cpuShare(t, bed.cmd.Process.Pid, time.Second); share > maxIdleCPUShare {
				t.Errorf("it used %.2f of a core with nothing to do, want at most %.2f", share, maxIdleCPUShare)
			}
		})
	}
}
