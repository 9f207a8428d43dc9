package gaptable

import "time"

const rateWeight = 0.3 // of a new second in the rate of requests

// rate measures the requests a second.
type rate struct {
	perSecond float64
	arrivals  float64 // since from
	from      time.Duration
}

// StartRate begins to measure the rate of requests.
func (t *Tables) StartRate(now time.Duration) { t.rate.from = now }

// CountRequest counts a request for the rate.
func (t *Tables) CountRequest() { t.rate.arrivals++ }

// ResizeToRate bounds the tables by the rate of requests, once a second. It reports whether it did.
func (t *Tables) ResizeToRate(now time.Duration) bool {
	rate := &t.rate
	seconds := (now - rate.from).Seconds()
	if seconds < 1 {
		return false
	}
	rate.perSecond += (rate.arrivals/seconds - rate.perSecond) * rateWeight
	rate.from = now
	rate.arrivals = 0
	t.Resize(rate.perSecond)
	return true
}
