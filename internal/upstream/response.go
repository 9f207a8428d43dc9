package upstream

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"

	"sloequay/internal/broker"
)

const (
	maxLine = 4096      // bytes of a response line
	maxBody = 256 << 10 // bytes; a part of an object has at most 240,000
)

// response is a parsed response of an endpoint.
type response struct {
	id     string
	code   responseCode
	digest string // code, fields and length as received: identical in duplicates of a response
	fields []broker.Field
	body   []byte // aliases the parsed bytes
}

// parseResponse parses the response at the front of data: "ID CODE FIELDS LENGTH CR LF", the body, CR LF. It returns
// used 0 and no error if the response is incomplete.
func parseResponse(data []byte) (parsed response, used int, err error) {
	lineLength := bytes.Index(data[:min(len(data), maxLine)], []byte(lineEnd))
	if lineLength < 0 {
		if len(data) >= maxLine {
			return parsed, 0, fmt.Errorf("response line exceeds %d bytes", maxLine)
		}
		return parsed, 0, nil
	}
	line := string(data[:lineLength])
	words := strings.Split(line, " ")
	if len(words) != 4 {
		return parsed, 0, fmt.Errorf("response line has %d words, want 4", len(words))
	}
	bodyLength, err := strconv.ParseUint(words[3], 10, 32)
	if err != nil || bodyLength > maxBody {
		return parsed, 0, fmt.Errorf("response has body length %.32q, want a number up to %d", words[3], maxBody)
	}
	bodyStart := lineLength + len(lineEnd)
	bodyEnd := bodyStart + int(bodyLength)
	if len(data) < bodyEnd+len(lineEnd) {
		return parsed, 0, nil
	}
	if string(data[bodyEnd:bodyEnd+len(lineEnd)]) != lineEnd {
		return parsed, 0, fmt.Errorf("response body of %d bytes is not followed by CR LF", bodyLength)
	}
	code, known := responseCodes[words[1]]
	if !known {
		return parsed, 0, fmt.Errorf("unknown response code %.32q", words[1])
	}
	fields, err := parseFields(words[2])
	if err != nil {
		return parsed, 0, err
	}
	return response{
		id:     words[0],
		code:   code,
		digest: line[len(words[0])+1:],
		fields: fields,
		body:   data[bodyStart:bodyEnd],
	}, bodyEnd + len(lineEnd), nil
}

// parseFields parses "NAME=VALUE,NAME=VALUE".
func parseFields(text string) (fields []broker.Field, err error) {
	if text == noFields {
		return nil, nil
	}
	for _, field := range strings.Split(text, ",") {
		name, value, ok := strings.Cut(field, "=")
		if !ok || name == "" {
			return nil, fmt.Errorf("response field %.32q, want name=value", field)
		}
		fields = append(fields, broker.Field{Name: name, Value: value})
	}
	return fields, nil
}

// partialResponseID returns the id of a partial response, or an empty string if not even the id is complete.
func partialResponseID(data []byte) string {
	id, _, _ := bytes.Cut(data[:min(len(data), maxLine)], []byte(" "))
	if len(id) == len(data) {
		return ""
	}
	return string(id)
}

func (r *response) field(name string) string {
	for _, field := range r.fields {
		if field.Name == name {
			return field.Value
		}
	}
	return ""
}

// attemptEnded converts the response to the end of an attempt. Its code must be one that ends attempts.
func (r *response) attemptEnded(attempt *broker.Attempt) broker.AttemptEnded {
	return broker.AttemptEnded{
		Attempt: attempt,
		End:     attemptEnds[r.code],
		Note:    notes[r.field(fieldNote)],
		Body:    r.body,
		Fields:  r.fields,
	}
}
