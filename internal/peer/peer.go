// Package peer is the view of the other proxies of a fleet, and checks who a message is from: which member, which of
// its incarnations, by which key, and whether it is a replay. It does no I/O and reads no clock; package
// peer/transport reports what its membership library finds, and passes each message through the view.
//
// A member is a name with an incarnation, drawn at random with each start, and the public key of that incarnation.
// The key is pinned to the name while the incarnation is in the view: another key for it is a conflict and changes
// nothing. Another incarnation replaces the one before, as after a restart. Which of two is the later one is left
// to the membership library, which counts on its own; no clock decides, since one may be set back between two
// starts.
//
// Invariants:
//   - a member has one incarnation and one key at a time;
//   - no message number of an incarnation is accepted twice while it is in the view.
//
// Bounds: the members by the maximum given to NewView, and the state of a member by its replay window.
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

// Verdict is what an observation of a member changed.
type Verdict uint8

// The verdicts.
const (
	Unchanged  Verdict = iota // at most the zone and the program are new
	Joined                    // a new member
	Restarted                 // another incarnation of a member
	Conflict                  // another key for an incarnation; the view stays as it is
	NoCapacity                // a new member beyond the maximum; the view stays as it is
)

// String returns the verdict's value in the log.
func (v Verdict) String() string {
	return [...]string{"known", "joined", "restarted", "conflict", "full"}[v]
}

// View is the other members of the fleet. It is not safe for concurrent use.
type View struct {
	self       string
	maxMembers int
	members    map[string]*memberState
}

type memberState struct {
	Member
	replay replayWindow
}

// NewView returns an empty view for the proxy of this name.
func NewView(self string, maxMembers int) *View {
	return &View{self: self, maxMembers: maxMembers, members: map[string]*memberState{}}
}

// Observe takes a member that is alive. It ignores this proxy itself and members without a name.
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

// Remove drops a member if it has this incarnation, and reports whether it did. A later incarnation stays.
func (v *View) Remove(name string, incarnation uint64) bool {
	if v.find(name, incarnation) == nil {
		return false
	}
	delete(v.members, name)
	return true
}

// Key returns the key for the signatures of a member's incarnation, if that is in the view.
func (v *View) Key(name string, incarnation uint64) (string, bool) {
	known := v.find(name, incarnation)
	if known == nil {
		return "", false
	}
	return known.Key, true
}

// AcceptMessage reports whether a message with a valid signature is new, and remembers its number. Numbers start at
// 1.
func (v *View) AcceptMessage(name string, incarnation, number uint64) bool {
	known := v.find(name, incarnation)
	return known != nil && known.replay.accept(number)
}

// Members returns all, by name.
func (v *View) Members() []Member {
	members := make([]Member, 0, len(v.members))
	for _, known := range v.members {
		members = append(members, known.Member)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

// find returns a member if it has this incarnation.
func (v *View) find(name string, incarnation uint64) *memberState {
	known := v.members[name]
	if known == nil || known.Incarnation != incarnation {
		return nil
	}
	return known
}
