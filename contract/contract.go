// Package contract holds what each team has agreed to: the classes it may use, its rate of requests, how many it may
// have open, and a budget that every attempt is charged to. It is in the file that `serve --contracts` names.
package contract

import (
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/tidwall/gjson"
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

// Load reads the contracts of a file.
func Load(path string) (*Book, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("contracts: %w", err)
	}
	return Parse(text)
}

// Parse reads {"teams":{"NAME":{"classes":[...],"requests_per_s":N,"burst":N,"open":N,"attempts_per_s":N,
// "attempts_burst":N},...}}. The team "*" stands for all that are not named.
func Parse(text []byte) (*Book, error) {
	if !gjson.ValidBytes(text) {
		return nil, fmt.Errorf("contracts: not valid JSON")
	}
	teams := gjson.GetBytes(text, "teams")
	if !teams.IsObject() {
		return nil, fmt.Errorf("contracts: teams: expected an object")
	}
	b := &Book{teams: map[string]*Account{}}
	var err error
	teams.ForEach(func(name, c gjson.Result) bool {
		var a *Account
		if a, err = parseAccount("contracts: teams."+name.String(), c); err != nil {
			return false
		}
		if name.String() == "*" {
			b.other = a
		} else {
			b.teams[name.String()] = a
		}
		return true
	})
	return b, err
}

func parseAccount(where string, c gjson.Result) (*Account, error) {
	if !c.IsObject() {
		return nil, fmt.Errorf("%s: expected an object", where)
	}
	a := &Account{}
	numbers := map[string]float64{}
	var err error
	c.ForEach(func(k, v gjson.Result) bool {
		switch key := k.String(); key {
		case "classes":
			for _, class := range v.Array() {
				a.classes = append(a.classes, class.String())
			}
			if len(a.classes) == 0 {
				err = fmt.Errorf("%s.classes: expected a list of class names", where)
			}
		case "requests_per_s", "burst", "open", "attempts_per_s", "attempts_burst":
			if v.Type != gjson.Number || v.Num < 0 {
				err = fmt.Errorf("%s.%s: expected a number of 0 or more", where, key)
			}
			numbers[key] = v.Num
		default:
			err = fmt.Errorf("%s.%s: unknown key", where, key)
		}
		return err == nil
	})
	a.most = int(numbers["open"])
	a.rate = newBucket(numbers["requests_per_s"], numbers["burst"])
	a.budget = newBucket(numbers["attempts_per_s"], numbers["attempts_burst"])
	return a, err
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
