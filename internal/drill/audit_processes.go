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

// checkReady wants a share of the processes' starts to be ready within the bound.
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
	rank := int(invariant.share*float64(len(readyTimes))+0.999) - 1 // of the last start that is in the share
	slowest := readyTimes[min(len(readyTimes)-1, max(0, rank))]
	if slowest.Seconds() > invariant.bound {
		found.add("%s for %g of %d starts", describeReady(slowest), invariant.share, len(readyTimes))
	}
	median := readyTimes[(len(readyTimes)-1)/2]
	return fmt.Sprintf("half of %d starts within %s, %g within %s", len(readyTimes), describeReady(median), invariant.share,
		describeReady(slowest))
}

func describeReady(readyTime time.Duration) string {
	if readyTime == forever {
		return "never"
	}
	return readyTime.Round(time.Millisecond).String()
}

// checkAlive wants no process to end by itself.
func (r *Record) checkAlive(_ Invariant, found *findings) string {
	for _, run := range r.ProcessRuns {
		if run.EndedAt > 0 && !run.EndRequested {
			found.add("proxy %d ended by itself at %.2f s: %s", run.Proxy, run.EndedAt.Seconds(), run.Error)
		}
	}
	return fmt.Sprintf("%d processes", len(r.ProcessRuns))
}

// checkMonitors wants no proxy to have found one of its own invariants violated.
func (r *Record) checkMonitors(_ Invariant, found *findings) string {
	for _, violation := range r.Violations {
		found.add("%s", violation)
	}
	return "none"
}

// checkOverloads wants no endpoint to have gone down by its load.
func (r *Record) checkOverloads(_ Invariant, found *findings) string {
	for _, overload := range r.Overloads {
		found.add("%s went down by its load at %.2f s", overload.Endpoint, overload.At.Seconds())
	}
	return "none went down"
}

// readViolations takes from the proxies' logs what their own monitors have found, and what a panic has left.
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
