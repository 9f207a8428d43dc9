package peer

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestViewAgainstModel holds a view against the plainest model: maps of lives, and a set of all numbers ever accepted.
func TestViewAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const most = 4
		v := NewView("me", most)
		lives := map[string]Member{}
		heard, latest := map[string]bool{}, map[string]uint64{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			name := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "me", ""}).Draw(t, "name")
			epoch := rapid.Uint64Range(1, 3).Draw(t, "epoch")
			life := fmt.Sprint(name, " ", epoch)
			old, there := lives[name]
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				m := Member{Name: name, Incarnation: epoch, Key: rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key")}
				want := Joined
				switch {
				case name == "me" || name == "":
					want = Unchanged
				case !there && len(lives) >= most:
					want = NoCapacity
				case there && epoch != old.Incarnation:
					want = Restarted
				case there && m.Key != old.Key:
					want = Conflict
				case there:
					want = Unchanged
				}
				if got := v.Observe(m); got != want {
					t.Fatalf("%+v beside %+v: %v, want %v", m, old, got, want)
				}
				if want == Joined || want == Restarted {
					lives[name] = m
					for n := range uint64(300) {
						delete(heard, fmt.Sprint(life, " ", n))
					}
					delete(latest, life)
				}
			case 1:
				want := there && epoch == old.Incarnation
				if got := v.Remove(name, epoch); got != want {
					t.Fatalf("end of %s beside %+v: %v, want %v", life, old, got, want)
				}
				if want {
					delete(lives, name)
				}
			default:
				number := rapid.Uint64Range(0, 200).Draw(t, "number")
				id := fmt.Sprint(life, " ", number)
				want := there && old.Incarnation == epoch && number > 0 && !heard[id] && number+window > latest[life]
				if got := v.AcceptMessage(name, epoch, number); got != want {
					t.Fatalf("number %d of %s, latest %d: %v, want %v", number, life, latest[life], got, want)
				}
				if want {
					heard[id], latest[life] = true, max(latest[life], number)
				}
				if key, ok := v.Key(name, epoch); ok != (there && old.Incarnation == epoch) || ok && key != old.Key {
					t.Fatalf("key of %s: %q %v", life, key, ok)
				}
			}
			if len(v.Members()) != len(lives) {
				t.Fatalf("%d members, want %d", len(v.Members()), len(lives))
			}
		}
	})
}
