package peer

// replayWindowSize is how many message numbers, up to and including the latest one, are tracked: messages may arrive
// out of order.
const replayWindowSize = 64

// replayWindow accepts each number once, like the anti-replay window of RFC 4303, section 3.4.3. The zero value has
// accepted none.
type replayWindow struct {
	latest   uint64
	accepted uint64 // bit i is set if latest-i was accepted
}

// accept reports whether a number is new, and records it. Numbers older than the window count as replays.
func (w *replayWindow) accept(number uint64) bool {
	if number == 0 {
		return false
	}
	if number > w.latest {
		w.accepted = w.accepted<<(number-w.latest) | 1 // a shift by 64 or more clears all bits
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
