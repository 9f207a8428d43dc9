package rpc

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"sloequay/internal/broker"
	"sloequay/internal/frontend/rpc/msgpack"
	"sloequay/internal/identity"
	"sloequay/internal/policy"
)

// requestParameters is the number of parameters of a request: its fields and its body.
const requestParameters = 2

// requestIDDigits is the number of hex digits in a request id or an object.
const requestIDDigits = 16

// parseRequest parses and checks the parameters of a request for a method. The request's body shares memory with the
// message.
func (c *connection) parseRequest(method string, body *msgpack.Reader) (*broker.Request, error) {
	class, known := c.server.classIndex[method]
	if body.Err == nil && !known {
		return nil, fmt.Errorf("unknown method %q", method)
	}
	if parameters := body.ArrayHeader(); body.Err == nil && parameters != requestParameters {
		return nil, fmt.Errorf("%d parameters, expected %d", parameters, requestParameters)
	}
	fields, err := readFields(body)
	if err != nil {
		return nil, err
	}
	payload := body.Binary(maxBodyBytes)
	if body.Err != nil {
		return nil, body.Err
	}
	request := &broker.Request{
		Frontend:    c,
		ID:          fields[fieldRequestID],
		Class:       class,
		Team:        fields[fieldTeam],
		ObjectName:  fields[fieldObject],
		Key:         fields[fieldIdempotencyKey],
		ETag:        fields[fieldETag],
		MarkedRetry: fields[fieldMarkedRetry] == markedRetry,
		Body:        payload,
		Token:       fields[fieldToken],
		Caller:      &c.caller,
		ReceivedAt:  c.receivedAt,
	}
	if err := checkTextFields(request, &c.server.Classes[class]); err != nil {
		return nil, err
	}
	if err := parseNumberFields(request, fields); err != nil {
		return nil, err
	}
	return request, nil
}

// readFields parses the map of a request's fields.
func readFields(body *msgpack.Reader) (map[string]string, error) {
	pairs := body.MapHeader()
	if body.Err == nil && pairs > maxFields {
		return nil, fmt.Errorf("%d fields, expected at most %d", pairs, maxFields)
	}
	fields := map[string]string{}
	for ; pairs > 0 && body.Err == nil; pairs-- {
		name := string(body.Text(maxTextBytes))
		fields[name] = string(body.Text(maxValueBytes(name)))
	}
	return fields, body.Err
}

// maxValueBytes returns the largest size of a field's value, in bytes.
func maxValueBytes(field string) uint32 {
	if field == fieldToken {
		return identity.MaxTokenBytes
	}
	return maxTextBytes
}

// checkTextFields checks the fields of a request that are not numbers, and parses its object.
func checkTextFields(request *broker.Request, class *policy.Class) error {
	if !isID(request.ID) {
		return fmt.Errorf("%s %q: expected 16 hex digits", fieldRequestID, request.ID)
	}
	for _, word := range []string{request.Key, request.ETag} {
		if !isWord(word) {
			return fmt.Errorf("field value %.80q: expected at most 64 letters, digits and :.-_", word)
		}
	}
	if class.Idempotency == policy.IdempotentByKey && request.Key == "" {
		return errors.New(fieldIdempotencyKey + ": required in a keyed class")
	}
	if !isID(request.ObjectName) {
		return fmt.Errorf("%s %q: expected 16 hex digits", fieldObject, request.ObjectName)
	}
	request.Object, _ = strconv.ParseUint(request.ObjectName, 16, 64)
	if request.Object == 0 {
		request.Object = broker.ObjectZero
	}
	return nil
}

// parseNumberFields parses the fields of a request that are numbers.
func parseNumberFields(request *broker.Request, fields map[string]string) error {
	timeout, timeoutErr := parseNumber(fields, fieldTimeoutMillis, numberRange{minTimeoutMillis, maxTimeoutMillis}, "")
	part, partErr := parseNumber(fields, fieldPart, numberRange{0, maxPart}, "0")
	group, groupErr := parseNumber(fields, fieldGroup, numberRange{0, maxGroup}, "0")
	sizeKB, sizeErr := parseNumber(fields, fieldSizeKB, numberRange{0, maxSizeKB}, "0")
	if err := errors.Join(timeoutErr, partErr, groupErr, sizeErr); err != nil {
		return err
	}
	if part != math.Trunc(part) || group != math.Trunc(group) {
		return fmt.Errorf("%s %g, %s %g: expected whole numbers", fieldPart, part, fieldGroup, group)
	}
	request.Timeout = time.Duration(timeout * float64(time.Millisecond))
	request.Part = int(part)
	request.Group = int(group)
	request.SizeKB = sizeKB
	return nil
}

// numberRange is the range of numbers that a field may have, both ends included.
type numberRange struct{ min, max float64 }

// parseNumber parses a field as a decimal number without sign or exponent. A missing field is parsed as defaultText.
func parseNumber(fields map[string]string, name string, allowed numberRange, defaultText string) (float64, error) {
	text, ok := fields[name]
	if !ok {
		text = defaultText
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || strings.Trim(text, "0123456789.") != "" || !(number >= allowed.min && number <= allowed.max) {
		return 0, fmt.Errorf("%s %.80q: expected a number from %g to %g", name, text, allowed.min, allowed.max)
	}
	return number, nil
}

// isID reports whether a text is a request id or an object: 16 hex digits in lower case.
func isID(text string) bool {
	for i := range len(text) {
		if c := text[i]; (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return len(text) == requestIDDigits
}

// isWord reports whether a text can be part of a line to an endpoint. An endpoint closes the connection after a line
// that it can't parse, which fails all other requests on that connection.
func isWord(text string) bool {
	for i := range len(text) {
		c := text[i]
		letter := c|0x20 >= 'a' && c|0x20 <= 'z'
		if !letter && (c < '0' || c > '9') && c != '-' && c != '_' && c != '.' && c != ':' {
			return false
		}
	}
	return len(text) <= maxWordBytes
}
