package dns

import (
	"net"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/miekg/dns"

	"sloequay/internal/broker"
	"sloequay/internal/policy"
	"sloequay/internal/retryafter"
)

// Parts of the texts in answers.
const (
	textServed       = "outcome=served"
	textEndpointGone = "outcome=served-by-a-box-that-left" // the endpoint is no longer ready, or has no IPv4 address
	textRetryAfter   = "later="                            // in milliseconds
	textBudget       = "budget="                           // in quotes
)

// maxTextBytes is the longest string in a TXT record.
const maxTextBytes = 255

// answer answers a query with the final response to its request. Whether the answer names the endpoint depends on the
// endpoint's present state, because it may have begun to drain since it served the request.
func (s *Server) answer(query *pendingQuery, final *broker.Response) {
	switch final.Kind {
	case broker.ResponseRejected:
		s.sendRejection(query, final.RetryAfter, final.Budget)
	case broker.ResponseFailed:
		s.sendStatus(query, status{rcode: dns.RcodeServerFailure, text: final.Reason})
	case broker.ResponseDenied:
		s.sendStatus(query, status{rcode: dns.RcodeRefused, text: final.Reason})
	default:
		s.sendServed(query, final)
	}
}

// sendServed answers with the records of the endpoint that served the request.
func (s *Server) sendServed(query *pendingQuery, final *broker.Response) {
	message := newAnswer(query, dns.RcodeSuccess)
	question := &query.message.Question[0]
	address, service := s.records(question.Name, final.Endpoint, final.Address)
	outcome := textServed
	if address == nil {
		outcome = textEndpointGone
	}
	text := &dns.TXT{Hdr: recordHeader(question.Name, dns.TypeTXT), Txt: []string{outcome}}
	for _, field := range final.Fields {
		text.Txt = append(text.Txt, clip(field.Name+"="+field.Value))
	}
	switch {
	case question.Qtype == dns.TypeTXT:
		message.Answer = append(message.Answer, text)
	case address == nil:
		message.Extra = append(message.Extra, text)
	case question.Qtype == dns.TypeA:
		message.Answer = append(message.Answer, address)
	default:
		message.Answer = append(message.Answer, service)
		targetAddress := *address
		targetAddress.Hdr.Name = service.Target
		message.Extra = append(message.Extra, &targetAddress)
	}
	s.send(query, message)
}

// answerEndpoint answers a query for an endpoint's own name, the target of an earlier SRV record.
func (s *Server) answerEndpoint(query *pendingQuery, host string) {
	endpoint := s.EndpointByName(host)
	if endpoint == nil || endpoint.State != policy.Ready {
		s.sendStatus(query, status{rcode: dns.RcodeNameError})
		return
	}
	message := newAnswer(query, dns.RcodeSuccess)
	question := &query.message.Question[0]
	address, _ := s.records(question.Name, endpoint, endpoint.Address)
	if address != nil && question.Qtype == dns.TypeA {
		message.Answer = append(message.Answer, address)
	}
	s.send(query, message)
}

// records returns the A and SRV records of an endpoint, or nil if it is unknown, is not ready or has no IPv4 address.
func (s *Server) records(name string, endpoint *broker.Endpoint, address string) (*dns.A, *dns.SRV) {
	addressPort, err := netip.ParseAddrPort(address)
	if err != nil || endpoint == nil || endpoint.State != policy.Ready || !addressPort.Addr().Unmap().Is4() {
		return nil, nil
	}
	host := &dns.A{Hdr: recordHeader(name, dns.TypeA), A: net.IP(addressPort.Addr().Unmap().AsSlice())}
	service := &dns.SRV{
		Hdr:    recordHeader(name, dns.TypeSRV),
		Port:   addressPort.Port(),
		Target: strings.ToLower(endpoint.Name) + "." + endpointLabel + "." + s.Config.Zone,
	}
	return host, service
}

// recordHeader returns the header of a record. Its TTL is 0 because the endpoint list may change at any time.
func recordHeader(name string, recordType uint16) dns.RR_Header {
	return dns.RR_Header{Name: name, Rrtype: recordType, Class: dns.ClassINET}
}

// clip shortens a text to the longest string that a TXT record can hold.
func clip(text string) string { return text[:min(len(text), maxTextBytes)] }

