// Package simwire decodes the frames of the simulator's protocol to events of package policy, and encodes the policy's
// actions to frames. It makes no decisions.
//
// The simulator sends batches of records and gets one reply to each batch. Numbers are little-endian; times are
// float64 values in milliseconds.
package simwire

import (
	"time"

	"sloequay/internal/policy"
)

// The codes of the records. Each comment begins with the protocol's name.
const (
	codeHello       = iota // HELLO: an instance starts
	codeList               // BACKENDS_CHANGED: the list of endpoints
	codeRequest            // CALL: a new request
	codeHeaders            // HEADERS: a streamed response has begun
	codeResponse           // ANSWER: an attempt has ended
	codeClientGone         // CLIENT_GONE: a client no longer waits for a request
	codeTimer              // ELAPSED: a timer has fired
	codeHealthCheck        // CHECK_RESULT: a health check has ended
	codePeer               // WHISPER: a message from another proxy
	codeDown               // DOWN: an instance has stopped
	codePurge              // RECALLED: an object or an object group is purged
)

// recordNames maps the codes of records to the protocol's names.
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

// The codes of the actions. Each comment begins with the protocol's name.
const (
	codeReject        = 65 // BUSY
	codeFail          = 66 // SURRENDER
	codeFatal         = 69 // FATAL: the policy engine of an instance has failed
	codeSendAttempt   = 71 // GET
	codeSetTimer      = 72 // DEFER
	codeWatch         = 73 // TAIL
	codeCancelAttempt = 74 // UNDO_SEND
	codeLog           = 76 // NOTE_DOWN
)

// statuses maps the numbers on the wire to the outcomes of attempts and health checks.
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
	// countedHeaderSize is the part of either header that counts towards the frame's length.
	countedHeaderSize = 8
	listEntrySize     = 23
)

func toMilliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}
