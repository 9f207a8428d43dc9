package broker

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"sloequay/internal/clock"
	"sloequay/internal/policy"
)

// departedRetention is how long an endpoint that is gone stays in the index: its connections may still be open, its
// name may return, and its address stays blocked for other endpoints whose names resolve to it.
const departedRetention = time.Minute

// maxFutureStart is how far in the future a reported start may lie.
const maxFutureStart = 10 * time.Second

// The offset basis and the prime of the 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// Endpoint is a server in the endpoint list: a cache, a parent or the origin. Its fields change with the list.
type Endpoint struct {
	policy.Endpoint
	Name    string // its id in the list and in responses to clients
	Address string // host:port

	changedAt     time.Duration // when the list last changed it
	reportedStart time.Duration // its latest start as reported, in Unix time; 0: long ago
}

// usable reports whether attempts may be sent to the endpoint.
func (e *Endpoint) usable() bool { return e.State == policy.Ready }

// endpointIndex finds endpoints by id, name and address. It drops endpoints departedRetention after they departed.
type endpointIndex struct {
	byID       map[policy.EndpointID]*Endpoint
	ids        map[string]policy.EndpointID // by name
	byName     map[string]*Endpoint         // by name in lower case
	byAddress  map[string][]*Endpoint       // mostly one endpoint, and departed ones that had the address before
	departures []departure                  // the earliest first
}

// departure records when an endpoint departed. It may have returned, or departed again, since then.
type departure struct {
	endpoint *Endpoint
	at       time.Duration
}

// endpointUpdate describes how a change of the list affected an endpoint.
type endpointUpdate struct {
	endpoint  *Endpoint
	isNew     bool
	restarted bool // it restarted or moved to another address
}

func newEndpointIndex() endpointIndex {
	return endpointIndex{
		byID:      map[policy.EndpointID]*Endpoint{},
		ids:       map[string]policy.EndpointID{},
		byName:    map[string]*Endpoint{},
		byAddress: map[string][]*Endpoint{},
	}
}

// findByName returns the endpoint with a name, ignoring case, or nil if there is none.
func (x *endpointIndex) findByName(name string) *Endpoint { return x.byName[strings.ToLower(name)] }

// nameOf returns the name of an endpoint for the log, or its id in hex if the index no longer has it.
func (x *endpointIndex) nameOf(id policy.EndpointID) string {
	if endpoint := x.byID[id]; endpoint != nil {
		return endpoint.Name
	}
	return strconv.FormatUint(uint64(id), 16)
}

// addressBlocked reports whether an address belongs only to endpoints that take no new requests: draining ones, and
// those that departed within departedRetention.
func (x *endpointIndex) addressBlocked(address string, now time.Duration) bool {
	blocked := false
	for _, endpoint := range x.byAddress[address] {
		if endpoint.usable() {
			return false
		}
		blocked = blocked || endpoint.State == policy.Draining || now-endpoint.changedAt < departedRetention
	}
	return blocked
}

// update applies a reported change to an endpoint. It returns false if an endpoint is reported gone that the index does
// not have or has as gone. The offsets are those of the Unix clock from the broker's.
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
	if reported.reportedStart != previous.reportedStart { // compared in Unix time, as the offset may have changed
		reported.StartedAt = startTime(reported.reportedStart, now, offsets)
	}
	hasMoved := reported.Address != previous.Address
	if isNew || hasMoved {
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
		restarted: hasMoved || reported.StartedAt != previous.StartedAt,
	}, true
}

// add adds an empty endpoint with a name. Its id is a hash of the name, so that all proxies compute the same rendezvous
// hashes from it.
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

// startTime converts a reported start to the broker's clock; 0: long ago. A start more than maxFutureStart ahead was
// stamped by a clock that was stepped, so now is used instead.
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

// forget removes the endpoints that have been gone for longer than departedRetention.
func (x *endpointIndex) forget(now time.Duration) {
	for len(x.departures) > 0 && now-x.departures[0].at > departedRetention {
		endpoint := x.departures[0].endpoint
		x.departures = x.departures[1:]
		isBack := endpoint.State != policy.Gone || now-endpoint.changedAt <= departedRetention
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

// detach removes an endpoint from those of an address.
func (x *endpointIndex) detach(endpoint *Endpoint, address string) {
	rest := slices.DeleteFunc(x.byAddress[address], func(other *Endpoint) bool { return other == endpoint })
	if len(rest) == 0 {
		delete(x.byAddress, address)
		return
	}
	x.byAddress[address] = rest
}
