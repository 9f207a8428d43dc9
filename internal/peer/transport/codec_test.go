package transport

import (
	"encoding/hex"
	"testing"
)

// TestWireFormatIsUnchanged compares the encoded envelope, the bytes that its signature covers, and the encoded
// metadata of a member with the output of commit 1dcc078: proxies of several versions exchange messages during a
// release.
func TestWireFormatIsUnchanged(t *testing.T) {
	e := envelope{From: "p1", Incarnation: 1 << 40, Number: 7, To: "p2", Body: []byte("body"), Signature: []byte("sig")}
	m := memberMetadata{Zone: "z1", ProgramVersion: "1.0", Incarnation: 9, Key: []byte("key")}
	for _, c := range []struct {
		name    string
		message any
		want    string
	}{
		{"envelope", e, "86a4426f6479a4626f6479a545706f6368cf0000010000000000a446726f6da27031a64e756d62657207a3536967" +
			"a3736967a2546fa27032"},
		{"metadata", m, "84a545706f636809a34b6579a36b6579a750726f6772616da3312e30a45a6f6e65a27a31"},
	} {
		encoded, err := Encode(c.message)
		if err != nil {
			t.Fatal(err)
		}
		if got := hex.EncodeToString(encoded); got != c.want {
			t.Errorf("encoded %s: got %s, want %s", c.name, got, c.want)
		}
	}
	want := "86a4426f6479a4626f6479a545706f6368cf0000010000000000a446726f6da27031a64e756d62657207a3536967c0a2546fa27032"
	if got := hex.EncodeToString(e.signedBytes()); got != want {
		t.Errorf("signed bytes: got %s, want %s", got, want)
	}
}

// BenchmarkEnvelope encodes and decodes an envelope with a body of 1 KB, without a signature.
func BenchmarkEnvelope(b *testing.B) {
	e := envelope{From: "p1", Incarnation: 1 << 40, Number: 7, To: "p2", Body: make([]byte, 1000)}
	for b.Loop() {
		encoded, err := Encode(e)
		if err != nil {
			b.Fatal(err)
		}
		var decoded envelope
		if err := Decode(encoded, &decoded); err != nil {
			b.Fatal(err)
		}
	}
}

// FuzzDecode checks that any input decodes to a message or an error, without a panic, and without allocating whatever
// length the input announces.
func FuzzDecode(f *testing.F) {
	valid, _ := Encode(envelope{From: "a", Body: []byte("b")})
	f.Add(valid)
	f.Add([]byte{0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0xc6, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(_ *testing.T, b []byte) {
		var e envelope
		_ = Decode(b, &e)
		var m memberMetadata
		_ = Decode(b, &m)
	})
}
