package drill

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// maxSameAddressIDs bounds how many endpoint ids with one address a plan may add.
const maxSameAddressIDs = 20000

// listFaultAction injects a fault into the list service.
type listFaultAction struct{ fault listFault }

// plainListFaults are the kinds of faults that take no parameter.
var plainListFaults = []listFaultKind{listHangs, listRefuses, listIsEmpty, listIsHealthy}

func parseListFault(words []string) (action, error) {
	fault := listFault{kind: listFaultKind(words[0])}
	var err error
	switch {
	case len(words) == 1 && slices.Contains(plainListFaults, fault.kind):
	case len(words) == 2 && fault.kind == listIsStale:
		fault.age, err = time.ParseDuration(words[1])
	case len(words) == 2 && fault.kind == listIsRateLimited:
		number, _ := strings.CutSuffix(words[1], "/s")
		fault.rate, err = strconv.ParseFloat(number, 64)
	default:
		err = errUsage
	}
	return listFaultAction{fault}, err
}

func (a listFaultAction) prepare(c *Cluster, _ Step) (operation, error) {
	set := func(fault listFault) func() error {
		return func() error {
			c.list.setFault(fault)
			return nil
		}
	}
	return operation{apply: set(a.fault), undo: set(listFault{kind: listIsHealthy})}, nil
}

// sameAddressAction makes the list service add many endpoints with the address of an existing one.
type sameAddressAction struct{ count int }

func parseSameAddress(words []string) (action, error) {
	count, err := parseCount(words[0], 1, maxSameAddressIDs)
	return sameAddressAction{count}, err
}

func (a sameAddressAction) prepare(c *Cluster, _ Step) (operation, error) {
	return operation{apply: func() error {
		c.list.addEndpoints(a.count, c.endpointOrder[0].address)
		return nil
	}}, nil
}

// byzantineAction adds a peer that joins the fleet as a proxy of a zone and advertises a false endpoint list.
type byzantineAction struct {
	zone      int // from 1
	falseList string
}

func parseByzantine(words []string) (action, error) {
	zone, err := strconv.Atoi(words[0])
	if err != nil || zone < 1 || falseLists[words[1]] == nil {
		return nil, errUsage
	}
	return byzantineAction{zone: zone, falseList: words[1]}, nil
}

func (a byzantineAction) prepare(c *Cluster, _ Step) (operation, error) {
	var member *byzantinePeer
	apply := func() (err error) {
		member, err = c.byzantinePeers.add(c, a.zone, a.falseList)
		return err
	}
	undo := func() error {
		if member != nil {
			c.byzantinePeers.remove(member)
		}
		return nil
	}
	return operation{apply: apply, undo: undo}, nil
}

// endpointAction acts on one endpoint.
type endpointAction struct {
	id    string
	apply func(c *Cluster, e *endpoint, step Step)
	undo  func(c *Cluster, e *endpoint) // nil: it is not undone
}

func parseDrain(words []string) (action, error) {
	return endpointAction{
		id:    endpointID(words[0]),
		apply: func(c *Cluster, e *endpoint, _ Step) { c.setListedState(e, listedDraining) },
		undo:  func(c *Cluster, e *endpoint) { c.setListedState(e, listedUp) },
	}, nil
}

func parseUndrain(words []string) (action, error) {
	return endpointAction{
		id:    endpointID(words[0]),
		apply: func(c *Cluster, e *endpoint, _ Step) { c.setListedState(e, listedUp) },
	}, nil
}

func parseHang(words []string) (action, error) {
	return endpointAction{
		id:    endpointID(words[0]),
		apply: func(_ *Cluster, e *endpoint, _ Step) { e.setHangs(true) },
		undo:  func(_ *Cluster, e *endpoint) { e.setHangs(false) },
	}, nil
}

// parseCrash parses a step that makes an endpoint crash and come back by itself, after 1 s at least.
func parseCrash(words []string) (action, error) {
	return endpointAction{
		id:    endpointID(words[0]),
		apply: func(c *Cluster, e *endpoint, step Step) { c.crash(e, max(step.For, time.Second)) },
	}, nil
}

func (a endpointAction) prepare(c *Cluster, step Step) (operation, error) {
	target := c.endpoints[a.id]
	if target == nil {
		return operation{}, fmt.Errorf("no such endpoint: %.40q", a.id)
	}
	op := operation{apply: func() error {
		a.apply(c, target, step)
		return nil
	}}
	if a.undo != nil {
		op.undo = func() error {
			a.undo(c, target)
			return nil
		}
	}
	return op, nil
}
