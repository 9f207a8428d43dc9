package cli

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"sloequay/internal/emulator"
	"sloequay/internal/emulator/consul"
)

const (
	tryLength      = 7500 * time.Millisecond
	tryRowInterval = 500 * time.Millisecond
	tryRounding    = 10 * time.Microsecond
)

// tryTimeline plays the scenario and prints what happens.
type tryTimeline struct {
	out         io.Writer
	environment *tryEnvironment
	stats       trafficStats
	began       time.Time
	marks       tryMarks
}

// tryMarks are times of the scenario that the summary measures from.
type tryMarks struct {
	drained       time.Time // the catalogue had c1 in maintenance
	lastUseOfC1   time.Time // before it was back in service
	critical      time.Time // the catalogue had c2 as critical
	catalogueBack time.Time
}

// tryStep is one thing that happens in the scenario.
type tryStep struct {
	at time.Duration // after its start
	do func()
}

// steps are the scenario, in the order of time.
func (timeline *tryTimeline) steps() []tryStep {
	return []tryStep{
		{1500 * time.Millisecond, timeline.drainC1},
		{2500 * time.Millisecond, timeline.killC2},
		{2800 * time.Millisecond, timeline.markC2Critical},
		{3500 * time.Millisecond, timeline.stopCatalogue},
		{5500 * time.Millisecond, timeline.restoreCatalogue},
	}
}

func (timeline *tryTimeline) drainC1() {
	timeline.announce("c1 drains: the catalogue has it in maintenance")
	cluster := timeline.environment.cluster
	cluster.SetStatus("cache", "c1", "maintenance")
	timeline.marks.drained = cluster.ChangedAt("c1")
}

func (timeline *tryTimeline) killC2() {
	timeline.announce("c2 is killed: its connections are reset, and new ones refused")
	timeline.environment.endpoints.Kill("c2")
}

func (timeline *tryTimeline) markC2Critical() {
	timeline.announce("its check finds that: critical")
	cluster := timeline.environment.cluster
	cluster.SetStatus("cache", "c2", consul.Critical)
	timeline.marks.critical = cluster.ChangedAt("c2")
}

func (timeline *tryTimeline) stopCatalogue() {
	timeline.announce("the catalogue stops answering, on both agents")
	for _, agent := range timeline.environment.agents {
		agent.SetFault(consul.Hang, 0)
	}
	timeline.environment.cluster.SetStatus("archive", "o1", consul.Passing)
}

func (timeline *tryTimeline) restoreCatalogue() {
	timeline.marks.lastUseOfC1 = timeline.lastUse("c1")
	timeline.announce("the catalogue answers again, and c1 is back in service")
	timeline.environment.cluster.SetStatus("cache", "c1", consul.Passing)
	for _, agent := range timeline.environment.agents {
		agent.SetFault(consul.None, 0)
	}
	timeline.marks.catalogueBack = time.Now()
}

// announce prints a step.
func (timeline *tryTimeline) announce(text string) {
	fmt.Fprintf(timeline.out, "%5.1f s  -- %s\n", time.Since(timeline.began).Seconds(), text)
}

// play sends requests by both frontends while the steps are done, and prints the time line and a summary.
func (timeline *tryTimeline) play() error {
	fmt.Fprintln(timeline.out, "             by RPC            by DNS\n"+
		"    time  srvd rjct fail   srvd rjct fail   attempts by endpoint")
	timeline.began = time.Now()
	stop := make(chan struct{})
	ended := make(chan error, int(tryFrontends))
	var traffic sync.WaitGroup
	traffic.Go(func() { ended <- sendRequests(timeline.environment.address, &timeline.stats, stop) })
	traffic.Go(func() { ended <- sendQueries(timeline.environment.dnsAddress, &timeline.stats, stop) })
	err := timeline.playSteps(ended)
	close(stop)
	traffic.Wait()
	if err != nil {
		return err
	}
	return timeline.printSummary()
}

