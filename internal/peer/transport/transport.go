// Package transport joins a doorman to the others of its fleet: memberlist (SWIM with suspicion and Lifeguard, keyed) finds who lives,
// and carries messages as datagrams or, where they are large, over a connection. What a word is worth is decided in package
// peer; here is the I/O, on goroutines of its own.
//
// The fleet's key keeps strangers out; it does not tell members apart. So each life of a doorman makes a pair of Ed25519 keys,
// the public one goes along with its membership, and each message is signed: one member can not speak for another that lives.
package transport

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"log"
	mathrand "math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-msgpack/v2/codec"
	"github.com/hashicorp/memberlist"

	"sloequay/internal/config"
	"sloequay/internal/peer"
)

// Config is the block `peers` of the settings.
type Config struct {
	Listen, Advertise string // host:port, TCP and UDP; the second empty: the first
	Seeds             []string
	KeyFile           string
	MembersFile       string // file of addresses of others; empty: none
	Pollers, Fleet    int    // see package start
	MaxMembers        int
	keys              [][]byte
}

func address(s string) error {
	if a, err := netip.ParseAddrPort(s); err != nil || !a.Addr().Unmap().Is4() || a.Port() == 0 {
		return fmt.Errorf("expected an IPv4 address with a port, got %.80q", s)
	}
	return nil
}

// Section gives the directives of the block.
func (c *Config) Section() *config.Section {
	c.Pollers, c.MaxMembers = 3, 2000
	s := &config.Section{}
	s.Text("listen", &c.Listen, address, "where other doormans reach this one, by TCP and UDP")
	s.Text("advertise", &c.Advertise, address, "the same as they see it, where it differs")
	s.Words("seed", &c.Seeds, address, "addresses of some doormans; a few that start first will do")
	s.Text("key-file", &c.KeyFile, nil, "file with the fleet's keys, 16, 24 or 32 bytes in base64, a line each; the first encrypts")
	s.Text("remember", &c.MembersFile, func(path string) error {
		if info, err := os.Stat(filepath.Dir(path)); err != nil || !info.IsDir() {
			return fmt.Errorf("%.120s is in no folder", path)
		}
		return nil
	}, "file, on a disk that lasts, of some addresses of others: seeds of the next start")
	s.Int("askers", &c.Pollers, 1, 100, "doormans of a zone that ask the list service")
	s.Int("fleet", &c.Fleet, 0, 100_000, "doormans that there are, for the time over which they ask where no peer is heard; 0: as the platform's settings tell")
	s.Int("most", &c.MaxMembers, 1, 100_000, "other doormans that are remembered")
	s.Check(func() (err error) {
		if c.Listen == "" || c.KeyFile == "" {
			return errors.New("listen and key-file are needed")
		}
		c.keys, err = readKeys(c.KeyFile)
		return err
	})
	return s
}

// NewConfig is the settings with these values and the defaults.
func NewConfig(listen, advertise, keyFile string, seeds []string) (c Config, err error) {
	c.Section()
	c.Listen, c.Advertise, c.KeyFile, c.Seeds = listen, advertise, keyFile, seeds
	c.keys, err = readKeys(keyFile)
	return c, err
}

// readKeys reads the fleet's keys.
func readKeys(path string) (keys [][]byte, err error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Mode().Perm()&0o077 != 0 {
		return nil, fmt.Errorf("%s: others may read it; chmod 600", path)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	for i, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
		key, err := base64.StdEncoding.DecodeString(strings.TrimSpace(line))
		if err == nil {
			err = memberlist.ValidateKey(key)
		}
		if err != nil {
			return nil, fmt.Errorf("%s:%d: expected 16, 24 or 32 bytes in base64", path, i+1)
		}
		keys = append(keys, key)
	}
	return keys, nil
}

