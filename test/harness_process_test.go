package test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"sloequay/internal/proxy/admin"
)

// processUsage is what the system tells of a running process.
type processUsage struct {
	threads  map[int]time.Duration // processor time
	total    time.Duration         // of all threads that run
	children []int
}

// readProcessUsage reads it from /proc; an error: the process is gone.
func readProcessUsage(pid int) (usage processUsage, err error) {
	usage.threads = map[int]time.Duration{}
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	for _, path := range tasks {
		text, err := os.ReadFile(path)
		if err != nil {
			continue // it has ended
		}
		thread, _ := strconv.Atoi(filepath.Base(filepath.Dir(path)))
		n, _ := strconv.ParseInt(strings.Fields(string(text))[0], 10, 64)
		usage.threads[thread] = time.Duration(n)
		usage.total += time.Duration(n)
	}
	stats, _ := filepath.Glob("/proc/[0-9]*/stat")
	for _, path := range stats {
		text, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		if fields := statFields(string(text)); len(fields) > 1 && fields[1] == strconv.Itoa(pid) {
			child, _ := strconv.Atoi(filepath.Base(filepath.Dir(path)))
			usage.children = append(usage.children, child)
		}
	}
	if len(usage.threads) == 0 {
		return usage, fmt.Errorf("the process %d is gone", pid)
	}
	return usage, err
}

// statFields are those of /proc/PID/stat from the state on: state, parent, ...
func statFields(stat string) []string {
	return strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
}

// suspend stops the program and waits until none of its threads runs any more.
func (bed *testbed) suspend() {
	bed.t.Helper()
	bed.signal(syscall.SIGSTOP)
	threads := fmt.Sprintf("/proc/%d/task/*/stat", bed.cmd.Process.Pid)
	bed.waitUntil("all threads of the program are stopped", func() bool {
		paths, err := filepath.Glob(threads)
		if err != nil || len(paths) == 0 {
			return false
		}
		return !slices.ContainsFunc(paths, func(path string) bool {
			text, err := os.ReadFile(path)
			return err != nil || statFields(string(text))[0] != "T"
		})
	})
}

// cpuShare gives the share of a core that a process used in a window.
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
	return float64(after.total-before.total) / float64(time.Since(began))
}

// openDescriptors counts those of the program.
func (bed *testbed) openDescriptors() int {
	bed.t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", bed.cmd.Process.Pid))
	if err != nil {
		bed.t.Fatalf("the program's descriptors: %v", err)
	}
	return len(entries)
}

// socketPath gives a path for the operators' socket, which may have some hundred letters only.
func socketPath(t *testing.T) string {
	t.Helper()
	dir, err := os.MkdirTemp("", "sq")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	return filepath.Join(dir, "s")
}

// stateCounts asks the program by the operators' socket how much it holds of each kind.
func (bed *testbed) stateCounts(socket string) map[string]int {
	bed.t.Helper()
	var out bytes.Buffer
	if err := admin.Query(&out, socket, "state"); err != nil {
		bed.t.Fatal(err)
	}
	state := map[string]int{}
	for line := range strings.Lines(out.String()) {
		kind, n, _ := strings.Cut(strings.TrimSpace(line), " ")
		var err error
		if state[kind], err = strconv.Atoi(n); err != nil {
			bed.t.Fatalf("state: %q, want a kind and a number", line)
		}
	}
	return state
}

// writeFile writes a file that only its owner can read.
func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// readFile reads one that must be there.
func readFile(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// replaceFile puts a copy of a file in another's place in one step, as operators do.
func replaceFile(t *testing.T, from, to string) {
	t.Helper()
	writeFile(t, to+".new", readFile(t, from))
	if err := os.Rename(to+".new", to); err != nil {
		t.Fatal(err)
	}
}
