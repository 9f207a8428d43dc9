package upstream

import (
	"sloequay/internal/broker"
	"sloequay/internal/policy"
)

// The words of the protocol between proxies and endpoints stand in this file alone.

// The commands.
const (
	commandRequest = "ASK"
	commandCancel  = "QUIT"
	commandCheck   = "NOOP" // a liveness check
)

// The fields of a request.
const (
	fieldClass          = "profile"
	fieldObject         = "thing"
	fieldPart           = "nth"
	fieldTimeLeft       = "max" // milliseconds
	fieldIdempotencyKey = "replay"
	fieldSource         = "via"
	fieldCacheRank      = "tier"
	fieldMaxAge         = "fresh" // milliseconds
	fieldOptions        = "opts"
	fieldETag           = "known"
)

// The options of a request, joined by optionSeparator.
const (
	optionJoinFill     = "ride"
	optionCachedOnly   = "have-only"
	optionBypassParent = "through"
	optionRevalidate   = "update"
	optionSeparator    = '+'
)

// The fields of a response.
const (
	fieldNote = "remark"
)

// noFields stands where a response has no fields.
const noFields = "-"

// responseCode is what a response says.
type responseCode int

const (
	codeServed responseCode = iota
	codeNotModified
	codeCacheMiss
	codeRejected
	codeFailed
	codeAlreadyEnded
	codeReady   // answers a check
	codeFailing // answers a check too: the connection lives
	codeCount
)

// responseWords are the codes on the wire.
var responseWords = [codeCount]string{
	codeServed: "ACK", codeNotModified: "NOMOD", codeCacheMiss: "NOENT", codeRejected: "AGAIN",
	codeFailed: "EIO", codeAlreadyEnded: "STALE", codeReady: "READY", codeFailing: "AILING",
}

// responseCodes are the codes by their words.
var responseCodes = func() map[string]responseCode {
	codes := map[string]responseCode{}
	for code, word := range responseWords {
		codes[word] = responseCode(code)
	}
	return codes
}()

// attemptEnds is what the codes mean for an attempt.
var attemptEnds = [...]broker.End{
	codeServed: broker.Served, codeNotModified: broker.NotModified, codeCacheMiss: broker.CacheMiss,
	codeRejected: broker.Rejected, codeFailed: broker.Failed, codeAlreadyEnded: broker.AlreadyEnded,
}

// endsAttempt reports whether the code answers an attempt, and not a check.
func (c responseCode) endsAttempt() bool { return int(c) < len(attemptEnds) }

// String gives the code's word on the wire.
func (c responseCode) String() string { return responseWords[c] }

// notes are the values of fieldNote.
var notes = map[string]policy.Note{
	"hit": policy.NoteHit, "filled": policy.NoteFilled, "via_origin": policy.NoteFilledOrigin,
	"joined": policy.NoteJoined, "stale": policy.NoteStale, "src_refused": policy.NoteSourceRejected,
	"src_broke": policy.NoteSourceLost, "src_lacks": policy.NoteSourceMiss, "no_slot": policy.NoteNoCapacity,
	"origin_failed": policy.NoteOriginFailed,
}
