package main

import (
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"
)

const settings = `{"classes":[{"on-time-ms":400,"deadline-ms":4000,"worth":1}],"n-instances":2,"zone":1,
"dcs":["hub","edge"],"limits":{"attempts-cap":6,"second-copies":true,"cancelling":true},"weights":"nominal",
"family-info":{"shield-kind":1,"master-kind":2,"max-age-ms":[0],"instances-by-zone":[0,1],"pass-through-ok":true}}`

func u32(v uint32) []byte  { return binary.LittleEndian.AppendUint32(nil, v) }
func u64(v uint64) []byte  { return binary.LittleEndian.AppendUint64(nil, v) }
func f64(v float64) []byte { return u64(math.Float64bits(v)) }

func join(parts ...[]byte) []byte { return bytes.Join(parts, nil) }

func hello(i uint32) []byte {
	entry := func(n, zone, kind byte) []byte {
		return join([]byte{10, 0, 0, n, 0, 0, zone, kind, 0, 0, 1}, u32(math.Float32bits(8)), f64(0))
	}
	return join([]byte{0}, u32(i), u64(1), u32(uint32(len(settings))), []byte(settings),
		[]byte{1}, u32(i), []byte{2}, u64(1), u32(4), entry(1, 1, 0), entry(2, 1, 0), entry(3, 0, 1), entry(4, 0, 2))
}

func request(i, txn uint32) []byte {
	return join([]byte{2}, u32(i), u32(txn), make([]byte, 4), u64(uint64(txn)), f64(2000), make([]byte, 13))
}

func batch(now float64, seq uint32, n int, records ...[]byte) []byte {
	body := join(records...)
	return join(f64(now), u32(uint32(len(body))+8), u32(uint32(n)), u32(seq), body)
}

func runAdapter(t *testing.T, in ...[]byte) []byte {
	t.Helper()
	var out bytes.Buffer
	if err := run(bytes.NewReader(join(in...)), &out); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// actions returns the output without the reply headers, so that the actions of different sequences of batches can be
// compared.
func actions(t *testing.T, out []byte) []byte {
	t.Helper()
	var all []byte
	for len(out) > 0 {
		n := int(binary.LittleEndian.Uint32(out[4:])) + 8
		all = append(all, out[12:n]...)
		out = out[n:]
	}
	return all
}

func TestInstancesShareNothing(t *testing.T) {
	together := runAdapter(t, batch(1000, 1, 4, hello(1), hello(2)),
		batch(1002, 2, 1, request(1, 7)), batch(1004, 3, 1, request(2, 7)))
	one := runAdapter(t, batch(1000, 1, 2, hello(1)), batch(1002, 2, 1, request(1, 7)))
	two := runAdapter(t, batch(1000, 1, 2, hello(2)), batch(1004, 2, 1, request(2, 7)))
	shared, separate := actions(t, together), join(actions(t, one), actions(t, two))
	if len(shared) < 2*39 || len(shared) != len(separate) {
		t.Fatalf("instances in one process: got %d bytes of actions, want %d as in two processes",
			len(shared), len(separate))
	}
	// The last 39 bytes of each output are its send action.
	for _, send := range [][]byte{one[len(one)-39:], two[len(two)-39:]} {
		if !bytes.Contains(shared, send) {
			t.Errorf("instances in one process: the send action %x is missing", send)
		}
	}
}

func TestSameInputSameBytes(t *testing.T) {
	in := join(batch(1000, 1, 2, hello(1)), batch(1002, 2, 2, request(1, 7), request(1, 8)))
	if !bytes.Equal(runAdapter(t, in), runAdapter(t, in)) {
		t.Error("two runs on the same input: got different outputs, want equal ones")
	}
}

func TestUnknownInstanceIsIgnored(t *testing.T) {
	if got := actions(t, runAdapter(t, batch(1000, 1, 1, request(5, 7)))); len(got) != 0 {
		t.Errorf("instance that was never started: got actions %x, want none", got)
	}
	down := join([]byte{9}, u32(1))
	got := actions(t, runAdapter(t, batch(1000, 1, 4, hello(1), down, request(1, 7))))
	if bytes.Contains(got, []byte{71, 1, 0, 0, 0}) {
		t.Errorf("stopped instance: got actions %x, want no send action", got)
	}
}

func TestBadInput(t *testing.T) {
	err := run(bytes.NewReader(batch(1000, 1, 1, []byte{44, 0, 0, 0, 0})), &bytes.Buffer{})
	if err == nil || !strings.Contains(err.Error(), "code 44") {
		t.Errorf("unknown code: got error %v, want one with \"code 44\"", err)
	}
	noClasses := join([]byte{0}, u32(1), u64(1), u32(2), []byte("{}"))
	err = run(bytes.NewReader(batch(1000, 1, 1, noClasses)), &bytes.Buffer{})
	if err == nil || !strings.Contains(err.Error(), "Classes") {
		t.Errorf("settings without a class: got error %v, want one with \"Classes\"", err)
	}
}
