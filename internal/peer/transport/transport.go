// Package transport connects a proxy to the other proxies of its fleet. Membership is managed by memberlist (SWIM with
// suspicion and Lifeguard, encrypted with the fleet's keys). Messages are sent as memberlist's datagrams or, if they
// are large, over connections. Package peer decides which members and messages are valid; this package does the I/O.
//
// The fleet's keys keep other programs out, but do not tell members apart. Therefore each incarnation of a proxy
// generates an Ed25519 key pair, announces the public key with its membership, and signs its messages: no member can
// send in the name of another one that is alive.
//
// Invariants:
//   - a message reaches the Receiver at most once, and only if its sender signed it for this proxy or for a state
//     exchange;
//   - the Receiver gets one message at a time, in no guaranteed order; a message may be lost;
//   - Send, SetState, Status and AnnounceShutdown do not wait for the network.
//
// Bounds: the queues by sendQueueLength and receiveQueueLength, a message by maxMessageBytes, concurrent connections
// for large messages by maxReliableSends, members by Config.MaxMembers. Close waits for all goroutines of the
// transport; their network operations end after connectTimeout, and an announcement of a shutdown after its own
// timeout.
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
	// membersDelay is how long membership changes are collected before they are reported, so that members that join
	// together are reported together.
	membersDelay = 20 * time.Millisecond
	// reclaimDelay is how long a member must be dead before a member at another address may take its name: a proxy may
	// have another address after a restart.
	reclaimDelay = time.Second
	// retransmitFactor is half of memberlist's default: when a fleet of N starts, each member announces all N. An
	// announcement that a member misses reaches it with the next state exchange.
	retransmitFactor = 2
)

// Identity describes this proxy.
type Identity struct {
	Name, Zone, ProgramVersion string
	Incarnation                uint64
	FleetSize                  int          // configured number of proxies
	LocalAddr                  *net.TCPAddr // of connections to other members; nil: the IP address of Config.Listen
}

// Receiver handles membership changes, messages and log events of a transport. Its methods are called on the
// transport's goroutines. No method except Log is called concurrently with itself.
type Receiver interface {
	MembersChanged(members []peer.Member)
	MessageReceived(from string, body []byte)
	Log(event string, fields ...any)
}

// Counters counts messages and bytes.
type Counters struct {
	MessagesSent, BytesSent uint64
	Dropped                 uint64 // in either direction, because a queue was full
	Rejected                uint64 // received but not valid
	ClosedStreams           uint64 // closed because too many accepted ones were open, or too much was received on all
}

// Transport holds a proxy's membership in the fleet and exchanges messages with the other members.
type Transport struct {
	config       Config
	self         Identity
	receiver     Receiver
	list         *memberlist.Memberlist
	streams      *streamLimits
	privateKey   ed25519.PrivateKey
	metadata     []byte
	seeds        []string // from the settings and from the members file
	sendQueue    chan outgoing
	receiveQueue chan incoming
	changed      chan struct{} // holds a signal when the view has changed

	ctx        context.Context // canceled by Close
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu         sync.Mutex
	view       *peer.View
	nodes      map[string]*memberlist.Node // by name, for the members in the view
	lastNumber uint64                      // number of the last message that was sealed
	state      []byte                      // message sent with each state exchange; nil: none
	counters   Counters
}

