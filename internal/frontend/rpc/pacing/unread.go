package pacing

// UnreadAnswers counts the answers without a body that a client has not read, to decide whether it ignores them. Bodies
// are bounded by the memory that is admitted for them; errors and the like need no admission.
//
// A client that keeps the protocol has a limited number of requests open, as it sees it. An answer that it has not read
// belongs to one of these, or to a request that it has canceled since. So it may leave more answers unread only by
// canceling as many requests.
//
// Offsets are positions among all bytes sent on the connection.
type UnreadAnswers struct {
	Max      int // answers that may be unread to requests that were not canceled
	MaxInAll int // answers that may be unread

	count    int
	canceled int
	since    uint64 // the offset from which they are counted
}

// Count returns the number of unread answers.
func (u *UnreadAnswers) Count() int { return u.count }

// AnswerQueued counts an answer that is queued at an offset, while the client has taken all bytes up to taken. The
// count begins again once the client has taken what was queued when it began.
func (u *UnreadAnswers) AnswerQueued(queued, taken uint64) {
	if taken >= u.since {
		u.count = 0
		u.canceled = 0
		u.since = queued + 1
	}
	u.count++
}

// RequestCanceled counts a request that the client has canceled.
func (u *UnreadAnswers) RequestCanceled() { u.canceled++ }

// AreIgnored reports whether a client that has taken all bytes up to taken goes on sending without reading its answers.
func (u *UnreadAnswers) AreIgnored(taken uint64) bool {
	if taken >= u.since {
		return false
	}
	return u.count-u.canceled > u.Max || u.count > u.MaxInAll
}
