package membership

import (
	"strconv"
	"strings"

	"sloequay/internal/digesttest"
)

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
	case TableFull:
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
		b.ID, b.Address, digesttest.Number(b.Zone), digesttest.Number(b.Kind), digesttest.Number(b.Cell),
		strconv.FormatFloat(b.Weight, 'g', -1, 64), digesttest.Microseconds(b.StartedAt),
		digesttest.Unsigned(b.Incarnation), stateText(b.State),
	}, ",")
}
