package simwire

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"sloequay/internal/platformconfig"
	"sloequay/internal/policy"
)

// reader decodes the fields of one record in order. It keeps the first fault; all later fields are zero.
type reader struct {
	data     []byte // records of the batch
	start    int    // offset in data of the record
	position int    // offset in data of the next field
	name     string // of the record, for errors
	err      error
}

// fail records a fault at an offset in the record, unless an earlier one is recorded.
func (r *reader) fail(offset int, format string, args ...any) {
	if r.err == nil {
		r.err = fmt.Errorf("%s: byte %d: %w", r.name, offset, fmt.Errorf(format, args...))
	}
}

// offset returns the offset of the next field in the record.
func (r *reader) offset() int { return r.position - r.start }

// remaining returns the number of bytes from the next field to the end of the batch.
func (r *reader) remaining() int { return len(r.data) - r.position }

// take returns the next size bytes, or nil if there are fewer or a fault is recorded.
func (r *reader) take(size int, field string) []byte {
	if r.err != nil {
		return nil
	}
	if size > r.remaining() {
		r.fail(r.offset(), "%d bytes left, expected %d for %s", r.remaining(), size, field)
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

// smallInteger decodes an integer that is encoded as a float32. It returns 0 if the value is negative, NaN or at least
// 1<<31.
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

// endpoint decodes an IPv4 address and a port.
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
		r.fail(offset, "unknown outcome %d", number)
	}
	return status
}

// load decodes the values of a load report.
func (r *reader) load() []float64 {
	const field, valueSize = "load", 4
	count := int(r.u8(field))
	if r.err != nil || count == 0 {
		return nil
	}
	if r.remaining() < valueSize*count {
		r.take(valueSize*count, field)
		return nil
	}
	values := make([]float64, count)
	for i := range values {
		values[i] = r.f32(field)
	}
	return values
}
