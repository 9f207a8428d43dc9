package identity

import (
	"container/list"
	"time"
)

// verifiedToken is a token whose signature was verified.
type verifiedToken struct {
	hash     tokenHash
	claims   Claims
	key      *Key // that verified the signature
	wasValid bool // the policy has found it valid at some time
	element  *list.Element
}

// tokenCache is an LRU cache of verified tokens.
//
// Invariant: there are at most maxTokens tokens; the least recently used one is evicted.
type tokenCache struct {
	maxTokens int
	byHash    map[tokenHash]*verifiedToken
	recent    *list.List // of *verifiedToken, most recently used first
}

func newTokenCache(maxTokens int) *tokenCache {
	return &tokenCache{maxTokens: maxTokens, byHash: map[tokenHash]*verifiedToken{}, recent: list.New()}
}

// get returns a token, or nil if it is not cached.
func (c *tokenCache) get(hash tokenHash) *verifiedToken { return c.byHash[hash] }

// touch makes a cached token the most recently used one.
func (c *tokenCache) touch(token *verifiedToken) { c.recent.MoveToFront(token.element) }

// add caches a token, unless it is cached already.
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

// remove removes a cached token.
func (c *tokenCache) remove(token *verifiedToken) {
	delete(c.byHash, token.hash)
	c.recent.Remove(token.element)
}

// expire examines the maxExamined least recently used tokens and removes those that had expired by a Unix time.
func (c *tokenCache) expire(expiredBy time.Duration, maxExamined int) {
	element := c.recent.Back()
	for ; element != nil && maxExamined > 0; maxExamined-- {
		previous := element.Prev()
		if token := element.Value.(*verifiedToken); expiredBy >= token.claims.Expires {
			c.remove(token)
		}
		element = previous
	}
}
