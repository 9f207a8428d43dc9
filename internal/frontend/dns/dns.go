// Package dns is the front for clients that can only ask a name server where to go. A query is a request like
// any other: it goes through contracts, broker and module, and its answer names the box that served it.
package dns

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/miekg/dns"

	"sloequay/internal/broker"
	"sloequay/internal/eventloop"
	"sloequay/internal/frontend/connlimit"
	"sloequay/internal/identity"
	"sloequay/internal/identity/tsig"
	"sloequay/internal/policy"
)

const (
	mostFlights = 4096 // requests open or remembered
	mostJoined  = 256  // queries that wait for one request
	mostUDP     = 1232 // bytes that pass unfragmented nearly everywhere
	leastUDP    = 512
	tcpIdle     = 10 * time.Second
	crowdWait   = 200 * time.Millisecond
)

// Server answers the queries of one zone.
type Server struct {
	Config         *Config
	Classes        []policy.Class
	Emit           func(broker.Event)
	Now            func() time.Duration
	Unix           func() time.Duration // the Unix clock, which signatures go by
	Log            func(event string, fields ...any)
	EndpointByName func(host string) *broker.Endpoint // of the list; nil: unknown
	MaxConnections int                                // TCP connections
	Seed           uint64
	Keys           func() *tsig.Keys // by which queries are signed; nil: none
	Skew           time.Duration     // of the callers' clocks

	// MaxRetryAfter is the longest time to stay away that clients heed. Zero: nobody may be told one, whoever refuses.
	MaxRetryAfter time.Duration

	byName  map[string]*flight          // keyed requests, open or finished within their window
	byReq   map[*broker.Request]*flight // open
	queries map[string]*waiter          // open, by who asked: a retransmit joins itself
	lobby   *connlimit.Limiter          // of TCP connections
	serial  uint64
	caller  identity.Caller // of queries that are not signed
}

// flight is one request with all the queries that wait for its answer.
type flight struct {
	target  target
	caller  *identity.Caller
	class   int
	name    string // in Front.byName; empty: not keyed
	request *broker.Request
	end     time.Duration // when the first query's time is over
	waiters []*waiter
	final   *broker.Response
	until   time.Duration // how long the final answer is given again
}

// waiter is one query that was taken and is owed one answer.
type waiter struct {
	query  *dns.Msg
	who    string
	reply  func([]byte)
	most   int // bytes of its answer
	stream *stream
	signed *tsig.Signed // nil: it is not
}

func (f *Server) init() {
	if f.byName == nil {
		f.byName, f.byReq = map[string]*flight{}, map[*broker.Request]*flight{}
		f.caller.Front = "dns"
		f.queries, f.lobby = map[string]*waiter{}, connlimit.New(f.MaxConnections, tcpIdle)
	}
}

// Packet takes a query that came by UDP.
func (f *Server) Packet(packet []byte, from net.Addr, reply func([]byte)) {
	f.take(packet, from.String(), reply, nil)
}

