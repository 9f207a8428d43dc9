// Package msgpack reads and writes the part of MessagePack that the platform's protocol uses: nil, booleans, integers,
// strings, binaries, arrays and maps. It is strict and bounded: no input makes it panic, recurse deeply, or allocate
// more than the bytes that were received.
//
// The format is specified at https://github.com/msgpack/msgpack/blob/master/spec.md.
package msgpack

// Codes (first bytes) of the format's types. A type with several sizes has consecutive codes, each for twice the size
// of the one before.
const (
	codeNil      = 0xc0
	codeUnused   = 0xc1 // not assigned by the format
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

// Codes that contain a small number or length.
const (
	positiveFixIntEnd   = 0x80 // codes below it are the integer itself
	fixMap              = 0x80
	fixArray            = 0x90
	fixStr              = 0xa0
	negativeFixIntStart = 0xe0 // codes from here on are the integer itself

	fixLengthMask    = 0x0f // of a fixMap or fixArray
	fixStrLengthMask = 0x1f
)

// isFixMap reports whether a code is that of a map with its length in the code.
func isFixMap(code byte) bool { return code&^fixLengthMask == fixMap }

// isFixArray reports whether a code is that of an array with its length in the code.
func isFixArray(code byte) bool { return code&^fixLengthMask == fixArray }

// isFixStr reports whether a code is that of a string with its length in the code.
func isFixStr(code byte) bool { return code&^fixStrLengthMask == fixStr }
