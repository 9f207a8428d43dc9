package peer

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// viewModel is a reference implementation of a view: a map of members and a set of all accepted message numbers.
type viewModel struct {
	maxMembers int
	members    map[string]Member
	accepted   map[string]bool   // by messageID
	latest     map[string]uint64 // highest accepted number, by incarnationID
}

func incarnationID(name string, incarnation uint64) string { return fmt.Sprint(name, " ", incarnation) }

func messageID(name string, incarnation, number uint64) string {
	return fmt.Sprint(name, " ", incarnation, " ", number)
}

// observe adds or updates a member and returns the expected verdict. A new incarnation starts with no numbers accepted.
func (m *viewModel) observe(observed Member, maxNumber uint64) Verdict {
	known, isKnown := m.members[observed.Name]
	verdict := Joined
	switch {
	case observed.Name == "self" || observed.Name == "":
		return Unchanged
	case !isKnown && len(m.members) >= m.maxMembers:
		return NoCapacity
	case isKnown && observed.Incarnation != known.Incarnation:
		verdict = Restarted
	case isKnown && observed.Key != known.Key:
		return Conflict
	case isKnown:
		return Unchanged
	}
	m.members[observed.Name] = observed
	for number := range maxNumber + 1 {
		delete(m.accepted, messageID(observed.Name, observed.Incarnation, number))
	}
	delete(m.latest, incarnationID(observed.Name, observed.Incarnation))
	return verdict
}

// has reports whether a member is known with this incarnation.
func (m *viewModel) has(name string, incarnation uint64) bool {
	known, isKnown := m.members[name]
	return isKnown && known.Incarnation == incarnation
}

// accept reports whether a number is new and recent enough, and records it.
func (m *viewModel) accept(name string, incarnation, number uint64) bool {
	message, sender := messageID(name, incarnation, number), incarnationID(name, incarnation)
	isRecent := number+replayWindowSize > m.latest[sender]
	if !m.has(name, incarnation) || number == 0 || m.accepted[message] || !isRecent {
		return false
	}
	m.accepted[message] = true
	m.latest[sender] = max(m.latest[sender], number)
	return true
}

// TestViewAgainstModel applies random operations to a view and to the model, and compares the two after every step.
func TestViewAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxMembers, maxNumber = 4, 200
		view := NewView("self", maxMembers)
		model := &viewModel{maxMembers, map[string]Member{}, map[string]bool{}, map[string]uint64{}}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			name := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "self", ""}).Draw(t, "name")
			incarnation := rapid.Uint64Range(1, 3).Draw(t, "incarnation")
			known := model.members[name]
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				key := rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key")
				observed := Member{Name: name, Incarnation: incarnation, Key: key}
				want := model.observe(observed, maxNumber)
				if got := view.Observe(observed); got != want {
					t.Fatalf("Observe(%+v) with %+v known: got %v, want %v", observed, known, got, want)
				}
			case 1:
				want := model.has(name, incarnation)
				if got := view.Remove(name, incarnation); got != want {
					t.Fatalf("Remove(%s, %d) with %+v known: got %v, want %v", name, incarnation, known, got, want)
				}
				if want {
					delete(model.members, name)
				}
			default:
				number := rapid.Uint64Range(0, maxNumber).Draw(t, "number")
				latest := model.latest[incarnationID(name, incarnation)]
				want := model.accept(name, incarnation, number)
				if got := view.AcceptMessage(name, incarnation, number); got != want {
					t.Fatalf("number %d from %s, incarnation %d, latest number %d: got accepted %v, want %v",
						number, name, incarnation, latest, got, want)
				}
				key, ok := view.Key(name, incarnation)
				if ok != model.has(name, incarnation) || ok && key != known.Key {
					t.Fatalf("Key(%s, %d): got %q, known %v, want the values of the model", name, incarnation, key, ok)
				}
			}
			if len(view.Members()) != len(model.members) {
				t.Fatalf("got %d members, want %d", len(view.Members()), len(model.members))
			}
		}
	})
}
