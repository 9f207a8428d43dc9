// Package msgpack reads and writes the part of MessagePack that the platform's front speaks: nil, booleans, integers,
// strings, binaries, arrays and maps. It is strict and bounded: nothing that a peer writes makes it allocate more
// than the bytes that came, nest deeply, or panic.
package msgpack

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// ErrShort says that the value goes on beyond the bytes at hand.
var ErrShort = errors.New("msgpack: the value is not whole yet")

// Reader takes values off the front of Data. The first failure sticks. What is announced to go beyond Most bytes of
// Data, or beyond Values values, is refused at once, before any of it is waited for.
type Reader struct {
	Data        []byte
	Pos         int
	MaxElements int // 0: no limit
	Values      int // that may still be skipped; 0: no limit
	Err         error
}

// deepest is how far Skip follows nested values.
const deepest = 8

func (r *Reader) fail(format string, args ...any) {
	if r.Err == nil {
		r.Err = fmt.Errorf("msgpack: byte %d: "+format, append([]any{r.Pos}, args...)...)
	}
}

// take returns the next n bytes; they stay part of Data.
func (r *Reader) take(n uint32) []byte {
	if r.Err != nil {
		return nil
	}
	if uint64(n) > uint64(len(r.Data)-r.Pos) {
		if r.Err = ErrShort; r.MaxElements > 0 && uint64(r.Pos)+uint64(n) > uint64(r.MaxElements) {
			r.Err = nil
			r.fail("%d bytes are announced, at most %d expected in all", n, r.MaxElements)
		}
		return nil
	}
	out := r.Data[r.Pos : r.Pos+int(n)]
	r.Pos += int(n)
	return out
}

