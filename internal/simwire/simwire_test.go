package simwire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"sloequay/internal/policy"
	"sloequay/internal/policy/outlier"
)

type body struct{ b []byte }

func (w *body) u8(v ...uint8) *body  { w.b = append(w.b, v...); return w }
func (w *body) u16(v uint16) *body   { w.b = binary.LittleEndian.AppendUint16(w.b, v); return w }
func (w *body) u32(v uint32) *body   { w.b = binary.LittleEndian.AppendUint32(w.b, v); return w }
func (w *body) u64(v uint64) *body   { w.b = binary.LittleEndian.AppendUint64(w.b, v); return w }
func (w *body) f32(v float32) *body  { return w.u32(math.Float32bits(v)) }
func (w *body) f64(v float64) *body  { return w.u64(math.Float64bits(v)) }
func (w *body) node() *body          { return w.u8(10, 1, 2, 3).u16(11200) }
func (w *body) text(s string) *body  { w.b = append(w.b, s...); return w }
func rec(code uint8, i uint32) *body { return new(body).u8(code).u32(i) }
func frame(n uint32, b []byte) []byte {
	h := new(body).f64(1000).u32(uint32(len(b)) + 8).u32(n).u32(3)
	return append(h.b, b...)
}

const testNode = policy.EndpointID(0x0a010203<<16 | 11200)

func TestEveryEvent(t *testing.T) {
	for _, c := range []struct {
		name string
		raw  *body
		want Record
	}{
		{"list", rec(1, 5).u8(0).u64(41).u32(1).node().u8(2, 1).u16(7).u8(2).f32(1.5).f64(5),
			Record{Instance: 5, Event: policy.ListEvent{Endpoints: []policy.Endpoint{{ID: testNode,
				Zone: 2, Kind: 1, Cell: 7, State: policy.Draining, Weight: 1.5, StartedAt: 5 * time.Millisecond}}}}},
		{"call", rec(2, 5).u32(9).u16(1).u16(2).u64(77).f64(250).f32(64).f32(11).f32(3).u8(2),
			Record{Instance: 5, Event: policy.RequestEvent{ID: 9, Class: 1, Object: 77, Part: 3, Group: 11,
				Remaining: 250 * time.Millisecond, SizeKB: 64, Retry: true}}},
		{"headers", rec(3, 5).u32(9).node().u8(1).f64(2),
			Record{Instance: 5, Event: policy.ClockEvent{}}},
		{"answer", rec(4, 5).u32(9).f64(2).node().u8(1, 2, 1).f64(1).u16(200).u8(1).f32(0.5),
			Record{Instance: 5, Event: policy.ResponseEvent{ID: 9, Attempt: 1,
				Elapsed: 2 * time.Millisecond, Concluded: true, Note: policy.NoteFilled}}},
		{"gone", rec(5, 5).u32(9), Record{Instance: 5, Event: policy.ClientGoneEvent{ID: 9}}},
		{"elapsed", rec(6, 5).u64(1), Record{Instance: 5, Event: policy.TimerEvent{Token: 1}}},
		{"check", rec(7, 5).node().u16(521).f64(1).u8(1).f32(0.5), Record{Instance: 5, Event: policy.ClockEvent{}}},
		{"whisper", rec(8, 5).u16(2).u16(2).text("hi"), Record{Instance: 5, Event: policy.ClockEvent{}}},
		{"down", rec(9, 5), Record{Instance: 5, Down: true}},
		{"recalled", rec(10, 5).u64(77).u16(11).f64(8), Record{Instance: 5,
			Event: policy.PurgeEvent{Object: 77, Group: 11, Age: 8 * time.Millisecond}}},
	} {
		var b Batch
		if err := ReadBatch(bytes.NewReader(frame(1, c.raw.b)), &b); err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		got, err := b.Next()
		if err != nil || !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: got %+v, %v; want %+v", c.name, got, err, c.want)
		}
		if _, err := b.Next(); !errors.Is(err, io.EOF) {
			t.Errorf("%s: after the last record: %v", c.name, err)
		}
	}
}

