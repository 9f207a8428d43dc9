package platformconfig

import (
	"fmt"
	"math"
	"time"

	"github.com/tidwall/gjson"
)

const (
	// maxDuration bounds the durations, positive and negative, that Milliseconds returns.
	maxDuration = time.Duration(1 << 62)
	// maxExactInteger bounds the integers that a JSON number, which is parsed as a float64, holds exactly.
	maxExactInteger = 1 << 53
)

// Milliseconds converts a number of milliseconds to a duration. It returns at most maxDuration and at least
// -maxDuration, and 0 for NaN.
func Milliseconds(value float64) time.Duration {
	nanoseconds := value * float64(time.Millisecond)
	switch {
	case math.IsNaN(nanoseconds):
		return 0
	case nanoseconds > float64(maxDuration):
		return maxDuration
	case nanoseconds < -float64(maxDuration):
		return -maxDuration
	}
	return time.Duration(nanoseconds)
}

// KeyError reports an invalid value in the configuration.
type KeyError struct {
	Key    string // path of the value, such as settings.classes[0].name; empty: the whole file
	Reason string
}

// Error returns the error as "key: reason".
func (e *KeyError) Error() string { return e.Key + ": " + e.Reason }

// reader reads the values of one JSON object by key. It keeps the first fault in err.
type reader struct {
	json   gjson.Result
	prefix string // path of the object and a dot; empty: top level
	err    error
}

// parseObject returns a reader of a JSON object. path is the object's path in the configuration.
func parseObject(text []byte, path string) *reader {
	r := &reader{json: gjson.ParseBytes(text), prefix: path}
	if !gjson.ValidBytes(text) {
		r.err = &KeyError{Key: path, Reason: "not valid JSON"}
	} else if !r.json.IsObject() {
		r.err = &KeyError{Key: path, Reason: "not an object"}
	}
	if path != "" {
		r.prefix += "."
	}
	return r
}

// get returns the value of a key, or the zero Result if the key is absent or null, which is no fault, or if the value
// is invalid.
func (r *reader) get(key, expected string, isValid func(gjson.Result) bool) gjson.Result {
	value := r.json.Get(key)
	if !value.Exists() || value.Type == gjson.Null {
		return gjson.Result{}
	}
	if !isValid(value) {
		r.fail(key, "expected "+expected)
		return gjson.Result{}
	}
	return value
}

func (r *reader) fail(key, reason string) {
	if r.err == nil {
		r.err = &KeyError{Key: r.prefix + key, Reason: reason}
	}
}

func isNumber(value gjson.Result) bool { return value.Type == gjson.Number }

func isString(value gjson.Result) bool { return value.Type == gjson.String }

func isInteger(value gjson.Result) bool {
	return isNumber(value) && value.Num == math.Trunc(value.Num) && math.Abs(value.Num) < maxExactInteger
}

func (r *reader) number(key string) float64 { return r.get(key, "a number", isNumber).Float() }

func (r *reader) milliseconds(key string) time.Duration { return Milliseconds(r.number(key)) }

func (r *reader) integer(key string) int { return r.integerOr(key, 0) }

// integerOr returns the integer of a key, or the default value if the key is absent or invalid.
func (r *reader) integerOr(key string, defaultValue int) int {
	value := r.get(key, "a whole number", isInteger)
	if !value.Exists() {
		return defaultValue
	}
	return int(value.Num)
}

func (r *reader) text(key string) string { return r.get(key, "a string", isString).String() }

func (r *reader) flag(key string) bool {
	return r.get(key, "true or false", gjson.Result.IsBool).Bool()
}

func (r *reader) object(key string) gjson.Result {
	return r.get(key, "an object", gjson.Result.IsObject)
}

func (r *reader) array(key string) []gjson.Result {
	return r.get(key, "an array", gjson.Result.IsArray).Array()
}

// list converts the elements of an array, and records a fault for each that is invalid.
func list[T any](
	r *reader, key, expected string, isValid func(gjson.Result) bool, convert func(gjson.Result) T,
) []T {
	var out []T
	for i, value := range r.array(key) {
		if !isValid(value) {
			r.fail(fmt.Sprintf("%s[%d]", key, i), "expected "+expected)
		}
		out = append(out, convert(value))
	}
	return out
}

func (r *reader) numbers(key string) []float64 {
	return list(r, key, "a number", isNumber, gjson.Result.Float)
}

func (r *reader) integers(key string) []int {
	return list(r, key, "a number", isNumber, func(value gjson.Result) int { return int(value.Int()) })
}

func (r *reader) flags(key string) []bool {
	return list(r, key, "true or false", gjson.Result.IsBool, gjson.Result.Bool)
}

func (r *reader) texts(key string) []string {
	return list(r, key, "a string", isString, gjson.Result.String)
}

// enum returns the value that a table assigns to the string under a key. A string that is not in the table is a fault.
func enum[T any](r *reader, key string, table map[string]T) T {
	text := r.text(key)
	value, known := table[text]
	if !known {
		r.fail(key, fmt.Sprintf("unknown value %q", text))
	}
	return value
}

// elementOrZero returns the element with an index, or the zero value if there are fewer elements.
func elementOrZero[T any](values []T, index int) T {
	var zero T
	if index < len(values) {
		return values[index]
	}
	return zero
}
