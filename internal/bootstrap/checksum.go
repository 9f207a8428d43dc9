package bootstrap

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"sloequay/internal/membership"
)

// endpointList is a version of a list with its content: endpoints sorted by ID, each ID once.
type endpointList struct {
	ListVersion
	endpoints []membership.Endpoint
}

// newEndpointList returns a list with its endpoints sorted and its checksum computed.
func newEndpointList(list int, version uint64, endpoints []membership.Endpoint) *endpointList {
	endpoints = SortEndpoints(endpoints)
	return &endpointList{
		ListVersion: ListVersion{List: list, Version: version, Sum: checksum(version, endpoints)},
		endpoints:   endpoints,
	}
}

// SortEndpoints returns a copy sorted by ID, as checksums need it. If several endpoints have the same ID, it keeps the
// first.
func SortEndpoints(endpoints []membership.Endpoint) []membership.Endpoint {
	endpoints = slices.Clone(endpoints)
	slices.SortStableFunc(endpoints, func(a, b membership.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return slices.CompactFunc(endpoints, func(a, b membership.Endpoint) bool { return a.ID == b.ID })
}

// VersionOf returns the ListVersion of a list with these endpoints.
func VersionOf(list int, version uint64, endpoints []membership.Endpoint) ListVersion {
	return newEndpointList(list, version, endpoints).ListVersion
}

// checksum returns a checksum of the version and of all fields of the endpoints. It detects corrupt and incomplete
// content; it does not authenticate the sender.
func checksum(version uint64, endpoints []membership.Endpoint) uint64 {
	hash := xxhash.New()
	var buffer [8]byte
	writeNumber := func(number uint64) {
		binary.LittleEndian.PutUint64(buffer[:], number)
		_, _ = hash.Write(buffer[:])
	}
	writeText := func(text string) {
		writeNumber(uint64(len(text)))
		_, _ = hash.WriteString(text)
	}
	writeNumber(version)
	for i := range endpoints {
		endpoint := &endpoints[i]
		writeText(endpoint.ID)
		writeText(endpoint.Address)
		writeNumber(uint64(endpoint.Zone))
		writeNumber(uint64(endpoint.Kind))
		writeNumber(uint64(endpoint.Cell))
		writeNumber(uint64(endpoint.State))
		writeNumber(math.Float64bits(endpoint.Weight))
		writeNumber(uint64(endpoint.StartedAt))
		writeNumber(endpoint.Incarnation)
	}
	return hash.Sum64()
}
