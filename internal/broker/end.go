package broker

import "sloequay/internal/policy"

// End is how an attempt ended. Every way in which an answer can come, or a connection can end under an attempt, is
// one of these values.
type End int

// The ends of an attempt.
const (
	Served     End = iota // the bytes came whole
	Unchanged             // the client's own copy is the one that would be served
	Missed                // the box has no copy that will do, and none was filled
	TurnedAway            // the box or its source is full
	Failed                // the box says that it failed
	Over                  // the box says that the request was over already
	NotDialled            // no connection came up: refused, or not within the time-out
	Unsent                // the connection ended before anything of the attempt was written
	Barred                // the list or the budget forbade it by the time it was to be written
	Withheld              // a budget of repeats is used up
	Crowded               // no descriptor or place is left for it here
	Broken                // the connection ended after something of the attempt was written
	Garbled               // the box's answer can't be read, and so its connection was closed
	Silenced              // nothing came on its connection any more, and so it was closed
	TimedOut              // nothing came within the attempt's time
	CalledOff             // it was given up here
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
	Served:     {"served", policy.StatusOK},
	Unchanged:  {"unchanged", policy.StatusOK},
	Missed:     {"missed", policy.StatusMiss},
	TurnedAway: {"turned-away", policy.StatusAtCapacity},
	Failed:     {"failed", policy.StatusError},
	Over:       {"over", policy.StatusNotExecuted},
	NotDialled: {"not-dialled", policy.StatusConnectFailed},
	Unsent:     {"unsent", policy.StatusNotExecuted}, // no sign against the box: its next connection may do
	Barred:     {"barred", policy.StatusNotExecuted},
	Withheld:   {"withheld", policy.StatusNotExecuted},
	Crowded:    {"crowded", policy.StatusNotExecuted},
	Broken:     {"broken", policy.StatusReset},
	Garbled:    {"garbled", policy.StatusReset},
	Silenced:   {"silenced", policy.StatusReset},
	TimedOut:   {"timed-out", policy.StatusTimeout},
	CalledOff:  {"called-off", policy.StatusCanceled},
}

// neverRan are the outcomes that promise that the attempt had no effect.
var neverRan = []policy.Status{policy.StatusAtCapacity, policy.StatusConnectFailed, policy.StatusNotExecuted, policy.StatusMiss}

// String gives the name that the log uses.
func (e End) String() string { return outcomes[e].name }

// Good says whether the attempt brought the final answer.
func (e End) Good() bool { return outcomes[e].status == policy.StatusOK }
