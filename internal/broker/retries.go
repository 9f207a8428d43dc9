package broker

import (
	"sloequay/internal/policy"
	"sloequay/internal/quota"
	"sloequay/internal/retry"
	"sloequay/internal/retryafter"
)

const (
	// maxRetryBudgets bounds the number of retry budgets of tenants, and likewise of endpoints.
	maxRetryBudgets = 16384
	// endpointNodePrefix precedes the endpoint's name in the name of its budget, which operators and clients read.
	endpointNodePrefix = "box "
)

// retryBudgets limits retries to a share of first attempts, per tenant and per endpoint. A nil set limits nothing.
type retryBudgets struct {
	tenants   *retry.Set[string]
	endpoints *retry.Set[policy.EndpointID]
}

// configure sets the limits of the budgets, which keep their tokens.
func (r *retryBudgets) configure(tenants, endpoints retry.Config) {
	r.tenants = configureRetrySet(r.tenants, tenants)
	r.endpoints = configureRetrySet(r.endpoints, endpoints)
}

// configureRetrySet sets the limits of a set of budgets, and creates the set when a limit is first configured.
func configureRetrySet[Key comparable](budgets *retry.Set[Key], config retry.Config) *retry.Set[Key] {
	if budgets == nil && config.Share > 0 {
		budgets = retry.NewSet[Key](config, maxRetryBudgets)
	}
	if budgets != nil {
		budgets.Configure(config)
	}
	return budgets
}

// exhaustedBudget describes how a budget without capacity blocks an attempt.
type exhaustedBudget struct {
	end       End // of the attempt
	rejection *quota.Rejection
}

// charge charges an attempt to the quotas of its request and to the retry budgets. It returns nil if all of them had
// capacity. An attempt is a retry only if an earlier one was written, because others have put no load on an endpoint.
func (b *Broker) charge(attempt *Attempt) *exhaustedBudget {
	if attempt.Request.anyWritten() {
		return b.chargeRetry(attempt)
	}
	return b.chargeFirst(attempt)
}

// chargeFirst charges an attempt that is not a retry, and makes its deposits in the retry budgets.
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

// chargeRetry charges a retry. It withdraws from both retry budgets or from neither.
func (b *Broker) chargeRetry(attempt *Attempt) *exhaustedBudget {
	grant := attempt.Request.grant
	var tenantBudget, endpointBudget *retry.Budget
	if tenants := b.retries.tenants; tenants != nil {
		tenantBudget = tenants.Get(grant.Tenant())
		if left := tenantBudget.Available(b.now, tenants.Config()); left < 1 {
			return &exhaustedBudget{BudgetExhausted, retriesExhausted(grant.Tenant(), left)}
		}
	}
	if endpoints := b.retries.endpoints; endpoints != nil {
		endpointBudget = endpoints.Get(attempt.Endpoint.ID)
		if left := endpointBudget.Available(b.now, endpoints.Config()); left < 1 {
			rejection := retriesExhausted(endpointNodePrefix+attempt.Endpoint.Name, left)
			return &exhaustedBudget{EndpointBudgetExhausted, rejection}
		}
	}
	if rejection := grant.SpendRetry(b.now); rejection != nil {
		return &exhaustedBudget{BudgetExhausted, rejection}
	}
	if tenantBudget != nil {
		tenantBudget.Withdraw()
	}
	if endpointBudget != nil {
		endpointBudget.Withdraw()
	}
	return nil
}

// retriesExhausted returns the rejection by the exhausted retry budget of a node.
func retriesExhausted(node string, left float64) *quota.Rejection {
	return &quota.Rejection{
		Node:       node,
		Kind:       quota.Retries,
		Requested:  1,
		Left:       left,
		RetryAfter: retryafter.RetryBudgetExhausted,
	}
}
