package listwatch

import (
	"fmt"
	"strconv"
	"time"

	"github.com/tidwall/gjson"

	"sloequay/internal/membership"
)

const (
	maxEndpoints = 4096    // per event
	maxIssuedMS  = 1 << 42 // Unix milliseconds: the year 2109
	maxGroup     = 1 << 30
)

// endpointStates maps the names that the watch uses to the states of an endpoint.
var endpointStates = map[string]membership.State{
	"up":       membership.Up,
	"draining": membership.Draining,
	"removed":  membership.Gone,
}

// Decoder decodes events of the watch for one source of endpoints.
type Decoder struct {
	membership.Names
	Source int // index in membership.Config.Sources, set in the decoded events
}

// Decode decodes one event. The number is 0 if it can't be read; it is returned even if the rest of the event is
// invalid.
func (d Decoder) Decode(event gjson.Result) (number int64, events []membership.SourceEvent, err error) {
	if !event.IsObject() || event.Get("no").Type != gjson.Number {
		return 0, nil, fmt.Errorf("not an event with a number: %.80q", event.Raw)
	}
	number = event.Get("no").Int()
	if list := event.Get("roster"); list.Exists() {
		received, err := d.decodeList(list)
		if err != nil {
			return number, nil, fmt.Errorf("event %d: roster: %w", number, err)
		}
		events = append(events, received)
	}
	if purge := event.Get("recall"); purge.Exists() {
		received, err := decodePurge(purge)
		if err != nil {
			return number, nil, fmt.Errorf("event %d: recall: %w", number, err)
		}
		events = append(events, received)
	}
	return number, events, nil
}

// DecodeInitial decodes the events from the configuration with which a proxy starts. last is the number of the last
// event they include.
func (d Decoder) DecodeInitial(initial gjson.Result) (last int64, events []membership.SourceEvent, err error) {
	if !initial.Exists() {
		return 0, nil, nil
	}
	if initial.Get("no").Type != gjson.Number || !initial.Get("items").IsArray() {
		return 0, nil, fmt.Errorf("known: expected a number under the key no and a list under the key items")
	}
	for _, item := range initial.Get("items").Array() {
		_, decoded, err := d.Decode(item)
		if err != nil {
			return 0, nil, fmt.Errorf("known: %w", err)
		}
		events = append(events, decoded...)
	}
	return initial.Get("no").Int(), events, nil
}

// decodeLine decodes a line with an event.
func (d Decoder) decodeLine(line []byte) (number int64, events []membership.SourceEvent, err error) {
	if !gjson.ValidBytes(line) {
		return 0, nil, fmt.Errorf("not valid JSON: %.80q", line)
	}
	return d.Decode(gjson.ParseBytes(line))
}

// parseLastNumber parses a line that consists only of the number of the last event.
func parseLastNumber(line []byte) (last int64, ok bool) {
	last, err := strconv.ParseInt(string(line), 10, 64)
	return last, err == nil
}

// decodeList decodes a complete list or, if it is not marked as complete, a delta.
func (d Decoder) decodeList(list gjson.Result) (membership.SourceEvent, error) {
	hosts := list.Get("hosts").Array()
	if !list.Get("hosts").IsArray() || len(hosts) > maxEndpoints {
		return nil, fmt.Errorf("hosts: expected a list of at most %d endpoints", maxEndpoints)
	}
	endpoints := make([]membership.Endpoint, 0, len(hosts))
	for i, host := range hosts {
		endpoint, err := d.decodeEndpoint(host)
		if err != nil {
			return nil, fmt.Errorf("hosts[%d]: %w", i, err)
		}
		endpoints = append(endpoints, endpoint)
	}
	version := list.Get("seq").Uint()
	if isComplete := list.Get("whole").Bool(); !isComplete {
		return membership.DeltaReceived{Source: d.Source, Version: version, Endpoints: endpoints}, nil
	}
	return membership.ListReceived{
		Source: d.Source,
		List:   membership.List{Version: version, Endpoints: endpoints},
	}, nil
}

func (d Decoder) decodeEndpoint(host gjson.Result) (membership.Endpoint, error) {
	health := host.Get("health").String()
	state, ok := endpointStates[health]
	if !ok {
		return membership.Endpoint{}, fmt.Errorf("health: unknown state %q", health)
	}
	return d.Endpoint(membership.Entry{
		ID:          host.Get("host").String(),
		Address:     host.Get("dial").String(),
		Zone:        host.Get("site").String(),
		Kind:        host.Get("class").String(),
		Cell:        int(host.Get("block").Int()),
		State:       state,
		Weight:      host.Get("share").Float(),
		StartedAtMS: host.Get("born_ms").Int(),
	})
}

func decodePurge(purge gjson.Result) (membership.PurgeReceived, error) {
	issued := purge.Get("issued")
	if issued.Type != gjson.Number || issued.Int() < 0 || issued.Int() > maxIssuedMS {
		return membership.PurgeReceived{}, fmt.Errorf("issued: expected Unix milliseconds, got %.32q", issued.Raw)
	}
	received := membership.PurgeReceived{Issued: time.Duration(issued.Int()) * time.Millisecond}
	if item := purge.Get("item"); item.Exists() {
		object, err := strconv.ParseUint(item.String(), 16, 64)
		if err != nil {
			return received, fmt.Errorf("item: expected a hexadecimal object id, got %.32q", item.String())
		}
		received.IsObject = true
		received.Object = object
		return received, nil
	}
	group := purge.Get("lot")
	if group.Type != gjson.Number || group.Int() < 0 || group.Int() > maxGroup {
		return received, fmt.Errorf("lot: expected the number of an object group, got %.32q", group.Raw)
	}
	received.Group = int(group.Int())
	return received, nil
}

// CountEndpoints returns the number of endpoints in the lists and deltas among the events.
func CountEndpoints(events []membership.SourceEvent) int {
	count := 0
	for _, event := range events {
		switch event := event.(type) {
		case membership.ListReceived:
			count += len(event.List.Endpoints)
		case membership.DeltaReceived:
			count += len(event.Endpoints)
		}
	}
	return count
}
