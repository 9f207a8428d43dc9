// Package resolver finds the addresses of boxes that the list gives by name. It asks one name server over UDP, on the
// event loop, and gives up at a deadline.
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

// mostOpen bounds the names that are looked up together.
const mostOpen = 64

// Resolver asks one server.
type Resolver struct {
	Loop   *eventloop.Loop
	Server string        // ip:port; empty: no name can be resolved
	Limit  time.Duration // for one name, with one retransmit half-way
	Now    func() time.Duration

	open map[string]*lookup // by name
}

// lookup is one name that is being asked for, on a socket of its own.
type lookup struct {
	resolver *Resolver
	name     string
	query    *dns.Msg
	conn     *eventloop.Conn
	begun    time.Duration
	again    bool // asked twice
	done     []func(netip.Addr, error)
}

// Resolve calls done on the loop with an IPv4 address, later. Names that are asked for already join.
func (r *Resolver) Resolve(name string, done func(netip.Addr, error)) {
	name = dns.CanonicalName(name)
	if l := r.open[name]; l != nil {
		l.done = append(l.done, done)
		return
	}
	if r.Server == "" || len(r.open) >= mostOpen {
		err := errors.New("no name server is configured")
		if r.Server != "" {
			err = errors.New("too many names are being looked up")
		}
		r.Loop.Post(func() { done(netip.Addr{}, err) })
		return
	}
	if r.open == nil {
		r.open = map[string]*lookup{}
	}
	l := &lookup{resolver: r, name: name, begun: r.Now(), done: []func(netip.Addr, error){done}}
	l.query = new(dns.Msg).SetQuestion(name, dns.TypeA)
	l.query.Id = uint16(rand.Uint32())
	r.open[name] = l
	r.Loop.Dial("udp", r.Server, r.Limit, l, func(err error) { l.finish(netip.Addr{}, err) })
}

// Tick retransmits and gives up.
func (r *Resolver) Tick(now time.Duration) {
	for _, l := range r.open {
		switch {
		case now-l.begun >= r.Limit:
			l.finish(netip.Addr{}, fmt.Errorf("%s: no answer within %v", l.name, r.Limit))
		case now-l.begun >= r.Limit/2 && !l.again && l.conn != nil:
			l.again = true
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
	m := &dns.Msg{}
	if err := m.Unpack(packet); err != nil || !m.Response || m.Id != l.query.Id || len(m.Question) != 1 ||
		!strings.EqualFold(m.Question[0].Name, l.name) {
		return
	}
	if m.Rcode != dns.RcodeSuccess {
		l.finish(netip.Addr{}, fmt.Errorf("%s: %s", l.name, dns.RcodeToString[m.Rcode]))
		return
	}
	for _, rr := range m.Answer { // behind any CNAME records the server gives the addresses too
		if a, ok := rr.(*dns.A); ok {
			if ip, ok := netip.AddrFromSlice(a.A); ok {
				l.finish(ip.Unmap(), nil)
				return
			}
		}
	}
	l.finish(netip.Addr{}, fmt.Errorf("%s: no address in the answer", l.name))
}

// Closed ends a lookup whose socket failed.
func (l *lookup) Closed(_ *eventloop.Conn, err error) {
	l.conn = nil
	l.finish(netip.Addr{}, fmt.Errorf("%s: %v", l.name, err))
}

func (l *lookup) finish(ip netip.Addr, err error) {
	if l.done == nil {
		return
	}
	done := l.done
	l.done = nil
	delete(l.resolver.open, l.name)
	if l.conn != nil {
		l.conn.Close()
	}
	for _, f := range done {
		f(ip, err)
	}
}
