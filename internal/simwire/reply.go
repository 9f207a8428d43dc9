package simwire

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"sloequay/internal/policy"
)

// Reply encodes the actions that answer one batch.
type Reply struct {
	frame []byte
	count uint32 // number of actions
}

// Reset begins the reply to the batch with the sequence number seq. It reuses the buffer.
func (r *Reply) Reset(seq uint32) {
	r.frame = append(r.frame[:0], make([]byte, replyHeaderSize)...)
	binary.LittleEndian.PutUint32(r.frame[8:], seq)
	r.count = 0
}

// Bytes returns the complete frame, which is valid until the next Reset.
func (r *Reply) Bytes() []byte {
	binary.LittleEndian.PutUint32(r.frame[0:], r.count)
	binary.LittleEndian.PutUint32(r.frame[4:], uint32(len(r.frame)-countedHeaderSize))
	return r.frame
}

// Fatal appends a report that the policy engine of an instance has failed, with the reason.
func (r *Reply) Fatal(instance uint32, reason string) {
	r.begin(codeFatal, instance)
	r.text(reason)
}

// Add appends an action of an instance.
func (r *Reply) Add(instance uint32, action policy.Action) {
	switch action := action.(type) {
	case policy.SendAttempt:
		r.sendAttempt(instance, action)
	case policy.Reject:
		r.begin(codeReject, instance)
		r.u32(uint32(action.ID))
		r.time(action.RetryAfter)
	case policy.Fail:
		r.begin(codeFail, instance)
		r.u32(uint32(action.ID))
	case policy.CancelAttempt:
		r.begin(codeCancelAttempt, instance)
		r.u32(uint32(action.ID))
		r.u8(uint8(action.Attempt))
	case policy.SetTimer:
		r.begin(codeSetTimer, instance)
		r.u64(action.Token)
		r.time(action.At)
	case policy.Watch:
		r.begin(codeWatch, instance)
		r.flags(action.On)
	case policy.EndpointEjected:
		r.log(instance, fmt.Sprintf("ejected %x: %s", action.Endpoint, action.Cause))
	case policy.EndpointReadmitted:
		r.log(instance, fmt.Sprintf("readmitted %x", action.Endpoint))
	}
}

func (r *Reply) sendAttempt(instance uint32, attempt policy.SendAttempt) {
	r.begin(codeSendAttempt, instance)
	r.u32(uint32(attempt.ID))
	r.endpoint(attempt.Endpoint)
	r.time(attempt.Timeout)
	r.endpoint(attempt.Source)
	r.u8(uint8(attempt.CacheRank))
	r.time(attempt.MaxAge)
	r.flags(attempt.JoinFill, attempt.CachedOnly, attempt.BypassParent, attempt.Revalidate)
}

// log appends a log line for the operators.
func (r *Reply) log(instance uint32, line string) {
	r.begin(codeLog, instance)
	r.text(line)
}

func (r *Reply) begin(code uint8, instance uint32) {
	r.count++
	r.u8(code)
	r.u32(instance)
}

func (r *Reply) u8(value uint8)   { r.frame = append(r.frame, value) }
func (r *Reply) u32(value uint32) { r.frame = binary.LittleEndian.AppendUint32(r.frame, value) }
func (r *Reply) u64(value uint64) { r.frame = binary.LittleEndian.AppendUint64(r.frame, value) }

func (r *Reply) time(duration time.Duration) { r.u64(math.Float64bits(toMilliseconds(duration))) }

// endpoint appends an IPv4 address and a port.
func (r *Reply) endpoint(id policy.EndpointID) {
	r.frame = binary.BigEndian.AppendUint32(r.frame, uint32(id>>16))
	r.frame = binary.LittleEndian.AppendUint16(r.frame, uint16(id))
}

// text appends a string after its length of 16 bits. It truncates a longer string.
func (r *Reply) text(text string) {
	text = text[:min(len(text), math.MaxUint16)]
	r.frame = binary.LittleEndian.AppendUint16(r.frame, uint16(len(text)))
	r.frame = append(r.frame, text...)
}

// flags appends one byte of flags, the first in the lowest bit.
func (r *Reply) flags(flags ...bool) {
	var bits uint8
	for i, isSet := range flags {
		if isSet {
			bits |= 1 << i
		}
	}
	r.u8(bits)
}
