package identity

import (
	"container/list"
	"time"
)

// verifiedToken is a token whose signature holds.
type verifiedToken struct {
	hash     tokenHash
	claims   Claims
	key      *Key // whose signature it is
	wasValid bool // it was found valid at some time
	element  *list.Element
}

// tokenCache remembers verified tokens.
//
// Invariant: it has at most maxTokens; the one that was met longest ago makes way.
type tokenCache struct {
	maxTokens int
	byHash    map[tokenHash]*verifiedToken
	recent    *list.List // of *verifiedToken, the last met first
}

func newTokenCache(maxTokens int) *tokenCache {
	return &tokenCache{maxTokens: maxTokens, byHash: map[tokenHash]*verifiedToken{}, recent: list.New()}
}

// get returns a token; nil: it is not remembered.
func (c *tokenCache) get(hash tokenHash) *verifiedToken { return c.byHash[hash] }

// touch makes a remembered token the one that was met last.
func (c *tokenCache) touch(token *verifiedToken) { c.recent.MoveToFront(token.element) }

// add remembers a token, unless it is remembered already.
func (c *tokenCache) add(token *verifiedToken) {
	if c.byHash[token.hash] != nil {
		return
	}
	token.element = c.recent.PushFront(token)
	c.byHash[token.hash] = token
	for len(c.byHash) > c.maxTokens {
		c.remove(c.recent.Back().Value.(*verifiedToken))
	}
}

// remove forgets a remembered token.
func (c *tokenCache) remove(token *verifiedToken) {
	delete(c.byHash, token.hash)
	c.recent.Remove(token.element)
}

// expire looks at the tokens that were met longest ago, at most maxLooks of them, and forgets those that had ended by
// a time on the Unix clock.
func (c *tokenCache) expire(endedBy time.Duration, maxLooks int) {
	element := c.recent.Back()
	for ; element != nil && maxLooks > 0; maxLooks-- {
		before := element.Prev()
		if token := element.Value.(*verifiedToken); endedBy >= token.claims.Expires {
			c.remove(token)
		}
		element = before
	}
}