// take parses a query and answers it, or has it wait for its request.
func (f *Server) take(packet []byte, from string, reply func([]byte), s *stream) {
	f.init()
	q := &dns.Msg{}
	err := q.Unpack(packet)
	if len(packet) < 12 || packet[2]&0x80 != 0 {
		return // no id to answer under, or an answer: answering those would make loops
	}
	w := &waiter{query: q, reply: reply, most: leastUDP, stream: s}
	if err != nil {
		f.Log("dns-bad-query", "from", from, "error", err)
		bare := &dns.Msg{}
		bare.Id = binary.BigEndian.Uint16(packet)
		w.query = bare
		f.code(w, dns.RcodeFormatError, "")
		return
	}
	if opt := q.IsEdns0(); opt != nil {
		w.most = min(mostUDP, max(leastUDP, int(opt.UDPSize())))
	}
	if s != nil {
		w.most = dns.MaxMsgSize
	}
	switch {
	case q.Opcode != dns.OpcodeQuery:
		f.code(w, dns.RcodeNotImplemented, "")
		return
	case len(q.Question) != 1:
		f.code(w, dns.RcodeFormatError, "")
		return
	case q.Question[0].Qclass != dns.ClassINET:
		f.code(w, dns.RcodeRefused, "class")
		return
	}
	var keys *tsig.Keys
	if f.Keys != nil {
		keys = f.Keys()
	}
	if w.signed, err = keys.Check(packet, q, f.Unix(), f.Skew); err != nil {
		f.code(w, dns.RcodeFormatError, err.Error())
		return
	}
	if w.signed != nil && w.signed.Error != 0 {
		f.Log("dns-signature-rejected", "from", from, "error", dns.RcodeToString[int(w.signed.Error)])
		f.code(w, dns.RcodeNotAuth, "")
		return
	}
	question := q.Question[0]
	w.who = fmt.Sprintf("%s %d %d %s", from, q.Id, question.Qtype, strings.ToLower(question.Name))
	if f.queries[w.who] != nil { // a retransmit: its answer is under way
		if s != nil {
			s.answered()
		}
		return
	}
	t, err := parseName(question.Name, f.Config.Zone)
	class := f.class(t.class)
	switch {
	case errors.Is(err, errOtherZone):
		f.code(w, dns.RcodeRefused, "zone")
	case errors.Is(err, errApex):
		f.code(w, dns.RcodeSuccess, "")
	case err != nil:
		f.code(w, dns.RcodeFormatError, err.Error())
	case t.box != "":
		f.nameBox(w, t.box)
	case class < 0:
		f.code(w, dns.RcodeNameError, "")
	case f.Classes[class].Idempotency != policy.Idempotent && t.key == "":
		f.code(w, dns.RcodeFormatError, "this class needs a key")
	case question.Qtype != dns.TypeA && question.Qtype != dns.TypeSRV && question.Qtype != dns.TypeTXT:
		f.code(w, dns.RcodeSuccess, "") // the name is there, a record of that type is not
	default:
		f.request(w, t, class)
	}
}

func (f *Server) class(name string) int {
	for i, c := range f.Classes {
		if c.Name == name {
			return i
		}
	}
	return -1
}

// request has a query join the request of its key, or makes a request of it.
func (f *Server) request(w *waiter, t target, class int) {
	now := f.Now()
	name, caller := "", &f.caller
	if w.signed != nil {
		caller = w.signed.Caller()
	}
	if f.Classes[class].Idempotency != policy.Idempotent {
		// The key and not the address of the client says what is the same request: retries come from other ports.
		// Two subjects never share one: the second is to be refused, and not told what came of the first.
		name = caller.Subject + " " + t.team + " " + t.class + " " + t.key
		switch old := f.byName[name]; {
		case old == nil || old.final != nil && now >= old.until:
		case old.target.object != t.object || old.target.part != t.part:
			f.code(w, dns.RcodeFormatError, "this key was used for another object")
			return
		case old.final != nil:
			f.answer(w, old)
			return
		case len(old.waiters) < mostJoined:
			f.wait(w, old)
			return
		default:
			f.refuse(w, min(crowdWait, f.MaxRetryAfter), "")
			return
		}
	}
	if len(f.byReq)+len(f.byName) >= mostFlights {
		f.refuse(w, min(crowdWait, f.MaxRetryAfter), "")
		return
	}
	fl := &flight{target: t, class: class, name: name, caller: caller, end: now + f.limit(class)}
	if name != "" {
		f.byName[name] = fl
	}
	f.wait(w, fl)
	f.submit(fl)
}

func (f *Server) limit(class int) time.Duration {
	if deadline := f.Classes[class].Deadline; deadline > 0 {
		return min(f.Config.Timeout, deadline)
	}
	return f.Config.Timeout
}

func (f *Server) wait(w *waiter, fl *flight) {
	fl.waiters = append(fl.waiters, w)
	f.queries[w.who] = w
}

