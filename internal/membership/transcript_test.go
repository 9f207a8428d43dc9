package membership

import (
	"strconv"
	"strings"

	"sloequay/internal/digesttest"
)

func stateText(state State) string {
	switch state {
	case Gone:
		return "s0"
	case Draining:
		return "s1"
	case Up:
		return "s2"
	}
	return "s?"
}

func reasonText(reason Reason) string {
	switch reason {
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

func changeText(kind Kind) string {
	switch kind {
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

func noteText(kind NoteKind) string {
	switch kind {
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

func endpointText(endpoint Endpoint) string {
	return strings.Join([]string{
		endpoint.ID, endpoint.Address, digesttest.Number(endpoint.Zone), digesttest.Number(endpoint.Kind),
		digesttest.Number(endpoint.Cell), strconv.FormatFloat(endpoint.Weight, 'g', -1, 64),
		digesttest.Microseconds(endpoint.StartedAt), digesttest.Unsigned(endpoint.Incarnation),
		stateText(endpoint.State),
	}, ",")
}
