// Package simwire turns frames of the simulator's protocol into the types of package control and back.
// It decides nothing.
package simwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"sloequay/internal/platformconfig"
	"sloequay/internal/policy"
)

const (
	batchHeader = 20
	replyHeader = 12
	entrySize   = 23
	readChunk   = 1 << 16
)

// The codes of the events.
const (
	codeHello = iota
	codeBackends
	codeCall
	codeHeaders
	codeAnswer
	codeGone
	codeElapsed
	codeCheck
	codeWhisper
	codeDown
	codeRecalled
)

// The codes of the actions that control can ask for.
const (
	codeBusy      = 65
	codeSurrender = 66
	codeGetList   = 68
	codeFatal     = 69
	codeGet       = 71
	codeDefer     = 72
	codeTail      = 73
	codeUndo      = 74
	codeSoundOut  = 75
	codeNote      = 76
)

var eventNames = [...]string{
	"HELLO", "BACKENDS_CHANGED", "CALL", "HEADERS", "ANSWER", "CLIENT_GONE", "ELAPSED", "CHECK_RESULT",
	"WHISPER", "DOWN", "RECALLED",
}

var statuses = map[uint16]policy.Status{
	200: policy.StatusOK, 502: policy.StatusError, 429: policy.StatusAtCapacity, 408: policy.StatusTimeout, 521: policy.StatusConnectFailed,
	520: policy.StatusReset, 444: policy.StatusCanceled, 409: policy.StatusNotExecuted, 204: policy.StatusMiss,
}

// Hello starts an instance.
type Hello struct {
	Seed   uint64
	Config policy.Config
}

// Record is one record of a batch: exactly one of Hello, Down and Event is set.
type Record struct {
	Instance uint32
	Hello    *Hello
	Down     bool
	Event    policy.Event
}

// Batch is one frame from the simulator, its records still undecoded.
type Batch struct {
	Now   time.Duration
	Seq   uint32
	Count uint32
	data  []byte
	pos   int
	left  uint32
}

// ReadBatch reads the next frame into b and reuses its buffer. It returns io.EOF at a clean end of input.
func ReadBatch(r io.Reader, b *Batch) error {
	var head [batchHeader]byte
	if n, err := io.ReadFull(r, head[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return io.EOF
		}
		return fmt.Errorf("batch header: got %d bytes, expected %d: %w", n, batchHeader, err)
	}
	clock := math.Float64frombits(binary.LittleEndian.Uint64(head[0:]))
	length := binary.LittleEndian.Uint32(head[8:])
	if length < 8 {
		return fmt.Errorf("batch header: byte 8: length %d, expected 8 or more", length)
	}
	b.Now = platformconfig.MS(clock)
	b.Count = binary.LittleEndian.Uint32(head[12:])
	b.Seq = binary.LittleEndian.Uint32(head[16:])
	b.left, b.pos, b.data = b.Count, 0, b.data[:0]
	// The buffer grows with what really comes, so a hostile length allocates nothing.
	for want := int(length) - 8; want > 0; {
		n := min(want, readChunk)
		start := len(b.data)
		b.data = append(b.data, make([]byte, n)...)
		got, err := io.ReadFull(r, b.data[start:])
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return fmt.Errorf("batch %d: body ends at byte %d, expected %d: %w", b.Seq, start+got, length-8, err)
		}
		want -= n
	}
	return nil
}

// reader takes fields from a record; the first failure sticks.
type reader struct {
	data  []byte
	start int
	pos   int
	name  string
	err   error
}

func (r *reader) take(n int, what string) []byte {
	if r.err != nil {
		return nil
	}
	if n > len(r.data)-r.pos {
		r.err = fmt.Errorf("%s: byte %d: %d bytes left, expected %d for %s",
			r.name, r.pos-r.start, len(r.data)-r.pos, n, what)
		return nil
	}
	out := r.data[r.pos : r.pos+n]
	r.pos += n
	return out
}

func (r *reader) u8(what string) uint8 {
	if b := r.take(1, what); b != nil {
		return b[0]
	}
	return 0
}

func (r *reader) u16(what string) uint16 {
	if b := r.take(2, what); b != nil {
		return binary.LittleEndian.Uint16(b)
	}
	return 0
}

func (r *reader) u32(what string) uint32 {
	if b := r.take(4, what); b != nil {
		return binary.LittleEndian.Uint32(b)
	}
	return 0
}

func (r *reader) u64(what string) uint64 {
	if b := r.take(8, what); b != nil {
		return binary.LittleEndian.Uint64(b)
	}
	return 0
}

func (r *reader) f32(what string) float64 {
	return float64(math.Float32frombits(r.u32(what)))
}

func (r *reader) time(what string) time.Duration {
	return platformconfig.MS(math.Float64frombits(r.u64(what)))
}

