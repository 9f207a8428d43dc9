// Package transport connects a proxy to the others of its fleet. Membership is memberlist's (SWIM with suspicion and
// Lifeguard, encrypted with the fleet's keys); messages travel as its datagrams or, where they are large, over
// connections. Package peer decides which members and messages are valid; this package does the I/O.
//
// The fleet's keys exclude other programs, but do not tell members apart. So each incarnation of a proxy draws a
// pair of Ed25519 keys, announces the public one with its membership, and signs its messages: no member can send in
// the name of another one that is alive.
//
// Invariants:
//   - a message reaches the Receiver once, and only if its sender signed it for this proxy or for an exchange of state;
//   - the Receiver gets one message at a time, in no certain order; a message may be lost;
//   - Send, SetState, Status and AnnounceShutdown do not wait for the network.
//
// Bounds: queues by sendQueueLength and receiveQueueLength, a message by maxMessageBytes, connections at once by
// maxReliableSends, members by Config.MaxMembers. Close waits for all goroutines of the transport; what they wait
// for on the network ends after connectTimeout, and an announced shutdown after its own time-out.
package transport

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"fmt"
	"io"
	"log"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"sloequay/internal/atomicfile"
	"sloequay/internal/peer"
)

const (
	connectTimeout = 2 * time.Second
	// membersDelay is how long changes of the members are gathered, so that a fleet that joins is reported at once.
	membersDelay = 20 * time.Millisecond
	// reclaimDelay is how long a member has to be dead before another address may take its name: a proxy that is
	// started anew may have one.
	reclaimDelay = time.Second
	// retransmitFactor is half of the library's: a fleet that starts has each of its N members announce each of the
	// N, and what is missed comes with the next exchange of state.
	retransmitFactor = 2
)

// Identity is who this proxy is.
type Identity struct {
	Name, Zone, ProgramVersion string
	Incarnation                uint64
	FleetSize                  int          // configured number of proxies
	LocalAddr                  *net.TCPAddr // local address of connections to others; nil: the listen address
}

// Receiver takes what the transport receives. It is called on the transport's goroutines, each method by one at a
// time except Log.
type Receiver interface {
	MembersChanged(members []peer.Member)
	MessageReceived(from string, body []byte)
	Log(event string, fields ...any)
}

// Counters counts messages and bytes.
type Counters struct {
	MessagesSent, BytesSent uint64 // sent
	Dropped                 uint64 // of either direction, as a queue was full
	Rejected                uint64 // received, and not valid
}

// Transport is a proxy's membership in the fleet.
type Transport struct {
	config       Config
	self         Identity
	receiver     Receiver
	list         *memberlist.Memberlist
	privateKey   ed25519.PrivateKey
	metadata     []byte
	seeds        []string // of the settings, and those remembered
	sendQueue    chan outgoing
	receiveQueue chan incoming
	changed      chan struct{} // the view has changed

	ctx        context.Context // until Close
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu       sync.Mutex
	view     *peer.View
	nodes    map[string]*memberlist.Node // by name, of the members in the view
	number   uint64                      // of the last message
	state    []byte                      // message that goes along with an exchange of state; nil: none
	counters Counters
}

// Open joins the fleet. It returns once the proxy listens, and goes on joining until Close.
func Open(config Config, self Identity, receiver Receiver) (*Transport, error) {
	t, err := newTransport(config, self, receiver)
	if err != nil {
		return nil, err
	}
	library, err := t.libraryConfig()
	if err != nil {
		return nil, err
	}
	if t.list, err = memberlist.Create(library); err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	t.goroutines.Go(t.join)
	t.goroutines.Go(t.sendQueued)
	t.goroutines.Go(t.receiveQueued)
	t.goroutines.Go(t.publishMembers)
	return t, nil
}

func newTransport(config Config, self Identity, receiver Receiver) (*Transport, error) {
	publicKey, privateKey, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, err
	}
	metadata, err := encodeMetadata(self, publicKey)
	if err != nil {
		return nil, err
	}
	if config.MembersFile != "" {
		atomicfile.Clean(config.MembersFile)
	}
	t := &Transport{
		config:       config,
		self:         self,
		receiver:     receiver,
		privateKey:   privateKey,
		metadata:     metadata,
		seeds:        append(slices.Clone(config.Seeds), readMembersFile(config.MembersFile)...),
		sendQueue:    make(chan outgoing, sendQueueLength),
		receiveQueue: make(chan incoming, receiveQueueLength),
		changed:      make(chan struct{}, 1),
		view:         peer.NewView(self.Name, config.MaxMembers),
		nodes:        map[string]*memberlist.Node{},
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	return t, nil
}

