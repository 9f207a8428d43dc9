package upstream

import (
	"sloequay/internal/broker"
	"sloequay/internal/policy"
)

// This file alone defines the words of the protocol between proxies and endpoints.

// Commands of the proxy.
const (
	commandRequest = "ASK"
	commandCancel  = "QUIT"
	commandCheck   = "NOOP" // a liveness check
)

// Fields of a request.
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

// Options of a request, joined by optionSeparator.
const (
	optionJoinFill     = "ride"
	optionCachedOnly   = "have-only"
	optionBypassParent = "through"
	optionRevalidate   = "update"
	optionSeparator    = '+'
)

// Fields of a response.
const (
	fieldNote = "remark"
)

// noFields takes the place of the fields in a response that has none.
const noFields = "-"

// responseCode is the result that a response reports.
type responseCode int

const (
	codeServed responseCode = iota
	codeNotModified
	codeCacheMiss
	codeRejected
	codeFailed
	codeAlreadyEnded
	codeReady   // answers a check
	codeFailing // also answers a check: the connection is alive
	codeCount
)

// responseWords holds the words of the codes on the wire.
var responseWords = [codeCount]string{
	codeServed: "ACK", codeNotModified: "NOMOD", codeCacheMiss: "NOENT", codeRejected: "AGAIN",
	codeFailed: "EIO", codeAlreadyEnded: "STALE", codeReady: "READY", codeFailing: "AILING",
}

// responseCodes maps the words on the wire to their codes.
var responseCodes = func() map[string]responseCode {
	codes := map[string]responseCode{}
	for code, word := range responseWords {
		codes[word] = responseCode(code)
	}
	return codes
}()

// attemptEnds holds the ends of attempts by the codes that answer attempts.
var attemptEnds = [...]broker.End{
	codeServed: broker.Served, codeNotModified: broker.NotModified, codeCacheMiss: broker.CacheMiss,
	codeRejected: broker.Rejected, codeFailed: broker.Failed, codeAlreadyEnded: broker.AlreadyEnded,
}

// endsAttempt reports whether the code answers an attempt rather than a check.
func (c responseCode) endsAttempt() bool { return int(c) < len(attemptEnds) }

// String returns the code's word on the wire.
func (c responseCode) String() string { return responseWords[c] }

// notes maps the values of fieldNote.
var notes = map[string]policy.Note{
	"hit": policy.NoteHit, "filled": policy.NoteFilled, "via_origin": policy.NoteFilledOrigin,
	"joined": policy.NoteJoined, "stale": policy.NoteStale, "src_refused": policy.NoteSourceRejected,
	"src_broke": policy.NoteSourceLost, "src_lacks": policy.NoteSourceMiss, "no_slot": policy.NoteNoCapacity,
	"origin_failed": policy.NoteOriginFailed,
}