const (
	datagramMost = 1100      // bytes of a message that goes as one
	messageMost  = 256 << 10 // of any
	outMost      = 512       // messages that wait for their sending
	inMost       = 1024      // messages that wait to be read
	metaMost     = 512
	joinLimit    = 2 * time.Second
	joinSpread   = 3 * time.Millisecond // for each of the fleet, over which they ask to be let in
	joinFirst    = 100 * time.Millisecond
	joinMost     = 2 * time.Second
	joinFor      = 10 * time.Second // after the start, in which seeds are asked until half of the fleet is in view
	joinsMost    = 3                // that were let in, early: each costs the seed all that it knows of the others
	rememberMost = 32               // addresses
	rememberGap  = 2 * time.Second  // between two writings
	rejoinEvery  = 15 * time.Second // of a seed that is not in view: two halves that lost each other meet again
)

// Identity is who this doorman is.
type Identity struct {
	Name, Zone, Program string
	Incarnation         uint64
	Fleet               int          // doormans that there are, as told
	Bind                *net.TCPAddr // that connections come from; nil: the listen address
}

// Receiver takes what the link hears; it is called on goroutines of the link's own, one call at a time.
type Receiver interface {
	MembersChanged(members []peer.Member)
	MessageReceived(from string, body []byte)
	Log(event string, fields ...any)
}

// Transport is a doorman's place in the fleet.
type Transport struct {
	cfg     Config
	self    Identity
	told    Receiver
	list    *memberlist.Memberlist
	private ed25519.PrivateKey
	meta    []byte
	out     chan outgoing
	in      chan incoming
	ctx     context.Context
	end     context.CancelFunc
	seeds   []string // of the settings, and those remembered

	mu       sync.Mutex
	view     *peer.View
	nodes    map[string]*memberlist.Node
	number   uint64
	state    []byte // the message that goes along with an exchange; nil: none
	changed  chan struct{}
	counters Counters // by this doorman
}

// Counters is messages and bytes, and what was dropped for want of room or not heard.
type Counters struct{ Messages, Bytes, Dropped, Rejected uint64 }

// incoming is a message as it came: as itself, or with an exchange of all that two members know.
type incoming struct {
	packet    []byte
	exchanged bool
}

type outgoing struct {
	to   string
	body []byte
}

// envelope is a message as it travels.
type envelope struct {
	From   string `codec:"From"`
	Epoch  uint64 `codec:"Epoch"`
	Number uint64 `codec:"Number"`
	To     string `codec:"To"` // so that it can't be passed on to another
	Body   []byte `codec:"Body"`
	Sig    []byte `codec:"Sig"`
}

// meta is what a member tells of itself.
type meta struct {
	Zone    string `codec:"Zone"`
	Program string `codec:"Program"`
	Epoch   uint64 `codec:"Epoch"`
	Key     []byte `codec:"Key"`
}

// Encode and Decode are the form of messages: MessagePack of plain structures. Decode takes at most what a message may have.
func Encode(v any) ([]byte, error) {
	var b []byte
	err := codec.NewEncoderBytes(&b, &handle).Encode(v)
	return b, err
}

// Decode reads what Encode has written.
func Decode(b []byte, v any) (err error) {
	defer func() { // the library panics on some malformed input
		if r := recover(); r != nil {
			err = fmt.Errorf("malformed: %v", r)
		}
	}()
	if len(b) > messageMost {
		return fmt.Errorf("%d bytes, at most %d expected", len(b), messageMost)
	}
	return codec.NewDecoderBytes(b, &handle).Decode(v)
}

// handle has memory follow what is there, whatever length a message announces.
var handle = codec.MsgpackHandle{BasicHandle: codec.BasicHandle{DecodeOptions: codec.DecodeOptions{MaxInitLen: 1024}}}