// Open joins the fleet. It returns once the proxy listens, and continues to join members until Close.
func Open(config Config, self Identity, receiver Receiver) (*Transport, error) {
	t, err := newTransport(config, self, receiver)
	if err != nil {
		return nil, err
	}
	listConfig, err := t.memberlistConfig()
	if err != nil {
		return nil, err
	}
	if t.list, err = memberlist.Create(listConfig); err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	t.goroutines.Go(t.streams.forward)
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
		atomicfile.RemoveTemporary(config.MembersFile)
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

// memberlistConfig returns memberlist's settings, with a network transport that is already listening.
func (t *Transport) memberlistConfig() (*memberlist.Config, error) {
	listen := netip.MustParseAddrPort(t.config.Listen)
	advertise := listen
	if t.config.Advertise != "" {
		advertise = netip.MustParseAddrPort(t.config.Advertise)
	}
	// Use memberlist's probe interval and timeout for a LAN. With twice as many probes and 200 ms for a response, 300
	// members that started on one machine without CPU time for all of them declared each other dead, and the gossip
	// about that used the remaining CPU time. Fallback probes over TCP made it worse; they are of no use either, since
	// a member that gets no datagrams gets no gossip.
	listConfig := memberlist.DefaultLANConfig()
	listConfig.TCPTimeout = connectTimeout
	listConfig.DisableTcpPings = true
	listConfig.RetransmitMult = retransmitFactor
	listConfig.DeadNodeReclaimTime = reclaimDelay
	listConfig.EnableCompression = false
	listConfig.Name = t.self.Name
	listConfig.BindAddr = listen.Addr().String()
	listConfig.BindPort = int(listen.Port())
	listConfig.AdvertiseAddr = advertise.Addr().String()
	listConfig.AdvertisePort = int(advertise.Port())
	listConfig.Delegate = delegate{t}
	listConfig.Events = delegate{t}
	listConfig.LogOutput = nil
	listConfig.Logger = log.New(io.Discard, "", 0)
	var err error
	if listConfig.Keyring, err = memberlist.NewKeyring(t.config.keys, t.config.keys[0]); err != nil {
		return nil, err
	}
	network, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{
		BindAddrs: []string{listConfig.BindAddr}, BindPort: listConfig.BindPort, Logger: listConfig.Logger,
	})
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	localAddr := t.self.LocalAddr
	if localAddr == nil {
		localAddr = &net.TCPAddr{IP: listen.Addr().AsSlice()}
	}
	t.streams = newStreamLimits(t.config.MaxStreamBytes, network.StreamCh())
	listConfig.Transport = boundTransport{network, t.streams, localAddr}
	return listConfig, nil
}

// Send queues a message to a member, or drops it if the queue is full.
func (t *Transport) Send(to string, body []byte) {
	select {
	case t.sendQueue <- outgoing{to, body}:
	default:
		t.countDropped()
	}
}

// SetState sets the message that is sent with each state exchange between this proxy and another member.
func (t *Transport) SetState(body []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state = body
}

// Status returns the members in the view and the counters.
func (t *Transport) Status() ([]peer.Member, Counters) {
	t.mu.Lock()
	defer t.mu.Unlock()
	counters := t.counters
	counters.ClosedStreams = t.streams.closedForLimit()
	return t.view.Members(), counters
}

// StreamBytes returns the number of bytes that were received on all open streams, accepted and dialed.
func (t *Transport) StreamBytes() int { return t.streams.receivedBytes() }

// AnnounceShutdown starts announcing to the other members that this proxy leaves, and gives up after the timeout.
func (t *Transport) AnnounceShutdown(timeout time.Duration) {
	t.goroutines.Go(func() { _ = t.list.Leave(timeout) })
}

// Close stops all network activity and waits for the transport's goroutines. The Receiver must not block forever.
func (t *Transport) Close() {
	t.cancel()
	_ = t.list.Shutdown()
	t.streams.stop()
	t.goroutines.Wait()
}

// publishMembers reports the members to the receiver after each change, and saves some of their addresses to the
// members file. Changes within minSaveInterval of a write are written when it has passed: the members of a fleet that
// starts together come into view within a second, and a file with only the first of them would lead a restarted proxy
// to those alone.
func (t *Transport) publishMembers() {
	var savedAt time.Time
	var saveDue <-chan time.Time // nil: no write is pending
	for {
		select {
		case <-t.changed:
			if !t.sleep(membersDelay) {
				return
			}
			members, _ := t.Status()
			t.receiver.MembersChanged(members)
			if t.config.MembersFile != "" && saveDue == nil {
				saveDue = time.After(max(0, minSaveInterval-time.Since(savedAt)))
			}
		case <-saveDue:
			savedAt = time.Now()
			saveDue = nil
			t.saveMembers()
		case <-t.ctx.Done():
			return
		}
	}
}

// sleep waits for the duration. It returns false if the transport is closed before it has passed.
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

// boundTransport is memberlist's network transport with limits on the streams that others open, and a fixed local
// address for outgoing connections.
type boundTransport struct {
	*memberlist.NetTransport
	streams   *streamLimits
	localAddr *net.TCPAddr
}

// StreamCh returns the streams that others have opened.
func (t boundTransport) StreamCh() <-chan net.Conn { return t.streams.admitted }

// DialTimeout connects to a member over TCP.
func (t boundTransport) DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, LocalAddr: t.localAddr}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return t.streams.dialed(conn), nil
}

// DialAddressTimeout connects to a member over TCP.
func (t boundTransport) DialAddressTimeout(address memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(address.Addr, timeout)
}