func TestEveryAction(t *testing.T) {
	var r Reply
	r.Reset(8)
	want := new(body).u32(10).u32(0).u32(8)
	for _, c := range []struct {
		a    policy.Action
		want *body
	}{
		{policy.SendAttempt{ID: 9, Endpoint: testNode, Timeout: 2 * time.Millisecond, Source: testNode, CacheRank: 3,
			MaxAge: time.Millisecond, JoinFill: true, Revalidate: true},
			rec(71, 5).u32(9).node().f64(2).node().u8(3).f64(1).u8(9)},
		{policy.Reject{ID: 9, RetryAfter: time.Second}, rec(65, 5).u32(9).f64(1000)},
		{policy.Fail{ID: 9}, rec(66, 5).u32(9)},
		{policy.CancelAttempt{ID: 9, Attempt: 2}, rec(74, 5).u32(9).u8(2)},
		{policy.SetTimer{Token: 4, At: time.Second}, rec(72, 5).u64(4).f64(1000)},
		{policy.Watch{On: true}, rec(73, 5).u8(1)},
		{policy.EndpointEjected{Endpoint: 0x2a, Cause: outlier.Unresponsive},
			rec(76, 5).u16(24).text("ejected 2a: unresponsive")},
		{policy.EndpointReadmitted{Endpoint: 0x2a}, rec(76, 5).u16(13).text("readmitted 2a")},
		{policy.SendAttempt{CachedOnly: true, BypassParent: true}, rec(71, 5).u32(0).u8(0, 0, 0, 0).u16(0).f64(0).
			u8(0, 0, 0, 0).u16(0).u8(0).f64(0).u8(6)},
	} {
		r.Add(5, c.a)
		want.b = append(want.b, c.want.b...)
	}
	r.Fatal(5, "x")
	want.b = append(want.b, rec(69, 5).u16(1).text("x").b...)
	binary.LittleEndian.PutUint32(want.b[4:], uint32(len(want.b)-8))
	if !bytes.Equal(r.Bytes(), want.b) {
		t.Errorf("reply:\n%x, want\n%x", r.Bytes(), want.b)
	}
}

func TestMalformed(t *testing.T) {
	for _, c := range []struct {
		name string
		raw  []byte
		want string
	}{
		{"short header", []byte{1, 2}, "expected 20"},
		{"short body", frame(1, rec(5, 5).u32(9).b)[:24], "body ends"},
		{"no body", frame(1, rec(5, 5).u32(9).b)[:20], "body ends"},
		{"length under 8", new(body).f64(1).u32(4).u32(0).u32(1).b, "expected 8 or more"},
		{"short record", frame(1, rec(5, 5).u8(1).b), "CLIENT_GONE: byte 5"},
		{"too few records", frame(2, rec(9, 5).b), "0 bytes left"},
		{"bytes left over", frame(1, rec(9, 5).u8(7).b), "expected none"},
		{"unknown code", frame(1, rec(44, 5).b), "code 44"},
		{"unknown outcome", frame(1, rec(7, 5).node().u16(7).f64(1).u8(0).b), "outcome 7"},
		{"short headers", frame(1, rec(3, 5).u32(9).node().u8(1).u32(2).b), "HEADERS: byte 16: 4 bytes left"},
		{"short check", frame(1, rec(7, 5).node().u16(521).f64(1).b), "CHECK_RESULT: byte 21: 0 bytes left"},
		{"short whisper", frame(1, rec(8, 5).u16(2).u16(3).text("hi").b), "WHISPER: byte 9: 2 bytes left"},
		{"hostile list", frame(1, rec(1, 5).u8(0).u64(1).u32(math.MaxUint32).b), "entries"},
		{"hostile load", frame(1, rec(7, 5).node().u16(200).f64(1).u8(255).b), "load"},
		{"hostile info", frame(1, rec(0, 5).u64(1).u32(math.MaxUint32).b), "HELLO"},
		{"bad settings", frame(1, rec(0, 5).u64(1).u32(2).text("{,").b), "settings"},
		{"unknown word", frame(1, rec(0, 5).u64(1).u32(37).text(`{"family-info":{"detail":"sometimes"}}`).b[:54]),
			"settings"},
	} {
		var b Batch
		err := ReadBatch(bytes.NewReader(c.raw), &b)
		for err == nil {
			_, err = b.Next()
		}
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want a message with %q", c.name, err, c.want)
		}
	}
}

func FuzzBatch(f *testing.F) {
	f.Add(frame(1, rec(5, 5).u32(9).b))
	f.Add(frame(1, rec(2, 5).u32(9).u16(1).u16(2).u64(77).f64(250).f32(64).f32(11).f32(3).u8(2).b))
	f.Add(frame(1, rec(1, 5).u8(0).u64(1).u32(math.MaxUint32).b))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var b Batch
		err := ReadBatch(bytes.NewReader(raw), &b)
		for err == nil {
			_, err = b.Next()
		}
	})
}
