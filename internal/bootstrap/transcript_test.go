package bootstrap

import (
	"fmt"
	"hash"
	"strconv"
	"strings"
	"time"

	"sloequay/internal/membership"
)

// transcript digests all that the machines return, one output a line, and counts the outputs by kind. Its text is
// made of fixed words and numbers alone, so that it does not change with the names of types, fields and constants.
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

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func stateText(s membership.State) string {
	switch s {
	case membership.Gone:
		return "s0"
	case membership.Draining:
		return "s1"
	case membership.Up:
		return "s2"
	}
	return "s?"
}

func eventText(w Event) string {
	switch w {
	case Polling:
		return "note-asks"
	case Following:
		return "note-listens"
	case Isolated:
		return "note-alone"
	case ListAccepted:
		return "note-believed"
	case HintUsed:
		return "note-hinted"
	case PeerRefuted:
		return "note-refuted"
	case ChecksumMismatch:
		return "note-spoilt"
	}
	return "note-?"
}

func versionText(k ListVersion) string {
	return number(k.List) + ":" + unsigned(k.Version) + ":" + unsigned(k.Sum)
}

func endpointsText(all []membership.Endpoint) string {
	var out strings.Builder
	for _, b := range all {
		out.WriteString(strings.Join([]string{b.ID, b.Address, number(b.Zone), number(b.Kind), number(b.Cell),
			strconv.FormatFloat(b.Weight, 'g', -1, 64), microseconds(b.StartedAt), unsigned(b.Incarnation),
			stateText(b.State)}, ","))
		out.WriteByte(';')
	}
	return out.String()
}

// message records a message by its kind and content.
func (x *transcript) message(from, to string, m Message) {
	head := []string{from, to, m.From, unsigned(m.Incarnation)}
	switch {
	case m.Digest != nil:
		for _, c := range m.Digest {
			head = append(head, versionText(c.ListVersion), microseconds(c.LastSeen))
		}
		x.write("send-digest", head...)
	case m.Fetch != nil:
		x.write("send-want", append(head, versionText(m.Fetch.ListVersion), unsigned(m.Fetch.HaveSum))...)
	case m.Part != nil:
		x.write("send-part", append(head, versionText(m.Part.ListVersion), number(m.Part.Number), number(m.Part.Total),
			endpointsText(m.Part.Endpoints))...)
	case m.Delta != nil:
		x.write("send-delta", append(head, versionText(m.Delta.ListVersion), unsigned(m.Delta.BaseSum),
			endpointsText(m.Delta.Endpoints), strings.Join(m.Delta.Removed, ","))...)
	case m.Busy != nil && m.Busy.Peer != "":
		x.write("send-busy-elsewhere", append(head, versionText(m.Busy.ListVersion), m.Busy.Peer)...)
	case m.Busy != nil:
		x.write("send-busy", append(head, versionText(m.Busy.ListVersion))...)
	default:
		x.write("send-?", head...)
	}
}

// effect records an effect of a machine.
func (x *transcript) effect(of string, e Effect) {
	switch e := e.(type) {
	case Send:
		x.message(of, e.To, e.Message)
	case Poll:
		x.write("follow-"+yesNo(e.On), of)
	case Adopt:
		x.write("use-hint-"+yesNo(e.Hint), of, number(e.List), unsigned(e.Version), endpointsText(e.Endpoints))
	case SourceStatus:
		x.write("speaks-silent-"+yesNo(e.Silent), of, number(e.List))
	case LogEntry:
		x.write(eventText(e.Event), of, e.Peer, number(e.List))
	default:
		x.write("effect-?", of)
	}
}
