package membership

import (
	"fmt"
	"hash"
	"strconv"
	"strings"
	"time"
)

// transcript digests all that a table gives back, one output a line, and counts the outputs by kind. Its text is made
// from plain words and numbers alone, so that it does not change with the names of types, fields and constants.
type transcript struct {
	digest hash.Hash
	lines  int
	counts map[string]int
}

func (x *transcript) write(kind string, words ...string) {
	x.lines++
	x.counts[kind]++
	fmt.Fprintf(x.digest, "%s %s\n", kind, strings.Join(words, " "))
}

func number(n int) string                 { return strconv.Itoa(n) }
func unsigned(n uint64) string            { return strconv.FormatUint(n, 10) }
func microseconds(d time.Duration) string { return strconv.FormatInt(d.Microseconds(), 10) }

func stateText(s State) string {
	switch s {
	case Gone:
		return "s0"
	case Draining:
		return "s1"
	case Up:
		return "s2"
	}
	return "s?"
}

func reasonText(w Reason) string {
	switch w {
	case Reported:
		return "reason-word"
	case Unlisted:
		return "reason-unnamed"
	case Suppressed:
		return "reason-held"
	case Replaced:
		return "reason-replaced"
	}
	return "reason-?"
}

func changeText(k Kind) string {
	switch k {
	case Removed:
		return "change-left"
	case Added:
		return "change-added"
	case StartedDraining:
		return "change-drains"
	case Moved:
		return "change-moved"
	case Restarted:
		return "change-restarted"
	case Recovered:
		return "change-back"
	case Modified:
		return "change-altered"
	}
	return "change-?"
}

func noteText(k NoteKind) string {
	switch k {
	case LossSuspected:
		return "note-loss-doubted"
	case LossConfirmed:
		return "note-loss-confirmed"
	case LossRefuted:
		return "note-loss-refuted"
	case Renamed:
		return "note-renamed"
	case DuplicateID:
		return "note-named-twice"
	case ListFull:
		return "note-list-full"
	case EndpointSuppressed:
		return "note-held"
	case EndpointReleased:
		return "note-released"
	}
	return "note-?"
}

func endpointText(b Endpoint) string {
	return strings.Join([]string{
		b.ID, b.Address, number(b.Zone), number(b.Kind), number(b.Cell), strconv.FormatFloat(b.Weight, 'g', -1, 64),
		microseconds(b.StartedAt), unsigned(b.Incarnation), stateText(b.State),
	}, ",")
}

func yes(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