// submit makes the broker's request of a flight.
func (f *Server) submit(fl *flight) {
	f.serial++
	now, t := f.Now(), fl.target
	fl.request = &broker.Request{Frontend: f, ID: fmt.Sprintf("%016x", f.Seed+f.serial), Class: fl.class, Team: t.team,
		Object: t.object, ObjectName: t.thing, Part: t.part, Group: t.group, Key: t.key, Caller: fl.caller, Zone: f.Config.Zone, ReceivedAt: now,
		Timeout: fl.end - now}
	f.byReq[fl.request] = fl
	f.Emit(broker.RequestReceived{Request: fl.request})
}

// Respond answers all queries that wait for a request.
func (f *Server) Respond(r *broker.Request, final broker.Response) {
	fl := f.byReq[r]
	if fl == nil {
		return
	}
	delete(f.byReq, r)
	now := f.Now()
	served := final.Kind == broker.ResponseServed || final.Kind == broker.ResponseNotModified
	if served && final.Endpoint.State != policy.Ready && fl.name == "" && fl.end-now > 50*time.Millisecond {
		// The box that served it began to drain meanwhile. Nothing happened that may not happen again: ask on.
		f.submit(fl)
		return
	}
	final.Body = nil
	fl.final = &final
	if fl.name != "" {
		// A refusal promises that another try is harmless, so it is repeated for its wait only.
		// A signed query may be sent again by whoever saw it, as long as its time will do: it must find this result.
		kept := f.Classes[fl.class].DedupWindow
		if fl.caller.Subject != "" {
			kept = max(kept, 2*(f.Skew+time.Second))
		}
		switch fl.until = now + kept; final.Kind {
		case broker.ResponseRejected:
			fl.until = now + final.RetryAfter
		case broker.ResponseDenied:
			fl.until = now // nothing was tried by this key
		}
	}
	for _, w := range fl.waiters {
		delete(f.queries, w.who)
		f.answer(w, fl)
	}
	fl.waiters = nil
}

// Tick forgets finished requests whose time is over, and closes idle connections.
func (f *Server) Tick(now time.Duration) {
	f.init()
	for name, fl := range f.byName {
		if fl.final != nil && now >= fl.until {
			delete(f.byName, name)
		}
	}
	if halves := f.lobby.Tick(now); halves > 0 {
		f.Log("client-message-timeout", "front", "dns", "connections", halves)
	}
}

// answer puts a final answer into a message. Whether the box may be named is looked at now, not when it served.
func (f *Server) answer(w *waiter, fl *flight) {
	switch final := fl.final; final.Kind {
	case broker.ResponseRejected:
		f.refuse(w, final.RetryAfter, final.Budget)
	case broker.ResponseFailed:
		f.code(w, dns.RcodeServerFailure, final.Reason)
	case broker.ResponseDenied:
		f.code(w, dns.RcodeRefused, final.Reason)
	default:
		m := f.message(w, dns.RcodeSuccess)
		name := w.query.Question[0].Name
		a, srv := f.records(name, final.Endpoint, final.Address)
		outcome := "outcome=served"
		if a == nil {
			outcome = "outcome=served-by-a-box-that-left" // it can't be named any more
		}
		txt := &dns.TXT{Hdr: header(name, dns.TypeTXT), Txt: []string{outcome}}
		for _, field := range final.Fields {
			txt.Txt = append(txt.Txt, clip(field.Name+"="+field.Value))
		}
		switch qtype := w.query.Question[0].Qtype; {
		case qtype == dns.TypeTXT:
			m.Answer = append(m.Answer, txt)
		case a == nil:
			m.Extra = append(m.Extra, txt)
		case qtype == dns.TypeA:
			m.Answer = append(m.Answer, a)
		default:
			m.Answer = append(m.Answer, srv)
			at := *a
			at.Hdr.Name = srv.Target
			m.Extra = append(m.Extra, &at)
		}
		f.send(w, m)
	}
}

