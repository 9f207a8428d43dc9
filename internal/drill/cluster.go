package drill

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync/atomic"
	"time"

	"sloequay/internal/emulator"
)

// The third octets of the IP addresses of a cluster's nodes. Some kinds of nodes use several consecutive subnets.
const (
	firstProxySubnet     = 1
	byzantineRelaySubnet = 48
	byzantineSubnet      = 49
	firstRelaySubnet     = 51
	firstEndpointSubnet  = 101
	listSubnet           = 201
	clientsSubnet        = 202
)

// Cluster is the environment of one drill: the proxies, each a process of the program, and, within this process, the
// endpoints, the list service, the clients and the network that connects all of them.
type Cluster struct {
	Plan    *Plan
	Dir     string // holds one folder for each proxy, with its log
	Program string
	Record  *Record

	seed      uint64
	subnet    string // the first two octets of all addresses: 127.N
	keyFile   string // holds the fleet's shared key
	startedAt time.Time
	network   *network

	endpoints      map[string]*endpoint
	endpointOrder  []*endpoint
	emulators      *emulator.Endpoints
	list           listService
	spawner        *spawner
	proxies        []*proxy
	byzantinePeers byzantinePeers
	load           *loadGenerator
	requestIDs     atomic.Uint64
}

// clusterCount numbers the clusters of this process so that their addresses differ.
var clusterCount atomic.Int32

// New builds a cluster and starts the emulators, but no proxy. The caller must close the cluster.
func New(plan *Plan, program, dir string, seed uint64) (*Cluster, error) {
	cluster := &Cluster{
		Plan:      plan,
		Dir:       dir,
		Program:   program,
		Record:    newRecord(plan),
		seed:      seed,
		subnet:    fmt.Sprintf("127.%d", 80+(os.Getpid()*13+int(clusterCount.Add(1))*29)%150),
		startedAt: time.Now(),
		endpoints: map[string]*endpoint{},
	}
	cluster.network = newNetwork(seed, cluster.recordConnection, cluster.recordPeerBytes)
	cluster.emulators = emulator.NewEndpoints(cluster.serve)
	cluster.emulators.OnControlLine(cluster.recordCancellation)
	if err := cluster.build(); err != nil {
		cluster.Close()
		return nil, err
	}
	return cluster, nil
}

// now returns the time since the drill started.
func (c *Cluster) now() time.Duration { return time.Since(c.startedAt) }

// newRand returns a random number generator that is derived from the drill's seed and a salt, one for each use.
func (c *Cluster) newRand(salt uint64) *rand.Rand { return rand.New(rand.NewPCG(c.seed, salt)) }

// hostAddress returns the IP address of the node with a number, counted from 0, in the subnets that begin with
// firstSubnet.
func (c *Cluster) hostAddress(firstSubnet, number int) string {
	return fmt.Sprintf("%s.%d.%d", c.subnet, firstSubnet+number/hostsPerSubnet, 1+number%hostsPerSubnet)
}

// hostsPerSubnet is how many nodes share the third octet of their addresses.
const hostsPerSubnet = 200

// listAddress returns the IP address of the list service.
func (c *Cluster) listAddress() string { return c.hostAddress(listSubnet, 0) }

func (c *Cluster) build() error {
	c.network.join(c.listAddress(), listNode)
	c.network.join(c.hostAddress(clientsSubnet, 0), clientsNode)
	if err := c.buildEndpoints(); err != nil {
		return err
	}
	newList := newListWatch
	if c.Plan.ListService == catalogueService {
		newList = newCatalogue
	}
	var err error
	if c.list, err = newList(c); err != nil {
		return err
	}
	c.spawner = newSpawner()
	for number := range c.Plan.Proxies {
		p, err := c.newProxy(number)
		if err != nil {
			return err
		}
		c.proxies = append(c.proxies, p)
	}
	if c.Plan.Peers {
		if err := c.joinPeers(); err != nil {
			return err
		}
	}
	c.load = newLoadGenerator(c)
	return nil
}

// buildEndpoints adds the caches of all zones, the parents and the origin.
func (c *Cluster) buildEndpoints() error {
	for zone := range c.Plan.Zones {
		for cache := range c.Plan.Caches {
			id := fmt.Sprintf("c%d-%d", zone+1, cache+1)
			if err := c.addEndpoint(id, zoneName(zone+1), classCache); err != nil {
				return err
			}
		}
	}
	for parent := range c.Plan.Parents {
		if err := c.addEndpoint(fmt.Sprintf("t%d", parent+1), parentZone, classParent); err != nil {
			return err
		}
	}
	return c.addEndpoint("o1", parentZone, classOrigin)
}

// addEndpoint adds an endpoint and starts serving it.
func (c *Cluster) addEndpoint(id, zone, class string) error {
	e := &endpoint{id: id, zone: zone, class: class, state: listedUp, cached: map[string]bool{}}
	ip := c.hostAddress(firstEndpointSubnet, len(c.endpointOrder))
	c.network.join(ip, endpointNode(id))
	listener, err := c.network.listen(endpointNode(id), net.JoinHostPort(ip, "0"))
	if err != nil {
		return err
	}
	e.address = listener.Addr().String()
	if c.Plan.FreshStart {
		e.startedAt = time.Now()
	}
	c.endpoints[id] = e
	c.endpointOrder = append(c.endpointOrder, e)
	go c.emulators.Serve(id, &endpointListener{listener, e})
	c.emulators.Register(id, listener)
	return nil
}

// recordConnection records a connection that a node has accepted.
func (c *Cluster) recordConnection(to string) {
	connection := Connection{c.now(), to}
	c.Record.update(func() { c.Record.Connections = append(c.Record.Connections, connection) })
}

// recordPeerBytes counts the bytes that a proxy sends to its peers.
func (c *Cluster) recordPeerBytes(from string, count int) {
	c.Record.addPeerBytes(c.now(), from, count)
}

// recordListCall records a call to the list service.
func (c *Cluster) recordListCall(from, query string) {
	call := ListCall{At: c.now(), From: from, Query: query}
	c.Record.update(func() { c.Record.ListCalls = append(c.Record.ListCalls, call) })
}

// Close stops everything that the cluster has started, including the proxies' processes.
func (c *Cluster) Close() {
	if c.load != nil {
		c.load.close()
	}
	c.byzantinePeers.close()
	for _, p := range c.proxies {
		p.close()
	}
	if c.spawner != nil {
		c.spawner.close()
	}
	if c.list != nil {
		c.list.close()
	}
	c.emulators.Close()
}
