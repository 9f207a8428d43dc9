package test

import (
	"net"
	"os"
	"strings"
	"testing"
	"time"
)

// The fleet's platform treats a thread that neither blocks nor ends for 20 s of real time as crashed, and many proxies
// share one core: a proxy without work must block. Each case is one in which programs of this kind are known to spin:
// a peer that is half-closed or does not read is always ready for the poller, and an operation that fails at once is
// retried at once.

// maxIdleCPUShare is the share of a core that a proxy without work may use. It uses 0.01 to 0.03; a goroutine that
// spins uses all that it gets, which on a busy machine is less than the whole core.
const maxIdleCPUShare = 0.2

// unansweredObject is an object for which endpoints never respond in the tests that use it.
const unansweredObject = "00000000000000aa"

// idleCase is a situation in which a proxy without work could spin.
type idleCase struct {
	name        string
	beforeStart func(bed *testbed) // called before the program starts; nil: nothing
	afterStart  func(bed *testbed) // called once the program runs; nil: nothing
}

var idleCases = []idleCase{
	{"no clients connect", nil, nil},
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
	{"the proxy drains with an open request", nil, func(bed *testbed) {
		client := bed.dial()
		client.send(request(1, "footage", map[string]string{"item": unansweredObject, "limit": "60000"}, ""))
		bed.waitFirstAttempt()
		bed.terminate()
	}},
}

// TestIdleProxyDoesNotSpin checks that a proxy without work blocks, whatever its peers do, and that it has no child
// processes.
func TestIdleProxyDoesNotSpin(t *testing.T) {
	if _, err := os.Stat("/proc/self/schedstat"); err != nil {
		t.Skip("needs /proc/self/schedstat")
	}
	for _, c := range idleCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			bed := newTestbed(t, func(attempt *receivedRequest) {
				if attempt.Fields["thing"] != unansweredObject {
					attempt.Answer("ACK", "-", "served")
				}
			})
			if c.beforeStart != nil {
				c.beforeStart(bed)
			}
			bed.start()
			if c.afterStart != nil {
				c.afterStart(bed)
			}
			// The work that the case itself causes ends after a moment; a spin does not.
			bed.waitUntil("the proxy is idle", func() bool {
				return cpuShare(t, bed.cmd.Process.Pid, 300*time.Millisecond) < maxIdleCPUShare
			})
			if share := cpuShare(t, bed.cmd.Process.Pid, time.Second); share > maxIdleCPUShare {
				t.Errorf("got a CPU usage of %.2f cores without work, want at most %.2f", share, maxIdleCPUShare)
			}
			if usage, _ := readProcessUsage(bed.cmd.Process.Pid); len(usage.children) > 0 {
				t.Errorf("got child processes %v, want none", usage.children)
			}
		})
	}
	t.Run("a spinning goroutine is detected", func(t *testing.T) {
		t.Parallel()
		bed := newTestbed(t, nil)
		bed.startTestBinary(spinVariable)
		bed.waitUntil("the spin is detected", func() bool {
			return cpuShare(t, bed.cmd.Process.Pid, time.Second) > maxIdleCPUShare
		})
	})
}

// TestFailedFileWatchDoesNotSpin guards against a goroutine that reads file notifications in an endless loop because
// the system could not add their descriptor to Go's poller, for example for lack of memory. With each errno, another
// random half of these calls fails.
func TestFailedFileWatchDoesNotSpin(t *testing.T) {
	for _, errno := range []string{"ENOMEM", "ENFILE", "ENOBUFS", "EMFILE"} {
		t.Run(errno, func(t *testing.T) {
			t.Parallel()
			bed := newTLSTestbed(t, nil)
			bed.startWithFaults("epoll_ctl_add/go=" + errno + "%0.5")
			bed.dial().call(1, "lookup", nil) // shows that the program has started
			if share := cpuShare(t, bed.cmd.Process.Pid, time.Second); share > maxIdleCPUShare {
				t.Errorf("got a CPU usage of %.2f cores without work, want at most %.2f", share, maxIdleCPUShare)
			}
		})
	}
}
