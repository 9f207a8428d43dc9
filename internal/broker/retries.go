package broker

import (
	"sloequay/internal/policy"
	"sloequay/internal/quota"
	"sloequay/internal/retry"
	"sloequay/internal/retryafter"
)

const (
	// maxRetryBudgets bounds the retry budgets that are remembered, of tenants and of endpoints each.
	maxRetryBudgets = 16384
	// endpointNode begins the name that operators and clients read of an endpoint's budget.
	endpointNode = "box "
)

// retryBudgets limits retries to a share of first attempts, by tenant and by endpoint; nil: no limit.
type retryBudgets struct {
	tenants   *retry.Set[string]
	endpoints *retry.Set[policy.EndpointID]
}

// configure sets what the budgets allow. What is left in them stays.
func (r *retryBudgets) configure(tenants, endpoints retry.Config) {
	r.tenants = configureRetrySet(r.tenants, tenants)
	r.endpoints = configureRetrySet(r.endpoints, endpoints)
}

// configureRetrySet sets what the budgets of a set allow, and makes the set when it is first limited.
func configureRetrySet[Key comparable](budgets *retry.Set[Key], config retry.Config) *retry.Set[Key] {
	if budgets == nil && config.Share > 0 {
		budgets = retry.NewSet[Key](config, maxRetryBudgets)
	}
	if budgets != nil {
		budgets.Configure(config)
	}
	return budgets
}

// exhaustedBudget is a budget that has no capacity for an attempt.
type exhaustedBudget struct {
	end       End // of the attempt
	rejection *quota.Rejection
}

// charge charges an attempt to the quotas of its request and to the retry budgets; nil: all of them had capacity. Only
// an attempt after one that was written is a retry, since nothing else has cost an endpoint anything.
func (b *Broker) charge(attempt *Attempt) *exhaustedBudget {
	if attempt.Request.anyWritten() {
		return b.chargeRetry(attempt)
	}
	return b.chargeFirst(attempt)
}

// chargeFirst charges an attempt that is no retry. It adds to the retry budgets.
func (b *Broker) chargeFirst(attempt *Attempt) *exhaustedBudget {
	grant := attempt.Request.grant
	if rejection := grant.SpendAttempt(b.now); rejection != nil {
		return &exhaustedBudget{BudgetExhausted, rejection}
	}
	if tenants := b.retries.tenants; tenants != nil && attempt.Number == 0 {
		tenants.Get(grant.Tenant()).Deposit(b.now, tenants.Config())
	}
	if endpoints := b.retries.endpoints; endpoints != nil {
		endpoints.Get(attempt.Endpoint.ID).Deposit(b.now, endpoints.Config())
	}
	return nil
}

// chargeRetry charges a retry. It takes from both retry budgets, or from none.
func (b *Broker) chargeRetry(attempt *Attempt) *exhaustedBudget {
	grant := attempt.Request.grant
	var ofTenant, ofEndpoint *retry.Budget
	if tenants := b.retries.tenants; tenants != nil {
		ofTenant = tenants.Get(grant.Tenant())
		if left := ofTenant.Available(b.now, tenants.Config()); left < 1 {
			return &exhaustedBudget{BudgetExhausted, retriesExhausted(grant.Tenant(), left)}
		}
	}
	if endpoints := b.retries.endpoints; endpoints != nil {
		ofEndpoint = endpoints.Get(attempt.Endpoint.ID)
		if left := ofEndpoint.Available(b.now, endpoints.Config()); left < 1 {
			rejection := retriesExhausted(endpointNode+attempt.Endpoint.Name, left)
			return &exhaustedBudget{EndpointBudgetExhausted, rejection}
		}
	}
	if rejection := grant.SpendRetry(b.now); rejection != nil {
		return &exhaustedBudget{BudgetExhausted, rejection}
	}
	if ofTenant != nil {
		ofTenant.Withdraw()
	}
	if ofEndpoint != nil {
		ofEndpoint.Withdraw()
	}
	return nil
}

// retriesExhausted says whose retry budget is used up.
func retriesExhausted(node string, left float64) *quota.Rejection {
	return &quota.Rejection{
		Node:       node,
		Kind:       quota.Retries,
		Requested:  1,
		Left:       left,
		RetryAfter: retryafter.RetryBudgetExhausted,
	}
}
