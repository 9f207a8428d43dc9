package connlimit

import (
	"container/list"
	"time"
)

// Client is one connection that a Limiter has admitted.
type Client struct {
	limiter *Limiter
	evict   func()
	unsent  func() int

	since        time.Duration // when it entered its state; if flushing, when the unsent bytes last decreased
	partialSince time.Duration // when its incomplete message began
	lastUnsent   int           // the last result of unsent, in bytes
	sentMessage  bool          // it has sent at least one complete message
	busy         bool
	removed      bool

	queue   *list.List    // Limiter.fresh or Limiter.idle; nil: it is busy, flushing or removed
	element *list.Element // its place in queue
}

// Input describes the data that one read of a connection returned.
type Input struct {
	Complete bool // it completed at least one message
	Partial  bool // it ends with an incomplete message
}

// Received records that data was read from the client.
func (c *Client) Received(now time.Duration, input Input) {
	if c.removed {
		return
	}
	if input.Complete {
		c.sentMessage = true
		c.requeue(now)
	}
	partial := c.limiter.partialMessages
	if !input.Partial {
		delete(partial, c)
	} else if input.Complete || !partial[c] {
		c.partialSince = now
		partial[c] = true
	}
}

// SetOpen records how many requests of the client are open. When the last one ends, the client is flushing until its
// responses are sent.
func (c *Client) SetOpen(now time.Duration, requests int) {
	if c.removed {
		return
	}
	c.busy = requests > 0
	if c.busy {
		delete(c.limiter.flushing, c)
	} else {
		c.lastUnsent = c.unsent()
		if c.lastUnsent > 0 {
			c.limiter.flushing[c] = true
		}
	}
	c.requeue(now)
}

// Remove unregisters the client, so that another one can be admitted. Further calls have no effect.
func (c *Client) Remove() {
	if c.removed {
		return
	}
	c.removed = true
	c.limiter.count--
	delete(c.limiter.partialMessages, c)
	delete(c.limiter.flushing, c)
	c.requeue(0)
}

// requeue moves the client to the end of the queue of its current state.
func (c *Client) requeue(now time.Duration) {
	if c.queue != nil {
		c.queue.Remove(c.element)
	}
	c.since = now
	c.queue = c.stateQueue()
	if c.queue != nil {
		c.element = c.queue.PushBack(c)
	}
}

// stateQueue returns the queue for the client's current state, or nil if there is none for that state.
func (c *Client) stateQueue() *list.List {
	switch {
	case c.removed || c.busy || c.limiter.flushing[c]:
		return nil
	case !c.sentMessage:
		return c.limiter.fresh
	}
	return c.limiter.idle
}
