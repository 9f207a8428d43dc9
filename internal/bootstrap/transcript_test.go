package bootstrap

import (
	"strconv"
	"strings"

	"sloequay/internal/digesttest"
	"sloequay/internal/membership"
)

// transcript records everything that the machines return, one output per line, and counts the outputs by kind. Its text
// consists of fixed words and numbers only, so that renaming types, fields or constants does not change the digests.
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

func eventText(event Event) string {
	switch event {
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
	case HintsContradict:
		return "note-contradicted"
	case PeerRefuted:
		return "note-refuted"
	case ChecksumMismatch:
		return "note-spoilt"
	}
	return "note-?"
}

func versionText(version ListVersion) string {
	return digesttest.Number(version.List) + ":" + digesttest.Unsigned(version.Version) + ":" +
		digesttest.Unsigned(version.Sum)
}

func endpointsText(endpoints []membership.Endpoint) string {
	var text strings.Builder
	for _, endpoint := range endpoints {
		text.WriteString(strings.Join([]string{
			endpoint.ID, endpoint.Address, digesttest.Number(endpoint.Zone), digesttest.Number(endpoint.Kind),
			digesttest.Number(endpoint.Cell),
			strconv.FormatFloat(endpoint.Weight, 'g', -1, 64), digesttest.Microseconds(endpoint.StartedAt),
			digesttest.Unsigned(endpoint.Incarnation), stateText(endpoint.State),
		}, ","))
		text.WriteByte(';')
	}
	return text.String()
}

// message records the kind and the content of a message.
func (x *transcript) message(from, to string, m Message) {
	words := []string{from, to, m.From, digesttest.Unsigned(m.Incarnation)}
	switch {
	case m.Digest != nil:
		for _, advertisement := range m.Digest {
			words = append(words, versionText(advertisement.ListVersion),
				digesttest.Microseconds(advertisement.LastSeen))
		}
		x.Write("send-digest", words...)
	case m.Fetch != nil:
		x.Write("send-want", append(words, versionText(m.Fetch.ListVersion), digesttest.Unsigned(m.Fetch.HaveSum))...)
	case m.Part != nil:
		x.Write("send-part", append(words, versionText(m.Part.ListVersion), digesttest.Number(m.Part.Number),
			digesttest.Number(m.Part.Total), endpointsText(m.Part.Endpoints))...)
	case m.Delta != nil:
		x.Write("send-delta", append(words, versionText(m.Delta.ListVersion), digesttest.Unsigned(m.Delta.BaseSum),
			endpointsText(m.Delta.Endpoints), strings.Join(m.Delta.Removed, ","))...)
	case m.Busy != nil && m.Busy.Peer != "":
		x.Write("send-busy-elsewhere", append(words, versionText(m.Busy.ListVersion), m.Busy.Peer)...)
	case m.Busy != nil:
		x.Write("send-busy", append(words, versionText(m.Busy.ListVersion))...)
	default:
		x.Write("send-?", words...)
	}
}

// effect records an effect of a machine.
func (x *transcript) effect(name string, e Effect) {
	switch e := e.(type) {
	case Send:
		x.message(name, e.To, e.Message)
	case SetPolling:
		x.Write("follow-"+digesttest.YesNo(e.On), name)
	case Adopt:
		x.Write("use-hint-"+digesttest.YesNo(e.Hint), name, digesttest.Number(e.List),
			digesttest.Unsigned(e.Version), endpointsText(e.Endpoints))
	case SourceStatus:
		x.Write("speaks-silent-"+digesttest.YesNo(e.Silent), name, digesttest.Number(e.List))
	case LogEntry:
		x.Write(eventText(e.Event), name, e.Peer, digesttest.Number(e.List))
	default:
		x.Write("effect-?", name)
	}
}
