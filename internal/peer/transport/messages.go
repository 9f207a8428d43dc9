package transport

import (
	"fmt"
	"slices"

	"github.com/hashicorp/memberlist"
)

const (
	maxDatagramBytes   = 1100 // larger messages are sent over a connection
	sendQueueLength    = 512  // messages
	receiveQueueLength = 1024 // messages
	maxReliableSends   = 16   // concurrent connections
)

type outgoing struct {
	to   string
	body []byte
}

// incoming is a received packet and the recipient that its envelope must name: this proxy for a message that was
// sent alone, nobody ("") for one that came with a state exchange.
type incoming struct {
	packet []byte
	to     string
}

// sendQueued sends the queued messages until Close.
func (t *Transport) sendQueued() {
	connections := make(chan struct{}, maxReliableSends)
	for {
		var next outgoing
		select {
		case next = <-t.sendQueue:
		case <-t.ctx.Done():
			return
		}
		node := t.node(next.to)
		if node == nil {
			continue
		}
		packet, err := t.seal(next.to, next.body)
		if err != nil || len(packet) > maxMessageBytes {
			t.receiver.Log("peer-transport-failed", "error",
				fmt.Sprintf("message of %d bytes not sent: %v", len(packet), err))
			continue
		}
		t.countSent(len(packet))
		if len(packet) <= maxDatagramBytes {
			_ = t.list.SendBestEffort(node, packet)
			continue
		}
		select {
		case connections <- struct{}{}:
		case <-t.ctx.Done():
			return
		}
		t.goroutines.Go(func() {
			_ = t.list.SendReliable(node, packet) // lost content is fetched again
			<-connections
		})
	}
}

func (t *Transport) node(name string) *memberlist.Node {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.nodes[name]
}

func (t *Transport) countSent(bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counters.MessagesSent++
	t.counters.BytesSent += uint64(bytes)
}

// seal numbers, signs and encodes a message.
func (t *Transport) seal(to string, body []byte) ([]byte, error) {
	t.mu.Lock()
	t.lastNumber++
	number := t.lastNumber
	t.mu.Unlock()
	e := envelope{From: t.self.Name, Incarnation: t.self.Incarnation, Number: number, To: to, Body: body}
	t.sign(&e)
	return Encode(e)
}

// enqueue queues a copy of a received packet, and reports whether the queue had room for it.
func (t *Transport) enqueue(packet []byte, to string) bool {
	select {
	case t.receiveQueue <- incoming{slices.Clone(packet), to}:
		return true
	default:
		return false
	}
}

// receiveQueued passes the queued messages that are valid to the receiver until Close.
func (t *Transport) receiveQueued() {
	for {
		select {
		case next := <-t.receiveQueue:
			t.receive(next)
		case <-t.ctx.Done():
			return
		}
	}
}

func (t *Transport) receive(received incoming) {
	var e envelope
	if Decode(received.packet, &e) != nil || e.To != received.to || !t.isValid(e) {
		t.mu.Lock()
		t.counters.Rejected++
		t.mu.Unlock()
		return
	}
	t.receiver.MessageReceived(e.From, e.Body)
}

// isValid reports whether a member in the view signed the message and the message is new. It records the message's
// number.
func (t *Transport) isValid(e envelope) bool {
	t.mu.Lock()
	key, known := t.view.Key(e.From, e.Incarnation)
	t.mu.Unlock()
	if !known || !e.isSignedBy(key) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.view.AcceptMessage(e.From, e.Incarnation, e.Number)
}
