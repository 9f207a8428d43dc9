package msgpack

import (
	"encoding/binary"
	"math"
)

// maxFixLength is the longest array or map with its length in its code; maxFixStrLength is the longest such string.
const (
	maxFixLength    = fixLengthMask
	maxFixStrLength = fixStrLengthMask
)

// AppendNil writes nil.
func AppendNil(b []byte) []byte { return append(b, codeNil) }

// AppendBool writes true or false.
//
//revive:disable-next-line:flag-parameter // the parameter is the value that is written
func AppendBool(b []byte, value bool) []byte {
	code := byte(codeFalse)
	if value {
		code = codeTrue
	}
	return append(b, code)
}

// AppendUint writes an integer in as few bytes as it needs.
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

// AppendArrayHeader writes the head of an array of fewer than 65,536 elements.
func AppendArrayHeader(b []byte, elements int) []byte {
	if elements <= maxFixLength {
		return append(b, fixArray|byte(elements))
	}
	return binary.BigEndian.AppendUint16(append(b, codeArray16), uint16(elements))
}

// AppendMapHeader writes the head of a map of fewer than 65,536 pairs.
func AppendMapHeader(b []byte, pairs int) []byte {
	if pairs <= maxFixLength {
		return append(b, fixMap|byte(pairs))
	}
	return binary.BigEndian.AppendUint16(append(b, codeMap16), uint16(pairs))
}

// AppendText writes a string.
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

// AppendBinary writes a binary.
func AppendBinary(b, data []byte) []byte { return append(AppendBinaryHeader(b, len(data)), data...) }

// AppendBinaryHeader writes what stands before the bytes of a binary.
func AppendBinaryHeader(b []byte, length int) []byte {
	switch {
	case length <= math.MaxUint8:
		return append(b, codeBin8, byte(length))
	case length <= math.MaxUint16:
		return binary.BigEndian.AppendUint16(append(b, codeBin16), uint16(length))
	}
	return binary.BigEndian.AppendUint32(append(b, codeBin32), uint32(length))
}
