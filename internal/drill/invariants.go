package drill

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Invariant is one line `hold CHECK ...` of a plan: a condition that must hold.
type Invariant struct {
	Line string // as written

	name     string // of the check
	bound    float64
	share    float64       // of the process starts, for the check "ready"
	from, to time.Duration // times in the drill; to 0: its end
}

// checkForm is the syntax of a check in a plan, and its implementation.
type checkForm struct {
	minWords, maxWords int // after the check's name
	usage              string
	// check adds the violations of the invariant to found, and returns a summary of what was checked. The caller holds
	// the record's lock.
	check func(r *Record, invariant Invariant, found *findings) (summary string)
}

// checkForms holds the checks by their names in plans. A new check needs an entry here, a method on Record, and a case
// in TestEachCheckCanFail that makes it fail.
var checkForms = map[string]checkForm{
	"answers": {
		usage: "each request has exactly one final answer, unless its proxy was killed or stopped",
		check: (*Record).checkAnswers,
	},
	"repeats": {
		usage: "no two attempts of a request at once, none after a successful one, no more than its class allows",
		check: (*Record).checkRepeats,
	},
	"ledger": {
		usage: "each charge that was answered as posted is posted, and none is posted twice",
		check: (*Record).checkLedger,
	},
	"drains": {
		minWords: 1,
		maxWords: 1,
		usage:    "TIME: no endpoint receives an attempt later than TIME after its drain was published",
		check:    (*Record).checkDrains,
	},
	"left": {
		minWords: 1,
		maxWords: 1,
		usage:    "TIME: no attempt starts later than TIME after its client has canceled",
		check:    (*Record).checkCancellations,
	},
	"deadlines": {
		minWords: 1,
		maxWords: 1,
		usage:    "TIME: no endpoint is given more time than the client has left plus TIME",
		check:    (*Record).checkDeadlines,
	},
	"monitors": {
		usage: "no proxy has detected a violation of its own invariants",
		check: (*Record).checkMonitors,
	},
	"upright": {
		usage: "no endpoint crashed from overload",
		check: (*Record).checkOverloads,
	},
	"served": {
		minWords: 1,
		maxWords: 1,
		usage:    "SHARE: at least this share of the requests is served",
		check:    (*Record).checkServed,
	},
	"ready": {
		minWords: 1,
		maxWords: 2,
		usage:    "TIME [SHARE]: at least SHARE of the started processes are ready within TIME; default: all",
		check:    (*Record).checkReady,
	},
	"alive": {
		usage: "no proxy process ended without being told to",
		check: (*Record).checkAlive,
	},
	"list-calls": {
		minWords: 1,
		maxWords: 1,
		usage:    "N: the list service receives at most N calls",
		check:    (*Record).checkListCalls,
	},
	"list-peak": {
		minWords: 1,
		maxWords: 1,
		usage:    "N: the list service receives at most N calls within any second",
		check:    (*Record).checkListPeak,
	},
	"peer-bytes": {
		minWords: 1,
		maxWords: 1,
		usage:    "N: no proxy sends its peers more than N bytes per second on average",
		check:    (*Record).checkPeerBytes,
	},
	"box-connections": {
		minWords: 1,
		maxWords: 1,
		usage:    "N: no endpoint accepts more than N new connections within any second",
		check:    (*Record).checkEndpointConnections,
	},
}

// parseInvariant parses the words after `hold`.
func parseInvariant(words []string) (Invariant, error) {
	invariant := Invariant{Line: strings.Join(words, " "), share: 1}
	if len(words) == 0 {
		return invariant, errors.New("expected a check")
	}
	invariant.name = words[0]
	rest, err := invariant.parseSpan(words[1:])
	if err != nil {
		return invariant, err
	}
	form, ok := checkForms[invariant.name]
	if !ok {
		return invariant, fmt.Errorf("unknown check %.40q; the checks are %s", invariant.name, sortedNames(checkForms))
	}
	if len(rest) < form.minWords || len(rest) > form.maxWords {
		return invariant, fmt.Errorf("%s takes: %s", invariant.name, form.usage)
	}
	if len(rest) > 0 {
		if invariant.bound, err = parseBound(rest[0]); err != nil {
			return invariant, fmt.Errorf("%s: %w", invariant.name, err)
		}
	}
	if len(rest) > 1 {
		invariant.share, _ = strconv.ParseFloat(rest[1], 64)
	}
	return invariant, nil
}

// parseSpan parses `from TIME` and `to TIME` at the end of a line, and returns the words before them.
func (i *Invariant) parseSpan(words []string) ([]string, error) {
	for n := len(words); n >= 2 && (words[n-2] == "from" || words[n-2] == "to"); n = len(words) {
		at, err := time.ParseDuration(words[n-1])
		if err != nil || at < 0 {
			return nil, fmt.Errorf("expected a time after %s, got %.40q", words[n-2], words[n-1])
		}
		if words[n-2] == "from" {
			i.from = at
		} else {
			i.to = at
		}
		words = words[:n-2]
	}
	return words, nil
}

// parseBound parses a time, which it returns in seconds, or a number.
func parseBound(word string) (float64, error) {
	if span, err := time.ParseDuration(word); err == nil && span > 0 {
		return span.Seconds(), nil
	}
	number, err := strconv.ParseFloat(word, 64)
	if err != nil || !(number >= 0) {
		return 0, fmt.Errorf("expected a number or a time, got %.40q", word)
	}
	return number, nil
}

// boundTime returns the bound as a duration.
func (i Invariant) boundTime() time.Duration { return time.Duration(i.bound * float64(time.Second)) }

// covers reports whether the invariant applies to a time of the drill.
func (i Invariant) covers(at time.Duration) bool { return at >= i.from && (i.to == 0 || at < i.to) }
