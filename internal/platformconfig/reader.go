package platformconfig

import (
	"fmt"
	"math"
	"time"

	"github.com/tidwall/gjson"
)

const (
	// maxDuration is the largest time in nanoseconds that Milliseconds returns, with either sign.
	maxDuration = time.Duration(1 << 62)
	// maxExactInteger bounds the integers that a JSON number holds without rounding.
	maxExactInteger = 1 << 53
)

// Milliseconds converts a number of milliseconds. One beyond what a duration holds becomes the nearest that it does,
// and no number becomes 0.
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

// KeyError is a value of the configuration that cannot be used.
type KeyError struct {
	Key    string // path of the value, as settings.classes[0].name; empty: the whole file
	Reason string
}

// Error returns it as key: reason.
func (e *KeyError) Error() string { return e.Key + ": " + e.Reason }

// reader takes values out of one JSON object. It keeps the first fault, which names the key.
type reader struct {
	json   gjson.Result
	prefix string // path of the object with a dot behind it; empty at the top level
	err    error
}

// parseObject makes a reader of the object in text, which is at path.
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

// get looks a key up. One that is absent or null gives the zero Result and is no fault.
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

// integerOr returns the default value where the key is absent.
func (r *reader) integerOr(key string, defaultValue int) int {
	value := r.get(key, "a whole number", isInteger)
	if !value.Exists() {
		return defaultValue
	}
	return int(value.Num)
}

func (r *reader) text(key string) string { return r.get(key, "a text", isString).String() }

func (r *reader) flag(key string) bool {
	return r.get(key, "true or false", gjson.Result.IsBool).Bool()
}

func (r *reader) object(key string) gjson.Result {
	return r.get(key, "an object", gjson.Result.IsObject)
}

func (r *reader) array(key string) []gjson.Result {
	return r.get(key, "a list", gjson.Result.IsArray).Array()
}

// list reads an array whose elements are all valid.
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
	return list(r, key, "a text", isString, gjson.Result.String)
}

// word looks a text up in a table of the words that the key may have.
func word[T any](r *reader, key string, table map[string]T) T {
	text := r.text(key)
	value, known := table[text]
	if !known {
		r.fail(key, fmt.Sprintf("unknown word %q", text))
	}
	return value
}

// elementOrZero returns an element of a list, or the zero value where the list is shorter.
func elementOrZero[T any](list []T, index int) T {
	var zero T
	if index < len(list) {
		return list[index]
	}
	return zero
}
