package upstream

import (
	"fmt"
	"net"
	"net/netip"
	"time"

	"sloequay/internal/broker"
)

const (
	// A dial that fails for want of something on this machine is tried again after these pauses, until DialTimeout.
	minRedialPause = 10 * time.Millisecond
	maxRedialPause = 100 * time.Millisecond
)

// dial makes a new connection to an endpoint.
func (p *Pool) dial(d *depot) *link {
	now := p.Now()
	l := &link{pool: p, depot: d, listed: d.box.Address, address: d.box.Address, begun: now, used: now, heard: now,
		open: map[string]*pending{}, past: map[string]past{}}
	d.links = append(d.links, l)
	p.links++
	p.Stats.Dials++
	name, port, err := net.SplitHostPort(l.address)
	if err != nil {
		p.Loop.Post(func() { l.notDialled(err) })
	} else if _, err := netip.ParseAddr(name); err == nil {
		l.connect()
	} else {
		p.Resolve(name, func(ip netip.Addr, err error) { l.resolved(ip, port, err) })
	}
	return l
}

// resolved dials the address that a box's name stands for, unless the list says otherwise.
func (l *link) resolved(ip netip.Addr, port string, err error) {
	address := net.JoinHostPort(ip.String(), port)
	switch {
	case l.closed:
	case err != nil:
		l.notDialled(fmt.Errorf("name server: %v", err)) // no error of a dial, however it came about
	case l.pool.AddressBlocked(address):
		l.notDialled(fmt.Errorf("the name server gives %s, whose box is draining or gone", address))
	default:
		l.address = address
		l.connect()
	}
}

// connect dials the link's address.
func (l *link) connect() {
	p := l.pool
	l.dialedAt = p.Now()
	if p.SecureDialer != nil {
		if dial := p.SecureDialer(l.depot.box); dial != nil {
			address := l.address
			p.Loop.DialBy(func() (net.Conn, error) { return dial(address) }, l, l.notDialled)
			return
		}
	}
	p.Loop.Dial("tcp", l.address, p.DialTimeout, l, l.notDialled)
}

// notDialled takes a failed dial: it is tried again, or ends what waits for it.
func (l *link) notDialled(err error) {
	p := l.pool
	failure := classifyDial(err, p.Now()-l.dialedAt, p.DialTimeout)
	if !l.retired && !l.closed && l.redials(failure.redial) {
		return
	}
	l.gone()
	p.Stats.DialFailed++
	if len(l.waiting) > 0 {
		l.pool.Log("upstream-connect-failed", "endpoint", l.depot.box.Name, "address", l.address, "error", err)
	}
	l.unsent(failure.end)
}

// redials dials again if that is still to be done.
func (l *link) redials(how redialing) bool {
	switch {
	case how == redialUntilLimit:
		return l.redialLater()
	case how == redialOnce && !l.again:
		l.again = true
		l.connect()
		return true
	}
	return false
}

// redialLater has the dial tried again after a pause, if it may still come up in its time then.
func (l *link) redialLater() bool {
	p := l.pool
	l.pause = min(max(minRedialPause, 2*l.pause), maxRedialPause)
	if p.Now()-l.begun+l.pause > p.DialTimeout {
		return false
	}
	time.AfterFunc(l.pause, func() { p.Loop.Post(l.redial) })
	return true
}

// redial dials again, unless the list has changed meanwhile.
func (l *link) redial() {
	if !l.retired && !l.closed {
		l.connect()
		return
	}
	l.gone()
	l.unsent(broker.NotSent)
	l.pool.Loop.RequestRound()
}
