package drill

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// minBytesPerSecond is the lowest link rate that a plan may set.
const minBytesPerSecond = 100

// linkAction sets the faults of the links between two sets of nodes.
type linkAction struct {
	from, to string // selectors
	oneWay   bool
	faults   linkFaults
}

func parseCut(words []string) (action, error) {
	cut := linkAction{from: words[0], to: words[1], faults: linkFaults{cut: true}}
	if len(words) > 2 {
		if words[2] != "one-way" {
			return nil, linkError("cut", "one-way", words[2])
		}
		cut.oneWay = true
	}
	return cut, nil
}

func parseRefuse(words []string) (action, error) {
	return linkAction{from: words[0], to: words[1], faults: linkFaults{refuse: true}}, nil
}

func parseDelay(words []string) (action, error) {
	delay, err := time.ParseDuration(words[2])
	if err != nil || delay < 0 {
		return nil, linkError("delay", "a time", words[2])
	}
	faults := linkFaults{delay: delay}
	if len(words) > 3 {
		if faults.jitter, err = time.ParseDuration(words[3]); err != nil || faults.jitter < 0 {
			return nil, linkError("delay", "a time", words[3])
		}
	}
	return linkAction{from: words[0], to: words[1], faults: faults}, nil
}

func parseLoss(words []string) (action, error) {
	share, err := parseShare("lose", words[2])
	return linkAction{from: words[0], to: words[1], faults: linkFaults{loss: share}}, err
}

func parseDuplicate(words []string) (action, error) {
	share, err := parseShare("double", words[2])
	return linkAction{from: words[0], to: words[1], faults: linkFaults{duplicate: share}}, err
}

func parseReorder(words []string) (action, error) {
	share, err := parseShare("reorder", words[2])
	return linkAction{from: words[0], to: words[1], faults: linkFaults{reorder: share}}, err
}

func parseSlow(words []string) (action, error) {
	number, _ := strings.CutSuffix(words[2], "/s")
	bytesPerSecond, err := strconv.ParseFloat(number, 64)
	if err != nil || bytesPerSecond < minBytesPerSecond {
		return nil, linkError("slow", "bytes per second, 100/s or more", words[2])
	}
	return linkAction{from: words[0], to: words[1], faults: linkFaults{bytesPerSecond: bytesPerSecond}}, nil
}

// parseShare parses a share from 0 to 1.
func parseShare(step, word string) (float64, error) {
	share, err := strconv.ParseFloat(word, 64)
	if err != nil || !(share >= 0 && share <= 1) {
		return 0, linkError(step, "a share from 0 to 1", word)
	}
	return share, nil
}

func linkError(step, want, word string) error {
	return fmt.Errorf("%s: expected %s, got %.40q", step, want, word)
}

func (a linkAction) prepare(c *Cluster, step Step) (operation, error) {
	from, to, err := c.selectLink(a.from, a.to, step)
	if err != nil {
		return operation{}, err
	}
	var removals []func()
	apply := func() error {
		removals = append(removals, c.network.setFaults(from, to, a.faults))
		if !a.oneWay {
			removals = append(removals, c.network.setFaults(to, from, a.faults))
		}
		return nil
	}
	undo := func() error {
		for _, remove := range removals {
			remove()
		}
		return nil
	}
	return operation{apply: apply, undo: undo}, nil
}

// resetAction resets the established connections between two sets of nodes.
type resetAction struct {
	from, to string // selectors
}

func parseReset(words []string) (action, error) {
	return resetAction{from: words[0], to: words[1]}, nil
}

func (a resetAction) prepare(c *Cluster, step Step) (operation, error) {
	from, to, err := c.selectLink(a.from, a.to, step)
	if err != nil {
		return operation{}, err
	}
	return operation{apply: func() error {
		c.network.resetConnections(from, to)
		return nil
	}}, nil
}

// selectLink resolves both selectors of a network step. If either names the clients, it records that their connections
// to the proxies are disrupted.
func (c *Cluster) selectLink(from, to string, step Step) (fromNodes, toNodes nodeSet, err error) {
	if fromNodes, err = c.selectNodes(from); err != nil {
		return nil, nil, err
	}
	if toNodes, err = c.selectNodes(to); err != nil {
		return nil, nil, err
	}
	if fromNodes[clientsNode] || toNodes[clientsNode] {
		c.Record.ClientDisruptions = append(c.Record.ClientDisruptions, Span{step.At, step.At + step.For})
	}
	return fromNodes, toNodes, nil
}
