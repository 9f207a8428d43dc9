// Package msgpack reads and writes the part of MessagePack that the platform's frontend speaks: nil, booleans,
// integers, strings, binaries, arrays and maps. It is strict and bounded: nothing that a peer writes makes it
// allocate more than the bytes that came, nest deeply, or panic.
//
// The format is that of https://github.com/msgpack/msgpack/blob/master/spec.md.
package msgpack

// Codes of the format. Where several sizes of a type stand in a row, each has twice as many bytes as the one before.
const (
	codeNil      = 0xc0
	codeUnused   = 0xc1 // never a value
	codeFalse    = 0xc2
	codeTrue     = 0xc3
	codeBin8     = 0xc4
	codeBin16    = 0xc5
	codeBin32    = 0xc6
	codeExt8     = 0xc7
	codeExt32    = 0xc9
	codeFloat32  = 0xca
	codeFloat64  = 0xcb
	codeUint8    = 0xcc
	codeUint16   = 0xcd
	codeUint32   = 0xce
	codeUint64   = 0xcf
	codeInt64    = 0xd3
	codeFixExt1  = 0xd4
	codeFixExt16 = 0xd8
	codeStr8     = 0xd9
	codeStr16    = 0xda
	codeStr32    = 0xdb
	codeArray16  = 0xdc
	codeArray32  = 0xdd
	codeMap16    = 0xde
	codeMap32    = 0xdf
)

// Codes that hold a small number or length themselves.
const (
	positiveFixIntEnd   = 0x80 // below it: the integer itself
	fixMap              = 0x80
	fixArray            = 0x90
	fixStr              = 0xa0
	negativeFixIntStart = 0xe0 // from it on: the integer itself

	fixLengthMask    = 0x0f // of a fixMap or fixArray
	fixStrLengthMask = 0x1f
)

// isFixMap reports whether a code is of a map with its length in the code.
func isFixMap(code byte) bool { return code&^fixLengthMask == fixMap }

// isFixArray reports whether a code is of an array with its length in the code.
func isFixArray(code byte) bool { return code&^fixLengthMask == fixArray }

// isFixStr reports whether a code is of a string with its length in the code.
func isFixStr(code byte) bool { return code&^fixStrLengthMask == fixStr }
