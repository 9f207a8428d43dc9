package membership

import "time"

// maxNotes is the number of notes held between two calls of Table.TakeNotes.
const maxNotes = 64

// NoteKind is the kind of a Note.
type NoteKind uint8

// The kinds of notes.
const (
	LossSuspected      NoteKind = iota // a complete list lacked too many endpoints, or all: Count Of so many
	LossConfirmed                      // and that was true, after For
	LossRefuted                        // and that was not true, after For
	Renamed                            // Endpoint is gone, and Other has its address in the same list
	DuplicateID                        // a list named Endpoint twice
	TableFull                          // Count endpoints were left out, as Of are held at most
	EndpointSuppressed                 // Endpoint flaps; its way up waits For
	EndpointReleased                   // that is over
	noteKinds                          // the number of kinds
)

// String gives the event's word in the log.
func (k NoteKind) String() string {
	return [noteKinds]string{
		"list-loss-suspected", "list-loss-confirmed", "list-loss-refuted", "endpoint-renamed", "endpoint-duplicate-id",
		"endpoint-limit", "endpoint-suppressed", "endpoint-released",
	}[k]
}

// Note is something for the log that is no change of an endpoint.
type Note struct {
	Kind      NoteKind
	Source    int
	Endpoint  string // the ID of the endpoint, where it is one
	RenamedTo string
	Count     int
	Total     int
	Duration  time.Duration
}

// noteBuffer holds the notes between two calls of Table.TakeNotes.
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
