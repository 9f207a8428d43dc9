package proxy

import (
	"fmt"

	"sloequay/internal/broker"
	"sloequay/internal/membership"
)

// brokerEvent gives what a source of endpoints or purges reports as the broker takes it. Sources stand below the
// broker and know nothing of its events; here the two meet.
func brokerEvent(event membership.SourceEvent) broker.Event {
	switch event := event.(type) {
	case membership.ListReceived:
		return broker.EndpointList{Source: event.Source, List: event.List}
	case membership.DeltaReceived:
		return broker.EndpointDelta{Source: event.Source, Version: event.Version, Endpoints: event.Endpoints}
	case membership.SourceStatus:
		return broker.SourceStatus{Source: event.Source, Silent: event.Silent}
	case membership.PurgeReceived:
		object := event.Object
		if event.IsObject && object == 0 {
			object = broker.ObjectZero // 0 stands for a group there
		}
		return broker.Purge{Object: object, Group: event.Group, Issued: event.Issued}
	}
	panic(fmt.Sprintf("the source event %T has no event of the broker's", event))
}
