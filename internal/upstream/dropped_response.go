package upstream

import "time"

// minDropBytes is the size of the smallest response whose body is dropped when memory is short. The line of a partial
// one is complete.
const minDropBytes = maxLine

// droppedResponse is a partial response whose body is dropped as it arrives, because memory is short. The endpoint has
// served the attempt, so nothing else about it changes.
type droppedResponse struct {
	response  response // without its body
	bytesLeft int
}

// mayKeep reports whether a partial response may be kept until it is complete.
func (c *connection) mayKeep(partial []byte) bool {
	if len(partial) <= minDropBytes {
		return true
	}
	more := max(0, len(partial)-c.conn.InputBufferBytes())
	return c.pool.Loop.Memory.Fits(0, more)
}

// beginDrop begins to drop the body of the partial response at the front of data, and returns how many bytes it used.
func (c *connection) beginDrop(now time.Duration, data []byte) (used int, err error) {
	line, _, err := parseLine(data)
	if err != nil {
		return 0, err
	}
	partial, err := line.response()
	if err != nil {
		return 0, err
	}
	partial.isBodyDropped = true
	c.pool.Stats.NoMemory++
	c.dropped = &droppedResponse{response: partial, bytesLeft: line.size()}
	return c.continueDrop(now, data)
}

// continueDrop drops what has arrived of the body, and handles the response once that is all. It returns how many bytes
// it used.
func (c *connection) continueDrop(now time.Duration, data []byte) (used int, err error) {
	dropped := c.dropped
	used = min(dropped.bytesLeft, len(data))
	dropped.bytesLeft -= used
	if dropped.bytesLeft > 0 {
		return used, nil
	}
	c.dropped = nil
	return used, c.handleResponse(now, &dropped.response)
}
