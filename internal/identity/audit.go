package identity

import (
	"container/list"
	"time"
)

// auditInterval is the minimum time between two log lines of a subject.
const auditInterval = time.Second

// AuditLimiter decides which decisions are logged, so that a flood from one subject does not hide the decisions about
// another: each subject gets one line a second, with the number of decisions that were omitted. The number of subjects
// is bounded; the least recently seen one is evicted. It is not safe for concurrent use.
type AuditLimiter struct {
	maxSubjects int
	bySubject   map[string]*list.Element
	recent      *list.List // of *auditedSubject, most recently seen first
}

type auditedSubject struct {
	subject  string
	loggedAt time.Duration
	omitted  int // decisions since then that were not logged
}

// NewAuditLimiter returns a limiter for at most maxSubjects subjects.
func NewAuditLimiter(maxSubjects int) *AuditLimiter {
	return &AuditLimiter{maxSubjects: maxSubjects, bySubject: map[string]*list.Element{}, recent: list.New()}
}

// ShouldLog reports whether to log a decision about a subject now, and how many decisions about it were omitted since
// the last one that was logged.
func (a *AuditLimiter) ShouldLog(now time.Duration, subject string) (omitted int, ok bool) {
	element := a.bySubject[subject]
	if element == nil {
		a.add(now, subject)
		return 0, true
	}
	a.recent.MoveToFront(element)
	audited := element.Value.(*auditedSubject)
	if now-audited.loggedAt < auditInterval {
		audited.omitted++
		return 0, false
	}
	omitted = audited.omitted
	audited.omitted = 0
	audited.loggedAt = now
	return omitted, true
}

// add adds a subject whose first line is logged now.
func (a *AuditLimiter) add(now time.Duration, subject string) {
	a.bySubject[subject] = a.recent.PushFront(&auditedSubject{subject: subject, loggedAt: now})
	if a.recent.Len() > a.maxSubjects {
		evicted := a.recent.Remove(a.recent.Back()).(*auditedSubject)
		delete(a.bySubject, evicted.subject)
	}
}
