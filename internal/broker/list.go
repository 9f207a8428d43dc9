package broker

import (
	"sloequay/internal/membership"
	"sloequay/internal/policy"
)

const (
	// maxChangesPerRound bounds the changes of the list in one round: the rest waits for the next, with requests in
	// between.
	maxChangesPerRound = 200
	// maxChangeEntries bounds the log entries that one round's changes make.
	maxChangeEntries = 20
)

// policyStates is what the states of the merged view are to the policy.
var policyStates = [...]policy.State{
	membership.Gone:     policy.Gone,
	membership.Draining: policy.Draining,
	membership.Up:       policy.Ready,
}

// setSourceStatus takes over whether a source of endpoints is silent.
func (b *Broker) setSourceStatus(event SourceStatus) {
	if event.Silent {
		b.members.SourceSilent(b.now, event.Source)
	} else {
		b.members.SourceSeen(b.now, event.Source)
	}
	b.followList()
}

// followList takes over what is new in the merged view of the endpoints.
func (b *Broker) followList() {
	for _, source := range b.members.SourcesToRefetch() {
		b.emit(RefetchList{source})
	}
	b.logListNotes()
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

// reportedEndpoint converts an endpoint of the merged view.
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
