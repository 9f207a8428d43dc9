// Package broker tracks the open requests, the attempts made for them and the single response that each request gets.
// It does no I/O: frontends hand it requests, a pool of upstream connections sends its attempts, and the sources of the
// endpoint list report the endpoints. Package policy decides where a request goes, whether it is retried and when it is
// rejected. The broker is a state machine that the event loop steps: Round takes a batch of events and the current
// time, and returns the effects to carry out.
//
// # Invariants
//
//   - Every received request ends exactly once: with one Respond, or without one if its client canceled it. It ends in
//     the round of its deadline at the latest, whatever the policy does.
//   - Only the first end of an attempt counts. When a request ends, all of its attempts end.
//   - Unless hedging is configured, no two attempts of a request are open at the same time.
//   - No attempt is written to an endpoint that is draining or gone, or filled from one: MaySend checks this again just
//     before the write.
//   - An attempt of which a byte was written counts as not executed only if its endpoint said so. A request that may
//     have been executed and must not run twice is not sent again.
//   - A request that comes again under the id of one that may have been executed, and must not run twice, is not sent
//     unless endpoints still drop the repeat. It is never rejected, as a rejection says that a retry is harmless.
//   - Each attempt that is sent is charged once: to the quotas of its request and, if it is a retry, to the retry
//     budgets. The grant of a request is released once.
//   - The events of a round are handled before its timers, so a response that arrived in time counts.
//
// # Bounds
//
//   - Open requests: the limit given to New. Requests beyond it are rejected.
//   - Timers: once there are minSweepSize, the timers of ended requests and attempts are dropped whenever the queue has
//     doubled since the last sweep.
//   - Ids of requests that may have been executed: maxExecuted, of the last executedRetention. After that, and after a
//     restart, a repeat is a new request.
//   - Endpoints: those in the endpoint list, and those that departed less than departedRetention ago.
//   - Work in a round: maxChangesPerRound changes of the list and maxChangeEntries log entries about them. The
//     remaining changes wait for the next round, which is due at once.
//   - Purges: those issued less than the propagation time plus purgeSlack ago, up to the maximum of package
//     invalidation.
//   - Retry budgets: maxRetryBudgets tenants and as many endpoints; the least recently used budget is evicted.
//
// # States
//
// The states of a request and of an attempt are requestState and attemptState. An End says how an attempt ended, and
// the table outcomes says what each End means. An event without a row for a state has no effect in that state. "Cancel"
// stands for a CancelAttempt for each open attempt of the request, "actions" for the effects of the actions that the
// policy returns when it is notified of the event.
//
//	State of a request  Event                                   Next state  Effects
//	new                 RequestReceived, already canceled       ended       none
//	new                 RequestReceived, its ID is in use       ended       Respond: failed
//	new                 RequestReceived, a request with its ID  ended       Respond: failed
//	                    may have run, and the repeat is not
//	                    dropped
//	new                 RequestReceived, maxOpen or a quota     ended       Respond: rejected
//	                    reached
//	new                 RequestReceived, otherwise              open        actions
//	new                 RequestCanceled                         ended       none
//	open                RequestCanceled                         ended       cancel, actions
//	open                AttemptEnded: Served or NotModified     ended       cancel, Respond: served, actions
//	open                AttemptEnded: any other End             open        actions
//	open                policy.Reject                           ended       cancel, Respond: rejected
//	open                policy.Fail                             ended       cancel, Respond: failed
//	open                half-time timer, no attempt is Written  ended       cancel, Respond: rejected, actions
//	open                deadline timer or FailInFlight          ended       cancel, Respond by actions, else failed
//
//	State of an attempt  Event                                  Next state  Effects
//	none                 policy.SendAttempt                     open        SendAttempt
//	none                 policy.SendAttempt while another is    open        none; in the same round AttemptEnded:
//	                     open, without hedging                              Blocked
//	none                 policy.SendAttempt, a budget of the    open        none; in the same round AttemptEnded:
//	                     tenant or endpoint is exhausted                    BudgetExhausted or EndpointBudgetExhausted
//	open                 AttemptEnded: proves not executed      notExecuted actions
//	open                 AttemptEnded: any other End            ended       actions
//	open                 attempt timer, or its request's        ended       CancelAttempt, actions
//	                     deadline
//	open                 policy.CancelAttempt                   open        CancelAttempt with AwaitEnd
//	open                 its request ended                      ended       CancelAttempt
package broker
