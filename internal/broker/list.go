package broker

import (
	"sloequay/internal/membership"
	"sloequay/internal/policy"
)

const (
	// maxChangesPerRound bounds the changes of the list that one round applies. The others wait for the next round, so
	// that a long list does not delay requests.
	maxChangesPerRound = 200
	// maxChangeEntries bounds the log entries about the changes of one round.
	maxChangeEntries = 20
)

// policyStates maps the states of the merged view to those of the policy.
var policyStates = [...]policy.State{
	membership.Gone:     policy.Gone,
	membership.Draining: policy.Draining,
	membership.Up:       policy.Ready,
}

// setSourceStatus tells the membership table whether a source responds or is silent.
func (b *Broker) setSourceStatus(event SourceStatus) {
	if event.Silent {
		b.members.SourceSilent(b.now, event.Source)
	} else {
		b.members.SourceSeen(b.now, event.Source)
	}
	b.applyListChanges()
}

// applyListChanges applies the changes of the merged view, up to maxChangesPerRound, and notifies the policy of them.
// It also emits the refetches and notes of the membership table.
func (b *Broker) applyListChanges() {
	for _, source := range b.members.SourcesToRefetch() {
		b.emit(RefetchList{source})
	}
	b.logMembershipNotes()
	if !b.members.HasChanges() {
		return
	}
	changes := b.members.TakeChanges(b.now, maxChangesPerRound)
	delta := policy.ListEvent{Kind: policy.ListDelta}
	for i, change := range changes {
		if i < maxChangeEntries {
			b.logChange(change)
		}
		update, ok := b.endpoints.update(reportedEndpoint(change.Endpoint), b.now, &b.offsets)
		if !ok {
			continue
		}
		if !update.isNew {
			b.emit(EndpointChanged{Endpoint: update.endpoint, Restarted: update.restarted})
		}
		delta.Endpoints = append(delta.Endpoints, update.endpoint.Endpoint)
	}
	if omitted := len(changes) - maxChangeEntries; omitted > 0 {
		b.log("endpoint-changes-omitted", "omitted", omitted)
	}
	if len(delta.Endpoints) > 0 {
		b.notify(delta)
	}
	b.endpoints.forget(b.now)
}

// reportedEndpoint converts an endpoint of the merged view to one of the broker.
func reportedEndpoint(member membership.Endpoint) Endpoint {
	return Endpoint{
		Name:    member.ID,
		Address: member.Address,
		Endpoint: policy.Endpoint{
			Zone:   member.Zone,
			Kind:   member.Kind,
			Cell:   member.Cell,
			State:  policyStates[member.State],
			Weight: member.Weight,
		},
		reportedStart: member.StartedAt,
	}
}
