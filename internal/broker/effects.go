package broker

// Effect is an output of Round: something that its caller must do.
type Effect interface{ isEffect() }

// SendAttempt sends an attempt. MaySend must be called just before it is written.
type SendAttempt struct{ Attempt *Attempt }

// CancelAttempt cancels an attempt that may be in flight. With AwaitEnd the attempt has not ended yet: an AttemptEnded
// must follow once it is no longer in flight.
type CancelAttempt struct {
	Attempt  *Attempt
	AwaitEnd bool
}

// Respond sends the response to a request.
type Respond struct {
	Request  *Request
	Response Response
}

// EndpointChanged reports that the list changed an endpoint. If Restarted is set, the endpoint restarted or moved to
// another address, and existing connections to it are no longer valid.
type EndpointChanged struct {
	Endpoint  *Endpoint
	Restarted bool
}

// RefetchList fetches the complete list of a source of endpoints at once. Its result must be an EndpointList with
// List.Confirms set.
type RefetchList struct{ Source int }

// LogEntry is a line of the log: an event and its fields, as alternating names and values.
type LogEntry struct {
	Event  string
	Fields []any
}

func (SendAttempt) isEffect()     {}
func (CancelAttempt) isEffect()   {}
func (Respond) isEffect()         {}
func (EndpointChanged) isEffect() {}
func (RefetchList) isEffect()     {}
func (LogEntry) isEffect()        {}
