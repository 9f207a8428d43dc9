package upstream

import "sloequay/internal/policy"

// Stats counts what a pool did on the wire and what the boxes said, since it was last taken. Each of these is harmless
// in one doorman and is multiplied by every doorman of a fleet: probes and new connections are priced over all of
// them, and a box answers all of them from one budget. The counts are plain integers; nothing grows.
type Stats struct {
	Written        int // attempts written whole to a connection
	LivenessChecks int // NOOPs that ask whether a connection lives
	CancelConfirms int // of these, the ones behind a QUIT
	HealthChecks   int // NOOPs that the module asked for
	Unresponsive   int // connections closed because a check was not answered
	Dials          int // connections begun
	DialFailed     int
	Resets         int // connections that ended under what was open
	Words          [wordCount]int
	Notes          [noteCount]int
}

// The words of answers, in the order of Tally.Words.
var wordNames = [...]string{"ACK", "NOMOD", "NOENT", "AGAIN", "EIO", "STALE", "READY", "AILING"}

const wordCount = len(wordNames)

// The notes that tell of trouble behind a box, in the order of Tally.Notes.
var noteWatched = [...]policy.Note{policy.NoteSourceRejected, policy.NoteSourceLost, policy.NoteSourceMiss,
	policy.NoteNoCapacity, policy.NoteOriginFailed}

var noteNames = [...]string{"src-refused", "src-broke", "src-lacks", "no-slot", "origin-failed"}

const noteCount = len(noteWatched)

// word counts the word of an answer.
func (t *Stats) word(w string, note policy.Note) {
	for i, name := range wordNames {
		if name == w {
			t.Words[i]++
		}
	}
	for i, n := range noteWatched {
		if n == note {
			t.Notes[i]++
		}
	}
}

// Fields gives the counts that are not zero, as name and value, in a fixed order.
func (t *Stats) Fields() []any {
	var out []any
	add := func(name string, n int) {
		if n != 0 {
			out = append(out, name, n)
		}
	}
	add("written", t.Written)
	add("liveness-checks", t.LivenessChecks)
	add("cancel-confirms", t.CancelConfirms)
	add("health-checks", t.HealthChecks)
	add("unresponsive", t.Unresponsive)
	add("dials", t.Dials)
	add("connect-failed", t.DialFailed)
	add("resets", t.Resets)
	for i, n := range t.Words {
		add(wordNames[i], n)
	}
	for i, n := range t.Notes {
		add(noteNames[i], n)
	}
	return out
}

// TakeStats gives the tally and starts a new one.
func (p *Pool) TakeStats() Stats {
	t := p.Stats
	p.Stats = Stats{}
	return t
}
