package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
)

var (
	cpuRequests = flag.Int("cpu-requests", 0, "requests by which the program's CPU is measured; 0: it is not")
	cpuProgram  = flag.String("cpu-program", "", "another build of the program, to compare with")
)

// TestCPU sends requests in a steady window of 16 and tells the CPU that the program took for each, its start left out. It
// asserts nothing and runs by its flag alone: two builds are compared by running it for each in turn.
func TestCPU(t *testing.T) {
	if *cpuRequests == 0 {
		t.Skip("needs -cpu-requests")
	}
	if *cpuProgram != "" {
		program = *cpuProgram
	}
	w := newWorld(t, nil)
	w.run()
	ticks := func() (n int) {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", w.cmd.Process.Pid))
		if err != nil {
			t.Fatal(err)
		}
		fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
		var user, system int
		_, _ = fmt.Sscan(fields[11], &user)
		_, _ = fmt.Sscan(fields[12], &system)
		return user + system
	}
	c := w.dial()
	send := func(id int) {
		c.send(request(uint64(id), "lookup", map[string]string{"item": fmt.Sprintf("%016x", id%5000+1), "ram": "1"}, ""))
	}
	before := ticks()
	for id := range *cpuRequests {
		send(id)
		if id >= 16 {
			c.want()
		}
	}
	t.Logf("%d requests, %.1f us of CPU each", *cpuRequests, float64(ticks()-before)*10_000/float64(*cpuRequests))
}
