package simwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"sloequay/internal/platformconfig"
	"sloequay/internal/policy"
)

// readChunkSize is the largest number of bytes that are read at once.
const readChunkSize = 1 << 16

// Hello starts an instance with its seed and configuration.
type Hello struct {
	Seed   uint64
	Config policy.Config
}

// Record is one record of a batch. Exactly one of Hello, Down and Event is set.
type Record struct {
	Instance uint32
	Hello    *Hello
	Down     bool // the instance has stopped
	Event    policy.Event
}

// Batch is one frame from the simulator. Next decodes its records one at a time.
type Batch struct {
	Now       time.Duration
	Seq       uint32
	Count     uint32 // number of records
	data      []byte
	position  int    // offset in data of the next record
	remaining uint32 // number of records that Next has not decoded yet
}

// ReadBatch reads the next frame into a batch, whose buffer is reused. It returns io.EOF if the input ends before the
// frame begins.
func ReadBatch(input io.Reader, batch *Batch) error {
	var header [batchHeaderSize]byte
	if n, err := io.ReadFull(input, header[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return io.EOF
		}
		return fmt.Errorf("batch header: got %d bytes, expected %d: %w", n, batchHeaderSize, err)
	}
	length := binary.LittleEndian.Uint32(header[8:])
	if length < countedHeaderSize {
		return fmt.Errorf("batch header: byte 8: length %d, expected %d or more", length, countedHeaderSize)
	}
	batch.Now = platformconfig.Milliseconds(math.Float64frombits(binary.LittleEndian.Uint64(header[0:])))
	batch.Count = binary.LittleEndian.Uint32(header[12:])
	batch.Seq = binary.LittleEndian.Uint32(header[16:])
	batch.remaining = batch.Count
	batch.position = 0
	return batch.readBody(input, int(length)-countedHeaderSize)
}

// readBody reads the records. The buffer grows with the bytes received, so that a false length does not cause a
// large allocation.
func (b *Batch) readBody(input io.Reader, length int) error {
	b.data = b.data[:0]
	for len(b.data) < length {
		start := len(b.data)
		b.data = append(b.data, make([]byte, min(length-start, readChunkSize))...)
		n, err := io.ReadFull(input, b.data[start:])
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return fmt.Errorf("batch %d: body ends at byte %d, expected %d bytes: %w", b.Seq, start+n, length, err)
		}
	}
	return nil
}

// Next decodes the next record. After the last one it returns io.EOF, or an error if bytes follow.
func (b *Batch) Next() (Record, error) {
	if b.remaining == 0 {
		if b.position != len(b.data) {
			return Record{}, fmt.Errorf("batch %d: byte %d: %d bytes after the last of %d records, expected none",
				b.Seq, b.position, len(b.data)-b.position, b.Count)
		}
		return Record{}, io.EOF
	}
	b.remaining--
	fields := reader{data: b.data, start: b.position, position: b.position, name: "record"}
	record := decodeRecord(&fields)
	if fields.err != nil {
		return Record{}, fmt.Errorf("batch %d, record %d of %d at byte %d: %w",
			b.Seq, b.Count-b.remaining, b.Count, b.position, fields.err)
	}
	b.position = fields.position
	return record, nil
}