// Open joins the fleet; it goes on trying until Close.
func Open(cfg Config, self Identity, told Receiver) (*Transport, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, err
	}
	l := &Transport{cfg: cfg, self: self, told: told, private: private, view: peer.NewView(self.Name, cfg.MaxMembers),
		nodes: map[string]*memberlist.Node{}, out: make(chan outgoing, outMost), in: make(chan incoming, inMost), changed: make(chan struct{}, 1)}
	if l.meta, err = Encode(meta{self.Zone, self.Program, self.Incarnation, public}); err != nil {
		return nil, err
	}
	if len(l.meta) > metaMost {
		return nil, fmt.Errorf("peers: what is told of this doorman has %d bytes, at most %d may be", len(l.meta), metaMost)
	}
	l.seeds = append(slices.Clone(cfg.Seeds), remembered(cfg.MembersFile)...)
	l.ctx, l.end = context.WithCancel(context.Background())
	at := netip.MustParseAddrPort(cfg.Listen)
	seen := at
	if cfg.Advertise != "" {
		seen = netip.MustParseAddrPort(cfg.Advertise)
	}
	c := memberlist.DefaultLANConfig()
	c.Name, c.BindAddr, c.BindPort = self.Name, at.Addr().String(), int(at.Port())
	c.AdvertiseAddr, c.AdvertisePort = seen.Addr().String(), int(seen.Port())
	c.Delegate, c.Events = delegate{l}, delegate{l}
	c.LogOutput, c.Logger = nil, log.New(io.Discard, "", 0)
	// The library's own times for a LAN. With probes twice as often and 200 ms for an answer, 300 that started on a machine which had
	// no time for all of them held each other for dead, and the gossip about that took the rest. A second probe by a connection
	// made it worse: where datagrams do not arrive there is no gossip either.
	c.TCPTimeout, c.DisableTcpPings = joinLimit, true
	// A fleet that starts has each of its N members tell each of the N that it lives: that is told half as often as the library would,
	// since what is missed then comes with the next exchange of all.
	c.RetransmitMult = 2
	c.DeadNodeReclaimTime = time.Second // a doorman that is started anew may have another address
	c.EnableCompression = false
	c.Keyring, err = memberlist.NewKeyring(cfg.keys, cfg.keys[0])
	if err != nil {
		return nil, err
	}
	inner, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{c.BindAddr}, BindPort: c.BindPort, Logger: c.Logger})
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	from := self.Bind
	if from == nil {
		from = &net.TCPAddr{IP: at.Addr().AsSlice()}
	}
	c.Transport = transport{inner, from}
	if l.list, err = memberlist.Create(c); err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	go l.join()
	go l.send()
	go l.read()
	go l.tell()
	return l, nil
}

// transport is memberlist's own, but that connections come from the doorman's address.
type transport struct {
	*memberlist.NetTransport
	from *net.TCPAddr
}

// DialTimeout connects to a member.
func (t transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, LocalAddr: t.from}
	return d.Dial("tcp", addr)
}

// DialAddressTimeout is the same.
func (t transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(a.Addr, timeout)
}

// join asks seeds to be let in. One is not enough at first: those that start together after a power cut are each other's seeds, and
// would be an island beside those that lived on. Later it asks, now and then, one that is not in view.
func (l *Transport) join() {
	began, wait, joined := time.Now(), joinFirst, 0
	// A seed takes in one after another, each with all that it knows of the others.
	select {
	case <-time.After(time.Duration(mathrand.Int64N(int64(max(1, l.self.Fleet)) * int64(joinSpread)))):
	case <-l.ctx.Done():
		return
	}
	for len(l.seeds) > 0 {
		var missing []string
		there := map[string]bool{}
		for _, n := range l.list.Members() {
			there[n.Address()] = true
		}
		early := time.Since(began) < joinFor && 2*l.list.NumMembers() < l.self.Fleet && joined < joinsMost
		for _, s := range l.seeds {
			if (early || !there[s]) && s != l.cfg.Advertise && s != l.cfg.Listen {
				missing = append(missing, s)
			}
		}
		if len(missing) > 0 {
			if n, _ := l.list.Join([]string{missing[mathrand.IntN(len(missing))]}); n > 0 { // else the next one may answer
				joined++
			}
		}
		if wait = min(joinMost, 2*wait); !early && l.list.NumMembers() > 1 {
			wait = rejoinEvery
		}
		// Jitter: those that start together do not ask the seeds together again.
		select {
		case <-time.After(wait/4 + time.Duration(mathrand.Int64N(int64(wait)))):
		case <-l.ctx.Done():
			return
		}
	}
}

