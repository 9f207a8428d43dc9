// Package peer is which other doormans there are, and what a word of one is worth: who it is, which of its lives it speaks for,
// with which key it signs, and whether the word was heard before. It does no I/O and asks no clock; peer/link tells it what a
// library for membership finds, and asks it about each message.
//
// A member is a name with an epoch, which is another one by lot with each start, and the public key of that life. A key is pinned
// to a name for as long as that life is in the view: another key under the same epoch is a conflict and changes nothing. Another
// epoch takes the place of the one before, as a restart does: which is the later one the library knows, by incarnations of its own,
// and no clock is asked, since one may be set back between two lives.
//
// Words are numbered; one that was heard before, or is far behind, is not heard again (the window of RFC 4303, section 3.4.3).
//
// Invariants: members are at most Most; one member has one key; no number of a life is accepted twice.
package peer

import (
	"cmp"
	"slices"
)

// Member is one doorman of the fleet.
type Member struct {
	Name, Zone, Program string
	Incarnation         uint64
	Key                 string // of the signatures of this life
}

// Verdict is what became of a word on who there is.
type Verdict uint8

// The verdicts.
const (
	Unchanged  Verdict = iota // nothing is new
	Joined                    // it was not there
	Restarted                 // another life of one that was
	Conflict                  // it contradicts what is pinned, and changes nothing
	NoCapacity                // there is no place for it
)

// String gives the word of the log.
func (v Verdict) String() string {
	return [...]string{"known", "joined", "restarted", "conflict", "full"}[v]
}

// window is how many numbers behind the latest one a word may be.
const window = 64

type state struct {
	Member
	latest uint64
	seen   uint64 // bit i: latest-i was heard
}

// View is the members.
type View struct {
	most    int
	self    string
	members map[string]*state
}

// NewView makes an empty view of at most so many others.
func NewView(self string, most int) *View {
	return &View{most: most, self: self, members: map[string]*state{}}
}

// Observe takes a word that a member lives.
func (v *View) Observe(m Member) Verdict {
	if m.Name == v.self || m.Name == "" {
		return Unchanged
	}
	s := v.members[m.Name]
	switch {
	case s == nil && len(v.members) >= v.most:
		return NoCapacity
	case s == nil:
		v.members[m.Name] = &state{Member: m}
		return Joined
	case m.Incarnation == s.Incarnation && m.Key != s.Key:
		return Conflict
	case m.Incarnation == s.Incarnation:
		s.Zone, s.Program = m.Zone, m.Program
		return Unchanged
	}
	v.members[m.Name] = &state{Member: m}
	return Restarted
}

// Remove takes a word that a life of a member is gone, and says whether it was there. One life's end says nothing of another.
func (v *View) Remove(name string, epoch uint64) bool {
	s := v.members[name]
	if s == nil || epoch != s.Incarnation {
		return false
	}
	delete(v.members, name)
	return true
}

// Key gives the key by which a member's words of a life are to be signed.
func (v *View) Key(name string, epoch uint64) (string, bool) {
	s := v.members[name]
	if s == nil || s.Incarnation != epoch {
		return "", false
	}
	return s.Key, true
}

// AcceptMessage says whether a member's word with a number, whose signature is right, is heard for the first time.
func (v *View) AcceptMessage(name string, epoch, number uint64) bool {
	s := v.members[name]
	if s == nil || s.Incarnation != epoch || number == 0 {
		return false
	}
	if number > s.latest {
		shift := number - s.latest
		if s.seen <<= shift; shift >= window {
			s.seen = 0
		}
		s.latest, s.seen = number, s.seen|1
		return true
	}
	behind := s.latest - number
	if behind >= window || s.seen>>behind&1 == 1 {
		return false
	}
	s.seen |= 1 << behind
	return true
}

// Members gives all, by name.
func (v *View) Members() []Member {
	out := make([]Member, 0, len(v.members))
	for _, s := range v.members {
		out = append(out, s.Member)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
