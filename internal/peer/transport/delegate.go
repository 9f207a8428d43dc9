package transport

import (
	"github.com/hashicorp/memberlist"

	"sloequay/internal/peer"
)

// delegate receives memberlist's callbacks. Its methods do not block.
type delegate struct{ transport *Transport }

// NodeMeta returns the metadata that this proxy announces.
func (d delegate) NodeMeta(int) []byte { return d.transport.metadata }

// NotifyMsg queues a received message.
func (d delegate) NotifyMsg(packet []byte) {
	if !d.transport.enqueue(packet, d.transport.self.Name) {
		d.transport.countDropped()
	}
}

// GetBroadcasts returns nothing: only membership is gossiped.
func (d delegate) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState returns the message to send with a state exchange, such as the one on joining, or nil if there is none.
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

// MergeRemoteState queues the message received with a state exchange. The same exchange brought its sender's key.
func (d delegate) MergeRemoteState(packet []byte, _ bool) {
	if len(packet) > 0 {
		_ = d.transport.enqueue(packet, "") // if it is dropped, the next exchange brings a newer one
	}
}

// NotifyJoin adds a new member to the view.
func (d delegate) NotifyJoin(node *memberlist.Node) { d.observe(node) }

// NotifyUpdate updates a member whose metadata has changed.
func (d delegate) NotifyUpdate(node *memberlist.Node) { d.observe(node) }

// NotifyLeave removes a member that left or was declared dead.
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

// observe adds or updates a member that is alive, and logs it if it is new, restarted or rejected.
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

// observeMember updates the view, and keeps the node to which the member's messages are sent.
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
		copied := *node // memberlist changes the original
		t.nodes[node.Name] = &copied
	}
	return verdict
}

// removeMember removes a member if it is in the view with this incarnation, and reports whether it did.
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
