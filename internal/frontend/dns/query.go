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
	"sloequay/internal/policy"
)

const (
	headerBytes = 12 // of a message (RFC 1035, section 4.1.1)
	flagsByte   = 2  // of the header: its first byte of flags
	flagAnswer  = 0x80
)

// pendingQuery is a query that must get exactly one answer.
type pendingQuery struct {
	message     *dns.Msg
	from        string        // its client's address
	transaction string        // its client, id and question: a retransmitted query has the same
	receivedAt  time.Duration // when it may have come at the earliest
	reply       func([]byte)
	maxBytes    int                  // of its answer
	stream      *stream              // nil: it came by UDP
	signed      *tsig.QuerySignature // nil: it is not
}

// status is an answer without a record.
type status struct {
	rcode int
	text  string // for the client; empty: none
}

// Packet handles a query that came by UDP. reply sends the answer, during the call or later.
func (s *Server) Packet(packet []byte, from net.Addr, reply func([]byte)) {
	receivedAt := s.Now() - s.PacketLag()
	s.handle(packet, &pendingQuery{
		from: from.String(), receivedAt: receivedAt, reply: reply, maxBytes: minUDPBytes,
	})
}

// handle parses a packet into a query whose sender and transport are set. It answers the query at once, or when the
// response to its request is there.
func (s *Server) handle(packet []byte, query *pendingQuery) {
	query.message = &dns.Msg{}
	err := query.message.Unpack(packet)
	if len(packet) < headerBytes || packet[flagsByte]&flagAnswer != 0 {
		return // no id to answer under, or an answer: answering those would make loops
	}
	if err != nil {
		s.Log("dns-bad-query", "from", query.from, "error", err)
		query.message = &dns.Msg{}
		query.message.Id = binary.BigEndian.Uint16(packet)
		s.sendStatus(query, status{rcode: dns.RcodeFormatError})
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
	question := &query.message.Question[0]
	name := strings.ToLower(question.Name)
	query.transaction = fmt.Sprintf("%s %d %d %s", query.from, query.message.Id, question.Qtype, name)
	if s.pending[query.transaction] != nil { // a retransmitted query: its answer is under way
		if query.stream != nil {
			query.stream.answered()
		}
		return
	}
	s.dispatch(query)
}

// maxAnswerBytes returns how long the answer to a query may be.
func maxAnswerBytes(query *pendingQuery) int {
	if query.stream != nil {
		return dns.MaxMsgSize
	}
	if opt := query.message.IsEdns0(); opt != nil {
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
func (s *Server) checkSignature(packet []byte, query *pendingQuery) (rejection status, ok bool) {
	var keys *tsig.Keys
	if s.Keys != nil {
		keys = s.Keys()
	}
	var err error
	query.signed, err = keys.Check(packet, query.message, s.Unix(), s.Skew)
	if err != nil {
		return status{rcode: dns.RcodeFormatError, text: err.Error()}, false
	}
	if query.signed != nil && query.signed.Error != 0 {
		s.Log("dns-signature-rejected", "from", query.from, "error", dns.RcodeToString[int(query.signed.Error)])
		return status{rcode: dns.RcodeNotAuth}, false
	}
	return status{}, true
}

// dispatch answers a query whose name needs no request, and passes on the others.
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
		s.sendStatus(query, status{rcode: dns.RcodeSuccess}) // the name is there, a record of that type is not
	default:
		s.join(query, target, class)
	}
}
