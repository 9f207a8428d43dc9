package broker

import "sloequay/internal/policy"

// End says how an attempt ended: by a response, by the end of its connection, or without being sent.
type End int

// The ends of an attempt.
const (
	Served                  End = iota // the complete response arrived
	NotModified                        // the client's own copy is up to date
	CacheMiss                          // the endpoint has no acceptable copy, and none was filled
	Rejected                           // the endpoint or its source is at capacity
	Failed                             // the endpoint reported a failure
	AlreadyEnded                       // the endpoint reported that the request had ended already
	ConnectFailed                      // the dial failed or timed out
	NotSent                            // the connection ended before any byte of the attempt was written
	Blocked                            // another attempt was open, or sending it was no longer allowed
	BudgetExhausted                    // a budget of the tenant, of attempts or of retries, is exhausted
	EndpointBudgetExhausted            // the endpoint's retry budget is exhausted
	NoConnectionCapacity               // the proxy has no descriptor or connection slot left for it
	ConnectionReset                    // the connection ended after some of the attempt was written
	ProtocolError                      // the endpoint's response was unreadable, so the connection was closed
	Unresponsive                       // the connection received nothing for too long, so it was closed
	TimedOut                           // the attempt's deadline passed without a response
	Canceled                           // canceled by the proxy
	endCount
)

// outcome describes an End to the log and to the policy.
type outcome struct {
	name   string // used in the log
	status policy.Status
}

// outcomes maps each End to the policy's status. Some statuses promise that the attempt was not executed
// (policy.Status.ProvesNotExecuted). An End of an attempt of which a byte was written may have such a status only if
// the endpoint itself reported it.
var outcomes = [endCount]outcome{
	Served:                  {"served", policy.StatusOK},
	NotModified:             {"unchanged", policy.StatusOK},
	CacheMiss:               {"missed", policy.StatusMiss},
	Rejected:                {"turned-away", policy.StatusAtCapacity},
	Failed:                  {"failed", policy.StatusError},
	AlreadyEnded:            {"over", policy.StatusNotExecuted},
	ConnectFailed:           {"not-dialled", policy.StatusConnectFailed},
	NotSent:                 {"unsent", policy.StatusNotExecuted},
	Blocked:                 {"barred", policy.StatusNotExecuted},
	BudgetExhausted:         {"withheld", policy.StatusBudgetExhausted},
	EndpointBudgetExhausted: {"withheld-at-endpoint", policy.StatusUnavailable},
	NoConnectionCapacity:    {"crowded", policy.StatusUnavailable},
	ConnectionReset:         {"broken", policy.StatusReset},
	ProtocolError:           {"garbled", policy.StatusReset},
	Unresponsive:            {"silenced", policy.StatusReset},
	TimedOut:                {"timed-out", policy.StatusTimeout},
	Canceled:                {"called-off", policy.StatusCanceled},
}

// String returns the name used in the log.
func (e End) String() string { return outcomes[e].name }

// Succeeded reports whether the attempt ended with the response to its request.
func (e End) Succeeded() bool { return e.status() == policy.StatusOK }

// status returns the status that the policy is notified of.
func (e End) status() policy.Status { return outcomes[e].status }

// provesNotExecuted reports whether the end proves that the attempt was not executed.
func (e End) provesNotExecuted() bool { return e.status().ProvesNotExecuted() }
