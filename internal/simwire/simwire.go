// Package simwire converts frames of the simulator's protocol to the events of package policy, and the policy's
// actions to frames. It decides nothing.
//
// The simulator sends batches of records and gets one reply to each. Numbers are little-endian; times are milliseconds
// in a float64.
package simwire

import (
	"time"

	"sloequay/internal/policy"
)

// The codes of the records, and in their comments the names that the protocol gives them.
const (
	codeHello       = iota // HELLO: an instance starts
	codeList               // BACKENDS_CHANGED: the list of endpoints
	codeRequest            // CALL: a new request
	codeHeaders            // HEADERS: a streamed response has begun
	codeResponse           // ANSWER: an attempt has ended
	codeClientGone         // CLIENT_GONE: a client has left
	codeTimer              // ELAPSED: a timer has fired
	codeHealthCheck        // CHECK_RESULT: a health check has ended
	codePeer               // WHISPER: a message of another proxy
	codeDown               // DOWN: an instance has stopped
	codePurge              // RECALLED: copies are out of date
)

// recordNames are the protocol's names of the records, by code.
var recordNames = [...]string{
	codeHello:       "HELLO",
	codeList:        "BACKENDS_CHANGED",
	codeRequest:     "CALL",
	codeHeaders:     "HEADERS",
	codeResponse:    "ANSWER",
	codeClientGone:  "CLIENT_GONE",
	codeTimer:       "ELAPSED",
	codeHealthCheck: "CHECK_RESULT",
	codePeer:        "WHISPER",
	codeDown:        "DOWN",
	codePurge:       "RECALLED",
}

// The codes of the actions, and in their comments the names that the protocol gives them.
const (
	codeReject        = 65 // BUSY
	codeFail          = 66 // SURRENDER
	codeFatal         = 69 // FATAL: the decisions of an instance have failed
	codeSendAttempt   = 71 // GET
	codeSetTimer      = 72 // DEFER
	codeWatch         = 73 // TAIL
	codeCancelAttempt = 74 // UNDO_SEND
	codeLog           = 76 // NOTE_DOWN
)

// statuses are the outcomes of an attempt or a health check, by their numbers on the wire.
var statuses = map[uint16]policy.Status{
	200: policy.StatusOK,
	204: policy.StatusMiss,
	408: policy.StatusTimeout,
	409: policy.StatusNotExecuted,
	429: policy.StatusAtCapacity,
	444: policy.StatusCanceled,
	502: policy.StatusError,
	520: policy.StatusReset,
	521: policy.StatusConnectFailed,
}

// Sizes in bytes.
const (
	batchHeaderSize = 20
	replyHeaderSize = 12
	// countedHeaderSize is the part of either header that the frame's length includes.
	countedHeaderSize = 8
	listEntrySize     = 23
)

func toMilliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}
