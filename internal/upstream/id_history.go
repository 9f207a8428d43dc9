package upstream

import "time"

const (
	// canceledIDLifetime is how long the id of a canceled attempt is remembered, so that its late response is dropped.
	canceledIDLifetime = 10 * time.Second
	// answeredIDLifetime is how long a response is remembered, to recognize a duplicate. Duplicates arrive some
	// milliseconds apart.
	answeredIDLifetime = time.Second
)

// idHistory remembers the ids under which a connection may still receive a response that does not belong to the next
// attempt with the same id.
//
// Invariant: an id is remembered for at least its lifetime, until the first call of expire after that.
// Bounds: one entry for each id that was canceled or answered within its lifetime.
type idHistory struct {
	entries map[string]idEntry
}

type idEntry struct {
	at     time.Duration
	digest string // response.digest; empty: the attempt was canceled
}

func newIDHistory() idHistory { return idHistory{entries: map[string]idEntry{}} }

// addCanceled records that the attempt with an id was canceled.
func (h *idHistory) addCanceled(now time.Duration, id string) { h.entries[id] = idEntry{at: now} }

// addAnswered records a response after which the id may be used again.
func (h *idHistory) addAnswered(now time.Duration, id, digest string) {
	h.entries[id] = idEntry{at: now, digest: digest}
}

// contains reports whether an id is remembered.
func (h *idHistory) contains(id string) bool {
	_, ok := h.entries[id]
	return ok
}

// isRepeated reports whether the remembered response under an id has the same digest.
func (h *idHistory) isRepeated(id, digest string) bool { return h.entries[id].digest == digest }

// isAmbiguous reports whether a late response under an id could be taken for the response to a new attempt. A duplicate
// of a remembered response is recognized by its digest, but that helps only if the endpoint can confirm the end of the
// attempt (canConfirm, see connection.confirmRepeated).
func (h *idHistory) isAmbiguous(id string, canConfirm bool) bool {
	entry, ok := h.entries[id]
	return ok && (entry.digest == "" || !canConfirm)
}

// expire drops the entries that are older than their lifetimes.
func (h *idHistory) expire(now time.Duration) {
	for id, entry := range h.entries {
		lifetime := canceledIDLifetime
		if entry.digest != "" {
			lifetime = answeredIDLifetime
		}
		if now-entry.at > lifetime {
			delete(h.entries, id)
		}
	}
}
