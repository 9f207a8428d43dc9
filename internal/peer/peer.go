// Package peer maintains a proxy's view of the other proxies of its fleet. The view has the public key that verifies
// the messages of a member's incarnation, and detects replays. The package does no I/O and reads no clock; package
// peer/transport reports the membership changes that its library finds, and checks each message against the view.
//
// A member has a name, an incarnation that is drawn at random at each start, and the public key of that incarnation.
// While the incarnation is in the view, its key is pinned to the name: another key for it is a conflict and changes
// nothing. Another incarnation replaces the previous one, as after a restart. The membership library decides which of
// two incarnations is the later one, by a counter of its own; clocks are not compared, since a clock may be set back
// between two starts.
//
// Invariants:
//   - a member has one incarnation and one key at a time;
//   - no message number of an incarnation is accepted twice while the incarnation is in the view.
//
// Bounds: NewView sets the maximum number of members, and the state of a member is bounded by its replay window.
package peer

import (
	"cmp"
	"slices"
)

// Member is another proxy of the fleet.
type Member struct {
	Name, Zone, ProgramVersion string
	Incarnation                uint64
	Key                        string // public key of the incarnation's signatures
}

// Verdict is the result of observing a member.
type Verdict uint8

// Verdicts of View.Observe.
const (
	Unchanged  Verdict = iota // known already; at most its zone and program version have changed
	Joined                    // a new member
	Restarted                 // another incarnation of a known member
	Conflict                  // another key for a known incarnation; the view is unchanged
	NoCapacity                // a new member beyond the maximum; the view is unchanged
)

// String returns the verdict as it is written to the log.
func (v Verdict) String() string {
	return [...]string{"known", "joined", "restarted", "conflict", "full"}[v]
}

// View holds the other members of the fleet. It is not safe for concurrent use.
type View struct {
	self       string
	maxMembers int
	members    map[string]*memberState
}

type memberState struct {
	Member
	replay replayWindow
}

// NewView returns an empty view for the proxy named self, with room for maxMembers other members.
func NewView(self string, maxMembers int) *View {
	return &View{self: self, maxMembers: maxMembers, members: map[string]*memberState{}}
}

// Observe adds or updates a member that is alive. It ignores this proxy itself and members without a name.
func (v *View) Observe(observed Member) Verdict {
	if observed.Name == v.self || observed.Name == "" {
		return Unchanged
	}
	known := v.members[observed.Name]
	switch {
	case known == nil && len(v.members) >= v.maxMembers:
		return NoCapacity
	case known == nil:
		v.members[observed.Name] = &memberState{Member: observed}
		return Joined
	case observed.Incarnation != known.Incarnation:
		v.members[observed.Name] = &memberState{Member: observed}
		return Restarted
	case observed.Key != known.Key:
		return Conflict
	}
	known.Zone = observed.Zone
	known.ProgramVersion = observed.ProgramVersion
	return Unchanged
}

// Remove removes a member and reports whether it did. If the member is in the view with another incarnation, such as
// a later one, it stays.
func (v *View) Remove(name string, incarnation uint64) bool {
	if v.find(name, incarnation) == nil {
		return false
	}
	delete(v.members, name)
	return true
}

// Key returns the public key that verifies signatures of a member's incarnation, and whether that incarnation is in
// the view.
func (v *View) Key(name string, incarnation uint64) (string, bool) {
	known := v.find(name, incarnation)
	if known == nil {
		return "", false
	}
	return known.Key, true
}

// AcceptMessage reports whether a message is new, and records its number. The caller must have verified its
// signature. Numbers start at 1.
func (v *View) AcceptMessage(name string, incarnation, number uint64) bool {
	known := v.find(name, incarnation)
	return known != nil && known.replay.accept(number)
}

// Members returns all members, sorted by name.
func (v *View) Members() []Member {
	members := make([]Member, 0, len(v.members))
	for _, known := range v.members {
		members = append(members, known.Member)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

// find returns the member if it is in the view with this incarnation, and nil otherwise.
func (v *View) find(name string, incarnation uint64) *memberState {
	known := v.members[name]
	if known == nil || known.Incarnation != incarnation {
		return nil
	}
	return known
}
