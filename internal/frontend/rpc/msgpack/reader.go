package msgpack

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// ErrIncomplete is the error for a value that continues beyond the end of Reader.Data.
var ErrIncomplete = errors.New("msgpack: incomplete value")

// maxDepth is how many levels of nested values Skip accepts.
const maxDepth = 8

// Reader reads values from Data. After the first error, Err does not change and all reads return zero values. A value
// whose header announces more than MaxBytes or ValuesLeft allow is an error at once, even if its data is incomplete.
type Reader struct {
	Data       []byte
	Pos        int // offset of the next value in Data
	MaxBytes   int // size limit of all values together, checked when one is incomplete; 0: no limit
	ValuesLeft int // one more than the nested values that Skip may still read, so it stays above 0; 0: no limit
	Err        error
}

// Uint reads an integer that is not negative.
func (r *Reader) Uint() uint64 {
	code := r.code()
	switch {
	case code < positiveFixIntEnd:
		return uint64(code)
	case code >= codeUint8 && code <= codeUint64:
		return r.number(1 << (code - codeUint8))
	}
	r.wrongType(code, "a non-negative integer")
	return 0
}

// ArrayHeader reads the header of an array and returns its number of elements.
func (r *Reader) ArrayHeader() int {
	code := r.code()
	switch {
	case isFixArray(code):
		return int(code & fixLengthMask)
	case code == codeArray16 || code == codeArray32:
		return int(uint32(r.number(2 << (code - codeArray16))))
	}
	r.wrongType(code, "an array")
	return 0
}

// MapHeader reads the header of a map and returns its number of pairs.
func (r *Reader) MapHeader() int {
	code := r.code()
	switch {
	case isFixMap(code):
		return int(code & fixLengthMask)
	case code == codeMap16 || code == codeMap32:
		return int(uint32(r.number(2 << (code - codeMap16))))
	}
	r.wrongType(code, "a map")
	return 0
}

// Text reads a string of at most maxBytes. The result shares memory with Data.
func (r *Reader) Text(maxBytes uint32) []byte {
	code := r.code()
	switch {
	case isFixStr(code):
		return r.takeAtMost(uint64(code&fixStrLengthMask), maxBytes)
	case code >= codeStr8 && code <= codeStr32:
		return r.takeAtMost(r.number(1<<(code-codeStr8)), maxBytes)
	}
	r.wrongType(code, "a string")
	return nil
}

// Binary reads a binary of at most maxBytes. The result shares memory with Data.
func (r *Reader) Binary(maxBytes uint32) []byte {
	code := r.code()
	if code < codeBin8 || code > codeBin32 {
		r.wrongType(code, "a binary")
		return nil
	}
	return r.takeAtMost(r.number(1<<(code-codeBin8)), maxBytes)
}

// Skip skips one value of any type.
func (r *Reader) Skip() { r.skip(maxDepth) }

func (r *Reader) skip(depth int) {
	if depth == 0 {
		r.fail("values nested deeper than %d levels", maxDepth)
	}
	if r.Err != nil {
		return
	}
	code := r.code()
	nested := r.nestedValues(code)
	if nested == 0 {
		r.take(r.scalarLength(code))
	}
	r.countValues(nested)
	for ; nested > 0 && r.Err == nil; nested-- { // ends with the data, however many values are announced
		r.skip(depth - 1)
	}
}

// nestedValues returns the number of values in the array or map whose code was read, and 0 for other types.
func (r *Reader) nestedValues(code byte) uint64 {
	switch {
	case isFixMap(code):
		return 2 * uint64(code&fixLengthMask)
	case isFixArray(code):
		return uint64(code & fixLengthMask)
	case code == codeArray16 || code == codeArray32:
		return r.number(2 << (code - codeArray16))
	case code == codeMap16 || code == codeMap32:
		return 2 * r.number(2<<(code-codeMap16))
	}
	return 0
}

// scalarLength returns how many bytes are left of a value without nested values, whose code was read. It reads the
// length that follows the code, if there is one.
func (r *Reader) scalarLength(code byte) uint64 {
	switch {
	case code < positiveFixIntEnd, code >= negativeFixIntStart, code == codeNil, code == codeFalse, code == codeTrue:
		return 0
	case isFixStr(code):
		return uint64(code & fixStrLengthMask)
	case code >= codeBin8 && code <= codeBin32:
		return r.number(1 << (code - codeBin8))
	case code >= codeExt8 && code <= codeExt32:
		return 1 + r.number(1<<(code-codeExt8)) // the extension's type and its data
	case code == codeFloat32 || code == codeFloat64:
		return 4 << (code - codeFloat32)
	case code >= codeUint8 && code <= codeInt64:
		return 1 << ((code - codeUint8) & 3) // four unsigned sizes, then the same four signed
	case code >= codeFixExt1 && code <= codeFixExt16:
		return 1 + 1<<(code-codeFixExt1) // the extension's type and its data
	case code >= codeStr8 && code <= codeStr32:
		return r.number(1 << (code - codeStr8))
	case isFixMap(code) || isFixArray(code) || code >= codeArray16 && code <= codeMap32: // no elements follow
		return 0
	}
	r.wrongType(code, "a value")
	return 0
}

// countValues counts nested values against ValuesLeft.
func (r *Reader) countValues(nested uint64) {
	if r.ValuesLeft == 0 || r.Err != nil {
		return
	}
	if nested >= uint64(r.ValuesLeft) {
		r.fail("%d nested values, expected fewer than %d", nested, r.ValuesLeft)
	}
	r.ValuesLeft -= int(min(nested, uint64(r.ValuesLeft)-1))
}

// code reads the first byte of a value. It returns codeUnused if there is none.
func (r *Reader) code() byte {
	if b := r.take(1); b != nil {
		return b[0]
	}
	return codeUnused
}

// number reads a big-endian number of 1, 2, 4 or 8 bytes.
func (r *Reader) number(bytes uint64) uint64 {
	b := r.take(bytes)
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

// takeAtMost returns the next length bytes. More than maxBytes are an error.
func (r *Reader) takeAtMost(length uint64, maxBytes uint32) []byte {
	if r.Err == nil && length > uint64(maxBytes) {
		r.fail("value of %d bytes, expected at most %d", length, maxBytes)
	}
	return r.take(length)
}

// take returns the next length bytes, which share memory with Data, or nil after an error.
func (r *Reader) take(length uint64) []byte {
	if r.Err != nil {
		return nil
	}
	if length > uint64(len(r.Data)-r.Pos) {
		if r.MaxBytes > 0 && uint64(r.Pos)+length > uint64(r.MaxBytes) {
			r.fail("value of %d bytes, expected at most %d in total", length, r.MaxBytes)
		} else {
			r.Err = ErrIncomplete
		}
		return nil
	}
	taken := r.Data[r.Pos : r.Pos+int(length)]
	r.Pos += int(length)
	return taken
}

// wrongType fails because the code just read is not of the expected type, unless reading the code already failed.
func (r *Reader) wrongType(code byte, expected string) {
	if r.Err == nil {
		r.Pos--
		r.fail("code 0x%02x, expected %s", code, expected)
	}
}

// fail sets Err, with the current position, unless it is set already.
func (r *Reader) fail(format string, args ...any) {
	if r.Err == nil {
		r.Err = fmt.Errorf("msgpack: byte %d: "+format, append([]any{r.Pos}, args...)...)
	}
}
