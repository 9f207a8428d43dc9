// Package contract holds what each team has agreed to: the classes it may use, its rate of requests, how many it may
// have open, and a budget that every attempt is charged to. It is the block `contracts` of the settings.
package contract

import (
	"fmt"
	"slices"
	"time"

	"sloequay/conf"
)

// Book is all contracts. A nil Book allows everything.
type Book struct {
	teams map[string]*Account
	other *Account // of teams that are not named; nil: they are refused
}

// Account is one team's contract and what it has used of it. A nil Account has no limits.
type Account struct {
	classes []string // empty: all
	open    int      // in use
	most    int      // 0: no limit
	rate    bucket
	budget  bucket
}

// bucket is a token bucket; perSecond 0 means no limit.
type bucket struct {
	perSecond, burst, tokens float64
	at                       time.Duration
}

// refusedWait is told where no time makes a further try succeed.
const refusedWait = time.Second

// openWait is told where too many are open: one may end any time.
const openWait = 100 * time.Millisecond

// Section gives the directives of the block `contracts`, and Book what they say once it was read.
func Section() (*conf.Section, *Book) {
	b := &Book{teams: map[string]*Account{}}
	s := &conf.Section{}
	s.Block("team", true, "what one team has agreed to", func(words []string) (*conf.Section, error) {
		if len(words) != 1 {
			return nil, fmt.Errorf("expected the team's name, got %d words", len(words))
		}
		if b.teams[words[0]] != nil {
			return nil, fmt.Errorf("the team %s is named twice", words[0])
		}
		b.teams[words[0]] = &Account{}
		return b.teams[words[0]].section(), nil
	})
	s.Block("others", false, "what all teams have that are not named; without it they are refused",
		func(words []string) (*conf.Section, error) {
			b.other = &Account{}
			return b.other.section(), nil
		})
	return s, b
}

func (a *Account) section() *conf.Section {
	var requests, attempts, burst, attemptsBurst float64
	s := &conf.Section{}
	s.Words("class", &a.classes, nil, "classes that it may use; all without it")
	s.Int("open", &a.most, 0, 1<<30, "requests open together; 0: no limit")
	s.Rate("requests", &requests, 0, 1e9, "requests a second; no limit without it")
	s.Number("burst", &burst, 0, 1e9, "requests at once; a second's worth without it")
	s.Rate("attempts", &attempts, 0, 1e9, "attempts a second; no limit without it")
	s.Number("attempts-burst", &attemptsBurst, 0, 1e9, "attempts at once; a second's worth without it")
	s.Check(func() error {
		a.rate, a.budget = newBucket(requests, burst), newBucket(attempts, attemptsBurst)
		return nil
	})
	return s
}

// newBucket is full; without a burst it holds one second's worth, and always room for one.
func newBucket(perSecond, burst float64) bucket {
	if burst == 0 {
		burst = perSecond
	}
	burst = max(1, burst)
	return bucket{perSecond: perSecond, burst: burst, tokens: burst}
}

// take uses one token, or says how long it takes until there is one.
func (k *bucket) take(now time.Duration) (time.Duration, bool) {
	if k.perSecond == 0 {
		return 0, true
	}
	if k.at > 0 {
		k.tokens = min(k.burst, k.tokens+max(0, now-k.at).Seconds()*k.perSecond)
	}
	k.at = now
	if k.tokens < 1 {
		return time.Duration((1-k.tokens)/k.perSecond*float64(time.Second)) + time.Millisecond, false
	}
	k.tokens--
	return 0, true
}

// Renew takes over what another book says. Teams that stay keep what they have used, and requests that were admitted
// keep their accounts, so that each gives its place back where it took it.
func (b *Book) Renew(next *Book) {
	for team, a := range next.teams {
		next.teams[team] = b.teams[team].renewed(a)
	}
	if next.other != nil {
		next.other = b.other.renewed(next.other)
	}
	*b = *next
}

func (a *Account) renewed(next *Account) *Account {
	if a == nil {
		return next
	}
	a.classes, a.most = next.classes, next.most
	a.rate.renew(next.rate)
	a.budget.renew(next.budget)
	return a
}

func (k *bucket) renew(next bucket) {
	next.tokens, next.at = min(k.tokens, next.burst), k.at
	if k.perSecond == 0 {
		next.tokens = next.burst
	}
	*k = next
}

// Admit takes a request of a team in on its account, or says how long it should stay away. What is admitted must be
// Done.
func (b *Book) Admit(team, class string, now time.Duration) (*Account, time.Duration, bool) {
	if b == nil {
		return nil, 0, true
	}
	a := b.teams[team]
	if a == nil {
		a = b.other
	}
	switch {
	case a == nil, len(a.classes) > 0 && !slices.Contains(a.classes, class):
		return nil, refusedWait, false
	case a.most > 0 && a.open >= a.most:
		return nil, openWait, false
	}
	wait, ok := a.rate.take(now)
	if ok {
		a.open++
	}
	return a, wait, ok
}

// Spend charges one attempt to the budget.
func (a *Account) Spend(now time.Duration) (time.Duration, bool) {
	if a == nil {
		return 0, true
	}
	return a.budget.take(now)
}

// Done gives back the place of a request that was admitted.
func (a *Account) Done() {
	if a != nil {
		a.open--
	}
}