// remembered reads the addresses of an earlier life; what can't be used is passed over.
func remembered(path string) (out []string) {
	if path == "" {
		return nil
	}
	text, _ := os.ReadFile(path)
	for _, word := range strings.Fields(string(text)) {
		if address(word) == nil && len(out) < rememberMost {
			out = append(out, word)
		}
	}
	return out
}

// remember writes addresses of others, the newest view's, drawn by lot so that not all doormans come to the same ones.
func (l *Transport) remember() {
	var all []string
	for _, n := range l.list.Members() {
		if n.Name != l.self.Name {
			all = append(all, n.Address())
		}
	}
	if len(all) == 0 {
		return
	}
	mathrand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	text := strings.Join(all[:min(len(all), rememberMost)], "\n") + "\n"
	next := l.cfg.MembersFile + ".new"
	err := os.WriteFile(next, []byte(text), 0o600)
	if err == nil {
		err = os.Rename(next, l.cfg.MembersFile)
	}
	if err != nil {
		l.told.Log("peer-transport-failed", "error", err)
	}
}

// Send sends a message to a member, or drops it where it can't be sent soon. It does not wait.
func (l *Transport) Send(to string, body []byte) {
	select {
	case l.out <- outgoing{to, body}:
	default:
		l.mu.Lock()
		l.counters.Dropped++
		l.mu.Unlock()
	}
}

func (l *Transport) send() {
	var places = make(chan struct{}, 16) // connections at once
	for {
		var o outgoing
		select {
		case o = <-l.out:
		case <-l.ctx.Done():
			return
		}
		l.mu.Lock()
		node := l.nodes[o.to]
		l.number++
		e := envelope{From: l.self.Name, Epoch: l.self.Incarnation, Number: l.number, To: o.to, Body: o.body}
		l.mu.Unlock()
		if node == nil {
			continue
		}
		e.Sig = l.sign(&e)
		packet, err := Encode(e)
		if err != nil || len(packet) > messageMost {
			l.told.Log("peer-transport-failed", "error", fmt.Sprintf("a message of %d bytes: %v", len(packet), err))
			continue
		}
		l.mu.Lock()
		l.counters.Messages++
		l.counters.Bytes += uint64(len(packet))
		l.mu.Unlock()
		if len(packet) <= datagramMost {
			_ = l.list.SendBestEffort(node, packet)
			continue
		}
		places <- struct{}{}
		go func() {
			_ = l.list.SendReliable(node, packet) // one that is lost is asked for again
			<-places
		}()
	}
}

// sign gives this life's signature of a message.
func (l *Transport) sign(e *envelope) []byte { return ed25519.Sign(l.private, e.signed()) }

// signed is what the signature is of.
func (e *envelope) signed() []byte {
	b, _ := Encode(envelope{From: e.From, Epoch: e.Epoch, Number: e.Number, To: e.To, Body: e.Body})
	return b
}

// read checks what has come and hands it on.
func (l *Transport) read() {
	for {
		select {
		case m := <-l.in:
			var e envelope
			to := l.self.Name
			if m.exchanged {
				to = ""
			}
			if Decode(m.packet, &e) != nil || e.To != to || !l.accept(&e) {
				l.mu.Lock()
				l.counters.Rejected++
				l.mu.Unlock()
				continue
			}
			l.told.MessageReceived(e.From, e.Body)
		case <-l.ctx.Done():
			return
		}
	}
}

func (l *Transport) accept(e *envelope) bool {
	l.mu.Lock()
	key, ok := l.view.Key(e.From, e.Epoch)
	l.mu.Unlock()
	if !ok || len(key) != ed25519.PublicKeySize || !ed25519.Verify(ed25519.PublicKey(key), e.signed(), e.Sig) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.view.AcceptMessage(e.From, e.Epoch, e.Number)
}

