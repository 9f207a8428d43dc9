package proxy

import (
	"fmt"

	"sloequay/internal/broker"
	"sloequay/internal/membership"
)

// brokerEvent converts an event of a source of endpoints or purges to an event of the broker. The sources' packages do
// not depend on the broker, so the conversion is done here.
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
			object = broker.ObjectZero // in a broker.Purge, object 0 means that a group is purged
		}
		return broker.Purge{Object: object, Group: event.Group, Issued: event.Issued}
	}
	panic(fmt.Sprintf("no broker event corresponds to the source event %T", event))
}
