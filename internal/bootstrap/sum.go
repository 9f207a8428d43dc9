package bootstrap

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"sloequay/internal/membership"
)

// checksum is the checksum of a list: of its version and all that its boxes are. It finds spoilt and torn content; it is no proof of
// who made it.
func checksum(version uint64, boxes []membership.Endpoint) uint64 {
	h := xxhash.New()
	var b [8]byte
	word := func(v uint64) {
		binary.LittleEndian.PutUint64(b[:], v)
		_, _ = h.Write(b[:])
	}
	text := func(s string) {
		word(uint64(len(s)))
		_, _ = h.WriteString(s)
	}
	word(version)
	for i := range boxes {
		x := &boxes[i]
		text(x.ID)
		text(x.Address)
		word(uint64(x.Zone))
		word(uint64(x.Kind))
		word(uint64(x.Cell))
		word(uint64(x.State))
		word(math.Float64bits(x.Weight))
		word(uint64(x.StartedAt))
		word(x.Incarnation)
	}
	return h.Sum64()
}
