package upstream

import (
	"fmt"
	"slices"
	"time"

	"sloequay/internal/broker"
	"sloequay/internal/upstream/liveness"
)

// CheckLiveness looks after connections on which something waits and nothing comes. It is called every round and looks
// every liveness.StepInterval.
func (p *Pool) CheckLiveness(now time.Duration) {
	if now-p.livenessSteppedAt < liveness.StepInterval && now >= p.livenessSteppedAt {
		return
	}
	p.livenessSteppedAt = now
	for _, group := range p.endpoints {
		for _, connection := range slices.Clone(group.connections) {
			if connection.awaitsEndpoint() {
				connection.checkLiveness(now)
			}
		}
	}
}

// awaitsEndpoint reports whether the endpoint is to answer or to read something.
func (c *connection) awaitsEndpoint() bool {
	return c.state == stateUp && (c.outstanding() > 0 || c.conn.Unsent() > 0)
}

// checkLiveness carries out what package liveness decides.
func (c *connection) checkLiveness(now time.Duration) {
	switch c.liveness.Step(now, c.livenessFacts(now)) {
	case liveness.Healthy:
	case liveness.SendCheck:
		c.sendCheck(now)
	case liveness.Retire:
		c.retire()
	case liveness.StalledPartial:
		c.protocolError(fmt.Errorf("an answer under %.32q has not ended for %v, and its request is over",
			c.partialResponseID, c.liveness.PartialAge(now)))
	case liveness.Unresponsive, liveness.NotReading:
		c.endUnresponsive()
	}
}

func (c *connection) livenessFacts(now time.Duration) liveness.Facts {
	facts := liveness.Facts{
		ChecksAllowed:  c.pool.ChecksAllowed,
		Flushed:        c.conn.Flushed(),
		PartialAwaited: c.awaitsPartialResponse(),
	}
	for _, outstanding := range c.attempts {
		if now > outstanding.dueAt {
			facts.PastDue.Add(outstanding.dueAt, outstanding.attempt.Open())
		}
	}
	return facts
}

// awaitsPartialResponse reports whether something still waits for the response that has come in part.
func (c *connection) awaitsPartialResponse() bool {
	id := c.partialResponseID
	if outstanding := c.attempts[id]; outstanding != nil {
		return outstanding.attempt.Open()
	}
	return c.liveness.IsCheck(id)
}

// endUnresponsive ends a connection on which nothing comes any more. A cancellation would not arrive; the close gives
// all up.
func (c *connection) endUnresponsive() {
	c.pool.Log("upstream-unresponsive", "endpoint", c.group.endpoint.Name, "open", c.outstanding())
	c.pool.Stats.Unresponsive++
	c.endOutstanding(broker.Unresponsive)
	c.conn.Abort()
	c.retire()
}
