package drill

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// checkReady checks that a share of the started processes become ready within the bound.
func (r *Record) checkReady(invariant Invariant, found *findings) string {
	var readyTimes []time.Duration
	for _, run := range r.ProcessRuns {
		switch {
		case !invariant.covers(run.StartedAt):
		case run.ReadyAt > 0:
			readyTimes = append(readyTimes, run.ReadyAt-run.StartedAt)
		case !run.EndRequested:
			readyTimes = append(readyTimes, forever)
		}
	}
	slices.Sort(readyTimes)
	if len(readyTimes) == 0 {
		found.add("no proxy was started")
		return ""
	}
	rank := int(invariant.share*float64(len(readyTimes))+0.999) - 1 // the index of the slowest start within the share
	slowest := readyTimes[min(len(readyTimes)-1, max(0, rank))]
	if slowest.Seconds() > invariant.bound {
		found.add("ready within %s for share %g of %d starts", describeReady(slowest), invariant.share, len(readyTimes))
	}
	median := readyTimes[(len(readyTimes)-1)/2]
	return fmt.Sprintf("of %d starts half were ready within %s, share %g within %s", len(readyTimes),
		describeReady(median), invariant.share, describeReady(slowest))
}

func describeReady(readyTime time.Duration) string {
	if readyTime == forever {
		return "never"
	}
	return readyTime.Round(time.Millisecond).String()
}

// checkAlive checks that no process ended without being told to.
func (r *Record) checkAlive(_ Invariant, found *findings) string {
	for _, run := range r.ProcessRuns {
		if run.EndedAt > 0 && !run.EndRequested {
			found.add("proxy %d ended unexpectedly at %.2f s: %s", run.Proxy, run.EndedAt.Seconds(), run.Error)
		}
	}
	return fmt.Sprintf("%d processes", len(r.ProcessRuns))
}

// checkMonitors checks that no proxy detected a violation of its own invariants.
func (r *Record) checkMonitors(_ Invariant, found *findings) string {
	for _, violation := range r.Violations {
		found.add("%s", violation)
	}
	return "none"
}

// checkOverloads checks that no endpoint crashed from overload.
func (r *Record) checkOverloads(_ Invariant, found *findings) string {
	for _, overload := range r.Overloads {
		found.add("%s crashed from overload at %.2f s", overload.Endpoint, overload.At.Seconds())
	}
	return "no endpoint crashed"
}

// readViolations collects from the proxies' logs the invariant violations that they detected themselves, and panics.
func (c *Cluster) readViolations() {
	for _, p := range c.proxies {
		file, err := os.Open(filepath.Join(p.dir, logFile))
		if err != nil {
			continue
		}
		for lines := bufio.NewScanner(file); lines.Scan(); {
			text := lines.Text()
			if strings.Contains(text, "event=invariant-violated") || strings.HasPrefix(text, "panic:") {
				c.Record.Violations = append(c.Record.Violations, p.name+": "+text)
			}
		}
		_ = file.Close()
	}
}
