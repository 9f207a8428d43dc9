package peer

// replayWindowSize is how many numbers, up to the latest one, may still arrive: messages overtake each other.
const replayWindowSize = 64

// replayWindow accepts each number once, in the manner of RFC 4303, section 3.4.3. The zero value has accepted none.
type replayWindow struct {
	latest   uint64
	accepted uint64 // bit i: latest-i was accepted
}

// accept reports whether a number is new, and remembers it. Numbers that the window has passed count as replays.
func (w *replayWindow) accept(number uint64) bool {
	if number == 0 {
		return false
	}
	if number > w.latest {
		w.accepted = w.accepted<<(number-w.latest) | 1 // a shift by 64 and more leaves no bit
		w.latest = number
		return true
	}
	age := w.latest - number
	if age >= replayWindowSize || w.accepted>>age&1 == 1 {
		return false
	}
	w.accepted |= 1 << age
	return true
}
