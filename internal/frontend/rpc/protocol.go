package rpc

import (
	"time"

	"sloequay/internal/frontend/rpc/pacing"
)

// What a client may send.
const (
	maxFrameBytes  = 96 << 10 // a body of maxBodyBytes with its fields
	maxFrameValues = 256      // twice the fields, and what they are packed in
	maxBodyBytes   = 48000
	maxFields      = 64
	maxTextBytes   = 256 // of a field's name or value, and of a method
	maxWordBytes   = 64  // of an idempotency key or an entity tag
	maxMessageID   = 1<<32 - 1

	maxPart          = 1 << 20
	maxGroup         = 255
	maxSizeKB        = 1e7
	minTimeoutMillis = 1
	maxTimeoutMillis = 3.6e6 // an hour

	maxOpenRequests   = 32 // of one connection, as the protocol says
	maxExcessRequests = 64 // beyond those in one read: a client that sends more does not look at the responses
)

// smallBodyBytes is the size up to which a response is sent also while memory is short.
const smallBodyBytes = 4096

// idleTimeout is longer than clients keep an idle connection, so that no request crosses the close.
const idleTimeout = 6 * time.Second

// What a client may send while identity rejects its requests for want of a budget. A round is one Server.Tick.
const (
	pacedMessagesPerConnection = 4  // handled in a round
	pacedMessagesPerRound      = 32 // of all such connections: more at once were felt by other clients
	maxPacedWait               = 2 * time.Second
	maxUnreadBytes             = 2 * maxFrameBytes
)

var pacingLimits = pacing.Limits{
	MessagesPerConnection: pacedMessagesPerConnection,
	MessagesPerRound:      pacedMessagesPerRound,
	MaxWait:               maxPacedWait,
	MaxUnreadBytes:        maxUnreadBytes,
}

// Kinds of messages, each with the number of its elements.
//
//	request   [0, ID, METHOD, [FIELDS, BODY]]
//	answer    [1, ID, ERROR, RESULT]
//	notice    [2, METHOD, PARAMETERS]
const (
	kindRequest = 0
	kindAnswer  = 1
	kindNotice  = 2

	requestElements = 4
	answerElements  = 4
	noticeElements  = 3
)

// Methods beside the classes.
const (
	methodStatus = "status"   // a request: whether new clients are wanted
	methodCancel = "withdraw" // a notice [ID]: the client waits no longer for the request
)

// Names of the fields of a request.
const (
	fieldRequestID      = "txn"
	fieldTeam           = "team"
	fieldToken          = "token"
	fieldObject         = "item"
	fieldPart           = "nth"
	fieldGroup          = "batch"
	fieldSizeKB         = "ram"
	fieldTimeoutMillis  = "limit"
	fieldIdempotencyKey = "unique"
	fieldETag           = "got"
	fieldMarkedRetry    = "second" // markedRetry: the client's own retry
	markedRetry         = "1"
)

// Names of the fields of an answer.
const (
	fieldNotModified      = "ok304" // notModified: the client's copy is the one that would be served
	notModified           = "1"
	fieldRetryAfterMillis = "later"
	fieldBudget           = "budget"
	fieldReason           = "reason"
)

// Words of the errors in answers.
const (
	errorRejected  = "Overloaded" // a retry is harmless
	errorFailed    = "Internal"
	errorMalformed = "Malformed"
	errorDenied    = "Denied"
)