func (r *reader) node(what string) policy.EndpointID {
	if b := r.take(6, what); b != nil {
		return policy.EndpointID(binary.BigEndian.Uint32(b))<<16 |
			policy.EndpointID(binary.LittleEndian.Uint16(b[4:]))
	}
	return 0
}

func (r *reader) status(what string) policy.Status {
	code := r.u16(what)
	s, ok := statuses[code]
	if !ok && r.err == nil {
		r.err = fmt.Errorf("%s: byte %d: outcome %d, expected a known one", r.name, r.pos-r.start-2, code)
	}
	return s
}

func (r *reader) load() []float64 {
	n := int(r.u8("load"))
	if r.err != nil || n == 0 {
		return nil
	}
	if len(r.data)-r.pos < 4*n {
		r.take(4*n, "load")
		return nil
	}
	out := make([]float64, n)
	for i := range out {
		out[i] = r.f32("load")
	}
	return out
}

// small turns a number carried as f32 into a whole one; nonsense becomes 0.
func small(v float64) int {
	if v >= 0 && v < 1<<31 {
		return int(v)
	}
	return 0
}

// Next decodes the next record. It returns io.EOF when the batch is used up and its counts agree.
func (b *Batch) Next() (Record, error) {
	if b.left == 0 {
		if b.pos != len(b.data) {
			return Record{}, fmt.Errorf("batch %d: byte %d: %d bytes after the last of %d records, expected none",
				b.Seq, b.pos, len(b.data)-b.pos, b.Count)
		}
		return Record{}, io.EOF
	}
	b.left--
	r := reader{data: b.data, start: b.pos, pos: b.pos, name: "record"}
	code := r.u8("code")
	if r.err == nil && int(code) >= len(eventNames) {
		r.err = fmt.Errorf("record: byte 0: code %d, expected 0 to %d", code, len(eventNames)-1)
	}
	if r.err == nil {
		r.name = eventNames[code]
	}
	rec := Record{Instance: r.u32("i")}
	if r.err == nil {
		decode(&r, code, &rec)
	}
	if r.err != nil {
		return Record{}, fmt.Errorf("batch %d, record %d of %d at byte %d: %w",
			b.Seq, b.Count-b.left, b.Count, b.pos, r.err)
	}
	b.pos = r.pos
	return rec, nil
}

func decode(r *reader, code uint8, rec *Record) {
	switch code {
	case codeHello:
		h := &Hello{Seed: r.u64("init-seed")}
		text := r.take(int(r.u32("info count")), "info")
		if r.err == nil {
			if h.Config, r.err = platformconfig.ParseControl(text); r.err != nil {
				r.err = fmt.Errorf("HELLO: byte %d: %w", 17, r.err)
			}
		}
		rec.Hello = h
	case codeBackends:
		rec.Event = decodeList(r)
	case codeCall:
		e := policy.RequestEvent{ID: policy.RequestID(r.u32("txn")), Class: int(r.u16("type")),
			Tenant: int(r.u16("account")), Object: r.u64("asset"), Remaining: r.time("ttl-ms"),
			SizeKB: r.f32("kbytes")}
		e.Group, e.Part = small(r.f32("tag")), small(r.f32("part"))
		e.Retry = r.u8("marks")&2 != 0
		rec.Event = e
	case codeHeaders:
		r.u32("txn")
		r.node("node")
		r.u8("round-no")
		r.time("duration-ms")
		rec.Event = policy.ClockEvent{}
	case codeAnswer:
		rec.Event = policy.ResponseEvent{ID: policy.RequestID(r.u32("txn")), Elapsed: r.time("duration-ms"),
			Endpoint: r.node("node"), Concluded: r.u8("settled") != 0, Note: policy.Note(r.u8("note")),
			Attempt: int(r.u8("round-no")), FirstByte: r.time("first-byte-ms"),
			Status: r.status("reason"), Load: r.load()}
	case codeGone:
		rec.Event = policy.ClientGoneEvent{ID: policy.RequestID(r.u32("txn"))}
	case codeElapsed:
		rec.Event = policy.TimerEvent{Token: r.u64("label")}
	case codeCheck:
		r.node("node")
		r.status("reason")
		r.time("duration-ms")
		r.load()
		rec.Event = policy.ClockEvent{}
	case codeWhisper:
		r.u16("who")
		r.take(int(r.u16("raw count")), "raw")
		rec.Event = policy.ClockEvent{}
	case codeDown:
		rec.Down = true
	case codeRecalled:
		rec.Event = policy.PurgeEvent{Object: r.u64("asset"), Group: int(r.u16("family-id")),
			Age: r.time("age-span-ms")}
	}
}

