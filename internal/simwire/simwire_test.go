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

// encoder appends fields in the wire format to data.
type encoder struct{ data []byte }

func (w *encoder) u8(v ...uint8) *encoder { w.data = append(w.data, v...); return w }
func (w *encoder) u16(v uint16) *encoder {
	w.data = binary.LittleEndian.AppendUint16(w.data, v)
	return w
}
func (w *encoder) u32(v uint32) *encoder {
	w.data = binary.LittleEndian.AppendUint32(w.data, v)
	return w
}
func (w *encoder) u64(v uint64) *encoder {
	w.data = binary.LittleEndian.AppendUint64(w.data, v)
	return w
}
func (w *encoder) f32(v float32) *encoder { return w.u32(math.Float32bits(v)) }
func (w *encoder) f64(v float64) *encoder { return w.u64(math.Float64bits(v)) }
func (w *encoder) endpoint() *encoder     { return w.u8(10, 1, 2, 3).u16(11200) }
func (w *encoder) text(s string) *encoder { w.data = append(w.data, s...); return w }

// newRecord begins a record or an action of an instance.
func newRecord(code uint8, instance uint32) *encoder { return new(encoder).u8(code).u32(instance) }

// frame returns the frame of a batch with the time 1000 ms, the sequence number 3 and a count of records.
func frame(count uint32, records []byte) []byte {
	header := new(encoder).f64(1000).u32(uint32(len(records)) + 8).u32(count).u32(3)
	return append(header.data, records...)
}

const testEndpoint = policy.EndpointID(0x0a010203<<16 | 11200)

func TestDecodeEveryEvent(t *testing.T) {
	for _, c := range []struct {
		name string
		raw  *encoder
		want Record
	}{
		{"list", newRecord(1, 5).u8(0).u64(41).u32(1).endpoint().u8(2, 1).u16(7).u8(2).f32(1.5).f64(5),
			Record{Instance: 5, Event: policy.ListEvent{Endpoints: []policy.Endpoint{{ID: testEndpoint,
				Zone: 2, Kind: 1, Cell: 7, State: policy.Draining, Weight: 1.5, StartedAt: 5 * time.Millisecond}}}}},
		{"request", newRecord(2, 5).u32(9).u16(1).u16(2).u64(77).f64(250).f32(64).f32(11).f32(3).u8(2),
			Record{Instance: 5, Event: policy.RequestEvent{ID: 9, Class: 1, Object: 77, Part: 3, Group: 11,
				Remaining: 250 * time.Millisecond, SizeKB: 64, Retry: true}}},
		{"headers", newRecord(3, 5).u32(9).endpoint().u8(1).f64(2),
			Record{Instance: 5, Event: policy.ClockEvent{}}},
		{"response", newRecord(4, 5).u32(9).f64(2).endpoint().u8(1, 2, 1).f64(1).u16(200).u8(1).f32(0.5),
			Record{Instance: 5, Event: policy.ResponseEvent{ID: 9, Attempt: 1,
				Elapsed: 2 * time.Millisecond, Concluded: true, Note: policy.NoteFilled}}},
		{"client gone", newRecord(5, 5).u32(9), Record{Instance: 5, Event: policy.ClientGoneEvent{ID: 9}}},
		{"timer", newRecord(6, 5).u64(1), Record{Instance: 5, Event: policy.TimerEvent{Token: 1}}},
		{"health check", newRecord(7, 5).endpoint().u16(521).f64(1).u8(1).f32(0.5),
			Record{Instance: 5, Event: policy.ClockEvent{}}},
		{"peer message", newRecord(8, 5).u16(2).u16(2).text("hi"), Record{Instance: 5, Event: policy.ClockEvent{}}},
		{"down", newRecord(9, 5), Record{Instance: 5, Down: true}},
		{"purge", newRecord(10, 5).u64(77).u16(11).f64(8), Record{Instance: 5,
			Event: policy.PurgeEvent{Object: 77, Group: 11, Age: 8 * time.Millisecond}}},
	} {
		var b Batch
		if err := ReadBatch(bytes.NewReader(frame(1, c.raw.data)), &b); err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		got, err := b.Next()
		if err != nil || !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: got %+v, error %v; want %+v", c.name, got, err, c.want)
		}
		if _, err := b.Next(); !errors.Is(err, io.EOF) {
			t.Errorf("%s: after the last record: got error %v, want io.EOF", c.name, err)
		}
	}
}

