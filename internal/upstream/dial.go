package upstream

import (
	"fmt"
	"net"
	"net/netip"
	"time"

	"sloequay/internal/broker"
)

// dial starts a new connection to an endpoint. Either connection.Opened or connection.dialFailed follows, or neither if
// the connection is retired or closed before a redial.
func (p *Pool) dial(group *endpointConnections) *connection {
	now := p.Now()
	address := group.endpoint.Address
	dialed := &connection{
		pool:          p,
		group:         group,
		listedAddress: address,
		address:       address,
		dial:          dialProgress{startedAt: now},
		lastUsedAt:    now,
		attempts:      map[string]*outstandingAttempt{},
		history:       newIDHistory(),
	}
	group.connections = append(group.connections, dialed)
	p.connections++
	p.Stats.Dials++
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		p.Loop.Post(func() { dialed.dialFailed(err) })
	} else if _, err := netip.ParseAddr(host); err == nil {
		dialed.connect()
	} else {
		p.Resolve(host, func(ip netip.Addr, err error) { dialed.resolved(ip, port, err) })
	}
	return dialed
}

// resolved dials the address that the endpoint's name resolved to, unless it belongs to an endpoint that takes no new
// requests.
func (c *connection) resolved(ip netip.Addr, port string, err error) {
	address := net.JoinHostPort(ip.String(), port)
	switch {
	case c.state == stateClosed:
	case err != nil:
		c.dialFailed(fmt.Errorf("resolve: %v", err)) // %v: classifyDial must not take its cause for a dial error
	case c.pool.AddressBlocked(address):
		c.dialFailed(fmt.Errorf("name resolved to %s, whose endpoint is draining or gone", address))
	default:
		c.address = address
		c.connect()
	}
}

// connect dials the connection's address.
func (c *connection) connect() {
	p := c.pool
	c.dial.lastStartedAt = p.Now()
	if p.SecureDialer != nil {
		if dial := p.SecureDialer(c.group.endpoint); dial != nil {
			address := c.address
			p.Loop.DialWith(func() (net.Conn, error) { return dial(address) }, c, c.dialFailed)
			return
		}
	}
	p.Loop.Dial("tcp", c.address, p.DialTimeout, c, c.dialFailed)
}

// dialFailed dials again if the failure allows it, else it ends the attempts that wait for the connection.
func (c *connection) dialFailed(err error) {
	p := c.pool
	now := p.Now()
	failure := classifyDial(err, now-c.dial.lastStartedAt, p.DialTimeout)
	if !c.isRetired && c.state != stateClosed {
		if pause, ok := c.dial.next(now, failure.redial, p.DialTimeout); ok {
			c.redialAfter(pause)
			return
		}
	}
	c.remove()
	p.Stats.DialFailed++
	if len(c.waiting) > 0 {
		p.Log("upstream-connect-failed", "endpoint", c.group.endpoint.Name, "address", c.address, "error", err)
	}
	c.endWaiting(failure.end)
}

// redialAfter dials again after a pause; 0: at once.
func (c *connection) redialAfter(pause time.Duration) {
	if pause == 0 {
		c.connect()
		return
	}
	time.AfterFunc(pause, func() { c.pool.Loop.Post(c.redial) })
}

// redial dials again, unless the connection was retired or closed meanwhile.
func (c *connection) redial() {
	if !c.isRetired && c.state != stateClosed {
		c.connect()
		return
	}
	c.remove()
	c.endWaiting(broker.NotSent)
	c.pool.Loop.RequestRound()
}
