package broker

// Effect is something that the broker wants done.
type Effect interface{ isEffect() }

// SendAttempt sends an attempt. MaySend must be called again at the moment of writing.
type SendAttempt struct{ Attempt *Attempt }

// CancelAttempt cancels an attempt that may be in flight. With AwaitEnd the attempt has not ended yet: an AttemptEnded
// must follow once it is in flight no more.
type CancelAttempt struct {
	Attempt  *Attempt
	AwaitEnd bool
}

// Respond gives a request its response.
type Respond struct {
	Request  *Request
	Response Response
}

// EndpointChanged says that the list has changed what is known of an endpoint. If Restarted it has started anew or is
// at another address, and connections to where it was are void.
type EndpointChanged struct {
	Endpoint  *Endpoint
	Restarted bool
}

// RefetchList polls a source of endpoints for its complete list at once; its result is an EndpointList that confirms.
type RefetchList struct{ Source int }

// LogEntry is a line for the log: an event and its fields, names and values in turn.
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
