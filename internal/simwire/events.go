package simwire

import (
	"fmt"

	"sloequay/internal/platformconfig"
	"sloequay/internal/policy"
)

// retryMark is the bit of a request's marks that says that the client has made it before.
const retryMark = 2

// decodeRecord decodes one record. The names of the fields are the protocol's.
func decodeRecord(r *reader) Record {
	code := r.u8("code")
	if r.err == nil && int(code) >= len(recordNames) {
		r.err = fmt.Errorf("record: byte 0: code %d, expected 0 to %d", code, len(recordNames)-1)
	}
	if r.err == nil {
		r.name = recordNames[code]
	}
	record := Record{Instance: r.u32("i")}
	if r.err != nil {
		return record
	}
	switch code {
	case codeHello:
		record.Hello = decodeHello(r)
	case codeDown:
		record.Down = true
	default:
		record.Event = decodeEvent(r, code)
	}
	return record
}

func decodeHello(r *reader) *Hello {
	hello := &Hello{Seed: r.u64("init-seed")}
	size := int(r.u32("info count"))
	offset := r.position - r.start
	text := r.take(size, "info")
	if r.err != nil {
		return hello
	}
	var err error
	if hello.Config, err = platformconfig.ParseControl(text); err != nil {
		r.err = fmt.Errorf("%s: byte %d: %w", r.name, offset, err)
	}
	return hello
}

// decodeEvent returns a policy.ClockEvent for a record that the policy needs nothing of but its time.
func decodeEvent(r *reader, code uint8) policy.Event {
	switch code {
	case codeList:
		return decodeList(r)
	case codeRequest:
		return decodeRequest(r)
	case codeResponse:
		return decodeResponse(r)
	case codeClientGone:
		return policy.ClientGoneEvent{ID: policy.RequestID(r.u32("txn"))}
	case codeTimer:
		return policy.TimerEvent{Token: r.u64("label")}
	case codePurge:
		return policy.PurgeEvent{
			Object: r.u64("asset"),
			Group:  int(r.u16("family-id")),
			Age:    r.time("age-span-ms"),
		}
	}
	skipUnused(r, code)
	return policy.ClockEvent{}
}

// skipUnused checks the fields of a record that the policy needs nothing of.
func skipUnused(r *reader, code uint8) {
	switch code {
	case codeHeaders:
		r.u32("txn")
		r.endpoint("node")
		r.u8("round-no")
		r.time("duration-ms")
	case codeHealthCheck:
		r.endpoint("node")
		r.status("reason")
		r.time("duration-ms")
		r.load()
	case codePeer:
		r.u16("who")
		r.take(int(r.u16("raw count")), "raw")
	}
}

func decodeRequest(r *reader) policy.RequestEvent {
	request := policy.RequestEvent{
		ID:    policy.RequestID(r.u32("txn")),
		Class: int(r.u16("type")),
	}
	r.u16("account")
	request.Object = r.u64("asset")
	request.Remaining = r.time("ttl-ms")
	request.SizeKB = r.f32("kbytes")
	request.Group = r.smallInteger("tag")
	request.Part = r.smallInteger("part")
	request.Retry = r.u8("marks")&retryMark != 0
	return request
}

func decodeResponse(r *reader) policy.ResponseEvent {
	response := policy.ResponseEvent{
		ID:      policy.RequestID(r.u32("txn")),
		Elapsed: r.time("duration-ms"),
	}
	r.endpoint("node")
	response.Concluded = r.u8("settled") != 0
	response.Note = policy.Note(r.u8("note"))
	response.Attempt = int(r.u8("round-no"))
	r.time("first-byte-ms")
	response.Status = r.status("reason")
	r.load()
	return response
}

func decodeList(r *reader) policy.ListEvent {
	list := policy.ListEvent{Kind: policy.ListKind(r.u8("scope"))}
	if r.err == nil && list.Kind > policy.ListFailed {
		r.err = fmt.Errorf("%s: byte 5: scope %d, expected 0 to 3", r.name, list.Kind)
	}
	r.u64("seq-no")
	count := int64(r.u32("nodes-list count"))
	if r.err != nil {
		return list
	}
	if left := int64(len(r.data) - r.position); count*listEntrySize > left {
		r.err = fmt.Errorf("%s: byte %d: %d bytes left, expected %d for %d entries",
			r.name, r.position-r.start, left, count*listEntrySize, count)
		return list
	}
	list.Endpoints = make([]policy.Endpoint, count)
	for i := range list.Endpoints {
		list.Endpoints[i] = decodeEndpoint(r)
		if state := list.Endpoints[i].State; state > policy.Draining {
			r.err = fmt.Errorf("%s: entry %d: byte 10: status %d, expected 0 to 2", r.name, i, state)
			return list
		}
	}
	return list
}

func decodeEndpoint(r *reader) policy.Endpoint {
	return policy.Endpoint{
		ID:        r.endpoint("node"),
		Zone:      int(r.u8("az")),
		Kind:      int(r.u8("machine")),
		Cell:      int(r.u16("cluster")),
		State:     policy.State(r.u8("status")),
		Weight:    r.f32("scale"),
		StartedAt: r.time("since-ms"),
	}
}
