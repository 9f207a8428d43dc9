package upstream

import "sloequay/internal/policy"

// Stats counts what a pool sent and the responses that it received since the last TakeStats. Counts that are harmless
// in one proxy add up over a fleet: an endpoint serves the checks and the new connections of all proxies.
type Stats struct {
	Written        int // attempts written to a connection
	LivenessChecks int
	CancelConfirms int // checks, included in LivenessChecks, that were sent to confirm a cancellation
	Unresponsive   int // connections closed because a check was not answered or the endpoint did not read
	Dials          int // connections started; redials of a connection do not count
	DialFailed     int // connections whose last dial failed
	Resets         int // connections that ended with attempts or checks outstanding
	NoMemory       int // attempts that were not sent, and responses whose bodies were dropped, for lack of memory
	Responses      [codeCount]int
	Faults         [len(faultNotes)]int
}

// faultNotes holds the notes that report a fault behind an endpoint, each with its name in the log.
var faultNotes = [...]struct {
	note policy.Note
	name string
}{
	{policy.NoteSourceRejected, "src-refused"},
	{policy.NoteSourceLost, "src-broke"},
	{policy.NoteSourceMiss, "src-lacks"},
	{policy.NoteNoCapacity, "no-slot"},
	{policy.NoteOriginFailed, "origin-failed"},
}

// countResponse counts a response by its code, and by its note if that reports a fault.
func (s *Stats) countResponse(code responseCode, note policy.Note) {
	s.Responses[code]++
	for i, fault := range faultNotes {
		if fault.note == note {
			s.Faults[i]++
		}
	}
}

// Fields returns the counts that are not zero, as alternating names and values in a fixed order.
func (s *Stats) Fields() []any {
	var fields []any
	add := func(name string, count int) {
		if count != 0 {
			fields = append(fields, name, count)
		}
	}
	add("written", s.Written)
	add("liveness-checks", s.LivenessChecks)
	add("cancel-confirms", s.CancelConfirms)
	add("unresponsive", s.Unresponsive)
	add("dials", s.Dials)
	add("connect-failed", s.DialFailed)
	add("resets", s.Resets)
	add("no-memory", s.NoMemory)
	for code, count := range s.Responses {
		add(responseWords[code], count)
	}
	for i, count := range s.Faults {
		add(faultNotes[i].name, count)
	}
	return fields
}

// TakeStats returns the counts and resets them.
func (p *Pool) TakeStats() Stats {
	stats := p.Stats
	p.Stats = Stats{}
	return stats
}
