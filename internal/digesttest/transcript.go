package digesttest

import (
	"strconv"
	"strings"
	"testing"
	"time"
)

// Transcript records results by their kinds, and counts the kinds. A kind that ends with a question mark stands for a
// value that the test has no word for.
type Transcript struct {
	recorder *Recorder
	counts   map[string]int
}

// NewTranscript returns a transcript that writes to a seed's recorder and adds to the counts of all seeds.
func NewTranscript(recorder *Recorder, counts map[string]int) *Transcript {
	return &Transcript{recorder, counts}
}

// Write records and counts one result: its kind and its words in one line.
func (x *Transcript) Write(kind string, words ...string) {
	x.Count(kind)
	x.recorder.Add("%s %s", kind, strings.Join(words, " "))
}

// Count counts a kind without recording anything.
func (x *Transcript) Count(kind string) { x.counts[kind]++ }

// CheckKnown fails a test in which a kind ends with a question mark.
func CheckKnown(t *testing.T, counts map[string]int) {
	t.Helper()
	for kind, n := range counts {
		if strings.HasSuffix(kind, "?") {
			t.Errorf("%d results have a value that this test does not know: %s", n, kind)
		}
	}
}

// Number writes an integer.
func Number(n int) string { return strconv.Itoa(n) }

// Unsigned writes an integer without a sign.
func Unsigned(n uint64) string { return strconv.FormatUint(n, 10) }

// Microseconds writes a time as a number of microseconds.
func Microseconds(d time.Duration) string { return strconv.FormatInt(d.Microseconds(), 10) }

var yesNo = map[bool]string{true: "yes", false: "no"}

// YesNo writes a truth value as a word.
func YesNo(b bool) string { return yesNo[b] }

// Flags writes truth values as digits.
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
