package msgpack

import (
	"encoding/binary"
	"math"
)

// The longest values with the length in their code: maxFixLength for an array or a map, in elements or pairs, and
// maxFixStrLength for a string, in bytes.
const (
	maxFixLength    = fixLengthMask
	maxFixStrLength = fixStrLengthMask
)

// AppendNil appends nil.
func AppendNil(b []byte) []byte { return append(b, codeNil) }

// AppendBool appends a boolean.
//
//revive:disable-next-line:flag-parameter // the parameter is the value that is written
func AppendBool(b []byte, value bool) []byte {
	code := byte(codeFalse)
	if value {
		code = codeTrue
	}
	return append(b, code)
}

// AppendUint appends an integer in its shortest encoding.
func AppendUint(b []byte, value uint64) []byte {
	switch {
	case value < positiveFixIntEnd:
		return append(b, byte(value))
	case value <= math.MaxUint8:
		return append(b, codeUint8, byte(value))
	case value <= math.MaxUint16:
		return binary.BigEndian.AppendUint16(append(b, codeUint16), uint16(value))
	case value <= math.MaxUint32:
		return binary.BigEndian.AppendUint32(append(b, codeUint32), uint32(value))
	}
	return binary.BigEndian.AppendUint64(append(b, codeUint64), value)
}

// AppendArrayHeader appends the header of an array of fewer than 65,536 elements.
func AppendArrayHeader(b []byte, elements int) []byte {
	if elements <= maxFixLength {
		return append(b, fixArray|byte(elements))
	}
	return binary.BigEndian.AppendUint16(append(b, codeArray16), uint16(elements))
}

// AppendMapHeader appends the header of a map of fewer than 65,536 pairs.
func AppendMapHeader(b []byte, pairs int) []byte {
	if pairs <= maxFixLength {
		return append(b, fixMap|byte(pairs))
	}
	return binary.BigEndian.AppendUint16(append(b, codeMap16), uint16(pairs))
}

// AppendText appends a string.
func AppendText(b []byte, text string) []byte {
	switch length := len(text); {
	case length <= maxFixStrLength:
		b = append(b, fixStr|byte(length))
	case length <= math.MaxUint8:
		b = append(b, codeStr8, byte(length))
	case length <= math.MaxUint16:
		b = binary.BigEndian.AppendUint16(append(b, codeStr16), uint16(length))
	default:
		b = binary.BigEndian.AppendUint32(append(b, codeStr32), uint32(length))
	}
	return append(b, text...)
}

// AppendBinary appends a binary.
func AppendBinary(b, data []byte) []byte { return append(AppendBinaryHeader(b, len(data)), data...) }

// AppendBinaryHeader appends the header of a binary of length bytes; its data must follow.
func AppendBinaryHeader(b []byte, length int) []byte {
	switch {
	case length <= math.MaxUint8:
		return append(b, codeBin8, byte(length))
	case length <= math.MaxUint16:
		return binary.BigEndian.AppendUint16(append(b, codeBin16), uint16(length))
	}
	return binary.BigEndian.AppendUint32(append(b, codeBin32), uint32(length))
}
