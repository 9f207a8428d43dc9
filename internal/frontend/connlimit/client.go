package connlimit

import (
	"container/list"
	"time"
)

// Client is one connection of a Limiter.
type Client struct {
	limiter *Limiter
	evict   func()
	unsent  func() int

	since        time.Duration // when it got into its state, or a flushing one last took something
	partialSince time.Duration // when it began the message that is not complete
	lastUnsent   int           // what unsent returned when it was last called, in bytes
	sentMessage  bool          // it has sent a complete message
	busy         bool
	removed      bool

	queue   *list.List // that it waits in: fresh or idle; nil: it is busy, flushing or removed
	element *list.Element
}

// Input describes what one read of a connection contained.
type Input struct {
	Complete bool // at least one message was completed
	Partial  bool // an incomplete message is left at the end
}

// Received records what was read from the client.
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

// SetOpen records how many requests of the client are open. When the last one ends, its response may still be unsent.
func (c *Client) SetOpen(now time.Duration, requests int) {
	if c.removed {
		return
	}
	c.busy = requests > 0
	if c.busy {
		delete(c.limiter.unflushed, c)
	} else {
		c.lastUnsent = c.unsent()
		if c.lastUnsent > 0 {
			c.limiter.unflushed[c] = true
		}
	}
	c.requeue(now)
}

// Remove unregisters the client, which frees its place. Further calls have no effect.
func (c *Client) Remove() {
	if c.removed {
		return
	}
	c.removed = true
	c.limiter.count--
	delete(c.limiter.partialMessages, c)
	delete(c.limiter.unflushed, c)
	c.requeue(0)
}

// requeue moves the client to the end of the queue of its current state.
func (c *Client) requeue(now time.Duration) {
	if c.queue != nil {
		c.queue.Remove(c.element)
	}
	c.since = now
	c.queue = c.nextQueue()
	if c.queue != nil {
		c.element = c.queue.PushBack(c)
	}
}

// nextQueue returns the queue of the client's current state, or nil if that state has none.
func (c *Client) nextQueue() *list.List {
	switch {
	case c.removed || c.busy || c.limiter.unflushed[c]:
		return nil
	case !c.sentMessage:
		return c.limiter.fresh
	}
	return c.limiter.idle
}
