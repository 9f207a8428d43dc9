package dns

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/miekg/dns"

	"sloequay/internal/identity/tsig"
	"sloequay/internal/memory"
	"sloequay/internal/policy"
)

const (
	headerBytes = 12   // size of a message's header (RFC 1035, section 4.1.1)
	flagsByte   = 2    // offset of the first byte of flags in the header
	flagAnswer  = 0x80 // the QR bit: the message is an answer
)

// pendingQuery is a query that must get exactly one answer.
type pendingQuery struct {
	message     *dns.Msg
	from        string        // the client's address
	transaction string        // the client's address, id and question, which a retransmitted query repeats
	receivedAt  time.Duration // the earliest time at which it may have arrived
	reply       func([]byte)
	maxBytes    int                  // limit on the size of its answer
	stream      *stream              // nil: it arrived over UDP
	signed      *tsig.QuerySignature // nil: the query is not signed
	memory      memory.Charge        // while it waits for its answer
}

// status is an answer without records.
type status struct {
	rcode int
	text  string // explanation for the client; empty: none
}

// HandlePacket handles a query that arrived over UDP. It calls reply with the answer, before it returns or later.
func (s *Server) HandlePacket(packet []byte, from net.Addr, reply func([]byte)) {
	receivedAt := s.Now() - s.PacketLag()
	s.handle(packet, &pendingQuery{
		from: from.String(), receivedAt: receivedAt, reply: reply, maxBytes: minUDPBytes,
	})
}

// handle parses a packet into query, whose sender and transport the caller has set. It answers the query at once, or
// when the response to its request arrives.
func (s *Server) handle(packet []byte, query *pendingQuery) {
	if len(packet) < headerBytes || packet[flagsByte]&flagAnswer != 0 {
		return // no id to answer with, or an answer itself: answering it could cause a loop
	}
	query.message = &dns.Msg{}
	if len(packet) > maxQueryBytes {
		s.rejectMalformed(packet, query)
		return
	}
	if err := query.message.Unpack(packet); err != nil {
		s.Log("dns-bad-query", "from", query.from, "error", err)
		s.rejectMalformed(packet, query)
		return
	}
	query.maxBytes = maxAnswerBytes(query)
	if rejection, ok := checkHeader(query.message); !ok {
		s.sendStatus(query, rejection)
		return
	}
	if rejection, ok := s.checkSignature(packet, query); !ok {
		s.sendStatus(query, rejection)
		return
	}
	dropRecords(query.message)
	question := &query.message.Question[0]
	name := strings.ToLower(question.Name)
	query.transaction = fmt.Sprintf("%s %d %d %s", query.from, query.message.Id, question.Qtype, name)
	if s.pending[query.transaction] != nil { // a retransmitted query: the first one will be answered
		if query.stream != nil {
			query.stream.answered()
		}
		return
	}
	s.dispatch(query)
}

// rejectMalformed answers a query that can't be parsed, given at least its header.
func (s *Server) rejectMalformed(packet []byte, query *pendingQuery) {
	query.message = &dns.Msg{}
	query.message.Id = binary.BigEndian.Uint16(packet)
	s.sendStatus(query, status{rcode: dns.RcodeFormatError})
}

// dropRecords removes the records of a query that its answer does not depend on. A short query can have hundreds of
// them, which take many times its size.
func dropRecords(message *dns.Msg) {
	opt := message.IsEdns0()
	message.Answer = nil
	message.Ns = nil
	message.Extra = nil
	if opt != nil {
		opt.Option = nil
		message.Extra = []dns.RR{opt}
	}
}

// maxAnswerBytes returns the largest size that the answer to a query may have.
func maxAnswerBytes(query *pendingQuery) int {
	if query.stream != nil {
		return dns.MaxMsgSize
	}
	if opt := query.message.IsEdns0(); opt != nil {
		return min(maxUDPBytes, max(minUDPBytes, int(opt.UDPSize())))
	}
	return minUDPBytes
}

// checkHeader reports whether a message is a query of a supported kind, and returns the answer if it is not.
func checkHeader(message *dns.Msg) (rejection status, ok bool) {
	switch {
	case message.Opcode != dns.OpcodeQuery:
		return status{rcode: dns.RcodeNotImplemented}, false
	case len(message.Question) != 1:
		return status{rcode: dns.RcodeFormatError}, false
	case message.Question[0].Qclass != dns.ClassINET:
		return status{rcode: dns.RcodeRefused, text: "class"}, false
	}
	return status{}, true
}

// checkSignature checks the signature of a query. It reports whether the signature is valid or absent, and returns the
// answer if it is not.
func (s *Server) checkSignature(packet []byte, query *pendingQuery) (rejection status, ok bool) {
	var keys *tsig.Keys
	if s.Keys != nil {
		keys = s.Keys()
	}
	var err error
	query.signed, err = keys.Check(packet, query.message, s.UnixTime(), s.MaxClockSkew)
	if err != nil {
		return status{rcode: dns.RcodeFormatError, text: err.Error()}, false
	}
	if query.signed != nil && query.signed.Error != 0 {
		s.Log("dns-signature-rejected", "from", query.from, "error", dns.RcodeToString[int(query.signed.Error)])
		return status{rcode: dns.RcodeNotAuth}, false
	}
	return status{}, true
}

// dispatch answers a query at once if its name is invalid or needs no request, and otherwise joins it to a flight.
func (s *Server) dispatch(query *pendingQuery) {
	question := &query.message.Question[0]
	target, err := parseName(question.Name, s.Config.Zone)
	class := s.classIndex(target.class)
	switch {
	case errors.Is(err, errOtherZone):
		s.sendStatus(query, status{rcode: dns.RcodeRefused, text: "zone"})
	case errors.Is(err, errApex):
		s.sendStatus(query, status{rcode: dns.RcodeSuccess})
	case err != nil:
		s.sendStatus(query, status{rcode: dns.RcodeFormatError, text: err.Error()})
	case target.endpoint != "":
		s.answerEndpoint(query, target.endpoint)
	case class < 0:
		s.sendStatus(query, status{rcode: dns.RcodeNameError})
	case s.Classes[class].Idempotency != policy.Idempotent && target.key == "":
		s.sendStatus(query, status{rcode: dns.RcodeFormatError, text: "this class needs a key"})
	case question.Qtype != dns.TypeA && question.Qtype != dns.TypeSRV && question.Qtype != dns.TypeTXT:
		s.sendStatus(query, status{rcode: dns.RcodeSuccess}) // the name exists, but has no records of this type
	default:
		s.join(query, target, class)
	}
}