// records names a box, or gives nil where it may not be named or has no IPv4 address.
func (f *Server) records(name string, box *broker.Endpoint, address string) (*dns.A, *dns.SRV) {
	at, err := netip.ParseAddrPort(address)
	if err != nil || box == nil || box.State != policy.Ready || !at.Addr().Unmap().Is4() {
		return nil, nil
	}
	return &dns.A{Hdr: header(name, dns.TypeA), A: net.IP(at.Addr().Unmap().AsSlice())},
		&dns.SRV{Hdr: header(name, dns.TypeSRV), Port: at.Port(),
			Target: strings.ToLower(box.Name) + ".box." + f.Config.Zone}
}

// nameBox answers for the target of an earlier SRV record.
func (f *Server) nameBox(w *waiter, host string) {
	box := f.EndpointByName(host)
	if box == nil || box.State != policy.Ready {
		f.code(w, dns.RcodeNameError, "")
		return
	}
	m := f.message(w, dns.RcodeSuccess)
	a, _ := f.records(w.query.Question[0].Name, box, box.Address)
	if a != nil && w.query.Question[0].Qtype == dns.TypeA {
		m.Answer = append(m.Answer, a)
	}
	f.send(w, m)
}

func header(name string, kind uint16) dns.RR_Header {
	return dns.RR_Header{Name: name, Rrtype: kind, Class: dns.ClassINET} // TTL 0: the list may change any time
}

// clip cuts a text to what one string of a TXT record holds.
func clip(s string) string { return s[:min(len(s), 255)] }

// refuse answers REFUSED with the time to stay away, where one may be told, and the budget that was used up, if it was one.
func (f *Server) refuse(w *waiter, wait time.Duration, budget string) {
	var words []string
	if f.MaxRetryAfter > 0 {
		words = append(words, "later="+strconv.FormatInt(max(1, wait.Milliseconds()), 10))
	}
	if budget != "" {
		words = append(words, "budget="+strconv.Quote(budget))
	}
	f.code(w, dns.RcodeRefused, clip(strings.Join(words, " ")))
}

// ednsCodes is the extended error that goes with a code.
var ednsCodes = map[int]uint16{dns.RcodeRefused: dns.ExtendedErrorCodeProhibited,
	dns.RcodeServerFailure: dns.ExtendedErrorCodeNoReachableAuthority}

// code answers without a record. The text goes into an extended error, or into a TXT record where the client knows
// no EDNS.
func (f *Server) code(w *waiter, rcode int, text string) {
	m := f.message(w, rcode)
	if opt := m.IsEdns0(); opt != nil && text != "" {
		opt.Option = append(opt.Option, &dns.EDNS0_EDE{InfoCode: ednsCodes[rcode], ExtraText: text})
	} else if text != "" && len(m.Question) == 1 {
		m.Extra = append(m.Extra, &dns.TXT{Hdr: header(m.Question[0].Name, dns.TypeTXT), Txt: []string{clip(text)}})
	}
	f.send(w, m)
}

func (f *Server) message(w *waiter, rcode int) *dns.Msg {
	m := &dns.Msg{}
	m.SetRcode(w.query, rcode)
	m.Authoritative = true
	if w.query.IsEdns0() != nil {
		m.SetEdns0(mostUDP, false)
	}
	return m
}

