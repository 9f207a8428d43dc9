// Package retry limits retries to a share of first attempts, so that a failing endpoint or a team that retries too
// often can't multiply load: each first attempt deposits a fraction of a token, each retry withdraws a token, and
// unused tokens decay.
//
// Invariants: the number of retries withdrawn within any time span is at most the sum of Share times the first attempts
// in the span, Floor times its length, and the tokens at its start. Those tokens are at most Share times the earlier
// first attempts, decayed over Window, plus, if there is a Floor, the larger of one and Floor times Window.
//
// Bounds: a Set holds at most the number of budgets given to NewSet. Each operation takes constant time. The package
// does no I/O; the caller passes the time.
package retry

import (
	"math"
	"time"
)

const defaultWindowSeconds = 1.0

// Config holds the settings of budgets. Its zero value allows every retry.
type Config struct {
	Share  float64       // allowed ratio of retries to first attempts; 0: retries are not limited
	Floor  float64       // retries per second allowed regardless of first attempts, for clients that send few requests
	Window time.Duration // time in which unused tokens decay to 1/e, about a third; 0: one second
}

func (c Config) windowSeconds() float64 {
	if c.Window > 0 {
		return c.Window.Seconds()
	}
	return defaultWindowSeconds
}

// Budget holds the tokens left for retries. Its zero value is ready to use.
type Budget struct {
	tokens    float64
	updatedAt time.Duration // 0: not used yet
}

// Deposit adds Share of a token for a first attempt.
func (b *Budget) Deposit(now time.Duration, config Config) {
	if config.Share > 0 {
		b.advance(now, config)
		b.tokens += config.Share
	}
}

// Available returns the number of tokens left now, or infinity if retries are not limited. A retry takes one token.
func (b *Budget) Available(now time.Duration, config Config) float64 {
	if config.Share <= 0 {
		return math.Inf(1)
	}
	b.advance(now, config)
	return b.tokens
}

// Withdraw takes the token of a retry. Available must have returned at least 1.
func (b *Budget) Withdraw() { b.tokens-- }

// advance updates the tokens to now: they decay, and the floor adds to them.
func (b *Budget) advance(now time.Duration, config Config) {
	if b.updatedAt == 0 {
		b.updatedAt = max(now, 1)
		if config.Floor > 0 {
			b.tokens = 1
		}
		return
	}
	elapsed := (now - b.updatedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	window := config.windowSeconds()
	decay := math.Exp(-elapsed / window)
	tokens := b.tokens*decay + config.Floor*window*(1-decay) // tokens added by the floor decay too
	if config.Floor > 0 && config.Floor*window < 1 {
		// The formula above approaches Floor*window, so a low floor would never reach one token.
		tokens = max(tokens, min(1, b.tokens+config.Floor*elapsed))
	}
	b.tokens = tokens
	b.updatedAt = now
}