func TestEncodeEveryAction(t *testing.T) {
	var r Reply
	r.Reset(8)
	want := new(encoder).u32(10).u32(0).u32(8)
	for _, c := range []struct {
		a    policy.Action
		want *encoder
	}{
		{policy.SendAttempt{ID: 9, Endpoint: testEndpoint, Timeout: 2 * time.Millisecond, Source: testEndpoint,
			CacheRank: 3, MaxAge: time.Millisecond, JoinFill: true, Revalidate: true},
			newRecord(71, 5).u32(9).endpoint().f64(2).endpoint().u8(3).f64(1).u8(9)},
		{policy.Reject{ID: 9, RetryAfter: time.Second}, newRecord(65, 5).u32(9).f64(1000)},
		{policy.Fail{ID: 9}, newRecord(66, 5).u32(9)},
		{policy.CancelAttempt{ID: 9, Attempt: 2}, newRecord(74, 5).u32(9).u8(2)},
		{policy.SetTimer{Token: 4, At: time.Second}, newRecord(72, 5).u64(4).f64(1000)},
		{policy.Watch{On: true}, newRecord(73, 5).u8(1)},
		{policy.EndpointEjected{Endpoint: 0x2a, Cause: outlier.Unresponsive},
			newRecord(76, 5).u16(24).text("ejected 2a: unresponsive")},
		{policy.EndpointReadmitted{Endpoint: 0x2a}, newRecord(76, 5).u16(13).text("readmitted 2a")},
		{policy.SendAttempt{CachedOnly: true, BypassParent: true}, newRecord(71, 5).u32(0).u8(0, 0, 0, 0).u16(0).f64(0).
			u8(0, 0, 0, 0).u16(0).u8(0).f64(0).u8(6)},
	} {
		r.Add(5, c.a)
		want.data = append(want.data, c.want.data...)
	}
	r.Fatal(5, "x")
	want.data = append(want.data, newRecord(69, 5).u16(1).text("x").data...)
	binary.LittleEndian.PutUint32(want.data[4:], uint32(len(want.data)-8))
	if !bytes.Equal(r.Bytes(), want.data) {
		t.Errorf("reply: got\n%x, want\n%x", r.Bytes(), want.data)
	}
}

func TestMalformedBatches(t *testing.T) {
	for _, c := range []struct {
		name string
		raw  []byte
		want string
	}{
		{"short header", []byte{1, 2}, "expected 20"},
		{"short body", frame(1, newRecord(5, 5).u32(9).data)[:24], "body ends"},
		{"no body", frame(1, newRecord(5, 5).u32(9).data)[:20], "body ends"},
		{"length under 8", new(encoder).f64(1).u32(4).u32(0).u32(1).data, "expected 8 or more"},
		{"short record", frame(1, newRecord(5, 5).u8(1).data), "CLIENT_GONE: byte 5"},
		{"too few records", frame(2, newRecord(9, 5).data), "0 bytes left"},
		{"bytes left over", frame(1, newRecord(9, 5).u8(7).data), "expected none"},
		{"unknown code", frame(1, newRecord(44, 5).data), "code 44"},
		{"unknown outcome", frame(1, newRecord(7, 5).endpoint().u16(7).f64(1).u8(0).data), "outcome 7"},
		{"short response headers", frame(1, newRecord(3, 5).u32(9).endpoint().u8(1).u32(2).data),
			"HEADERS: byte 16: 4 bytes left"},
		{"short health check", frame(1, newRecord(7, 5).endpoint().u16(521).f64(1).data),
			"CHECK_RESULT: byte 21: 0 bytes left"},
		{"short peer message", frame(1, newRecord(8, 5).u16(2).u16(3).text("hi").data),
			"WHISPER: byte 9: 2 bytes left"},
		{"list count beyond the data", frame(1, newRecord(1, 5).u8(0).u64(1).u32(math.MaxUint32).data), "entries"},
		{"load count beyond the data", frame(1, newRecord(7, 5).endpoint().u16(200).f64(1).u8(255).data), "load"},
		{"settings size beyond the data", frame(1, newRecord(0, 5).u64(1).u32(math.MaxUint32).data), "HELLO"},
		{"settings that are not JSON", frame(1, newRecord(0, 5).u64(1).u32(2).text("{,").data), "settings"},
		{"unknown word",
			frame(1, newRecord(0, 5).u64(1).u32(37).text(`{"family-info":{"detail":"sometimes"}}`).data[:54]),
			"settings"},
	} {
		var b Batch
		err := ReadBatch(bytes.NewReader(c.raw), &b)
		for err == nil {
			_, err = b.Next()
		}
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got error %v, want one that contains %q", c.name, err, c.want)
		}
	}
}

func FuzzBatch(f *testing.F) {
	f.Add(frame(1, newRecord(5, 5).u32(9).data))
	f.Add(frame(1, newRecord(2, 5).u32(9).u16(1).u16(2).u64(77).f64(250).f32(64).f32(11).f32(3).u8(2).data))
	f.Add(frame(1, newRecord(1, 5).u8(0).u64(1).u32(math.MaxUint32).data))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var b Batch
		err := ReadBatch(bytes.NewReader(raw), &b)
		for err == nil {
			_, err = b.Next()
		}
	})
}
