package upstream

import (
	"strconv"
	"time"

	"sloequay/internal/broker"
)

const lineEnd = "\r\n"

// appendRequest appends the line and the body of an attempt. class is the name of the request's class, maxAge the
// maximum age of a copy that may be served (0: the limit of the class), timeLeft how long the proxy will wait.
func appendRequest(b []byte, attempt *broker.Attempt, class string, maxAge, timeLeft time.Duration) []byte {
	request := attempt.Request
	b = append(b, commandRequest+" "...)
	b = append(b, request.ID...)
	b = appendField(b, ' ', fieldClass, class)
	b = appendField(b, ',', fieldObject, request.ObjectName)
	b = appendNumberField(b, fieldPart, int64(request.Part))
	b = appendNumberField(b, fieldTimeLeft, max(1, timeLeft.Milliseconds()))
	b = appendField(b, ',', fieldIdempotencyKey, request.Key)
	if attempt.Source != attempt.Endpoint {
		b = appendField(b, ',', fieldSource, attempt.Source.Name)
	}
	if attempt.CacheRank > 0 {
		b = appendNumberField(b, fieldCacheRank, int64(attempt.CacheRank))
	}
	if maxAge > 0 {
		b = appendNumberField(b, fieldMaxAge, max(1, maxAge.Milliseconds()))
	}
	b = appendOptions(b, attempt)
	b = appendField(b, ',', fieldETag, request.ETag)
	b = append(b, ' ')
	b = strconv.AppendInt(b, int64(len(request.Body)), 10)
	b = append(b, lineEnd...)
	b = append(b, request.Body...)
	return append(b, lineEnd...)
}

// appendField appends a field unless its value is empty.
func appendField(b []byte, separator byte, name, value string) []byte {
	if value == "" {
		return b
	}
	b = append(b, separator)
	b = append(b, name...)
	b = append(b, '=')
	return append(b, value...)
}

func appendNumberField(b []byte, name string, value int64) []byte {
	b = append(b, ',')
	b = append(b, name...)
	b = append(b, '=')
	return strconv.AppendInt(b, value, 10)
}

// appendOptions appends the options field if any option is set.
func appendOptions(b []byte, attempt *broker.Attempt) []byte {
	options := [...]struct {
		isSet bool
		word  string
	}{
		{attempt.JoinFill, optionJoinFill},
		{attempt.CachedOnly, optionCachedOnly},
		{attempt.BypassParent, optionBypassParent},
		{attempt.Revalidate, optionRevalidate},
	}
	isFirst := true
	for _, option := range options {
		switch {
		case !option.isSet:
			continue
		case isFirst:
			b = appendField(b, ',', fieldOptions, option.word)
			isFirst = false
		default:
			b = append(b, optionSeparator)
			b = append(b, option.word...)
		}
	}
	return b
}

// appendCommand appends a command whose only argument is an id.
func appendCommand(b []byte, command, id string) []byte {
	b = append(b, command...)
	b = append(b, ' ')
	b = append(b, id...)
	return append(b, lineEnd...)
}