// send packs a message; over UDP what is too long goes out empty and marked, and the client asks again by TCP.
func (f *Server) send(w *waiter, m *dns.Msg) {
	if len(m.Answer) == 0 && (m.Rcode == dns.RcodeSuccess || m.Rcode == dns.RcodeNameError) {
		m.Ns = append(m.Ns, &dns.SOA{Hdr: header(f.Config.Zone, dns.TypeSOA), Ns: "ns." + f.Config.Zone,
			Mbox: "hostmaster." + f.Config.Zone, Serial: 1, Refresh: 3600, Retry: 600, Expire: 86400})
	}
	m.Compress = true
	most := w.most
	if w.signed != nil {
		most -= w.signed.Size()
	}
	out, err := m.Pack()
	if err == nil && len(out) > most {
		m.Answer, m.Ns, m.Truncated = nil, nil, true
		opt := m.IsEdns0()
		if m.Extra = nil; opt != nil {
			m.Extra = append(m.Extra, opt)
		}
		out, err = m.Pack()
	}
	if err == nil && w.signed != nil {
		out, err = w.signed.Sign(m, f.Unix())
	}
	if err != nil {
		f.Log("dns-encode-failed", "error", err)
		m = new(dns.Msg).SetRcode(w.query, dns.RcodeServerFailure)
		if out, err = m.Pack(); err != nil {
			return
		}
	}
	w.reply(out)
	if w.stream != nil {
		w.stream.answered()
	}
}

// stream is one TCP connection: messages with their lengths in front.
type stream struct {
	front *Server
	guest *connlimit.Client
	conn  *eventloop.Conn
	from  string
	open  int // queries without an answer
	left  bool
}

// Accept takes a TCP connection, or none where there is no descriptor for it.
func (f *Server) Accept(remote net.Addr) eventloop.Handler {
	f.init()
	s := &stream{front: f, from: "tcp " + remote.String()}
	if s.guest = f.lobby.Admit(f.Now(), s.leave, s.unsent); s.guest == nil {
		f.Log("client-connection-limit", "front", "dns", "from", remote)
		return nil
	}
	return s
}

// Clients is the number of TCP connections.
func (f *Server) Clients() int {
	f.init()
	return f.lobby.Len()
}

// CloseIdle closes the TCP connections on which nothing is open, nothing of an answer is on its way and no query has begun.
func (f *Server) CloseIdle() {
	f.init()
	f.lobby.CloseIdle()
}

// Opened notes the connection.
func (s *stream) Opened(c *eventloop.Conn) { s.conn = c }

// unsent is how much of its answers the client has not taken.
func (s *stream) unsent() int {
	if s.conn == nil {
		return 0
	}
	return s.conn.Unsent()
}

// Received takes whole messages.
func (s *stream) Received(c *eventloop.Conn) {
	used := 0
	for len(c.In)-used >= 2 && !s.left {
		n := int(binary.BigEndian.Uint16(c.In[used:]))
		if n < 12 || s.open >= mostJoined {
			s.leave() // nothing could be answered under an id
			break
		}
		if len(c.In)-used < 2+n {
			break
		}
		packet := c.In[used+2 : used+2+n]
		if used += 2 + n; packet[2]&0x80 != 0 {
			s.leave()
			break
		}
		s.open++
		s.front.take(packet, s.from, s.reply, s)
	}
	if s.left {
		used = len(c.In)
	}
	c.Consume(used)
	s.guest.Received(s.front.Now(), used > 0, len(c.In) > 0)
	s.guest.Busy(s.front.Now(), s.open > 0)
}

func (s *stream) reply(out []byte) {
	if !s.left {
		s.conn.Send(binary.BigEndian.AppendUint16(nil, uint16(len(out))), out)
	}
}

func (s *stream) answered() {
	s.open--
	s.guest.Busy(s.front.Now(), s.open > 0)
}

// Closed gives up what the client waited for.
func (s *stream) Closed(*eventloop.Conn, error) { s.leave() }

// leave closes the connection and withdraws what only this client waited for. A keyed request goes on: its result may
// be asked for again.
func (s *stream) leave() {
	if s.left {
		return
	}
	s.left = true
	s.guest.Remove()
	s.conn.Close()
	for r, fl := range s.front.byReq {
		others := fl.waiters[:0]
		for _, w := range fl.waiters {
			if w.stream == s {
				delete(s.front.queries, w.who)
			} else {
				others = append(others, w)
			}
		}
		if fl.waiters = others; len(others) == 0 && fl.name == "" {
			delete(s.front.byReq, r)
			r.Canceled = true
			s.front.Emit(broker.RequestCanceled{Request: r})
		}
	}
}
