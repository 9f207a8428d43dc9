// Package resolver finds the addresses of endpoints that the list gives by name. It asks one name server over UDP, on
// the event loop, and gives up at a deadline.
package resolver

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"github.com/miekg/dns"

	"sloequay/internal/eventloop"
)

// maxLookups bounds the names that are looked up together.
const maxLookups = 64

// Resolver asks one server. All methods run on the loop, and none blocks.
type Resolver struct {
	Loop    *eventloop.Loop
	Server  string        // ip:port; empty: no name can be resolved
	Timeout time.Duration // for one name, with one retransmit half-way
	Now     func() time.Duration

	lookups map[string]*lookup // under way, by name
}

// lookup is one name that is being asked for, on a socket of its own.
type lookup struct {
	resolver *Resolver
	name     string
	query    *dns.Msg
	conn     *eventloop.Conn // nil: it is not up, or failed
	// startedAt is on the clock of Resolver.Now.
	startedAt       time.Duration
	isRetransmitted bool
	done            []func(netip.Addr, error) // nil: it has ended
}

// Resolve calls done on the loop with an IPv4 address, later. Names that are asked for already join.
func (r *Resolver) Resolve(name string, done func(netip.Addr, error)) {
	name = dns.CanonicalName(name)
	if l := r.lookups[name]; l != nil {
		l.done = append(l.done, done)
		return
	}
	if r.Server == "" || len(r.lookups) >= maxLookups {
		err := errors.New("no name server is configured")
		if r.Server != "" {
			err = errors.New("too many names are being looked up")
		}
		r.Loop.Post(func() { done(netip.Addr{}, err) })
		return
	}
	if r.lookups == nil {
		r.lookups = map[string]*lookup{}
	}
	l := &lookup{
		resolver:  r,
		name:      name,
		query:     new(dns.Msg).SetQuestion(name, dns.TypeA),
		startedAt: r.Now(),
		done:      []func(netip.Addr, error){done},
	}
	l.query.Id = uint16(rand.Uint32())
	r.lookups[name] = l
	r.Loop.Dial("udp", r.Server, r.Timeout, l, func(err error) { l.finish(netip.Addr{}, err) })
}

// Tick retransmits and gives up. It is called some times a second.
func (r *Resolver) Tick(now time.Duration) {
	for _, l := range r.lookups {
		switch {
		case now-l.startedAt >= r.Timeout:
			l.finish(netip.Addr{}, fmt.Errorf("%s: no answer within %v", l.name, r.Timeout))
		case now-l.startedAt >= r.Timeout/2 && !l.isRetransmitted && l.conn != nil:
			l.isRetransmitted = true
			l.ask()
		}
	}
}

func (l *lookup) ask() {
	if packet, err := l.query.Pack(); err == nil {
		l.conn.Send(packet)
	} else {
		l.finish(netip.Addr{}, err)
	}
}

// Opened sends the question.
func (l *lookup) Opened(c *eventloop.Conn) {
	if l.conn = c; l.done == nil { // given up meanwhile
		c.Close()
		return
	}
	l.ask()
}

// Received takes an answer; what does not fit the question is passed over.
func (l *lookup) Received(c *eventloop.Conn) {
	packet := c.In
	defer func() { c.Consume(len(c.In)) }()
	answer := &dns.Msg{}
	if err := answer.Unpack(packet); err != nil || !l.isAnswer(answer) {
		return
	}
	if answer.Rcode != dns.RcodeSuccess {
		l.finish(netip.Addr{}, fmt.Errorf("%s: %s", l.name, dns.RcodeToString[answer.Rcode]))
		return
	}
	for _, record := range answer.Answer { // behind any CNAME records the server gives the addresses too
		a, ok := record.(*dns.A)
		if !ok {
			continue
		}
		if ip, ok := netip.AddrFromSlice(a.A); ok {
			l.finish(ip.Unmap(), nil)
			return
		}
	}
	l.finish(netip.Addr{}, fmt.Errorf("%s: no address in the answer", l.name))
}

// isAnswer reports whether a message answers the question.
func (l *lookup) isAnswer(message *dns.Msg) bool {
	return message.Response && message.Id == l.query.Id && len(message.Question) == 1 &&
		strings.EqualFold(message.Question[0].Name, l.name)
}

// Closed ends a lookup whose socket failed.
func (l *lookup) Closed(_ *eventloop.Conn, err error) {
	l.conn = nil
	l.finish(netip.Addr{}, fmt.Errorf("%s: %v", l.name, err))
}

// finish ends a lookup for all who have asked for it. Only the first call counts.
func (l *lookup) finish(ip netip.Addr, err error) {
	if l.done == nil {
		return
	}
	done := l.done
	l.done = nil
	delete(l.resolver.lookups, l.name)
	if l.conn != nil {
		l.conn.Close()
	}
	for _, call := range done {
		call(ip, err)
	}
}
