package identity

import "time"

// newBucketTokens is the initial level: a client must not gain a burst by reconnecting.
const newBucketTokens = 32

// tokenBucket is a rate limit with a burst of one second's tokens, and one token at least.
type tokenBucket struct {
	tokens  float64
	updated time.Duration // 0: never
}

// take takes one token, or returns how long to wait until there is one.
func (b *tokenBucket) take(now time.Duration, perSecond float64) (wait time.Duration, ok bool) {
	if b.updated == 0 {
		b.tokens = min(perSecond, newBucketTokens)
	} else {
		b.tokens = min(max(1, perSecond), b.tokens+max(0, now-b.updated).Seconds()*perSecond)
	}
	b.updated = max(now, 1)
	if b.tokens < 1 {
		return time.Duration((1-b.tokens)/perSecond*float64(time.Second)) + time.Millisecond, false
	}
	b.tokens--
	return 0, true
}