// sendOverloaded rejects a query because too many are open.
func (s *Server) sendOverloaded(query *pendingQuery) {
	s.sendRejection(query, s.RetryAfter.QueriesFull(), "")
}

// sendRejection answers REFUSED with the Retry-After, if one may be sent, and the exhausted budget, if there is one.
func (s *Server) sendRejection(query *pendingQuery, retryAfter time.Duration, budget string) {
	var words []string
	if s.RetryAfter.MayAdvise() {
		words = append(words, textRetryAfter+strconv.FormatInt(max(1, retryafter.Milliseconds(retryAfter)), 10))
	}
	if budget != "" {
		words = append(words, textBudget+strconv.Quote(budget))
	}
	s.sendStatus(query, status{rcode: dns.RcodeRefused, text: clip(strings.Join(words, " "))})
}

// extendedErrors maps response codes to extended DNS errors (RFC 8914).
var extendedErrors = map[int]uint16{
	dns.RcodeRefused:       dns.ExtendedErrorCodeProhibited,
	dns.RcodeServerFailure: dns.ExtendedErrorCodeNoReachableAuthority,
}

// sendStatus answers without records. The text goes into an extended error, or into an additional TXT record if the
// client does not use EDNS.
func (s *Server) sendStatus(query *pendingQuery, answer status) {
	message := newAnswer(query, answer.rcode)
	if opt := message.IsEdns0(); opt != nil && answer.text != "" {
		extended := &dns.EDNS0_EDE{InfoCode: extendedErrors[answer.rcode], ExtraText: answer.text}
		opt.Option = append(opt.Option, extended)
	} else if answer.text != "" && len(message.Question) == 1 {
		header := recordHeader(message.Question[0].Name, dns.TypeTXT)
		message.Extra = append(message.Extra, &dns.TXT{Hdr: header, Txt: []string{clip(answer.text)}})
	}
	s.send(query, message)
}

// newAnswer returns an answer to a query without records.
func newAnswer(query *pendingQuery, rcode int) *dns.Msg {
	message := &dns.Msg{}
	message.SetRcode(query.message, rcode)
	message.Authoritative = true
	if query.message.IsEdns0() != nil {
		message.SetEdns0(maxUDPBytes, false)
	}
	return message
}

// send sends an answer. If it is too long for UDP, it is truncated, so that the client repeats its query over TCP.
func (s *Server) send(query *pendingQuery, message *dns.Msg) {
	if len(message.Answer) == 0 && (message.Rcode == dns.RcodeSuccess || message.Rcode == dns.RcodeNameError) {
		message.Ns = append(message.Ns, s.zoneAuthority())
	}
	packet, err := s.pack(query, message)
	if err != nil {
		s.Log("dns-encode-failed", "error", err)
		failure := new(dns.Msg).SetRcode(query.message, dns.RcodeServerFailure)
		if packet, err = failure.Pack(); err != nil {
			return
		}
	}
	query.reply(packet)
	if query.stream != nil {
		query.stream.answered()
	}
}

// pack encodes an answer, and signs it if its query was signed. It truncates an answer that is too long.
func (s *Server) pack(query *pendingQuery, message *dns.Msg) ([]byte, error) {
	message.Compress = true
	maxBytes := query.maxBytes
	if query.signed != nil {
		maxBytes -= query.signed.MaxSize()
	}
	packet, err := message.Pack()
	if err == nil && len(packet) > maxBytes {
		truncate(message)
		packet, err = message.Pack()
	}
	if err == nil && query.signed != nil {
		return query.signed.Sign(message, s.UnixTime())
	}
	return packet, err
}

// truncate removes all records except EDNS's OPT record from an answer, and sets its truncated flag.
func truncate(message *dns.Msg) {
	opt := message.IsEdns0()
	message.Answer = nil
	message.Ns = nil
	message.Extra = nil
	if opt != nil {
		message.Extra = append(message.Extra, opt)
	}
	message.Truncated = true
}

// zoneAuthority returns the zone's SOA record, for the authority section of answers without records.
func (s *Server) zoneAuthority() *dns.SOA {
	return &dns.SOA{
		Hdr:     recordHeader(s.Config.Zone, dns.TypeSOA),
		Ns:      "ns." + s.Config.Zone,
		Mbox:    "hostmaster." + s.Config.Zone,
		Serial:  1,
		Refresh: 3600,
		Retry:   600,
		Expire:  86400,
	}
}