// tell tells who lives, a moment after it changed, so that a herd's joining is told in one.
func (l *Transport) tell() {
	var written time.Time
	for {
		select {
		case <-l.changed:
		case <-l.ctx.Done():
			return
		}
		time.Sleep(20 * time.Millisecond)
		l.mu.Lock()
		members := l.view.Members()
		l.mu.Unlock()
		l.told.MembersChanged(members)
		if l.cfg.MembersFile != "" && time.Since(written) > rememberGap {
			written = time.Now()
			l.remember()
		}
	}
}

// AnnounceShutdown tells the others that this doorman goes, for at most a time.
func (l *Transport) AnnounceShutdown(limit time.Duration) { _ = l.list.Leave(limit) }

// Close ends the link.
func (l *Transport) Close() {
	l.end()
	_ = l.list.Shutdown()
}

// SetState sets the message that goes along where two members exchange all that they know.
func (l *Transport) SetState(body []byte) {
	l.mu.Lock()
	l.state = body
	l.mu.Unlock()
}

// Status is how the link stands, for operators.
func (l *Transport) Status() (members []peer.Member, sent Counters) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.view.Members(), l.counters
}

// delegate is what memberlist calls.
type delegate struct{ *Transport }

// NodeMeta gives what is told of this doorman.
func (d delegate) NodeMeta(int) []byte { return d.meta }

// NotifyMsg takes a message; it must not wait.
func (d delegate) NotifyMsg(b []byte) {
	select {
	case d.in <- incoming{append([]byte(nil), b...), false}:
	default:
		d.mu.Lock()
		d.counters.Dropped++
		d.mu.Unlock()
	}
}

// GetBroadcasts has none.
func (d delegate) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState goes along where two members exchange all that they know, as on joining: what this doorman tells of itself.
func (d delegate) LocalState(bool) []byte {
	d.mu.Lock()
	body := d.state
	d.number++
	e := envelope{From: d.self.Name, Epoch: d.self.Incarnation, Number: d.number, Body: body}
	d.mu.Unlock()
	if body == nil {
		return nil
	}
	e.Sig = d.sign(&e)
	packet, _ := Encode(e)
	return packet
}

// MergeRemoteState takes what another has told so; its key came with the same exchange.
func (d delegate) MergeRemoteState(b []byte, _ bool) {
	if len(b) == 0 {
		return
	}
	select {
	case d.in <- incoming{append([]byte(nil), b...), true}:
	default:
	}
}

// NotifyJoin meets a member.
func (d delegate) NotifyJoin(n *memberlist.Node) { d.meet(n) }

// NotifyUpdate meets one that tells other things of itself.
func (d delegate) NotifyUpdate(n *memberlist.Node) { d.meet(n) }

// NotifyLeave parts from one.
func (d delegate) NotifyLeave(n *memberlist.Node) {
	var m meta
	if Decode(n.Meta, &m) != nil {
		return
	}
	d.mu.Lock()
	parted := d.view.Remove(n.Name, m.Epoch)
	if parted {
		delete(d.nodes, n.Name)
	}
	d.mu.Unlock()
	if parted {
		d.told.Log("peer-left", "peer", n.Name, "incarnation", m.Epoch)
		d.notice()
	}
}

func (d delegate) meet(n *memberlist.Node) {
	var m meta
	if err := Decode(n.Meta, &m); err != nil {
		return
	}
	d.mu.Lock()
	verdict := d.view.Observe(peer.Member{Name: n.Name, Zone: m.Zone, Program: m.Program, Incarnation: m.Epoch, Key: string(m.Key)})
	if verdict != peer.Conflict && verdict != peer.NoCapacity && n.Name != d.self.Name {
		copied := *n
		d.nodes[n.Name] = &copied
	}
	d.mu.Unlock()
	switch verdict {
	case peer.Joined, peer.Restarted:
		d.told.Log("peer-joined", "peer", n.Name, "zone", m.Zone, "incarnation", m.Epoch, "was", verdict)
	case peer.Conflict, peer.NoCapacity:
		d.told.Log("peer-rejected", "peer", n.Name, "zone", m.Zone, "incarnation", m.Epoch, "reason", verdict)
	}
	d.notice()
}

func (d delegate) notice() {
	select {
	case d.changed <- struct{}{}:
	default:
	}
}
