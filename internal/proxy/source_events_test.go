package proxy

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sloequay/internal/broker"
	"sloequay/internal/membership"
)

// TestBrokerEvent checks that each event of a source is converted with all its fields, and that a purge of object 0
// remains the purge of an object.
func TestBrokerEvent(t *testing.T) {
	endpoints := []membership.Endpoint{{ID: "c1", Address: "10.0.0.1:80", State: membership.Up, Weight: 4}}
	list := membership.List{Version: 7, Endpoints: endpoints, Confirms: true, Incomplete: true, Part: true}
	for _, c := range []struct {
		name  string
		event membership.SourceEvent
		want  broker.Event
	}{
		{"list", membership.ListReceived{Source: 1, List: list}, broker.EndpointList{Source: 1, List: list}},
		{"delta", membership.DeltaReceived{Source: 2, Version: 8, Endpoints: endpoints},
			broker.EndpointDelta{Source: 2, Version: 8, Endpoints: endpoints}},
		{"status", membership.SourceStatus{Source: 3, Silent: true}, broker.SourceStatus{Source: 3, Silent: true}},
		{"purge of an object", membership.PurgeReceived{IsObject: true, Object: 9, Issued: time.Second},
			broker.Purge{Object: 9, Issued: time.Second}},
		{"purge of the object 0", membership.PurgeReceived{IsObject: true, Issued: time.Second},
			broker.Purge{Object: broker.ObjectZero, Issued: time.Second}},
		{"purge of a group", membership.PurgeReceived{Group: 5, Issued: time.Second},
			broker.Purge{Group: 5, Issued: time.Second}},
		{"purge of the group 0", membership.PurgeReceived{Issued: time.Second}, broker.Purge{Issued: time.Second}},
	} {
		if diff := cmp.Diff(c.want, brokerEvent(c.event)); diff != "" {
			t.Errorf("broker event of %s (-want +got):\n%s", c.name, diff)
		}
	}
}
