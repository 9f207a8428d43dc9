package upstream

import "time"

const (
	// canceledIDLifetime is how long the id of a canceled attempt is remembered, to drop its late response.
	canceledIDLifetime = 10 * time.Second
	// answeredIDLifetime is how long a response is remembered, to recognise its second copy. Copies come some
	// milliseconds apart.
	answeredIDLifetime = time.Second
)

// idHistory remembers ids under which a connection may still get a response that is not meant for the next attempt
// under the same id.
//
// Invariant: an id is remembered at least for its lifetime, and until expire is called after it.
// Bounds: one entry for each id that was canceled or answered within its lifetime.
type idHistory struct {
	entries map[string]idEntry
}

type idEntry struct {
	at     time.Duration
	digest string // of the response; empty: the attempt was canceled
}

func newIDHistory() idHistory { return idHistory{entries: map[string]idEntry{}} }

// canceled notes that the attempt under an id was given up.
func (h *idHistory) canceled(now time.Duration, id string) { h.entries[id] = idEntry{at: now} }

// answered notes a response after which the id may be used again.
func (h *idHistory) answered(now time.Duration, id, digest string) {
	h.entries[id] = idEntry{at: now, digest: digest}
}

// contains reports whether an id is remembered.
func (h *idHistory) contains(id string) bool {
	_, ok := h.entries[id]
	return ok
}

// isRepeated reports whether the last response under an id was the same.
func (h *idHistory) isRepeated(id, digest string) bool { return h.entries[id].digest == digest }

// isAmbiguous says whether a late response under an id could be taken for that of a new attempt. The second copy of a
// response is recognised, and of use only where the endpoint can be asked about it.
func (h *idHistory) isAmbiguous(id string, canConfirm bool) bool {
	entry, ok := h.entries[id]
	return ok && (entry.digest == "" || !canConfirm)
}

// expire forgets what is older than its lifetime.
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
