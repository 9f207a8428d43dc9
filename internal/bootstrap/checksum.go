package bootstrap

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"sloequay/internal/membership"
)

// endpointList is the content of a list: endpoints in the order of their IDs, each ID once.
type endpointList struct {
	ListVersion
	endpoints []membership.Endpoint
}

// newEndpointList orders endpoints and computes their checksum.
func newEndpointList(list int, version uint64, endpoints []membership.Endpoint) *endpointList {
	endpoints = SortEndpoints(endpoints)
	return &endpointList{
		ListVersion: ListVersion{List: list, Version: version, Sum: checksum(version, endpoints)},
		endpoints:   endpoints,
	}
}

// SortEndpoints returns a copy in the order that checksums are computed in; of several with one ID the first stays.
func SortEndpoints(endpoints []membership.Endpoint) []membership.Endpoint {
	endpoints = slices.Clone(endpoints)
	slices.SortStableFunc(endpoints, func(a, b membership.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return slices.CompactFunc(endpoints, func(a, b membership.Endpoint) bool { return a.ID == b.ID })
}

// VersionOf returns the identity of a list with these endpoints.
func VersionOf(list int, version uint64, endpoints []membership.Endpoint) ListVersion {
	return newEndpointList(list, version, endpoints).ListVersion
}

// checksum covers the version and all fields of the endpoints. It detects corrupt and incomplete content; it does
// not authenticate who made it.
func checksum(version uint64, endpoints []membership.Endpoint) uint64 {
	digest := xxhash.New()
	var buffer [8]byte
	writeNumber := func(number uint64) {
		binary.LittleEndian.PutUint64(buffer[:], number)
		_, _ = digest.Write(buffer[:])
	}
	writeText := func(text string) {
		writeNumber(uint64(len(text)))
		_, _ = digest.WriteString(text)
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
	return digest.Sum64()
}
