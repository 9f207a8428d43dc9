package bootstrap

import (
	"strconv"
	"strings"

	"sloequay/internal/digesttest"
	"sloequay/internal/membership"
)

// transcript records all that the machines return, one output a line, and counts the outputs by kind. Its text is made
// of fixed words and numbers alone, so that it does not change with the names of types, fields and constants.
type transcript struct {
	*digesttest.Transcript
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
	case PollingStarted:
		return "note-asks"
	case PollingStopped:
		return "note-listens"
	case IsolatedPollingStarted:
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
	return digesttest.Number(k.List) + ":" + digesttest.Unsigned(k.Version) + ":" + digesttest.Unsigned(k.Sum)
}

func endpointsText(all []membership.Endpoint) string {
	var out strings.Builder
	for _, b := range all {
		out.WriteString(strings.Join([]string{
			b.ID, b.Address, digesttest.Number(b.Zone), digesttest.Number(b.Kind), digesttest.Number(b.Cell),
			strconv.FormatFloat(b.Weight, 'g', -1, 64), digesttest.Microseconds(b.StartedAt),
			digesttest.Unsigned(b.Incarnation), stateText(b.State),
		}, ","))
		out.WriteByte(';')
	}
	return out.String()
}

// message records a message by its kind and content.
func (x *transcript) message(from, to string, m Message) {
	head := []string{from, to, m.From, digesttest.Unsigned(m.Incarnation)}
	switch {
	case m.Digest != nil:
		for _, c := range m.Digest {
			head = append(head, versionText(c.ListVersion), digesttest.Microseconds(c.LastSeen))
		}
		x.Write("send-digest", head...)
	case m.Fetch != nil:
		x.Write("send-want", append(head, versionText(m.Fetch.ListVersion), digesttest.Unsigned(m.Fetch.HaveSum))...)
	case m.Part != nil:
		x.Write("send-part", append(head, versionText(m.Part.ListVersion), digesttest.Number(m.Part.Number),
			digesttest.Number(m.Part.Total), endpointsText(m.Part.Endpoints))...)
	case m.Delta != nil:
		x.Write("send-delta", append(head, versionText(m.Delta.ListVersion), digesttest.Unsigned(m.Delta.BaseSum),
			endpointsText(m.Delta.Endpoints), strings.Join(m.Delta.Removed, ","))...)
	case m.Busy != nil && m.Busy.Peer != "":
		x.Write("send-busy-elsewhere", append(head, versionText(m.Busy.ListVersion), m.Busy.Peer)...)
	case m.Busy != nil:
		x.Write("send-busy", append(head, versionText(m.Busy.ListVersion))...)
	default:
		x.Write("send-?", head...)
	}
}

// effect records an effect of a machine.
func (x *transcript) effect(of string, e Effect) {
	switch e := e.(type) {
	case Send:
		x.message(of, e.To, e.Message)
	case SetPolling:
		x.Write("follow-"+digesttest.YesNo(e.On), of)
	case Adopt:
		x.Write("use-hint-"+digesttest.YesNo(e.Hint), of, digesttest.Number(e.List),
			digesttest.Unsigned(e.Version), endpointsText(e.Endpoints))
	case SourceStatus:
		x.Write("speaks-silent-"+digesttest.YesNo(e.Silent), of, digesttest.Number(e.List))
	case LogEntry:
		x.Write(eventText(e.Event), of, e.Peer, digesttest.Number(e.List))
	default:
		x.Write("effect-?", of)
	}
}
