package digesttest

import (
	"strconv"
	"strings"
	"testing"
	"time"
)

// Transcript records results, each of a named kind, and counts them by kind. A kind that ends with a question mark
// stands for a value that the test has no name for.
type Transcript struct {
	recorder *Recorder
	counts   map[string]int
}

// NewTranscript returns a transcript that writes to the recorder of one seed and adds to counts, which all seeds share.
func NewTranscript(recorder *Recorder, counts map[string]int) *Transcript {
	return &Transcript{recorder, counts}
}

// Write records one result as a line of its kind and words, and counts it.
func (x *Transcript) Write(kind string, words ...string) {
	x.Count(kind)
	x.recorder.Add("%s %s", kind, strings.Join(words, " "))
}

// Count counts one result of a kind without recording it.
func (x *Transcript) Count(kind string) { x.counts[kind]++ }

// CheckKnown fails the test if a kind ends with a question mark.
func CheckKnown(t *testing.T, counts map[string]int) {
	t.Helper()
	for kind, n := range counts {
		if strings.HasSuffix(kind, "?") {
			t.Errorf("%d results have a value that the test has no name for: %s", n, kind)
		}
	}
}

// Number formats an integer.
func Number(n int) string { return strconv.Itoa(n) }

// Unsigned formats an unsigned integer.
func Unsigned(n uint64) string { return strconv.FormatUint(n, 10) }

// Microseconds formats a duration as a number of microseconds.
func Microseconds(d time.Duration) string { return strconv.FormatInt(d.Microseconds(), 10) }

var yesNo = map[bool]string{true: "yes", false: "no"}

// YesNo formats a boolean as yes or no.
func YesNo(b bool) string { return yesNo[b] }

// Flags formats booleans as digits: 1 for true, 0 for false.
func Flags(values ...bool) string {
	text := make([]byte, len(values))
	for i, value := range values {
		text[i] = '0'
		if value {
			text[i] = '1'
		}
	}
	return string(text)
}
