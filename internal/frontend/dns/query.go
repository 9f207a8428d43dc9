package dns

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"strings"

	"github.com/miekg/dns"

	"sloequay/internal/identity/tsig"
	"sloequay/internal/policy"
)

const (
	headerBytes = 12 // of a message (RFC 1035, section 4.1.1)
	flagsByte   = 2  // of the header: its first byte of flags
	flagAnswer  = 0x80
)

// query is one query that was taken and is due one answer.
type query struct {
	message  *dns.Msg
	from     string // its client's address
	identity string // its client, id and question: a retransmitted query has the same
	reply    func([]byte)
	maxBytes int          // of its answer
	stream   *stream      // nil: it came by UDP
	signed   *tsig.Signed // nil: it is not
}

// status is an answer without a record.
type status struct {
	rcode int
	text  string // for the client; empty: none
}

// Packet answers a query that came by UDP, or has it wait for its request. reply sends the answer.
func (s *Server) Packet(packet []byte, from net.Addr, reply func([]byte)) {
	s.handle(packet, &query{from: from.String(), reply: reply, maxBytes: minUDPBytes})
}

// handle reads a packet into a query of which sender and transport are known. It answers the query, or has it wait
// for its request.
func (s *Server) handle(packet []byte, q *query) {
	q.message = &dns.Msg{}
	err := q.message.Unpack(packet)
	if len(packet) < headerBytes || packet[flagsByte]&flagAnswer != 0 {
		return // no id to answer under, or an answer: answering those would make loops
	}
	if err != nil {
		s.Log("dns-bad-query", "from", q.from, "error", err)
		q.message = &dns.Msg{}
		q.message.Id = binary.BigEndian.Uint16(packet)
		s.sendStatus(q, status{rcode: dns.RcodeFormatError})
		return
	}
	q.maxBytes = maxAnswerBytes(q)
	if rejection, ok := checkHeader(q.message); !ok {
		s.sendStatus(q, rejection)
		return
	}
	if rejection, ok := s.checkSignature(packet, q); !ok {
		s.sendStatus(q, rejection)
		return
	}
	question := &q.message.Question[0]
	q.identity = fmt.Sprintf("%s %d %d %s", q.from, q.message.Id, question.Qtype, strings.ToLower(question.Name))
	if s.pending[q.identity] != nil { // a retransmitted query: its answer is under way
		if q.stream != nil {
			q.stream.answered()
		}
		return
	}
	s.dispatch(q)
}

// maxAnswerBytes returns how long the answer to a query may be.
func maxAnswerBytes(q *query) int {
	if q.stream != nil {
		return dns.MaxMsgSize
	}
	if opt := q.message.IsEdns0(); opt != nil {
		return min(maxUDPBytes, max(minUDPBytes, int(opt.UDPSize())))
	}
	return minUDPBytes
}

// checkHeader reports whether a message is a query that can be answered, and its answer if not.
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

// checkSignature reads the signature of a query, and reports whether it is sound or there is none.
func (s *Server) checkSignature(packet []byte, q *query) (rejection status, ok bool) {
	var keys *tsig.Keys
	if s.Keys != nil {
		keys = s.Keys()
	}
	var err error
	q.signed, err = keys.Check(packet, q.message, s.Unix(), s.Skew)
	if err != nil {
		return status{rcode: dns.RcodeFormatError, text: err.Error()}, false
	}
	if q.signed != nil && q.signed.Error != 0 {
		s.Log("dns-signature-rejected", "from", q.from, "error", dns.RcodeToString[int(q.signed.Error)])
		return status{rcode: dns.RcodeNotAuth}, false
	}
	return status{}, true
}

// dispatch answers a query by its name, or has it wait for its request.
func (s *Server) dispatch(q *query) {
	question := &q.message.Question[0]
	target, err := parseName(question.Name, s.Config.Zone)
	class := s.classIndex(target.class)
	switch {
	case errors.Is(err, errOtherZone):
		s.sendStatus(q, status{rcode: dns.RcodeRefused, text: "zone"})
	case errors.Is(err, errApex):
		s.sendStatus(q, status{rcode: dns.RcodeSuccess})
	case err != nil:
		s.sendStatus(q, status{rcode: dns.RcodeFormatError, text: err.Error()})
	case target.endpoint != "":
		s.answerEndpoint(q, target.endpoint)
	case class < 0:
		s.sendStatus(q, status{rcode: dns.RcodeNameError})
	case s.Classes[class].Idempotency != policy.Idempotent && target.key == "":
		s.sendStatus(q, status{rcode: dns.RcodeFormatError, text: "this class needs a key"})
	case question.Qtype != dns.TypeA && question.Qtype != dns.TypeSRV && question.Qtype != dns.TypeTXT:
		s.sendStatus(q, status{rcode: dns.RcodeSuccess}) // the name is there, a record of that type is not
	default:
		s.join(q, target, class)
	}
}
