package fairness

import (
	"cmp"
	"math"
)

const (
	minPricedSeconds = 0.001 // for a price above 0
	priceWeight      = 0.02  // of a new request in the mean price
	weightSwing      = 0.5   // how far a request's weight may be from 1
)

// Prices weighs requests by their priority for what they cost. The zero value knows no request.
type Prices struct{ mean float64 }

// Record takes a new request and gives its price: its sending time for a priority weight of 1. A priority weight of 0
// counts as 1. One that is so small that the price is infinite spoils the mean; settings have none.
func (p *Prices) Record(seconds, priorityWeight float64) float64 {
	price := max(seconds, minPricedSeconds) / cmp.Or(priorityWeight, 1)
	p.mean = cmp.Or(p.mean, price)*(1-priceWeight) + price*priceWeight
	return price
}

// Weight is the weight of a request with a price, 1 being that of the mean.
func (p *Prices) Weight(price float64) float64 {
	return max(1-weightSwing, min(1+weightSwing, math.Sqrt(p.mean/price)))
}
