package broker

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"sloequay/internal/clock"
	"sloequay/internal/policy"
)

// rememberDeparted is how long an endpoint that is gone is remembered: its connections may not have ended yet, its name
// may come again, and its address is blocked for endpoints that a name server gives it to.
const rememberDeparted = time.Minute

// maxFutureStart is how far in the future a start may be reported.
const maxFutureStart = 10 * time.Second

// The offset basis and the prime of the 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// Endpoint is a server of the list: a cache, a parent or the origin. Its fields follow the list.
type Endpoint struct {
	policy.Endpoint
	Name    string // its id in the list and to clients
	Address string // host:port

	changedAt     time.Duration // when the list last changed it
	reportedStart time.Duration // its most recent start as reported, on the Unix clock; 0: long ago
}

// usable reports whether attempts may be sent to the endpoint.
func (e *Endpoint) usable() bool { return e.State == policy.Ready }

// endpointIndex finds endpoints by their id, name and address. It forgets those that departed long ago.
type endpointIndex struct {
	byID       map[policy.EndpointID]*Endpoint
	ids        map[string]policy.EndpointID // by name
	byName     map[string]*Endpoint         // by name in lower case
	byAddress  map[string][]*Endpoint       // mostly one, and those that were there before
	departures []departure                  // in the order of time
}

// departure is that an endpoint was gone at a time. It may be back, or have departed again, since.
type departure struct {
	endpoint *Endpoint
	at       time.Duration
}

// endpointUpdate is what a change of the list came to.
type endpointUpdate struct {
	endpoint  *Endpoint
	isNew     bool
	restarted bool // it has started anew or is at another address
}

func newEndpointIndex() endpointIndex {
	return endpointIndex{
		byID:      map[policy.EndpointID]*Endpoint{},
		ids:       map[string]policy.EndpointID{},
		byName:    map[string]*Endpoint{},
		byAddress: map[string][]*Endpoint{},
	}
}

// named finds an endpoint by its name, without regard to case.
func (x *endpointIndex) named(name string) *Endpoint { return x.byName[strings.ToLower(name)] }

// nameOf is the name of an endpoint for the log; of one that was forgotten its id stands for it.
func (x *endpointIndex) nameOf(id policy.EndpointID) string {
	if endpoint := x.byID[id]; endpoint != nil {
		return endpoint.Name
	}
	return strconv.FormatUint(uint64(id), 16)
}

// addressBlocked reports whether an address is that of endpoints which take nothing new, or lately did.
func (x *endpointIndex) addressBlocked(address string, now time.Duration) bool {
	blocked := false
	for _, endpoint := range x.byAddress[address] {
		if endpoint.usable() {
			return false
		}
		blocked = blocked || endpoint.State == policy.Draining || now-endpoint.changedAt < rememberDeparted
	}
	return blocked
}

// update takes over what the list says of one endpoint, if that is anything new. The offsets are those of the Unix
// clock over now.
func (x *endpointIndex) update(
	reported Endpoint, now time.Duration, offsets *clock.Offsets,
) (endpointUpdate, bool) {
	endpoint := x.byID[x.ids[reported.Name]]
	isNew := endpoint == nil
	isGone := reported.State == policy.Gone
	switch {
	case isGone && (isNew || endpoint.State == policy.Gone):
		return endpointUpdate{}, false
	case isGone:
		// The other fields of such a report may be missing.
		reported = *endpoint
		reported.State = policy.Gone
	case isNew:
		endpoint = x.add(reported.Name)
	}
	previous := *endpoint
	reported.ID = previous.ID
	reported.StartedAt = previous.StartedAt
	if reported.reportedStart != previous.reportedStart { // compared as reported: the offset may have changed since
		reported.StartedAt = startTime(reported.reportedStart, now, offsets)
	}
	isMoved := reported.Address != previous.Address
	if isNew || isMoved {
		x.detach(endpoint, previous.Address)
		x.byAddress[reported.Address] = append(x.byAddress[reported.Address], endpoint)
	}
	if isGone {
		x.departures = append(x.departures, departure{endpoint: endpoint, at: now})
	}
	reported.changedAt = now
	*endpoint = reported
	return endpointUpdate{
		endpoint:  endpoint,
		isNew:     isNew,
		restarted: isMoved || reported.StartedAt != previous.StartedAt,
	}, true
}

// add gives a name its id and an endpoint that nothing is known of. The id is the same at every proxy, for the hashes
// that they share.
func (x *endpointIndex) add(name string) *Endpoint {
	id := policy.EndpointID(fnvOffset)
	for i := range len(name) {
		id = (id ^ policy.EndpointID(name[i])) * fnvPrime
	}
	for id == 0 || x.byID[id] != nil {
		id++
	}
	endpoint := &Endpoint{Endpoint: policy.Endpoint{ID: id}}
	x.ids[name] = id
	x.byID[id] = endpoint
	x.byName[strings.ToLower(name)] = endpoint
	return endpoint
}

// startTime converts a reported start to the broker's clock; 0: long ago. One that lies far in the future is the report
// of a clock that was stepped: the endpoint has started by now.
func startTime(reported, now time.Duration, offsets *clock.Offsets) time.Duration {
	if reported == 0 {
		return 0
	}
	startedAt := offsets.LatestMonotonic(reported)
	if startedAt > now+maxFutureStart {
		startedAt = now
	}
	return max(1, startedAt)
}

// forget drops endpoints that have been gone for long, the earliest first.
func (x *endpointIndex) forget(now time.Duration) {
	for len(x.departures) > 0 && now-x.departures[0].at > rememberDeparted {
		endpoint := x.departures[0].endpoint
		x.departures = x.departures[1:]
		isBack := endpoint.State != policy.Gone || now-endpoint.changedAt <= rememberDeparted
		if isBack || x.byID[endpoint.ID] != endpoint {
			continue
		}
		delete(x.byID, endpoint.ID)
		delete(x.ids, endpoint.Name)
		if name := strings.ToLower(endpoint.Name); x.byName[name] == endpoint {
			delete(x.byName, name)
		}
		x.detach(endpoint, endpoint.Address)
	}
}

// detach takes an endpoint off an address.
func (x *endpointIndex) detach(endpoint *Endpoint, address string) {
	rest := slices.DeleteFunc(x.byAddress[address], func(other *Endpoint) bool { return other == endpoint })
	if len(rest) == 0 {
		delete(x.byAddress, address)
		return
	}
	x.byAddress[address] = rest
}
