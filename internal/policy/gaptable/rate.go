package gaptable

import "time"

const rateWeight = 0.3 // of the latest interval in the mean rate

// rate holds the moving mean of requests per second.
type rate struct {
	perSecond     float64
	requests      float64 // since intervalStart
	intervalStart time.Duration
}

// StartRate starts measuring the rate of requests.
func (t *Tables) StartRate(now time.Duration) { t.rate.intervalStart = now }

// CountRequest counts one request towards the rate.
func (t *Tables) CountRequest() { t.rate.requests++ }

// ResizeToRate updates the rate and resizes the tables to it, at most once a second. It reports whether it did.
func (t *Tables) ResizeToRate(now time.Duration) bool {
	rate := &t.rate
	seconds := (now - rate.intervalStart).Seconds()
	if seconds < 1 {
		return false
	}
	rate.perSecond += (rate.requests/seconds - rate.perSecond) * rateWeight
	rate.intervalStart = now
	rate.requests = 0
	t.Resize(rate.perSecond)
	return true
}
