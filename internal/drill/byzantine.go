package drill

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"sloequay/internal/bootstrap"
	"sloequay/internal/membership"
	"sloequay/internal/peer"
	"sloequay/internal/peer/transport"
)

const (
	byzantineNode = "liar"
	// advertiseInterval is how often the false list is advertised to all members.
	advertiseInterval = 200 * time.Millisecond
	// inventedEndpoints is how many endpoints the longest false list has.
	inventedEndpoints = 20_000
	// versionLeadBits shifts a false list's version far ahead of any true one.
	versionLeadBits = 40
	// callbackQueue is how many callbacks of the transport may wait for the peer's loop.
	callbackQueue = 64
)

// falseLists holds the lists that a byzantine peer can advertise, by their names in plans.
var falseLists = map[string]func(c *Cluster) []membership.Endpoint{
	"empty": func(*Cluster) []membership.Endpoint { return nil },
	"dead":  allDraining,
	"many":  manyInvented,
}

// allDraining returns the true endpoints, all marked as draining.
func allDraining(c *Cluster) []membership.Endpoint {
	var list []membership.Endpoint
	for _, e := range c.endpointOrder {
		list = append(list, membership.Endpoint{ID: e.id, Address: e.address, State: membership.Draining})
	}
	return list
}

// manyInvented returns thousands of endpoints that share the address of a real one.
func manyInvented(c *Cluster) []membership.Endpoint {
	var list []membership.Endpoint
	for i := range inventedEndpoints {
		list = append(list, membership.Endpoint{
			ID:      fmt.Sprint("m", i),
			Address: c.endpointOrder[0].address,
			Zone:    1,
			State:   membership.Up,
			Weight:  1000,
		})
	}
	return list
}

// byzantinePeer is a member of the fleet that holds its key and advertises a false endpoint list to all members. Its
// run loop owns members and sends the messages; the transport's callbacks are passed to the loop.
type byzantinePeer struct {
	number    int // among the byzantine peers, from 0
	transport *transport.Transport
	relay     *relay
	endpoints []membership.Endpoint // of the false list, sorted
	members   []peer.Member
	callbacks chan func()
	closed    chan struct{}
}

// byzantinePeers holds the running byzantine peers. Steps add and remove them concurrently.
type byzantinePeers struct {
	mu    sync.Mutex
	peers []*byzantinePeer
}

// add starts a peer that joins the fleet as a proxy of a zone.
func (b *byzantinePeers) add(c *Cluster, zone int, falseList string) (*byzantinePeer, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	member, err := c.newByzantinePeer(len(b.peers), zone, falseList)
	if err != nil {
		return nil, err
	}
	b.peers = append(b.peers, member)
	return member, nil
}

// remove stops a peer.
func (b *byzantinePeers) remove(member *byzantinePeer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers = slices.DeleteFunc(b.peers, func(other *byzantinePeer) bool { return other == member })
	member.close()
}

// close stops all peers.
func (b *byzantinePeers) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, member := range b.peers {
		member.close()
	}
}

// newByzantinePeer starts a peer with a number, which joins the fleet as a proxy of a zone.
func (c *Cluster) newByzantinePeer(number, zone int, falseList string) (*byzantinePeer, error) {
	ip := c.hostAddress(byzantineSubnet, zone-1)
	c.network.join(ip, byzantineNode)
	listen, err := freeAddress(ip)
	if err != nil {
		return nil, err
	}
	member := &byzantinePeer{
		number:    number,
		endpoints: bootstrap.SortEndpoints(falseLists[falseList](c)),
		callbacks: make(chan func(), callbackQueue),
		closed:    make(chan struct{}),
	}
	relayIP := c.hostAddress(byzantineRelaySubnet, zone-1)
	if member.relay, err = c.network.newRelay(byzantineNode, relayIP, listen); err != nil {
		return nil, err
	}
	config, err := transport.NewConfig(listen, member.relay.address(), c.keyFile, c.peerSeeds())
	if err != nil {
		return nil, err
	}
	identity := transport.Identity{
		Name:        fmt.Sprint(byzantineNode, member.number),
		Zone:        zoneName(zone),
		Incarnation: rand.Uint64(),
	}
	if member.transport, err = transport.Open(config, identity, member); err != nil {
		return nil, err
	}
	go member.run()
	return member, nil
}

// run advertises the false list to all members periodically, and executes the transport's callbacks.
func (p *byzantinePeer) run() {
	var digest []bootstrap.Advertisement
	for list := range len(serviceNames) {
		version := bootstrap.VersionOf(list, uint64(p.number+1)<<versionLeadBits, p.endpoints)
		digest = append(digest, bootstrap.Advertisement{ListVersion: version})
	}
	tick := time.NewTicker(advertiseInterval)
	defer tick.Stop()
	for {
		select {
		case callback := <-p.callbacks:
			callback()
		case <-tick.C:
			for _, member := range p.members {
				p.send(member.Name, bootstrap.Message{Digest: digest})
			}
		case <-p.closed:
			return
		}
	}
}

func (p *byzantinePeer) send(to string, message bootstrap.Message) {
	if body, err := transport.Encode(message); err == nil {
		p.transport.Send(to, body)
	}
}

// MembersChanged takes the fleet's current members.
func (p *byzantinePeer) MembersChanged(members []peer.Member) {
	p.callbacks <- func() { p.members = members }
}

// Log drops the transport's log events.
func (p *byzantinePeer) Log(string, ...any) {}

// MessageReceived serves the false list to members that fetch it.
func (p *byzantinePeer) MessageReceived(from string, body []byte) {
	var message bootstrap.Message
	if transport.Decode(body, &message) != nil || message.Fetch == nil {
		return
	}
	version := message.Fetch.ListVersion
	p.callbacks <- func() { p.sendParts(from, version) }
}

// sendParts sends the false list in parts, under the version that was requested.
func (p *byzantinePeer) sendParts(to string, version bootstrap.ListVersion) {
	const size = bootstrap.EndpointsPerPart
	count := len(p.endpoints)
	total := max(1, (count+size-1)/size)
	for number := range total {
		part := bootstrap.Part{
			ListVersion: version,
			Number:      number,
			Total:       total,
			Endpoints:   p.endpoints[min(count, number*size):min(count, (number+1)*size)],
		}
		p.send(to, bootstrap.Message{Part: &part})
	}
}

func (p *byzantinePeer) close() {
	close(p.closed)
	go func() { // unblocks callbacks that are waiting for the loop
		for range p.callbacks {
		}
	}()
	p.transport.Close()
	p.relay.close()
}