// playSteps does each step at its time and prints a row in each interval. It ends early when traffic fails.
func (timeline *tryTimeline) playSteps(trafficEnded <-chan error) error {
	steps := timeline.steps()
	rowBegan := timeline.began
	for end := timeline.began.Add(tryLength); time.Now().Before(end); {
		rowEnds := rowBegan.Add(tryRowInterval)
		wake := rowEnds
		if len(steps) > 0 {
			if due := timeline.began.Add(steps[0].at); due.Before(wake) {
				wake = due
			}
		}
		select {
		case <-time.After(time.Until(wake)):
		case err := <-trafficEnded:
			if err != nil {
				return err
			}
			continue
		}
		if len(steps) > 0 && !time.Now().Before(timeline.began.Add(steps[0].at)) {
			steps[0].do()
			steps = steps[1:]
			continue
		}
		timeline.printRow(rowBegan)
		rowBegan = rowEnds
	}
	return nil
}

// printRow prints what came since the last row, and which endpoints were sent attempts.
func (timeline *tryTimeline) printRow(since time.Time) {
	counts := timeline.stats.takeRow()
	attempts := map[string]int{}
	for _, attempt := range timeline.attempts(func(attempt *emulator.ReceivedRequest) bool {
		return attempt.At.After(since)
	}) {
		attempts[attempt.Endpoint]++
	}
	var used []string
	for endpoint, count := range attempts {
		used = append(used, fmt.Sprintf("%s %d", endpoint, count))
	}
	slices.Sort(used)
	fmt.Fprintf(timeline.out, "%5.1f s  %4d %4d %4d   %4d %4d %4d   %s\n", time.Since(timeline.began).Seconds(),
		counts[byRPC][served], counts[byRPC][rejected], counts[byRPC][failed],
		counts[byDNS][served], counts[byDNS][rejected], counts[byDNS][failed], strings.Join(used, ", "))
}

// printSummary prints how requests fared, and how fast the proxy followed the catalogue.
func (timeline *tryTimeline) printSummary() error {
	stats := &timeline.stats
	if !stats.sortLatencies() {
		return errors.New("nothing was served")
	}
	fmt.Fprintf(timeline.out,
		"\nserved %d, rejected %d, failed %d; half of the answers within %v, 99 of 100 within %v\n",
		stats.totals[served], stats.totals[rejected], stats.totals[failed], stats.quantile(0.5), stats.quantile(0.99))
	marks := &timeline.marks
	fmt.Fprintf(timeline.out,
		"last send to c1: %v after its drain (1 s allowed); in use again %v after the catalogue's return\n",
		delay(marks.lastUseOfC1, marks.drained),
		delay(timeline.firstUse("c1", marks.catalogueBack), marks.catalogueBack))
	fmt.Fprintf(timeline.out, "last send to c2: %v after it was marked critical (1 s allowed)\n",
		delay(timeline.lastUse("c2"), marks.critical))
	return nil
}

// delay is how long after a mark something was; never negative.
func delay(at, mark time.Time) time.Duration { return roundTime(max(0, at.Sub(mark))) }

// roundTime rounds a time for print.
func roundTime(span time.Duration) time.Duration { return span.Round(tryRounding) }

// attempts are those that endpoints have read and that fit, in the order in which they came.
func (timeline *tryTimeline) attempts(fits func(*emulator.ReceivedRequest) bool) []*emulator.ReceivedRequest {
	return timeline.environment.endpoints.Received(func(line *emulator.ReceivedRequest) bool {
		return line.Word == "ASK" && fits(line)
	})
}

// lastUse is when an endpoint was last sent an attempt, or named as the source of a fill; zero: never.
func (timeline *tryTimeline) lastUse(endpoint string) time.Time {
	attempts := timeline.attempts(func(attempt *emulator.ReceivedRequest) bool {
		return attempt.Endpoint == endpoint || attempt.Fields["via"] == endpoint
	})
	if len(attempts) == 0 {
		return time.Time{}
	}
	return attempts[len(attempts)-1].At
}

// firstUse is when an endpoint was first sent an attempt after a time; zero: never.
func (timeline *tryTimeline) firstUse(endpoint string, after time.Time) time.Time {
	attempts := timeline.attempts(func(attempt *emulator.ReceivedRequest) bool {
		return attempt.Endpoint == endpoint && attempt.At.After(after)
	})
	if len(attempts) == 0 {
		return time.Time{}
	}
	return attempts[0].At
}
