package identity

import "time"

// newBucketTokens is the maximum initial level, so that a client does not gain a full burst by reconnecting.
const newBucketTokens = 32

// tokenBucket is a rate limiter with a burst of one second's tokens, but at least one token.
type tokenBucket struct {
	tokens  float64
	updated time.Duration // 0: never
}

// take takes one token. If there is none, it returns how long to wait for one and false.
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
