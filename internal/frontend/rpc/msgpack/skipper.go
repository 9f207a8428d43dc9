package msgpack

import (
	"errors"
	"fmt"
)

// Skipper skips one value of any type that arrives in parts, and keeps none of it.
//
// Bounds: a constant size, however deeply the value is nested. A value that announces more than the limits given to
// NewSkipper is an error at once.
type Skipper struct {
	valuesLeft uint64 // nested values that are not begun yet
	bytesLeft  uint64 // of the scalar that is being skipped
	maxBytes   uint64 // of the value, less what was skipped or announced
	maxValues  uint64 // nested ones, less those that were announced
}

// NewSkipper returns a Skipper for a value of at most maxBytes, with at most maxValues nested values.
func NewSkipper(maxBytes, maxValues int) Skipper {
	return Skipper{valuesLeft: 1, maxBytes: uint64(maxBytes), maxValues: uint64(maxValues)}
}

// Skip skips as much of the value as data has. It returns how many bytes it used, and whether the value is complete.
// The rest of the data must be passed again, together with what follows it.
func (s *Skipper) Skip(data []byte) (used int, complete bool, err error) {
	for {
		skipped := min(s.bytesLeft, uint64(len(data)-used))
		used += int(skipped)
		s.bytesLeft -= skipped
		if s.bytesLeft > 0 {
			return used, false, nil
		}
		if s.valuesLeft == 0 {
			return used, true, nil
		}
		size, err := s.beginValue(data[used:])
		if errors.Is(err, ErrIncomplete) {
			return used, false, nil
		}
		if err != nil {
			return used, false, err
		}
		used += size
	}
}

// beginValue reads the code and the length of the next value, and returns their size in bytes.
func (s *Skipper) beginValue(data []byte) (size int, err error) {
	reader := Reader{Data: data}
	code := reader.code()
	nested := reader.nestedValues(code)
	length := uint64(0)
	if nested == 0 {
		length = reader.scalarLength(code)
	}
	if reader.Err != nil {
		return 0, reader.Err
	}
	size = reader.Pos
	if taken := uint64(size) + length; taken > s.maxBytes {
		return 0, fmt.Errorf("msgpack: value of %d bytes, expected at most %d", taken, s.maxBytes)
	}
	if nested > s.maxValues {
		return 0, fmt.Errorf("msgpack: %d nested values, expected at most %d", nested, s.maxValues)
	}
	s.maxBytes -= uint64(size) + length
	s.maxValues -= nested
	s.valuesLeft += nested - 1
	s.bytesLeft = length
	return size, nil
}
