package bootstrap

import (
	"time"

	"sloequay/internal/membership"
)

// Effect is something for the caller to do.
type Effect interface{ isEffect() }

// Send sends a message to a peer. The message may be lost.
type Send struct {
	To      string
	Message Message
}

// SetPolling starts or stops polling the list service.
type SetPolling struct{ On bool }

// Adopt puts a list of peers in force. With Hint it adds endpoints and removes none.
type Adopt struct {
	List      int
	Version   uint64
	Endpoints []membership.Endpoint
	Hint      bool
}

// SourceStatus reports that the service became silent, as seen through peers, or is back.
type SourceStatus struct {
	List   int
	Silent bool
}

// LogEntry is a line for the event log.
type LogEntry struct {
	Event Event
	Peer  string // empty: of no peer
	List  int    // noList: of no list
}

// noList is the List of an entry that is about the proxy.
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
	PollingStopped                      // it stops, and follows its peers
	IsolatedPollingStarted              // it starts to poll since it receives from no poller
	ListAccepted                        // a list with a quorum of peers is in force
	HintUsed                            // a list that one peer alone advertises is used, as nothing else is known
	PeerRefuted                         // the service contradicts a peer, whose messages are dropped for DistrustPeriod
	ChecksumMismatch                    // content does not have the checksum its sender advertised
	eventCount                          // number of events
)

// String returns the event's value in the log.
func (e Event) String() string {
	return [eventCount]string{"asks", "listens", "alone", "believed", "hinted", "refuted", "spoilt"}[e]
}

func (m *Machine) addEffect(e Effect) { m.effects = append(m.effects, e) }

// takeEffects returns what has gathered since the last call.
func (m *Machine) takeEffects() []Effect {
	effects := m.effects
	m.effects = nil
	return effects
}

// send sends a message in this proxy's name.
func (m *Machine) send(to string, message Message) {
	message.From = m.config.Name
	message.Incarnation = m.config.Incarnation
	m.addEffect(Send{To: to, Message: message})
}

// log adds a line about a list and a peer.
func (m *Machine) log(event Event, list int, peer string) {
	m.addEffect(LogEntry{Event: event, Peer: peer, List: list})
}

// rateLimiter counts events over windows of ServeWindow. The zero value is ready for use.
type rateLimiter struct {
	windowStart time.Duration
	count       int
}

// allow counts an event and reports whether it is within the limit.
func (r *rateLimiter) allow(now time.Duration, limit int) bool {
	if now-r.windowStart >= ServeWindow {
		r.windowStart = now
		r.count = 0
	}
	r.count++
	return r.count <= limit
}
