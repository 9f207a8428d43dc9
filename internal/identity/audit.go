package identity

import (
	"container/list"
	"time"
)

// Audit says which decisions get a line, so that a flood of one subject can't hide another's: each subject has a line a
// second and the count of those that had none. Subjects are bounded; the one that was quiet longest makes way. It is not
// safe for concurrent use.
type Audit struct {
	most   int
	held   map[string]*list.Element
	recent *list.List // of *audited, the newest first
}

type audited struct {
	subject string
	told    time.Duration
	missed  int
}

// auditEvery is how often a subject gets a line.
const auditEvery = time.Second

// NewAudit makes one for at most so many subjects.
func NewAudit(most int) *Audit {
	return &Audit{most: most, held: map[string]*list.Element{}, recent: list.New()}
}

// ShouldLog says whether a decision about a subject gets a line now, and how many of it had none since its last.
func (a *Audit) ShouldLog(now time.Duration, subject string) (missed int, ok bool) {
	e := a.held[subject]
	if e == nil {
		a.held[subject] = a.recent.PushFront(&audited{subject: subject, told: now})
		if a.recent.Len() > a.most {
			delete(a.held, a.recent.Remove(a.recent.Back()).(*audited).subject)
		}
		return 0, true
	}
	a.recent.MoveToFront(e)
	s := e.Value.(*audited)
	if now-s.told < auditEvery {
		s.missed++
		return 0, false
	}
	missed, s.missed, s.told = s.missed, 0, now
	return missed, true
}
