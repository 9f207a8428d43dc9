package bootstrap

import (
	"bufio"
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"sloequay/internal/membership"
)

const (
	// hashBytes is the length of ListVersion.Hash: enough that no other content with the same hash can be found.
	hashBytes         = 16
	digestBufferBytes = 4 << 10
)

// endpointList is a version of a list with its content: endpoints sorted by ID, each ID once.
type endpointList struct {
	ListVersion
	endpoints []membership.Endpoint
}

// newEndpointList returns a list with its endpoints sorted and its checksum and hash computed.
func newEndpointList(list int, version uint64, endpoints []membership.Endpoint) *endpointList {
	endpoints = SortEndpoints(endpoints)
	sum, hash := digests(version, endpoints)
	return &endpointList{
		ListVersion: ListVersion{List: list, Version: version, Sum: sum, Hash: hash},
		endpoints:   endpoints,
	}
}

// matches reports whether the list has the content of a version that a peer advertises, as far as the peer tells.
func (l *endpointList) matches(version ListVersion) bool {
	return l.Sum == version.Sum && (version.Hash == "" || version.Hash == l.Hash)
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

// digests returns a checksum and a truncated SHA-256 hash of the version and of all fields of the endpoints. The
// checksum detects corrupt and incomplete content. Other content with the same checksum is easy to compute, so only the
// hash binds what a peer serves to what others advertise.
func digests(version uint64, endpoints []membership.Endpoint) (sum uint64, hash string) {
	fast, secure := xxhash.New(), sha256.New()
	content := bufio.NewWriterSize(io.MultiWriter(fast, secure), digestBufferBytes)
	var buffer [8]byte
	writeNumber := func(number uint64) {
		binary.LittleEndian.PutUint64(buffer[:], number)
		_, _ = content.Write(buffer[:])
	}
	writeText := func(text string) {
		writeNumber(uint64(len(text)))
		_, _ = content.WriteString(text)
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
	_ = content.Flush()
	return fast.Sum64(), string(secure.Sum(nil)[:hashBytes])
}