// uint reads a big-endian number of the given width.
func (r *Reader) uint(width uint32) uint64 {
	b := r.take(width)
	switch len(b) {
	case 1:
		return uint64(b[0])
	case 2:
		return uint64(binary.BigEndian.Uint16(b))
	case 4:
		return uint64(binary.BigEndian.Uint32(b))
	case 8:
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

func (r *Reader) code() byte {
	if b := r.take(1); b != nil {
		return b[0]
	}
	return 0xc1 // never used in the format, so no caller takes it for a value
}

// wrong notes a value of another type, unless there was none.
func (r *Reader) wrong(code byte, want string) {
	if r.Err == nil {
		r.Pos--
		r.fail("code 0x%02x, expected %s", code, want)
	}
}

// Uint reads an integer that is not negative.
func (r *Reader) Uint() uint64 {
	switch c := r.code(); {
	case c < 0x80:
		return uint64(c)
	case c >= 0xcc && c <= 0xcf:
		return r.uint(1 << (c - 0xcc))
	default:
		r.wrong(c, "an integer of 0 or more")
	}
	return 0
}

// Array reads the head of an array.
func (r *Reader) Array() int {
	switch c := r.code(); {
	case c&0xf0 == 0x90:
		return int(c & 0x0f)
	case c == 0xdc || c == 0xdd:
		return int(uint32(r.uint(2 << (c - 0xdc))))
	default:
		r.wrong(c, "an array")
	}
	return 0
}

// Map reads the head of a map and gives the number of its pairs.
func (r *Reader) Map() int {
	switch c := r.code(); {
	case c&0xf0 == 0x80:
		return int(c & 0x0f)
	case c == 0xde || c == 0xdf:
		return int(uint32(r.uint(2 << (c - 0xde))))
	default:
		r.wrong(c, "a map")
	}
	return 0
}

// Text reads a string of at most most bytes.
func (r *Reader) Text(most uint32) []byte {
	var n uint32
	switch c := r.code(); {
	case c&0xe0 == 0xa0:
		n = uint32(c & 0x1f)
	case c >= 0xd9 && c <= 0xdb:
		n = uint32(r.uint(1 << (c - 0xd9)))
	default:
		r.wrong(c, "a string")
		return nil
	}
	return r.bounded(n, most)
}

// Binary reads a binary of at most most bytes.
func (r *Reader) Binary(most uint32) []byte {
	c := r.code()
	if c < 0xc4 || c > 0xc6 {
		r.wrong(c, "a binary")
		return nil
	}
	return r.bounded(uint32(r.uint(1<<(c-0xc4))), most)
}

func (r *Reader) bounded(n, most uint32) []byte {
	if r.Err == nil && n > most {
		r.fail("%d bytes, at most %d expected", n, most)
	}
	return r.take(n)
}

// Skip passes over one value of any type.
func (r *Reader) Skip() { r.skip(deepest) }

func (r *Reader) skip(depth int) {
	if depth == 0 {
		r.fail("nested deeper than %d", deepest)
	}
	if r.Err != nil {
		return
	}
	c := r.code()
	values := uint64(0)
	switch {
	case c < 0x80 || c >= 0xe0 || c == 0xc0 || c == 0xc2 || c == 0xc3:
	case c&0xf0 == 0x80:
		values = 2 * uint64(c&0x0f)
	case c&0xf0 == 0x90:
		values = uint64(c & 0x0f)
	case c&0xe0 == 0xa0:
		r.take(uint32(c & 0x1f))
	case c >= 0xc4 && c <= 0xc6:
		r.take(uint32(r.uint(1 << (c - 0xc4))))
	case c >= 0xc7 && c <= 0xc9:
		n := uint32(r.uint(1 << (c - 0xc7)))
		r.take(1) // its type
		r.take(n)
	case c == 0xca || c == 0xcb:
		r.take(4 << (c - 0xca))
	case c >= 0xcc && c <= 0xd3:
		r.take(1 << ((c - 0xcc) & 3))
	case c >= 0xd4 && c <= 0xd8:
		r.take(1 + 1<<(c-0xd4))
	case c >= 0xd9 && c <= 0xdb:
		r.take(uint32(r.uint(1 << (c - 0xd9))))
	case c == 0xdc || c == 0xdd:
		values = r.uint(2 << (c - 0xdc))
	case c == 0xde || c == 0xdf:
		values = 2 * r.uint(2<<(c-0xde))
	default:
		r.wrong(c, "a value")
	}
	if r.Values > 0 && r.Err == nil {
		if values >= uint64(r.Values) {
			r.fail("%d values are announced, fewer than %d expected", values, r.Values)
		}
		r.Values -= int(min(values, uint64(r.Values)-1))
	}
	for ; values > 0 && r.Err == nil; values-- { // ends with the bytes at hand, however many are announced
		r.skip(depth - 1)
	}
}

// AppendNil writes nil.
func AppendNil(b []byte) []byte { return append(b, 0xc0) }

// AppendBool writes true or false.
func AppendBool(b []byte, v bool) []byte {
	if v {
		return append(b, 0xc3)
	}
	return append(b, 0xc2)
}

// AppendUint writes an integer.
func AppendUint(b []byte, v uint64) []byte {
	switch {
	case v < 0x80:
		return append(b, byte(v))
	case v <= 0xff:
		return append(b, 0xcc, byte(v))
	case v <= 0xffff:
		return binary.BigEndian.AppendUint16(append(b, 0xcd), uint16(v))
	case v <= 0xffffffff:
		return binary.BigEndian.AppendUint32(append(b, 0xce), uint32(v))
	}
	return binary.BigEndian.AppendUint64(append(b, 0xcf), v)
}

// AppendArray writes the head of an array of fewer than 65,536 elements.
func AppendArray(b []byte, n int) []byte {
	if n < 16 {
		return append(b, 0x90|byte(n))
	}
	return binary.BigEndian.AppendUint16(append(b, 0xdc), uint16(n))
}

// AppendMap writes the head of a map of fewer than 65,536 pairs.
func AppendMap(b []byte, n int) []byte {
	if n < 16 {
		return append(b, 0x80|byte(n))
	}
	return binary.BigEndian.AppendUint16(append(b, 0xde), uint16(n))
}

// AppendText writes a string.
func AppendText(b []byte, s string) []byte {
	switch n := len(s); {
	case n < 32:
		b = append(b, 0xa0|byte(n))
	case n <= 0xff:
		b = append(b, 0xd9, byte(n))
	case n <= 0xffff:
		b = binary.BigEndian.AppendUint16(append(b, 0xda), uint16(n))
	default:
		b = binary.BigEndian.AppendUint32(append(b, 0xdb), uint32(n))
	}
	return append(b, s...)
}

// AppendBinary writes a binary.
func AppendBinary(b, v []byte) []byte { return append(AppendBinaryHead(b, len(v)), v...) }

// AppendBinaryHead writes what stands before the n bytes of a binary.
func AppendBinaryHead(b []byte, n int) []byte {
	switch {
	case n <= 0xff:
		return append(b, 0xc4, byte(n))
	case n <= 0xffff:
		return binary.BigEndian.AppendUint16(append(b, 0xc5), uint16(n))
	}
	return binary.BigEndian.AppendUint32(append(b, 0xc6), uint32(n))
}
