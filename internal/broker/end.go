package broker

import "sloequay/internal/policy"

// End is how an attempt ended. Every way in which an answer can come, or a connection can end under an attempt, is
// one of these values.
type End int

// The ends of an attempt.
const (
	Served               End = iota // the bytes came whole
	NotModified                     // the client's own copy is the one that would be served
	CacheMiss                       // the box has no copy that will do, and none was filled
	Rejected                        // the box or its source is full
	Failed                          // the box says that it failed
	AlreadyEnded                    // the box says that the request was over already
	ConnectFailed                   // no connection came up: refused, or not within the time-out
	NotSent                         // the connection ended before anything of the attempt was written
	Blocked                         // the list or the budget forbade it by the time it was to be written
	RetryBudgetExhausted            // a budget of repeats is used up
	NoConnectionCapacity            // no descriptor or place is left for it here
	ConnectionReset                 // the connection ended after something of the attempt was written
	ProtocolError                   // the box's answer can't be read, and so its connection was closed
	Unresponsive                    // nothing came on its connection any more, and so it was closed
	TimedOut                        // nothing came within the attempt's time
	Canceled                        // it was given up here
	endCount
)

// outcome is what an End means to the module, and whether the answer reaches the client.
type outcome struct {
	name   string
	status policy.Status
}

// outcomes is the one place that maps ends to outcomes of the module. Full, ConnectFailed, Moot and Miss promise that
// the attempt never ran; so nothing of which a byte was written may become one of them but by the box's own word.
var outcomes = [endCount]outcome{
	Served:               {"served", policy.StatusOK},
	NotModified:          {"unchanged", policy.StatusOK},
	CacheMiss:            {"missed", policy.StatusMiss},
	Rejected:             {"turned-away", policy.StatusAtCapacity},
	Failed:               {"failed", policy.StatusError},
	AlreadyEnded:         {"over", policy.StatusNotExecuted},
	ConnectFailed:        {"not-dialled", policy.StatusConnectFailed},
	NotSent:              {"unsent", policy.StatusNotExecuted}, // no sign against the box: its next connection may do
	Blocked:              {"barred", policy.StatusNotExecuted},
	RetryBudgetExhausted: {"withheld", policy.StatusNotExecuted},
	NoConnectionCapacity: {"crowded", policy.StatusNotExecuted},
	ConnectionReset:      {"broken", policy.StatusReset},
	ProtocolError:        {"garbled", policy.StatusReset},
	Unresponsive:         {"silenced", policy.StatusReset},
	TimedOut:             {"timed-out", policy.StatusTimeout},
	Canceled:             {"called-off", policy.StatusCanceled},
}

// neverRan are the outcomes that promise that the attempt had no effect.
var neverRan = []policy.Status{policy.StatusAtCapacity, policy.StatusConnectFailed, policy.StatusNotExecuted, policy.StatusMiss}

// String gives the name that the log uses.
func (e End) String() string { return outcomes[e].name }

// Succeeded says whether the attempt brought the final answer.
func (e End) Succeeded() bool { return outcomes[e].status == policy.StatusOK }
