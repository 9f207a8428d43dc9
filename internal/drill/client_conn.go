package drill

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"sloequay/internal/emulator"
)

// overloadedError is the error of an answer by which a proxy rejects a request.
const overloadedError = "Overloaded"

// clientConn is a client's connection to a proxy. Its reader ends what is open when it ends.
type clientConn struct {
	generator *loadGenerator
	client    *emulator.Client
	proxy     *proxy
	exclusive bool // it was made for one request

	mu       sync.Mutex
	lastID   uint64
	open     map[uint64]*pendingRequest
	givenUp  map[uint64]bool // an answer may come still
	isClosed bool
}

func newClientConn(g *loadGenerator, to *proxy, inner net.Conn) *clientConn {
	return &clientConn{
		generator: g,
		client:    emulator.NewClient(inner),
		proxy:     to,
		open:      map[uint64]*pendingRequest{},
		givenUp:   map[uint64]bool{},
	}
}

// state reports whether the connection has ended, and how many requests are open on it.
func (c *clientConn) state() (isClosed bool, open int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isClosed, len(c.open)
}

// add opens a request, and gives the id of its message.
func (c *clientConn) add(pending *pendingRequest) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	pending.sentAt = time.Now()
	c.open[c.lastID] = pending
	return c.lastID
}

// read takes the connection's answers until it ends.
func (c *clientConn) read() {
	for {
		reply, err := c.client.Read(time.Second)
		switch {
		case err == nil:
			c.handleReply(reply)
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.giveUpUnanswered()
		default:
			c.handleEnd(err)
			return
		}
	}
}

func (c *clientConn) handleReply(reply emulator.Reply) {
	c.mu.Lock()
	pending := c.open[reply.ID]
	wasGivenUp := c.givenUp[reply.ID]
	delete(c.open, reply.ID)
	delete(c.givenUp, reply.ID)
	c.mu.Unlock()
	if wasGivenUp {
		return
	}
	if pending == nil {
		record := c.generator.cluster.Record
		record.update(func() { record.UnexpectedAnswers++ })
		return
	}
	c.generator.recordOutcome(pending, outcomeOf(reply))
}

func outcomeOf(reply emulator.Reply) Outcome {
	switch reply.Error {
	case "":
		return OutcomeServed
	case overloadedError:
		return OutcomeRejected
	}
	return OutcomeFailed
}

// handleEnd ends what is open on a connection that has ended, or sends it again where the protocol allows.
func (c *clientConn) handleEnd(err error) {
	c.mu.Lock()
	c.isClosed = true
	open := c.open
	c.open = map[uint64]*pendingRequest{}
	c.mu.Unlock()
	_ = c.client.Conn.Close()
	if c.generator.isStopped() {
		return // the drill is over, and closed it
	}
	inGoodOrder := errors.Is(err, io.EOF) // a request can cross no other close
	for _, pending := range open {
		if inGoodOrder && c.mayResend(pending) {
			pending.record.Resent = true
			c.generator.write(c.proxy, pending)
			continue
		}
		c.generator.recordOutcome(pending, OutcomeDisconnected)
	}
}

// mayResend says whether a request may have crossed the close of its connection, and was not sent again yet.
func (c *clientConn) mayResend(pending *pendingRequest) bool {
	return time.Since(pending.sentAt) < crossingWindow && !pending.record.Resent && c.proxy.serving()
}

// giveUpUnanswered gives up what has no answer long after its time.
func (c *clientConn) giveUpUnanswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, pending := range c.open {
		if time.Since(pending.sentAt) > c.generator.cluster.Plan.ClientLimit+patience {
			delete(c.open, id)
			c.givenUp[id] = true
			c.generator.recordOutcome(pending, OutcomeUnanswered)
		}
	}
}

// cancelLater has the client give up a request after a time: it withdraws it, or closes the connection that it has to
// itself.
func (c *clientConn) cancelLater(messageID uint64, pending *pendingRequest) {
	time.Sleep(pending.after)
	c.mu.Lock()
	isOpen := c.open[messageID] == pending
	if isOpen {
		delete(c.open, messageID)
		c.givenUp[messageID] = true
	}
	c.mu.Unlock()
	if !isOpen {
		return
	}
	if pending.closes {
		_ = c.client.Conn.Close()
	} else {
		_ = c.client.Send(emulator.Cancellation(messageID))
	}
	at := c.generator.cluster.now()
	c.generator.cluster.Record.update(func() {
		pending.record.Outcome = OutcomeCanceled
		pending.record.CanceledAt = at
	})
}
