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

// processUsage is the CPU time of a running process and its threads, and its child processes.
type processUsage struct {
	cpuByThread map[int]time.Duration // CPU time by thread id
	totalCPU    time.Duration         // of all running threads
	children    []int                 // process ids
}

// readProcessUsage reads the usage of a process from /proc. It returns an error if the process has exited.
func readProcessUsage(pid int) (usage processUsage, err error) {
	usage.cpuByThread = map[int]time.Duration{}
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	for _, path := range tasks {
		text, err := os.ReadFile(path)
		if err != nil {
			continue // the thread has ended
		}
		thread, _ := strconv.Atoi(filepath.Base(filepath.Dir(path)))
		n, _ := strconv.ParseInt(strings.Fields(string(text))[0], 10, 64)
		usage.cpuByThread[thread] = time.Duration(n)
		usage.totalCPU += time.Duration(n)
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
	if len(usage.cpuByThread) == 0 {
		return usage, fmt.Errorf("process %d has exited", pid)
	}
	return usage, err
}

// statFields returns the fields of /proc/PID/stat from the third on: state, parent, ...
func statFields(stat string) []string {
	return strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
}

// suspend stops the program by SIGSTOP and waits until all of its threads are stopped.
func (bed *testbed) suspend() {
	bed.t.Helper()
	bed.signal(syscall.SIGSTOP)
	statPattern := fmt.Sprintf("/proc/%d/task/*/stat", bed.cmd.Process.Pid)
	bed.waitUntil("all threads of the program are stopped", func() bool {
		paths, err := filepath.Glob(statPattern)
		if err != nil || len(paths) == 0 {
			return false
		}
		return !slices.ContainsFunc(paths, func(path string) bool {
			text, err := os.ReadFile(path)
			return err != nil || statFields(string(text))[0] != "T"
		})
	})
}

// cpuShare returns the share of one core that a process uses over a time window.
func cpuShare(t *testing.T, pid int, window time.Duration) float64 {
	t.Helper()
	before, err := readProcessUsage(pid)
	if err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	time.Sleep(window)
	after, err := readProcessUsage(pid)
	if err != nil {
		t.Fatal(err)
	}
	return float64(after.totalCPU-before.totalCPU) / float64(time.Since(start))
}

// openDescriptors returns the number of descriptors that the program has open.
func (bed *testbed) openDescriptors() int {
	bed.t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", bed.cmd.Process.Pid))
	if err != nil {
		bed.t.Fatalf("read the program's descriptors: %v", err)
	}
	return len(entries)
}

// socketPath returns a path for the operators' socket. It is short, as the path of a Unix socket can have only about a
// hundred bytes.
func socketPath(t *testing.T) string {
	t.Helper()
	dir, err := os.MkdirTemp("", "sq")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	return filepath.Join(dir, "s")
}

// stateCounts queries the program's state over the operators' socket, and returns the number of items of each kind.
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
			bed.t.Fatalf("state line: got %q, want a kind and a number", line)
		}
	}
	return state
}

// writeFile writes a file with mode 0600.
func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// readFile returns the content of a file, and fails the test if it cannot be read.
func readFile(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// replaceFile atomically replaces the file to with a copy of the file from, as operators do.
func replaceFile(t *testing.T, from, to string) {
	t.Helper()
	writeFile(t, to+".new", readFile(t, from))
	if err := os.Rename(to+".new", to); err != nil {
		t.Fatal(err)
	}
}
