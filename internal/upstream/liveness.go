package upstream

import (
	"fmt"
	"slices"
	"time"

	"sloequay/internal/broker"
	"sloequay/internal/upstream/liveness"
)

// CheckLiveness checks, and if necessary closes, connections on which the endpoint has something to answer or to read.
// It must be called every round, and acts once per liveness.StepInterval.
func (p *Pool) CheckLiveness(now time.Duration) {
	if now-p.lastLivenessStepAt < liveness.StepInterval && now >= p.lastLivenessStepAt {
		return
	}
	p.lastLivenessStepAt = now
	for _, group := range p.endpoints {
		for _, connection := range slices.Clone(group.connections) {
			if connection.awaitsEndpoint() {
				connection.checkLiveness(now)
			}
		}
	}
}

// awaitsEndpoint reports whether the endpoint has yet to answer or to read something.
func (c *connection) awaitsEndpoint() bool {
	return c.state == stateUp && (c.outstanding() > 0 || c.conn.Unsent() > 0)
}

// checkLiveness carries out the decision of package liveness.
func (c *connection) checkLiveness(now time.Duration) {
	switch c.liveness.Step(now, c.livenessFacts(now)) {
	case liveness.Healthy:
	case liveness.SendCheck:
		c.sendCheck(now)
	case liveness.Retire:
		c.retire()
	case liveness.StalledPartial:
		c.protocolError(fmt.Errorf("response %.32q has been incomplete for %v, and its request has ended",
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

// awaitsPartialResponse reports whether an open attempt or a check still waits for the partial response.
func (c *connection) awaitsPartialResponse() bool {
	id := c.partialResponseID
	if outstanding := c.attempts[id]; outstanding != nil {
		return outstanding.attempt.Open()
	}
	return c.liveness.IsCheck(id)
}

// endUnresponsive closes a connection whose endpoint no longer responds or reads. Cancellations would not reach the
// endpoint; the close cancels everything on the connection.
func (c *connection) endUnresponsive() {
	c.pool.Log("upstream-unresponsive", "endpoint", c.group.endpoint.Name, "open", c.outstanding())
	c.pool.Stats.Unresponsive++
	c.endOutstanding(broker.Unresponsive)
	c.conn.Abort()
	c.retire()
}
