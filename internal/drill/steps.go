package drill

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Step is one line `at TIME STEP ...` of a plan: an action that is applied at a time.
type Step struct {
	At   time.Duration
	For  time.Duration // after which it is undone; 0: it is not undone
	Line string        // as written

	action action
}

// action is what a step does, parsed from its words.
type action interface {
	// prepare resolves the names in the step for a cluster, before the drill starts.
	prepare(c *Cluster, step Step) (operation, error)
}

// operation is an action prepared for a cluster. Both functions may block: each call runs on its own goroutine.
type operation struct {
	apply func() error
	undo  func() error // nil: the action can't be undone, whatever the step's For
}

// serialized returns an operation whose undo waits until a running apply has returned, and vice versa.
func (o operation) serialized() operation {
	var mu sync.Mutex
	serialized := operation{apply: func() error {
		mu.Lock()
		defer mu.Unlock()
		return o.apply()
	}}
	if o.undo != nil {
		serialized.undo = func() error {
			mu.Lock()
			defer mu.Unlock()
			return o.undo()
		}
	}
	return serialized
}

// stepForm is the syntax of a step in a plan.
type stepForm struct {
	minWords, maxWords int // after the step's name
	usage              string
	parse              func(words []string) (action, error)
}

// errUsage reports that a step's words do not have its form; parseStep replaces it by an error with the usage.
var errUsage = errors.New("words do not match the step's form")

// stepForms holds the form of each step by its name in plans. A new step needs an entry here, a parse function and an
// action with a prepare method.
var stepForms = map[string]stepForm{
	"start":        {1, 2, "WHO [with-disk|without-disk|old-disk]", parseStart},
	"kill":         {1, 1, "WHO: SIGKILL", parseKill},
	"term":         {1, 1, "WHO: SIGTERM", parseTerminate},
	"finish":       {1, 1, "WHO: SIGTERM, then SIGKILL at the earliest time that the protocol allows", parseFinish},
	"stop":         {1, 1, "WHO: SIGSTOP, then SIGCONT when the step ends", parsePause},
	"hup":          {1, 1, "WHO: SIGHUP", parseReload},
	"files":        {1, 2, "WHO [broken]: rewrite the configuration files, truncated if broken", parseFiles},
	"crowd":        {2, 2, "WHO N: connect N idle clients to each; some send half a message", parseIdleClients},
	"clock":        {2, 2, "WHO TIME: set the Unix clock ahead by TIME from the next start on", parseClock},
	"roll":         {2, 3, "WHO GAP [TIMES]: kill and restart one after another", parseRollingRestart},
	"keep-disk":    {1, 1, "WHO: save the contents of the disk for old-disk", parseKeepDisk},
	"cut":          {2, 3, "WHO WHO [one-way]", parseCut},
	"refuse":       {2, 2, "WHO WHO", parseRefuse},
	"reset":        {2, 2, "WHO WHO", parseReset},
	"delay":        {3, 4, "WHO WHO TIME [JITTER]", parseDelay},
	"lose":         {3, 3, "WHO WHO SHARE", parseLoss},
	"double":       {3, 3, "WHO WHO SHARE: of datagrams", parseDuplicate},
	"reorder":      {3, 3, "WHO WHO SHARE: of datagrams", parseReorder},
	"slow":         {3, 3, "WHO WHO BYTES/s", parseSlow},
	"list":         {1, 2, "hang, refuse, empty, old TIME, rate N/s or well", parseListFault},
	"drain":        {1, 1, "BOX", parseDrain},
	"up":           {1, 1, "BOX", parseUndrain},
	"die":          {1, 1, "BOX: crash, and come back cold when the step ends", parseCrash},
	"hang":         {1, 1, "BOX: read requests but answer none", parseHang},
	"liar":         {2, 2, "PLAZA empty, dead or many: add a peer that advertises such a false list", parseByzantine},
	"same-address": {1, 1, "N: add N endpoints to the list that share one address", parseSameAddress},
}

// parseStep parses the words after `at`.
func parseStep(words []string) (Step, error) {
	step := Step{Line: strings.Join(words, " ")}
	if len(words) < 2 {
		return step, errors.New("expected a time and a step")
	}
	var err error
	if step.At, err = time.ParseDuration(words[0]); err != nil || step.At < 0 {
		return step, fmt.Errorf("expected a time such as 5s, got %.40q", words[0])
	}
	word, rest := words[1], words[2:]
	if n := len(rest); n >= 2 && rest[n-2] == "for" {
		if step.For, err = time.ParseDuration(rest[n-1]); err != nil || step.For <= 0 {
			return step, fmt.Errorf("expected a time after `for`, got %.40q", rest[n-1])
		}
		rest = rest[:n-2]
	}
	form, ok := stepForms[word]
	if !ok {
		return step, fmt.Errorf("unknown step %.40q; the steps are %s", word, sortedNames(stepForms))
	}
	if len(rest) < form.minWords || len(rest) > form.maxWords {
		return step, fmt.Errorf("%s takes %s", word, form.usage)
	}
	step.action, err = form.parse(rest)
	if errors.Is(err, errUsage) {
		err = fmt.Errorf("%s takes %s", word, form.usage)
	}
	return step, err
}

// parseCount parses a whole number from lowest to highest.
func parseCount(word string, lowest, highest int) (int, error) {
	n, err := strconv.Atoi(word)
	if err != nil || n < lowest || n > highest {
		return 0, fmt.Errorf("expected a number from %d to %d, got %.40q", lowest, highest, word)
	}
	return n, nil
}

// sortedNames returns the keys of a table, sorted and joined for an error text.
func sortedNames[T any](table map[string]T) string {
	return strings.Join(slices.Sorted(maps.Keys(table)), ", ")
}
