package msgpack

import (
	"errors"
	"testing"

	"pgregory.net/rapid"
)

// drawValue draws an encoded value with nested ones.
func drawValue(t *rapid.T, depth int) []byte {
	kinds := []string{"nil", "number", "text", "binary", "extension"}
	if depth > 0 {
		kinds = append(kinds, "array", "map")
	}
	length := rapid.IntRange(0, 300)
	switch rapid.SampledFrom(kinds).Draw(t, "kind") {
	case "number":
		return AppendUint(nil, rapid.Uint64().Draw(t, "number"))
	case "text":
		return AppendText(nil, string(make([]byte, length.Draw(t, "length"))))
	case "binary":
		return AppendBinary(nil, make([]byte, length.Draw(t, "length")))
	case "extension":
		return append([]byte{codeExt8, 3}, make([]byte, 4)...)
	case "array":
		return drawValues(t, AppendArrayHeader(nil, 3), 3, depth)
	case "map":
		return drawValues(t, AppendMapHeader(nil, 2), 4, depth)
	}
	return AppendNil(nil)
}

func drawValues(t *rapid.T, encoded []byte, count, depth int) []byte {
	for range count {
		encoded = append(encoded, drawValue(t, depth-1)...)
	}
	return encoded
}

// TestSkipperMatchesReader checks over random bytes, valid and not, in parts of random sizes, that a Skipper uses as
// many bytes of a value as Reader.Skip, and keeps at most a code and a length of it.
func TestSkipperMatchesReader(t *testing.T) {
	const maxHeaderBytes = 9
	rapid.Check(t, func(t *rapid.T) {
		data := drawValue(t, 3)
		if rapid.Bool().Draw(t, "corrupt") {
			data[rapid.IntRange(0, len(data)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		data = append(data, "rest"...)
		reader := Reader{Data: data}
		reader.Skip()
		skipper := NewSkipper(1<<20, 1<<20)
		used, complete := 0, false
		var err error
		for end := 0; end < len(data) && !complete && err == nil; {
			end = min(len(data), end+rapid.IntRange(1, 200).Draw(t, "part"))
			var n int
			n, complete, err = skipper.Skip(data[used:end])
			used += n
			if !complete && err == nil && end-used >= maxHeaderBytes {
				t.Fatalf("%d bytes kept of an incomplete value", end-used)
			}
		}
		switch {
		case complete && (reader.Err != nil || used != reader.Pos):
			t.Fatalf("skipped %d bytes, want %d and error %v", used, reader.Pos, reader.Err)
		case !complete && err == nil && !errors.Is(reader.Err, ErrIncomplete):
			t.Fatalf("incomplete after %d bytes, want %d and error %v", used, reader.Pos, reader.Err)
		}
	})
}

// TestSkipperLimits checks that a value that announces too much is an error before its data arrives.
func TestSkipperLimits(t *testing.T) {
	for name, announced := range map[string][]byte{
		"bytes":  {codeBin8 + 2, 0, 1, 0, 0},
		"values": {codeArray32, 0, 0, 2, 0},
	} {
		skipper := NewSkipper(1<<12, 1<<8)
		if _, _, err := skipper.Skip(announced); err == nil {
			t.Errorf("too many %s: got no error, want one", name)
		}
	}
}
