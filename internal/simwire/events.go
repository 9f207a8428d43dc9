package simwire

import (
	"fmt"

	"sloequay/internal/platformconfig"
	"sloequay/internal/policy"
)

// retryMark is the bit of a request's marks that is set if the client has marked the request as a retry.
const retryMark = 2

// decodeRecord decodes one record. The field names in errors are those of the protocol.
func decodeRecord(fields *reader) Record {
	code := fields.u8("code")
	if int(code) >= len(recordNames) {
		fields.fail(0, "code %d, expected 0 to %d", code, len(recordNames)-1)
	}
	if fields.err == nil {
		fields.name = recordNames[code]
	}
	record := Record{Instance: fields.u32("i")}
	if fields.err != nil {
		return record
	}
	switch code {
	case codeHello:
		record.Hello = decodeHello(fields)
	case codeDown:
		record.Down = true
	default:
		record.Event = decodeEvent(fields, code)
	}
	return record
}

func decodeHello(fields *reader) *Hello {
	hello := &Hello{Seed: fields.u64("init-seed")}
	size := int(fields.u32("info count"))
	offset := fields.offset()
	text := fields.take(size, "info")
	if fields.err != nil {
		return hello
	}
	config, err := platformconfig.ParsePolicy(text)
	if err != nil {
		fields.fail(offset, "%w", err)
	}
	hello.Config = config
	return hello
}

// decodeEvent decodes an event. It returns a policy.ClockEvent for a record that no decision depends on.
func decodeEvent(fields *reader, code uint8) policy.Event {
	switch code {
	case codeList:
		return decodeList(fields)
	case codeRequest:
		return decodeRequest(fields)
	case codeResponse:
		return decodeResponse(fields)
	case codeClientGone:
		return policy.ClientGoneEvent{ID: policy.RequestID(fields.u32("txn"))}
	case codeTimer:
		return policy.TimerEvent{Token: fields.u64("label")}
	case codePurge:
		return policy.PurgeEvent{
			Object: fields.u64("asset"),
			Group:  int(fields.u16("family-id")),
			Age:    fields.time("age-span-ms"),
		}
	}
	skipUnused(fields, code)
	return policy.ClockEvent{}
}

// skipUnused decodes the fields of a record that no decision depends on, to check that they are valid.
func skipUnused(fields *reader, code uint8) {
	switch code {
	case codeHeaders:
		fields.u32("txn")
		fields.endpoint("node")
		fields.u8("round-no")
		fields.time("duration-ms")
	case codeHealthCheck:
		fields.endpoint("node")
		fields.status("reason")
		fields.time("duration-ms")
		fields.load()
	case codePeer:
		fields.u16("who")
		fields.take(int(fields.u16("raw count")), "raw")
	}
}

func decodeRequest(fields *reader) policy.RequestEvent {
	request := policy.RequestEvent{
		ID:    policy.RequestID(fields.u32("txn")),
		Class: int(fields.u16("type")),
	}
	fields.u16("account")
	request.Object = fields.u64("asset")
	request.Remaining = fields.time("ttl-ms")
	request.SizeKB = fields.f32("kbytes")
	request.Group = fields.smallInteger("tag")
	request.Part = fields.smallInteger("part")
	request.Retry = fields.u8("marks")&retryMark != 0
	return request
}

func decodeResponse(fields *reader) policy.ResponseEvent {
	response := policy.ResponseEvent{
		ID:      policy.RequestID(fields.u32("txn")),
		Elapsed: fields.time("duration-ms"),
	}
	fields.endpoint("node")
	response.Concluded = fields.u8("settled") != 0
	response.Note = policy.Note(fields.u8("note"))
	response.Attempt = int(fields.u8("round-no"))
	fields.time("first-byte-ms")
	response.Status = fields.status("reason")
	fields.load()
	return response
}

func decodeList(fields *reader) policy.ListEvent {
	offset := fields.offset()
	list := policy.ListEvent{Kind: policy.ListKind(fields.u8("scope"))}
	if list.Kind > policy.ListFailed {
		fields.fail(offset, "scope %d, expected 0 to 3", list.Kind)
	}
	fields.u64("seq-no")
	count := int64(fields.u32("nodes-list count"))
	if fields.err != nil {
		return list
	}
	if size := count * listEntrySize; size > int64(fields.remaining()) {
		fields.fail(fields.offset(), "%d bytes left, expected %d for %d entries", fields.remaining(), size, count)
		return list
	}
	list.Endpoints = make([]policy.Endpoint, count)
	for i := range list.Endpoints {
		list.Endpoints[i] = decodeEndpoint(fields)
		if state := list.Endpoints[i].State; state > policy.Draining {
			fields.err = fmt.Errorf("%s: entry %d: byte 10: status %d, expected 0 to 2", fields.name, i, state)
			return list
		}
	}
	return list
}

func decodeEndpoint(fields *reader) policy.Endpoint {
	return policy.Endpoint{
		ID:        fields.endpoint("node"),
		Zone:      int(fields.u8("az")),
		Kind:      int(fields.u8("machine")),
		Cell:      int(fields.u16("cluster")),
		State:     policy.State(fields.u8("status")),
		Weight:    fields.f32("scale"),
		StartedAt: fields.time("since-ms"),
	}
}
