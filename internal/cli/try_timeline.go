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
	tryDuration    = 7500 * time.Millisecond
	tryRowInterval = 500 * time.Millisecond
	tryRounding    = 10 * time.Microsecond
)

// tryTimeline runs the scenario and prints what happens.
type tryTimeline struct {
	out         io.Writer
	environment *tryEnvironment
	stats       trafficStats
	startedAt   time.Time
	marks       tryMarks
}

// tryMarks holds the times in the scenario from which the delays in the summary are computed.
type tryMarks struct {
	drained       time.Time // the catalogue showed c1 in maintenance
	lastUseOfC1   time.Time // before it was back in service
	critical      time.Time // the catalogue showed c2 as critical
	catalogueBack time.Time // the catalogue answered again
}

// tryStep is one step of the scenario.
type tryStep struct {
	at time.Duration // since the start of the scenario
	do func()
}

// steps returns the steps of the scenario, in the order of their times.
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
	timeline.announce("c1 drains: the catalogue shows it in maintenance")
	cluster := timeline.environment.cluster
	cluster.SetStatus("cache", "c1", "maintenance")
	timeline.marks.drained = cluster.ChangedAt("c1")
}

func (timeline *tryTimeline) killC2() {
	timeline.announce("c2 is killed: its connections are reset, and new ones refused")
	timeline.environment.endpoints.Kill("c2")
}

func (timeline *tryTimeline) markC2Critical() {
	timeline.announce("the health check of c2 turns critical")
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

// announce prints a step with its time.
func (timeline *tryTimeline) announce(text string) {
	fmt.Fprintf(timeline.out, "%5.1f s  -- %s\n", time.Since(timeline.startedAt).Seconds(), text)
}

// play sends requests to both frontends while it carries out the steps, and prints a timeline and a summary.
func (timeline *tryTimeline) play() error {
	fmt.Fprintln(timeline.out, "             by RPC            by DNS\n"+
		"    time  srvd rjct fail   srvd rjct fail   attempts by endpoint")
	timeline.startedAt = time.Now()
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

// playSteps carries out each step at its time and prints a row every tryRowInterval. It returns early if the traffic
// fails.
func (timeline *tryTimeline) playSteps(trafficEnded <-chan error) error {
	steps := timeline.steps()
	rowStart := timeline.startedAt
	for end := timeline.startedAt.Add(tryDuration); time.Now().Before(end); {
		rowEnd := rowStart.Add(tryRowInterval)
		wake := rowEnd
		if len(steps) > 0 {
			if due := timeline.startedAt.Add(steps[0].at); due.Before(wake) {
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
		if len(steps) > 0 && !time.Now().Before(timeline.startedAt.Add(steps[0].at)) {
			steps[0].do()
			steps = steps[1:]
			continue
		}
		timeline.printRow(rowStart)
		rowStart = rowEnd
	}
	return nil
}

// printRow prints the outcomes since the last row, and the number of attempts per endpoint.
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
	fmt.Fprintf(timeline.out, "%5.1f s  %4d %4d %4d   %4d %4d %4d   %s\n", time.Since(timeline.startedAt).Seconds(),
		counts[byRPC][served], counts[byRPC][rejected], counts[byRPC][failed],
		counts[byDNS][served], counts[byDNS][rejected], counts[byDNS][failed], strings.Join(used, ", "))
}

// printSummary prints the outcomes and latencies of all requests, and how fast the proxy followed the catalogue.
func (timeline *tryTimeline) printSummary() error {
	stats := &timeline.stats
	if !stats.sortLatencies() {
		return errors.New("no request was served")
	}
	fmt.Fprintf(timeline.out,
		"\nserved %d, rejected %d, failed %d; latency of served requests: median %v, 99th percentile %v\n",
		stats.totals[served], stats.totals[rejected], stats.totals[failed], stats.quantile(0.5), stats.quantile(0.99))
	marks := &timeline.marks
	fmt.Fprintf(timeline.out,
		"last send to c1: %v after its drain (limit 1 s); in use again %v after the catalogue was back\n",
		delay(marks.lastUseOfC1, marks.drained),
		delay(timeline.firstUse("c1", marks.catalogueBack), marks.catalogueBack))
	fmt.Fprintf(timeline.out, "last send to c2: %v after it was marked critical (limit 1 s)\n",
		delay(timeline.lastUse("c2"), marks.critical))
	return nil
}

// delay returns the time from mark to at, or 0 if at is before mark.
func delay(at, mark time.Time) time.Duration { return roundTime(max(0, at.Sub(mark))) }

// roundTime rounds a duration for output.
func roundTime(span time.Duration) time.Duration { return span.Round(tryRounding) }

// attempts returns the attempts that endpoints have received and that match, in order of arrival.
func (timeline *tryTimeline) attempts(match func(*emulator.ReceivedRequest) bool) []*emulator.ReceivedRequest {
	return timeline.environment.endpoints.Received(func(request *emulator.ReceivedRequest) bool {
		return request.Word == "ASK" && match(request)
	})
}

// lastUse returns when an endpoint last received an attempt or was named as the source of a fill; zero means never.
func (timeline *tryTimeline) lastUse(endpoint string) time.Time {
	attempts := timeline.attempts(func(attempt *emulator.ReceivedRequest) bool {
		return attempt.Endpoint == endpoint || attempt.Fields["via"] == endpoint
	})
	if len(attempts) == 0 {
		return time.Time{}
	}
	return attempts[len(attempts)-1].At
}

// firstUse returns when an endpoint first received an attempt after the given time; zero means never.
func (timeline *tryTimeline) firstUse(endpoint string, after time.Time) time.Time {
	attempts := timeline.attempts(func(attempt *emulator.ReceivedRequest) bool {
		return attempt.Endpoint == endpoint && attempt.At.After(after)
	})
	if len(attempts) == 0 {
		return time.Time{}
	}
	return attempts[0].At
}