func decodeList(r *reader) policy.ListEvent {
	e := policy.ListEvent{Kind: policy.ListKind(r.u8("scope"))}
	if r.err == nil && e.Kind > policy.ListFailed {
		r.err = fmt.Errorf("%s: byte 5: scope %d, expected 0 to 3", r.name, e.Kind)
	}
	e.Version = r.u64("seq-no")
	n := int64(r.u32("nodes-list count"))
	if r.err != nil {
		return e
	}
	if room := int64(len(r.data) - r.pos); n*entrySize > room {
		r.err = fmt.Errorf("%s: byte %d: %d bytes left, expected %d for %d entries",
			r.name, r.pos-r.start, room, n*entrySize, n)
		return e
	}
	e.Endpoints = make([]policy.Endpoint, n)
	for i := range e.Endpoints {
		nd := &e.Endpoints[i]
		nd.ID = r.node("node")
		nd.Zone, nd.Kind = int(r.u8("az")), int(r.u8("machine"))
		nd.Cell = int(r.u16("cluster"))
		nd.State = policy.State(r.u8("status"))
		nd.Weight, nd.StartedAt = r.f32("scale"), r.time("since-ms")
		if nd.State > policy.Draining {
			r.err = fmt.Errorf("%s: entry %d: byte 10: status %d, expected 0 to 2", r.name, i, nd.State)
			return e
		}
	}
	return e
}

// Reply collects the actions that answer one batch.
type Reply struct {
	buf   []byte
	count uint32
}

// Reset starts the reply to the batch of number seq; the buffer is used again.
func (r *Reply) Reset(seq uint32) {
	r.buf = append(r.buf[:0], make([]byte, replyHeader)...)
	binary.LittleEndian.PutUint32(r.buf[8:], seq)
	r.count = 0
}

// Bytes gives the finished frame, valid until the next Reset.
func (r *Reply) Bytes() []byte {
	binary.LittleEndian.PutUint32(r.buf[0:], r.count)
	binary.LittleEndian.PutUint32(r.buf[4:], uint32(len(r.buf)-8))
	return r.buf
}

func (r *Reply) begin(code uint8, inst uint32) {
	r.count++
	r.buf = append(r.buf, code)
	r.u32(inst)
}

func (r *Reply) u32(v uint32) { r.buf = binary.LittleEndian.AppendUint32(r.buf, v) }
func (r *Reply) u64(v uint64) { r.buf = binary.LittleEndian.AppendUint64(r.buf, v) }

func (r *Reply) time(d time.Duration) { r.u64(math.Float64bits(toMS(d))) }

func (r *Reply) node(n policy.EndpointID) {
	r.buf = binary.BigEndian.AppendUint32(r.buf, uint32(n>>16))
	r.buf = binary.LittleEndian.AppendUint16(r.buf, uint16(n))
}

func (r *Reply) text(s string) {
	s = s[:min(len(s), math.MaxUint16)]
	r.buf = binary.LittleEndian.AppendUint16(r.buf, uint16(len(s)))
	r.buf = append(r.buf, s...)
}

// Fatal says that the decisions of an instance have failed.
func (r *Reply) Fatal(inst uint32, words string) {
	r.begin(codeFatal, inst)
	r.text(words)
}

func bits(flags ...bool) uint8 {
	var out uint8
	for i, f := range flags {
		if f {
			out |= 1 << i
		}
	}
	return out
}

// Add appends one action of an instance.
func (r *Reply) Add(inst uint32, action policy.Action) {
	switch a := action.(type) {
	case policy.SendAttempt:
		r.begin(codeGet, inst)
		r.u32(uint32(a.ID))
		r.node(a.Endpoint)
		r.time(a.Timeout)
		r.node(a.Source)
		r.buf = append(r.buf, uint8(a.CacheRank))
		r.time(a.MaxAge)
		r.buf = append(r.buf, bits(a.JoinFill, a.CachedOnly, a.BypassParent, a.Revalidate))
	case policy.Reject:
		r.begin(codeBusy, inst)
		r.u32(uint32(a.ID))
		r.time(a.RetryAfter)
	case policy.Fail:
		r.begin(codeSurrender, inst)
		r.u32(uint32(a.ID))
	case policy.CancelAttempt:
		r.begin(codeUndo, inst)
		r.u32(uint32(a.ID))
		r.buf = append(r.buf, uint8(a.Attempt))
	case policy.SetTimer:
		r.begin(codeDefer, inst)
		r.u64(a.Token)
		r.time(a.At)
	case policy.Watch:
		r.begin(codeTail, inst)
		r.buf = append(r.buf, bits(a.On))
	case policy.EndpointEjected:
		r.begin(codeNote, inst)
		r.text(fmt.Sprintf("ejected %x: %s", a.Endpoint, a.Cause))
	case policy.EndpointReadmitted:
		r.begin(codeNote, inst)
		r.text(fmt.Sprintf("readmitted %x", a.Endpoint))
	}
}

func toMS(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
