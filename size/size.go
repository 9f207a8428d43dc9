// Package size says by which size a request is let in where room is short. Judged by its own alone a large request is let in only where all
// is quiet: in a jam, the same one is turned away as often as it comes (of the largest tenth of a class 0.31 were answered where of all 0.91
// were, at half as much again as the caches could send). It has no state, no I/O and no clock.
//
// Invariant: whatever bound on sizes holds just now, requests of any size are let in at least Share times as often as their class is by its
// own sizes. So where at least half of a class are let in by theirs, the largest are half as often as all, retries aside.
package size

// Share of the requests are judged by the size of the last one of their class, where that is smaller: a sample of what their class is judged
// by. Two thirds are owed to the largest on quiet days, half on others.
const Share = 2.0 / 3

// Judged is the size by which a request is let in, of its own and of its class's last one, by lot of evenly spread bits.
func Judged(own, last float64, bits uint64) float64 {
	if Lot(bits<<11) < Share { // by other bits than Lot itself
		return min(own, last)
	}
	return own
}

// Lot makes a lot from 0 up to 1 of evenly spread bits.
func Lot(bits uint64) float64 { return float64(bits>>11) / (1 << 53) }
