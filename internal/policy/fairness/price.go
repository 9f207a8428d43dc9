package fairness

import (
	"cmp"
	"math"
)

const (
	minSendingSeconds  = 0.001 // keeps the price above 0
	priceWeight        = 0.02  // of a new request in the mean price
	maxWeightDeviation = 0.5   // largest distance of a request's weight from 1
)

// Prices compares the prices of requests, their sending times per priority weight, with the mean price. The zero value
// has seen no requests.
type Prices struct{ mean float64 }

// Record updates the mean with a new request and returns its price, the sending time divided by the priority weight. A
// priority weight of 0 counts as 1. One so small that the price is infinite would corrupt the mean; settings have none.
func (p *Prices) Record(seconds, priorityWeight float64) float64 {
	price := max(seconds, minSendingSeconds) / cmp.Or(priorityWeight, 1)
	p.mean = cmp.Or(p.mean, price)*(1-priceWeight) + price*priceWeight
	return price
}

// Weight returns the weight of a request with the given price. It falls with the price and is 1 at the mean price.
func (p *Prices) Weight(price float64) float64 {
	return max(1-maxWeightDeviation, min(1+maxWeightDeviation, math.Sqrt(p.mean/price)))
}
