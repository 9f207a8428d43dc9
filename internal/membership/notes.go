package membership

import "time"

// maxNotes is the maximum number of notes held between two calls of Table.TakeNotes.
const maxNotes = 64

// NoteKind is the kind of a Note.
type NoteKind uint8

// The kinds of notes.
const (
	LossSuspected      NoteKind = iota // a complete list lacked too many endpoints, or all: Count of Total
	LossConfirmed                      // a suspected loss was confirmed after Duration: Count of Total endpoints
	LossRefuted                        // a suspected loss of Count endpoints was refuted after Duration
	Renamed                            // Endpoint is missing from a list in which the new RenamedTo has its address
	DuplicateID                        // a list contained Endpoint more than once
	TableFull                          // Count endpoints were dropped, because the table holds at most Total
	EndpointSuppressed                 // Endpoint flaps; its upward transition is delayed by Duration
	EndpointReleased                   // the suppression of Endpoint has ended
	noteKinds                          // the number of kinds
)

// String returns the name of the log event.
func (k NoteKind) String() string {
	return [noteKinds]string{
		"list-loss-suspected", "list-loss-confirmed", "list-loss-refuted", "endpoint-renamed", "endpoint-duplicate-id",
		"endpoint-limit", "endpoint-suppressed", "endpoint-released",
	}[k]
}

// Note is an occurrence to be logged that is not a change of an endpoint.
type Note struct {
	Kind      NoteKind
	Source    int           // index in Config.Sources
	Endpoint  string        // ID; empty: the note is not about one endpoint
	RenamedTo string        // ID; see Renamed
	Count     int           // number of endpoints
	Total     int           // what Count is compared with; see the kinds
	Duration  time.Duration // see the kinds
}

// noteBuffer holds the notes between two calls of Table.TakeNotes, and counts those that did not fit.
type noteBuffer struct {
	notes   []Note
	dropped int
}

func (b *noteBuffer) add(note Note) {
	if len(b.notes) >= maxNotes {
		b.dropped++
		return
	}
	b.notes = append(b.notes, note)
}

func (b *noteBuffer) take() (notes []Note, dropped int) {
	notes, dropped = b.notes, b.dropped
	*b = noteBuffer{}
	return notes, dropped
}
