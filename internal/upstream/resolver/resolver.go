// Package resolver resolves the names of endpoints that are listed by name. It queries one name server over UDP, on the
// event loop, with a timeout.
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

// maxLookups is the maximum number of names that are looked up at the same time.
const maxLookups = 64

// Resolver queries one name server. All methods must be called on the loop, and none blocks.
type Resolver struct {
	Loop    *eventloop.Loop
	Server  string        // ip:port; empty: no name can be resolved
	Timeout time.Duration // for one name; the query is retransmitted once, after half of it
	Now     func() time.Duration

	lookups map[string]*lookup // in progress, by name
}

// lookup is the lookup of one name, on its own socket.
type lookup struct {
	resolver *Resolver
	name     string
	query    *dns.Msg
	conn     *eventloop.Conn // nil: not up yet, or failed
	// startedAt is when the lookup started, by Resolver.Now.
	startedAt       time.Duration
	isRetransmitted bool
	callbacks       []func(netip.Addr, error) // nil: the lookup has ended
}

// Resolve looks up the IPv4 address of a name. It calls done on the loop, after it has returned. Calls for a name that
// is already being looked up share that lookup.
func (r *Resolver) Resolve(name string, done func(netip.Addr, error)) {
	name = dns.CanonicalName(name)
	if l := r.lookups[name]; l != nil {
		l.callbacks = append(l.callbacks, done)
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
		callbacks: []func(netip.Addr, error){done},
	}
	l.query.Id = uint16(rand.Uint32())
	r.lookups[name] = l
	r.Loop.Dial("udp", r.Server, r.Timeout, l, func(err error) { l.finish(netip.Addr{}, err) })
}

// Tick retransmits queries and ends lookups that timed out. It must be called several times a second.
func (r *Resolver) Tick(now time.Duration) {
	for _, l := range r.lookups {
		switch {
		case now-l.startedAt >= r.Timeout:
			l.finish(netip.Addr{}, fmt.Errorf("%s: no answer within %v", l.name, r.Timeout))
		case now-l.startedAt >= r.Timeout/2 && !l.isRetransmitted && l.conn != nil:
			l.isRetransmitted = true
			l.sendQuery()
		}
	}
}

func (l *lookup) sendQuery() {
	if packet, err := l.query.Pack(); err == nil {
		l.conn.Send(packet)
	} else {
		l.finish(netip.Addr{}, err)
	}
}

// Opened sends the query.
func (l *lookup) Opened(c *eventloop.Conn) {
	if l.conn = c; l.callbacks == nil { // ended meanwhile
		c.Close()
		return
	}
	l.sendQuery()
}

// Received handles an answer. It ignores packets that do not answer the query.
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
	for _, record := range answer.Answer { // after any CNAME records the server includes the addresses too
		a, ok := record.(*dns.A)
		if !ok {
			continue
		}
		if ip, ok := netip.AddrFromSlice(a.A); ok {
			l.finish(ip.Unmap(), nil)
			return
		}
	}
	l.finish(netip.Addr{}, fmt.Errorf("%s: no IPv4 address in the answer", l.name))
}

// isAnswer reports whether a message answers the query.
func (l *lookup) isAnswer(message *dns.Msg) bool {
	return message.Response && message.Id == l.query.Id && len(message.Question) == 1 &&
		strings.EqualFold(message.Question[0].Name, l.name)
}

// Closed ends a lookup whose socket failed.
func (l *lookup) Closed(_ *eventloop.Conn, err error) {
	l.conn = nil
	l.finish(netip.Addr{}, fmt.Errorf("%s: %v", l.name, err))
}

// finish ends a lookup and calls all its callbacks. Only the first call has an effect.
func (l *lookup) finish(ip netip.Addr, err error) {
	if l.callbacks == nil {
		return
	}
	callbacks := l.callbacks
	l.callbacks = nil
	delete(l.resolver.lookups, l.name)
	if l.conn != nil {
		l.conn.Close()
	}
	for _, callback := range callbacks {
		callback(ip, err)
	}
}
