package membership

import (
	"fmt"
	"math"
	"time"
)

const (
	ms    = time.Millisecond
	start = 1_000_000 * time.Second
)

func testEndpoint(id string, state State) Endpoint {
	return Endpoint{ID: id, Address: "10.0.0." + id + ":1", Zone: 1, Weight: 4, State: state}
}

func upEndpoints(ids ...string) (endpoints []Endpoint) {
	for _, id := range ids {
		endpoints = append(endpoints, testEndpoint(id, Up))
	}
	return endpoints
}

func numberedIDs(n int) (ids []string) {
	for i := range n {
		ids = append(ids, fmt.Sprint(i))
	}
	return ids
}

// follower applies the changes of a table to a map of endpoints, as the proxy does, and logs a line for each change.
type follower struct {
	*Table
	published map[string]Endpoint
	log       []string
}

func newFollower(cfg Config) *follower {
	return &follower{Table: New(cfg), published: map[string]Endpoint{}}
}

// advance calls Step and applies all changes.
func (f *follower) advance(now time.Duration) {
	f.Step(now)
	for _, change := range f.TakeChanges(now, math.MaxInt) {
		endpoint := change.Endpoint
		f.log = append(f.log, fmt.Sprintf("%v %s %v by %d %v",
			change.Kind, endpoint.ID, endpoint.State, change.DecidedBy, change.Reason))
		if endpoint.State == Gone {
			delete(f.published, endpoint.ID)
		} else {
			f.published[endpoint.ID] = endpoint
		}
	}
}

// replace applies a complete list of source 0, and advances.
func (f *follower) replace(now time.Duration, endpoints ...Endpoint) {
	f.ReplaceList(now, 0, List{Endpoints: endpoints})
	f.advance(now)
}

func (f *follower) state(id string) State { return f.published[id].State }

func (f *follower) noteKinds() (kinds []NoteKind) {
	notes, _ := f.TakeNotes()
	for _, note := range notes {
		kinds = append(kinds, note.Kind)
	}
	return kinds
}
