package test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"sloequay/internal/proxy/admin"
)

// The fleet's platform holds a thread that neither waits nor ends for 20 s of real time for a crash, and one core is
// shared by many doormans: whoever has nothing to do must wait. Each case is one in which programs of this kind have been
// seen to spin: a peer that is half closed or does not read is always ready for the poller, and what is refused at once
// is tried again at once.

// processUsage is what the system tells of a running process.
type processUsage struct {
	threads  map[int]time.Duration // processor time
	all      time.Duration         // of those that have ended, too
	children []int
}

func readProcessUsage(pid int) (p processUsage, err error) {
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

// cpuShare gives the share of a core that the process used in a window.
func cpuShare(t *testing.T, pid int, window time.Duration) float64 {
	t.Helper()
	before, err := readProcessUsage(pid)
	if err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	time.Sleep(window)
	after, err := readProcessUsage(pid)
	if err != nil {
		t.Fatal(err)
	}
	return float64(after.all-before.all) / float64(time.Since(began))
}

// descriptors counts those of the program.
func (w *testbed) descriptors() int {
	list, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", w.cmd.Process.Pid))
	return len(list)
}

// files is how many descriptors the program holds.
func (w *testbed) files() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", w.cmd.Process.Pid))
	if err != nil {
		w.t.Skip("no /proc here")
	}
	return len(entries)
}

// socketPath gives a path for a Unix socket, which may have some hundred letters only.
func socketPath(t *testing.T) string {
	t.Helper()
	dir, err := os.MkdirTemp("", "sq")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	return filepath.Join(dir, "s")
}

// heldState asks the program how much it holds.
func (w *testbed) heldState(socket string) map[string]int {
	w.t.Helper()
	var out bytes.Buffer
	if err := admin.Ask(&out, socket, "state"); err != nil {
		w.t.Fatal(err)
	}
	state := map[string]int{}
	for line := range strings.Lines(out.String()) {
		kind, n, _ := strings.Cut(strings.TrimSpace(line), " ")
		var err error
		if state[kind], err = strconv.Atoi(n); err != nil {
			w.t.Fatalf("state: %q", line)
		}
	}
	return state
}
