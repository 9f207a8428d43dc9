package transport

import (
	"github.com/hashicorp/memberlist"

	"sloequay/internal/peer"
)

// delegate is what memberlist calls. No method waits.
type delegate struct{ transport *Transport }

// NodeMeta returns what this proxy announces of itself.
func (d delegate) NodeMeta(int) []byte { return d.transport.metadata }

// NotifyMsg queues a message.
func (d delegate) NotifyMsg(packet []byte) {
	if !d.transport.enqueue(packet, d.transport.self.Name) {
		d.transport.countDropped()
	}
}

// GetBroadcasts returns nothing: only membership is gossiped.
func (d delegate) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState returns the message that goes along with an exchange of state, as when joining.
func (d delegate) LocalState(bool) []byte {
	t := d.transport
	t.mu.Lock()
	body := t.state
	t.mu.Unlock()
	if body == nil {
		return nil
	}
	packet, _ := t.seal("", body)
	return packet
}

// MergeRemoteState queues such a message. Its sender's key came with the same exchange.
func (d delegate) MergeRemoteState(packet []byte, _ bool) {
	if len(packet) > 0 {
		_ = d.transport.enqueue(packet, "") // if it is dropped, the next exchange brings a later one
	}
}

// NotifyJoin takes a new member.
func (d delegate) NotifyJoin(node *memberlist.Node) { d.observe(node) }

// NotifyUpdate takes a member with other metadata.
func (d delegate) NotifyUpdate(node *memberlist.Node) { d.observe(node) }

// NotifyLeave takes the end of a member.
func (d delegate) NotifyLeave(node *memberlist.Node) {
	var metadata memberMetadata
	if Decode(node.Meta, &metadata) != nil {
		return
	}
	t := d.transport
	if t.removeMember(node.Name, metadata.Incarnation) {
		t.receiver.Log("peer-left", "peer", node.Name, "incarnation", metadata.Incarnation)
		t.notifyChanged()
	}
}

// observe takes a member that is alive.
func (d delegate) observe(node *memberlist.Node) {
	var metadata memberMetadata
	if Decode(node.Meta, &metadata) != nil {
		return
	}
	t := d.transport
	verdict := t.observeMember(node, metadata)
	event, verdictField := "", ""
	switch verdict {
	case peer.Joined, peer.Restarted:
		event, verdictField = "peer-joined", "was"
	case peer.Conflict, peer.NoCapacity:
		event, verdictField = "peer-rejected", "reason"
	}
	if event != "" {
		t.receiver.Log(event, "peer", node.Name, "zone", metadata.Zone, "incarnation", metadata.Incarnation,
			verdictField, verdict)
	}
	t.notifyChanged()
}

// observeMember updates the view, and remembers where to send messages for a member in it.
func (t *Transport) observeMember(node *memberlist.Node, metadata memberMetadata) peer.Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	verdict := t.view.Observe(peer.Member{
		Name:           node.Name,
		Zone:           metadata.Zone,
		ProgramVersion: metadata.ProgramVersion,
		Incarnation:    metadata.Incarnation,
		Key:            string(metadata.Key),
	})
	if verdict != peer.Conflict && verdict != peer.NoCapacity && node.Name != t.self.Name {
		copied := *node // the library changes its own
		t.nodes[node.Name] = &copied
	}
	return verdict
}

// removeMember drops a member if it has this incarnation, and reports whether it did.
func (t *Transport) removeMember(name string, incarnation uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.view.Remove(name, incarnation) {
		return false
	}
	delete(t.nodes, name)
	return true
}

// notifyChanged wakes publishMembers.
func (t *Transport) notifyChanged() {
	select {
	case t.changed <- struct{}{}:
	default:
	}
}
