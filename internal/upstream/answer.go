package upstream

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"time"

	"sloequay/internal/broker"
	"sloequay/internal/policy"
)

const (
	mostLine   = 4096
	mostAnswer = 256 << 10 // an object's part is at most 240,000 bytes
)

// answer is one answer of a depot.
type answer struct {
	id, word string
	said     string // word, fields and length as they came
	fields   []broker.Field
	body     []byte
}

// ends is what the words of an answer mean for an attempt.
var ends = map[string]broker.End{
	"ACK": broker.Served, "NOMOD": broker.NotModified, "NOENT": broker.CacheMiss, "AGAIN": broker.Rejected,
	"EIO": broker.Failed, "STALE": broker.AlreadyEnded,
}

// probes is what they mean for a probe.
var probes = map[string]policy.Status{"READY": policy.StatusOK, "AILING": policy.StatusError}

// notes is the words of a remark.
var notes = map[string]policy.Note{
	"hit": policy.NoteHit, "filled": policy.NoteFilled, "via_origin": policy.NoteFilledOrigin,
	"joined": policy.NoteJoined, "stale": policy.NoteStale, "src_refused": policy.NoteSourceRejected,
	"src_broke": policy.NoteSourceLost, "src_lacks": policy.NoteSourceMiss, "no_slot": policy.NoteNoCapacity,
	"origin_failed": policy.NoteOriginFailed,
}

// parse takes one answer off the front of data: "ID WORD FIELDS LENGTH CR LF", the bytes, CR LF. With used 0 and no
// error it is not whole yet.
// Body lies in data.
func parse(data []byte) (a answer, used int, err error) {
	end := bytes.Index(data[:min(len(data), mostLine)], []byte("\r\n"))
	if end < 0 {
		if len(data) >= mostLine {
			return a, 0, fmt.Errorf("a line of over %d bytes", mostLine)
		}
		return a, 0, nil
	}
	words := strings.Split(string(data[:end]), " ")
	if len(words) != 4 {
		return a, 0, fmt.Errorf("a line of %d words, expected 4", len(words))
	}
	length, err := strconv.ParseUint(words[3], 10, 32)
	if err != nil || length > mostAnswer {
		return a, 0, fmt.Errorf("length %.32q, expected at most %d", words[3], mostAnswer)
	}
	start, stop := end+2, end+2+int(length)
	if len(data) < stop+2 {
		return a, 0, nil
	}
	if data[stop] != '\r' || data[stop+1] != '\n' {
		return a, 0, fmt.Errorf("%d bytes are not followed by CR LF", length)
	}
	a.id, a.word, a.said = words[0], words[1], strings.Join(words[1:], " ")
	_, isEnd := ends[a.word]
	if _, isProbe := probes[a.word]; !isEnd && !isProbe {
		return a, 0, fmt.Errorf("unknown word %.32q", a.word)
	}
	if words[2] != "-" {
		for _, f := range strings.Split(words[2], ",") {
			name, value, ok := strings.Cut(f, "=")
			if !ok || name == "" {
				return a, 0, fmt.Errorf("field %.32q, expected name=value", f)
			}
			a.fields = append(a.fields, broker.Field{Name: name, Value: value})
		}
	}
	a.body = data[start:stop]
	return a, stop + 2, nil
}

// begun gives the id of an answer that has come in part; empty: not even that is whole.
func begun(data []byte) string {
	id, _, _ := bytes.Cut(data[:min(len(data), mostLine)], []byte(" "))
	if len(id) == len(data) {
		return ""
	}
	return string(id)
}

func (a *answer) field(name string) string {
	for _, f := range a.fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// ending is what the answer says of an attempt.
func (a *answer) ending(attempt *broker.Attempt) broker.AttemptEnded {
	e := broker.AttemptEnded{Attempt: attempt, End: ends[a.word], Note: notes[a.field("remark")], Body: a.body,
		Fields: a.fields}
	if lag, err := strconv.ParseFloat(a.field("lag"), 64); err == nil && lag > 0 && lag < 1e9 {
		e.SourceDelay = time.Duration(lag * float64(time.Millisecond))
	}
	return e
}

// ask writes the line and body of an attempt.
func ask(b []byte, a *broker.Attempt, class string, age, wait time.Duration) []byte {
	r := a.Request
	b = append(b, "ASK "...)
	b = append(b, r.ID...)
	field := func(sep, name, value string) {
		if value != "" {
			b = append(append(append(append(b, sep...), name...), '='), value...)
		}
	}
	field(" ", "profile", class)
	field(",", "thing", r.ObjectName)
	field(",", "nth", strconv.Itoa(r.Part))
	field(",", "max", strconv.FormatInt(max(1, wait.Milliseconds()), 10))
	field(",", "replay", r.Key)
	if a.Source != a.Endpoint {
		field(",", "via", a.Source.Name)
	}
	if a.CacheRank > 0 {
		field(",", "tier", strconv.Itoa(a.CacheRank))
	}
	if age > 0 {
		field(",", "fresh", strconv.FormatInt(max(1, age.Milliseconds()), 10))
	}
	var opts []string
	for _, o := range []struct {
		on   bool
		word string
	}{{a.JoinFill, "ride"}, {a.CachedOnly, "have-only"}, {a.BypassParent, "through"}, {a.Revalidate, "update"}} {
		if o.on {
			opts = append(opts, o.word)
		}
	}
	field(",", "opts", strings.Join(opts, "+"))
	field(",", "known", r.ETag)
	b = append(strconv.AppendInt(append(b, ' '), int64(len(r.Body)), 10), "\r\n"...)
	return append(append(b, r.Body...), "\r\n"...)
}
