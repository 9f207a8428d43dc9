package simwire

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"sloequay/internal/platformconfig"
	"sloequay/internal/policy"
)

// reader takes the fields of one record in their order. It keeps the first fault; after it all fields are zero.
type reader struct {
	data     []byte // of the batch
	start    int    // of the record
	position int    // of the next field
	name     string // of the record
	err      error
}

// fail keeps a fault that is at an offset in the record, unless there is one already.
func (r *reader) fail(offset int, format string, args ...any) {
	if r.err == nil {
		r.err = fmt.Errorf("%s: byte %d: %w", r.name, offset, fmt.Errorf(format, args...))
	}
}

// offset returns the offset of the next field in the record.
func (r *reader) offset() int { return r.position - r.start }

// left returns how many bytes of the batch are left.
func (r *reader) left() int { return len(r.data) - r.position }

// take returns the next bytes of the record, or nil where too few are left.
func (r *reader) take(size int, field string) []byte {
	if r.err != nil {
		return nil
	}
	if size > r.left() {
		r.fail(r.offset(), "%d bytes left, expected %d for %s", r.left(), size, field)
		return nil
	}
	taken := r.data[r.position : r.position+size]
	r.position += size
	return taken
}

func (r *reader) u8(field string) uint8 {
	if taken := r.take(1, field); taken != nil {
		return taken[0]
	}
	return 0
}

func (r *reader) u16(field string) uint16 {
	if taken := r.take(2, field); taken != nil {
		return binary.LittleEndian.Uint16(taken)
	}
	return 0
}

func (r *reader) u32(field string) uint32 {
	if taken := r.take(4, field); taken != nil {
		return binary.LittleEndian.Uint32(taken)
	}
	return 0
}

func (r *reader) u64(field string) uint64 {
	if taken := r.take(8, field); taken != nil {
		return binary.LittleEndian.Uint64(taken)
	}
	return 0
}

func (r *reader) f32(field string) float64 {
	return float64(math.Float32frombits(r.u32(field)))
}

// smallInteger takes an integer that is carried as a float32. One that is negative or too large becomes 0.
func (r *reader) smallInteger(field string) int {
	value := r.f32(field)
	if value >= 0 && value < 1<<31 {
		return int(value)
	}
	return 0
}

func (r *reader) time(field string) time.Duration {
	return platformconfig.Milliseconds(math.Float64frombits(r.u64(field)))
}

// endpoint takes an IPv4 address and a port.
func (r *reader) endpoint(field string) policy.EndpointID {
	taken := r.take(6, field)
	if taken == nil {
		return 0
	}
	address := binary.BigEndian.Uint32(taken)
	port := binary.LittleEndian.Uint16(taken[4:])
	return policy.EndpointID(address)<<16 | policy.EndpointID(port)
}

func (r *reader) status(field string) policy.Status {
	offset := r.offset()
	number := r.u16(field)
	status, known := statuses[number]
	if !known {
		r.fail(offset, "outcome %d, expected a known one", number)
	}
	return status
}

// load takes the figures of a load report.
func (r *reader) load() []float64 {
	const field, figureSize = "load", 4
	count := int(r.u8(field))
	if r.err != nil || count == 0 {
		return nil
	}
	if r.left() < figureSize*count {
		r.take(figureSize*count, field)
		return nil
	}
	figures := make([]float64, count)
	for i := range figures {
		figures[i] = r.f32(field)
	}
	return figures
}
