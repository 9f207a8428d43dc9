package broker

import "sloequay/internal/membership"

// log emits a log entry: an event that docs/on-call.md describes, and its fields as alternating names and values.
func (b *Broker) log(event string, fields ...any) { b.emit(LogEntry{event, fields}) }

// logChange logs a change of an endpoint, and the source that decided it.
func (b *Broker) logChange(change membership.Change) {
	event := "endpoint-" + change.Kind.String()
	fields := []any{"endpoint", change.Endpoint.ID, "address", change.Endpoint.Address}
	if change.DecidedBy >= 0 {
		fields = append(fields, "source", b.members.Sources()[change.DecidedBy].Name)
	}
	if change.Reason != membership.Reported {
		fields = append(fields, "reason", change.Reason)
	}
	b.log(event, fields...)
}

// logMembershipNotes logs the notes that the membership table has made on its sources.
func (b *Broker) logMembershipNotes() {
	notes, omitted := b.members.TakeNotes()
	for _, note := range notes {
		fields := []any{"source", b.members.Sources()[note.Source].Name}
		if note.Endpoint != "" {
			fields = append(fields, "endpoint", note.Endpoint)
		}
		if note.RenamedTo != "" {
			fields = append(fields, "other", note.RenamedTo)
		}
		if note.Count > 0 {
			fields = append(fields, "endpoints", note.Count, "of", note.Total)
		}
		if note.Duration > 0 {
			fields = append(fields, "for", note.Duration)
		}
		b.log(note.Kind.String(), fields...)
	}
	if omitted > 0 {
		b.log("list-notes-omitted", "omitted", omitted)
	}
}