// libraryConfig returns the settings of memberlist, with a network transport that listens already.
func (t *Transport) libraryConfig() (*memberlist.Config, error) {
	listen := netip.MustParseAddrPort(t.config.Listen)
	advertise := listen
	if t.config.Advertise != "" {
		advertise = netip.MustParseAddrPort(t.config.Advertise)
	}
	// The library's own times for a LAN. With probes twice as often and 200 ms for an answer, 300 that started on a
	// machine that had no time for all of them held each other for dead, and the gossip about that took the rest. A
	// second probe by a connection made it worse: where datagrams do not arrive there is no gossip either.
	library := memberlist.DefaultLANConfig()
	library.TCPTimeout = connectTimeout
	library.DisableTcpPings = true
	library.RetransmitMult = retransmitFactor
	library.DeadNodeReclaimTime = reclaimDelay
	library.EnableCompression = false
	library.Name = t.self.Name
	library.BindAddr = listen.Addr().String()
	library.BindPort = int(listen.Port())
	library.AdvertiseAddr = advertise.Addr().String()
	library.AdvertisePort = int(advertise.Port())
	library.Delegate = delegate{t}
	library.Events = delegate{t}
	library.LogOutput = nil
	library.Logger = log.New(io.Discard, "", 0)
	var err error
	if library.Keyring, err = memberlist.NewKeyring(t.config.keys, t.config.keys[0]); err != nil {
		return nil, err
	}
	network, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{
		BindAddrs: []string{library.BindAddr}, BindPort: library.BindPort, Logger: library.Logger,
	})
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	from := t.self.LocalAddr
	if from == nil {
		from = &net.TCPAddr{IP: listen.Addr().AsSlice()}
	}
	library.Transport = boundTransport{network, from}
	return library, nil
}

// Send queues a message for a member, or drops it if the queue is full.
func (t *Transport) Send(to string, body []byte) {
	select {
	case t.sendQueue <- outgoing{to, body}:
	default:
		t.countDropped()
	}
}

// SetState sets the message that goes along when two members exchange their state.
func (t *Transport) SetState(body []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state = body
}

// Status returns the members in view and the counters.
func (t *Transport) Status() ([]peer.Member, Counters) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.view.Members(), t.counters
}

// AnnounceShutdown starts to tell the other members that this proxy leaves, for at most the time-out.
func (t *Transport) AnnounceShutdown(timeout time.Duration) {
	t.goroutines.Go(func() { _ = t.list.Leave(timeout) })
}

// Close leaves the network and waits for the transport's goroutines. The Receiver must not block for ever.
func (t *Transport) Close() {
	t.cancel()
	_ = t.list.Shutdown()
	t.goroutines.Wait()
}

// publishMembers reports the members to the receiver after each change, and remembers some of their addresses. A
// change that comes too soon after they were written is written later: a fleet that starts together is in view
// within a second, and a file of those that were met first leads a restarted proxy to them alone.
func (t *Transport) publishMembers() {
	var rememberedAt time.Time
	var rememberDue <-chan time.Time // nil: all that is known is written
	for {
		select {
		case <-t.changed:
			if !t.sleep(membersDelay) {
				return
			}
			members, _ := t.Status()
			t.receiver.MembersChanged(members)
			if t.config.MembersFile != "" && rememberDue == nil {
				rememberDue = time.After(max(0, minRememberInterval-time.Since(rememberedAt)))
			}
		case <-rememberDue:
			rememberedAt = time.Now()
			rememberDue = nil
			t.rememberMembers()
		case <-t.ctx.Done():
			return
		}
	}
}

// sleep waits, and reports false if the transport is closed meanwhile.
func (t *Transport) sleep(duration time.Duration) bool {
	select {
	case <-time.After(duration):
		return true
	case <-t.ctx.Done():
		return false
	}
}

func (t *Transport) countDropped() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counters.Dropped++
}

// boundTransport is memberlist's own transport with a local address for its connections.
type boundTransport struct {
	*memberlist.NetTransport
	from *net.TCPAddr
}

// DialTimeout connects to a member.
func (t boundTransport) DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, LocalAddr: t.from}
	return dialer.Dial("tcp", address)
}

// DialAddressTimeout connects to a member.
func (t boundTransport) DialAddressTimeout(address memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(address.Addr, timeout)
}
