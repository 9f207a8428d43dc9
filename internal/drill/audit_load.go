package drill

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// checkListCalls checks that the list service receives at most as many calls as the bound.
func (r *Record) checkListCalls(invariant Invariant, found *findings) string {
	calls := r.listCalls(invariant)
	return checkCount(len(calls), calls, invariant, found)
}

// checkListPeak checks that the list service receives at most as many calls within any second as the bound.
func (r *Record) checkListPeak(invariant Invariant, found *findings) string {
	calls := r.listCalls(invariant)
	var times []time.Duration
	for _, call := range calls {
		times = append(times, call.At)
	}
	return checkCount(peakRate(times), calls, invariant, found)
}

// checkCount checks a count against the bound, and reports who made the calls if it is higher.
func checkCount(count int, calls []ListCall, invariant Invariant, found *findings) string {
	if float64(count) > invariant.bound {
		found.add("%d; %s", count, describeCalls(calls))
	}
	return fmt.Sprint(count)
}

// describeCalls counts calls to the list service by caller and query.
func describeCalls(calls []ListCall) string {
	counts := map[string]int{}
	for _, call := range calls {
		counts[call.From+" "+call.Query]++
	}
	var words []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		words = append(words, fmt.Sprintf("%s %d", name, counts[name]))
	}
	return strings.Join(words, ", ")
}

func (r *Record) listCalls(invariant Invariant) []ListCall {
	var calls []ListCall
	for _, call := range r.ListCalls {
		if invariant.covers(call.At) {
			calls = append(calls, call)
		}
	}
	return calls
}

// checkPeerBytes checks that no proxy sends its peers more bytes per second, on average over the invariant's time, than
// the bound. Traffic of zero is a violation too.
func (r *Record) checkPeerBytes(invariant Invariant, found *findings) string {
	highest, sender := 0.0, ""
	for from, bySecond := range r.PeerBytes {
		sum, seconds := 0, 0
		for second, count := range bySecond {
			if invariant.covers(time.Duration(second) * time.Second) {
				sum += count
				seconds++
			}
		}
		if mean := float64(sum) / float64(max(1, seconds)); mean > highest {
			highest, sender = mean, from
		}
	}
	summary := fmt.Sprintf("%.0f by %s", highest, sender)
	if highest > invariant.bound || highest == 0 {
		found.add("%s", summary)
	}
	return summary
}

// checkEndpointConnections checks that no endpoint accepts more new connections within any second than the bound.
func (r *Record) checkEndpointConnections(invariant Invariant, found *findings) string {
	byEndpoint := map[string][]time.Duration{}
	for _, connection := range r.Connections {
		if invariant.covers(connection.At) && isEndpoint(connection.To) {
			byEndpoint[connection.To] = append(byEndpoint[connection.To], connection.At)
		}
	}
	highest, endpoint := 0, ""
	for to, times := range byEndpoint {
		if peak := peakRate(times); peak > highest {
			highest, endpoint = peak, to
		}
	}
	summary := fmt.Sprintf("%d to %s", highest, endpoint)
	if float64(highest) > invariant.bound {
		found.add("%s", summary)
	}
	return summary
}

// peakRate returns the highest number of times that lie within one second.
func peakRate(times []time.Duration) int {
	slices.Sort(times)
	highest, first := 0, 0
	for last := range times {
		for times[last]-times[first] >= time.Second {
			first++
		}
		highest = max(highest, last-first+1)
	}
	return highest
}
