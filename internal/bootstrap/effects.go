package bootstrap

import (
	"time"

	"sloequay/internal/membership"
)

// Effect is an action that the caller must carry out.
type Effect interface{ isEffect() }

// Send sends a message to a peer. The message may be lost.
type Send struct {
	To      string
	Message Message
}

// SetPolling starts or stops polling the list service.
type SetPolling struct{ On bool }

// Adopt puts a list from peers in force. If Hint is set, the list adds endpoints and removes none.
type Adopt struct {
	List      int
	Version   uint64
	Endpoints []membership.Endpoint
	Hint      bool
}

// SourceStatus reports that the service, as seen through the peers, has become silent or answers again.
type SourceStatus struct {
	List   int
	Silent bool
}

// LogEntry is a line for the event log.
type LogEntry struct {
	Event Event
	Peer  string // empty if the entry is not about a peer
	List  int    // noList if the entry is not about a list
}

// noList is the List of a LogEntry that is about the proxy as a whole.
const noList = -1

func (Send) isEffect()         {}
func (SetPolling) isEffect()   {}
func (Adopt) isEffect()        {}
func (SourceStatus) isEffect() {}
func (LogEntry) isEffect()     {}

// Event is the kind of a LogEntry.
type Event uint8

// The events.
const (
	PollingStarted         Event = iota // this proxy starts to poll the service
	PollingStopped                      // this proxy stops polling and relies on its peers
	IsolatedPollingStarted              // this proxy starts to poll because no quorum of pollers is in view
	ListAccepted                        // a list that a quorum of peers advertises is now in force
	HintUsed                            // endpoints of lists without a quorum are used, as no list is known to be true
	HintsContradict                     // peers have sent different lists, and none is known to be true
	PeerRefuted                         // the service contradicts a peer, which is distrusted for DistrustPeriod
	ChecksumMismatch                    // content is malformed or does not match the advertised checksum
	eventCount                          // number of events
)

// String returns the value of the event in the log.
func (e Event) String() string {
	return [eventCount]string{"asks", "listens", "alone", "believed", "hinted", "contradicted", "refuted", "spoilt"}[e]
}

func (m *Machine) addEffect(e Effect) { m.effects = append(m.effects, e) }

// takeEffects returns the effects that were added since the last call.
func (m *Machine) takeEffects() []Effect {
	effects := m.effects
	m.effects = nil
	return effects
}

// send adds the effect of sending a message from this proxy.
func (m *Machine) send(to string, message Message) {
	message.From = m.config.Name
	message.Incarnation = m.config.Incarnation
	m.addEffect(Send{To: to, Message: message})
}

// log adds an entry for the event log.
func (m *Machine) log(event Event, list int, peer string) {
	m.addEffect(LogEntry{Event: event, Peer: peer, List: list})
}

// rateLimiter limits the number of events in each ServeWindow. The zero value is ready for use.
type rateLimiter struct {
	windowStart time.Duration
	count       int
}

// allow counts an event and reports whether it is within the limit of the window.
func (r *rateLimiter) allow(now time.Duration, limit int) bool {
	if now-r.windowStart >= ServeWindow {
		r.windowStart = now
		r.count = 0
	}
	r.count++
	return r.count <= limit
}
