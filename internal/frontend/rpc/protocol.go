package rpc

import (
	"time"

	"sloequay/internal/frontend/rpc/pacing"
)

// Limits on what a client may send.
const (
	maxFrameBytes  = 96 << 10 // fits a body of maxBodyBytes with its fields
	maxFrameValues = 256      // fits names and values of maxFields fields, and what encloses them
	maxBodyBytes   = 48000
	maxFields      = 64
	maxTextBytes   = 256 // in a field's name or value, or a method
	maxWordBytes   = 64  // in an idempotency key or an entity tag
	maxMessageID   = 1<<32 - 1

	maxPart          = 1 << 20
	maxGroup         = 255
	maxSizeKB        = 1e7
	minTimeoutMillis = 1
	maxTimeoutMillis = 3.6e6 // an hour

	maxOpenRequests   = 32 // per connection, as the protocol defines
	maxExcessRequests = 64 // messages of one read that open and cancel none: a client that sends more floods
)

// idleTimeout is longer than clients keep an idle connection, so that no request arrives while the connection is being
// closed.
const idleTimeout = 6 * time.Second

// Limits on a client while identity rejects its requests for lack of budget. A round is one call of Server.Tick.
const (
	pacedMessagesPerConnection = 4  // handled per round
	pacedMessagesPerRound      = 32 // handled per round, of all such connections: more would delay other clients
	maxPacedWait               = 2 * time.Second
)

var pacingLimits = pacing.Limits{
	MessagesPerConnection: pacedMessagesPerConnection,
	MessagesPerRound:      pacedMessagesPerRound,
	MaxWait:               maxPacedWait,
}

// Kinds of messages (MessagePack-RPC's message types), and the number of elements of each.
//
//	request       [0, ID, METHOD, [FIELDS, BODY]]
//	response      [1, ID, ERROR, RESULT]
//	notification  [2, METHOD, PARAMETERS]
const (
	kindRequest      = 0
	kindResponse     = 1
	kindNotification = 2

	requestElements      = 4
	responseElements     = 4
	notificationElements = 3
)

// Methods other than the names of classes.
const (
	methodStatus = "status"   // a request: asks whether the proxy wants new clients
	methodCancel = "withdraw" // a notification [ID]: the client no longer waits for the request
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
	fieldMarkedRetry    = "second" // markedRetry: the request is the client's own retry
	markedRetry         = "1"
)

// Names of the fields of a response.
const (
	fieldNotModified      = "ok304" // notModified: the client's copy is up to date
	notModified           = "1"
	fieldRetryAfterMillis = "later"
	fieldBudget           = "budget"
	fieldReason           = "reason"
)

// Error codes in responses.
const (
	errorRejected  = "Overloaded" // a retry is harmless
	errorFailed    = "Internal"
	errorMalformed = "Malformed"
	errorDenied    = "Denied"
)
