package upstream

import "sloequay/internal/policy"

// Stats counts what a pool did on the wire and what the endpoints answered, since it was last taken. Each of these is
// harmless in one proxy and is multiplied by every proxy of a fleet: an endpoint serves the checks and the new
// connections of all of them.
type Stats struct {
	Written        int // attempts written to a connection
	LivenessChecks int
	CancelConfirms int // of these, the ones behind a cancellation
	Unresponsive   int // connections closed because a check was not answered, or nothing was read
	Dials          int // connections begun
	DialFailed     int
	Resets         int // connections that ended under what was outstanding
	Responses      [codeCount]int
	Faults         [len(faultNotes)]int
}

// faultNotes are the notes that tell of a fault behind an endpoint, each with its name in the log.
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

// countResponse counts a response.
func (s *Stats) countResponse(code responseCode, note policy.Note) {
	s.Responses[code]++
	for i, fault := range faultNotes {
		if fault.note == note {
			s.Faults[i]++
		}
	}
}

// Fields gives the counts that are not zero, as name and value in turn, in a fixed order.
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
	for code, count := range s.Responses {
		add(responseWords[code], count)
	}
	for i, count := range s.Faults {
		add(faultNotes[i].name, count)
	}
	return fields
}

// TakeStats gives the counts and starts new ones.
func (p *Pool) TakeStats() Stats {
	stats := p.Stats
	p.Stats = Stats{}
	return stats
}
