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
	// isBodyDropped says that the body was not kept, because memory is short or nobody needs it.
	isBodyDropped bool
}

// responseLine is the parsed line of a response, which precedes its body.
type responseLine struct {
	text       string
	words      []string // id, code and fields
	bodyStart  int      // offset of the body from the start of the line
	bodyLength int
}

// size returns the size of the whole response in bytes.
func (l *responseLine) size() int { return l.bodyStart + l.bodyLength + len(lineEnd) }

// parseResponse parses the response at the front of data: "ID CODE FIELDS LENGTH CR LF", the body, CR LF. It returns
// used 0 and no error if the response is incomplete.
func parseResponse(data []byte) (parsed response, used int, err error) {
	line, isComplete, err := parseLine(data)
	if err != nil || !isComplete || len(data) < line.size() {
		return parsed, 0, err
	}
	bodyEnd := line.bodyStart + line.bodyLength
	if string(data[bodyEnd:line.size()]) != lineEnd {
		return parsed, 0, fmt.Errorf("response body of %d bytes is not followed by CR LF", line.bodyLength)
	}
	parsed, err = line.response()
	if err != nil {
		return parsed, 0, err
	}
	parsed.body = data[line.bodyStart:bodyEnd]
	return parsed, line.size(), nil
}

// parseLine parses the line at the front of data, and reports whether it is complete.
func parseLine(data []byte) (line responseLine, isComplete bool, err error) {
	length := bytes.Index(data[:min(len(data), maxLine)], []byte(lineEnd))
	if length < 0 {
		if len(data) >= maxLine {
			return line, false, fmt.Errorf("response line exceeds %d bytes", maxLine)
		}
		return line, false, nil
	}
	text := string(data[:length])
	words := strings.Split(text, " ")
	if len(words) != 4 {
		return line, false, fmt.Errorf("response line has %d words, want 4", len(words))
	}
	bodyLength, err := strconv.ParseUint(words[3], 10, 32)
	if err != nil || bodyLength > maxBody {
		return line, false, fmt.Errorf("response has body length %.32q, want a number up to %d", words[3], maxBody)
	}
	return responseLine{
		text:       text,
		words:      words,
		bodyStart:  length + len(lineEnd),
		bodyLength: int(bodyLength),
	}, true, nil
}

// response returns the response of the line, without a body.
func (l *responseLine) response() (response, error) {
	id := l.words[0]
	code, known := responseCodes[l.words[1]]
	if !known {
		return response{}, fmt.Errorf("unknown response code %.32q", l.words[1])
	}
	fields, err := parseFields(l.words[2])
	if err != nil {
		return response{}, err
	}
	return response{id: id, code: code, digest: l.text[len(id)+1:], fields: fields}, nil
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

		BodyDropped: r.isBodyDropped,
	}
}
