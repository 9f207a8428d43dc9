// Package retry bounds retries to a share of first attempts, so that a failing endpoint or an impatient team can't
// multiply load: each first attempt deposits a part of a token, each retry withdraws a token, and unused tokens decay.
//
// Invariants: within any time the retries that are withdrawn are at most Share of the first attempts in it, Floor of
// that time, and the tokens at its beginning; those are at most Share of the first attempts of the Window before, as
// decayed, or one.
//
// Bounds: a Set has at most the number of budgets that it was made for; each operation takes constant time. Nothing
// here does I/O; the caller passes the time.
package retry

import (
	"math"
	"time"
)

const defaultWindowSeconds = 1.0

// Config is the settings of budgets. Its zero value allows every retry.
type Config struct {
	Share  float64       // retries to first attempts; 0: retries are not limited
	Floor  float64       // retries a second whatever the first attempts, for clients that send little
	Window time.Duration // in which unused tokens decay to 1/e, some third; 0: a second
}

func (c Config) windowSeconds() float64 {
	if c.Window > 0 {
		return c.Window.Seconds()
	}
	return defaultWindowSeconds
}

// Budget is the tokens that are left for retries. Its zero value is a new one.
type Budget struct {
	tokens    float64
	updatedAt time.Duration // 0: not used yet
}

// Deposit counts a first attempt.
func (b *Budget) Deposit(now time.Duration, config Config) {
	if config.Share > 0 {
		b.advance(now, config)
		b.tokens += config.Share
	}
}

// Available returns how many retries there may be now; without a limit, infinity.
func (b *Budget) Available(now time.Duration, config Config) float64 {
	if config.Share <= 0 {
		return math.Inf(1)
	}
	b.advance(now, config)
	return b.tokens
}

// Withdraw takes a retry, for which Available must have returned at least 1.
func (b *Budget) Withdraw() { b.tokens-- }

// advance brings the tokens up to now: they decay, and the floor adds to them.
func (b *Budget) advance(now time.Duration, config Config) {
	if b.updatedAt == 0 {
		b.updatedAt = max(now, 1)
		if config.Floor > 0 {
			b.tokens = 1
		}
		return
	}
	passed := (now - b.updatedAt).Seconds()
	if passed <= 0 {
		return
	}
	window := config.windowSeconds()
	decay := math.Exp(-passed / window)
	tokens := b.tokens*decay + config.Floor*window*(1-decay) // what the floor adds decays too
	if config.Floor > 0 && config.Floor*window < 1 {
		// By the line above a slow floor would never come to one token.
		tokens = max(tokens, min(1, b.tokens+config.Floor*passed))
	}
	b.tokens = tokens
	b.updatedAt = now
}
