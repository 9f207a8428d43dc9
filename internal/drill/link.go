package drill

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Link is how bytes travel from one end to another: one direction of one pair. The zero value is sound.
type Link struct {
	Cut    bool          // nothing arrives, and nothing says so
	Refuse bool          // new connections are reset as soon as they are made
	Delay  time.Duration // of each piece
	Jitter time.Duration // beyond Delay, by lot
	Loss   float64       // share of pieces lost: of TCP they come again after resend, of UDP never
	Twice  float64       // share of datagrams that come twice
	Swap   float64       // share of datagrams that come behind the next ones
	Pace   float64       // bytes a second; 0: any
}

const (
	// resend is what a lost segment costs a TCP stream: the least retransmission time of Linux.
	resend = 200 * time.Millisecond
	// look is how often what is held up looks whether it may go on.
	look      = 5 * time.Millisecond
	pieceMost = 32 << 10
	queueMost = 256 // pieces that wait for their time in one direction of one connection
)

// rule is a link for all pairs between two sets of ends. Later rules go first.
type rule struct {
	from, to map[string]bool // nil: any
	link     Link
}

// Fabric is all links between the ends of a drill. Ends are known by their IP address, so each process binds its own when
// it dials. A connection passes the fabric at the listening side: Listen and Relay see who dials.
//
// What it can't play, as it runs over sound loopback sockets: a dial over a cut link succeeds and then hears nothing, where
// on a real network it would time out; a refusal is a reset right after the connection was made.
type Fabric struct {
	mu    sync.Mutex
	ends  map[netip.Addr]string
	rules []*rule
	memo  map[[2]string]Link // dropped when a rule comes or goes
	conns map[*linked]bool
	rng   *rand.Rand
	made  func(from, to string)    // a connection was made
	sent  func(from string, n int) // bytes of a doorman to others; nil: nobody counts
	began time.Time                // of the drill
}

// NewFabric makes one without ends. made is told of each connection.
func NewFabric(seed uint64, made func(from, to string)) *Fabric {
	return &Fabric{ends: map[netip.Addr]string{}, memo: map[[2]string]Link{}, conns: map[*linked]bool{},
		rng: rand.New(rand.NewPCG(seed, 1)), made: made}
}

// Join gives an address its end's name.
func (f *Fabric) Join(address, end string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ends[netip.MustParseAddr(address)] = end
}

// Set puts a rule in force, and returns what takes it back.
func (f *Fabric) Set(from, to map[string]bool, link Link) (lift func()) {
	r := &rule{from, to, link}
	f.mu.Lock()
	f.rules = append(f.rules, r)
	clear(f.memo)
	f.mu.Unlock()
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		for i := range f.rules {
			if f.rules[i] == r {
				f.rules = append(f.rules[:i:i], f.rules[i+1:]...)
				break
			}
		}
		clear(f.memo)
	}
}

// Reset resets the connections that stand between two sets of ends, whoever dialled.
func (f *Fabric) Reset(a, b map[string]bool) {
	f.mu.Lock()
	var hit []*linked
	for c := range f.conns {
		if a[c.from] && b[c.to] || a[c.to] && b[c.from] {
			hit = append(hit, c)
		}
	}
	f.mu.Unlock()
	for _, c := range hit {
		reset(c.Conn)
		_ = c.Close()
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// link gives the link of a pair in force.
func (f *Fabric) link(from, to string) Link {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := [2]string{from, to}
	l, known := f.memo[key]
	if !known {
		for _, r := range f.rules {
			if (r.from == nil || r.from[from]) && (r.to == nil || r.to[to]) {
				l = r.link
			}
		}
		f.memo[key] = l
	}
	return l
}

// passed counts what a doorman sends to others.
func (f *Fabric) passed(from string, n int) {
	if f.sent != nil {
		f.sent(from, n)
	}
}

// chance draws by lot.
func (f *Fabric) chance(p float64) bool {
	if p <= 0 {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Float64() < p
}

func (f *Fabric) late(l Link) time.Duration {
	d := l.Delay
	if l.Jitter > 0 {
		f.mu.Lock()
		d += time.Duration(f.rng.Int64N(int64(l.Jitter)))
		f.mu.Unlock()
	}
	return d
}

// who names the end that an address is of.
func (f *Fabric) who(a net.Addr) string {
	ap, err := netip.ParseAddrPort(a.String())
	if err != nil {
		return "?"
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if end := f.ends[ap.Addr().Unmap()]; end != "" {
		return end
	}
	return "?"
}

// Listen listens for an end that lives in this process. The connections it accepts have the links' faults.
func (f *Fabric) Listen(end, address string) (net.Listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &listener{ln, f, end}, nil
}

type listener struct {
	net.Listener
	fabric *Fabric
	end    string
}

// Accept gives the next connection that the links let in.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		from := l.fabric.who(conn.RemoteAddr())
		l.fabric.made(from, l.end)
		if l.fabric.link(from, l.end).Refuse {
			reset(conn)
			continue
		}
		return l.fabric.wrap(conn, from, l.end), nil
	}
}

// Dial connects an end of this process to one that listens by itself.
func (f *Fabric) Dial(from, to, address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return f.wrap(conn, to, from), nil
}

func (f *Fabric) wrap(conn net.Conn, from, to string) *linked {
	c := &linked{Conn: conn, fabric: f, from: from, to: to, gone: make(chan struct{})}
	f.mu.Lock()
	f.conns[c] = true
	f.mu.Unlock()
	return c
}

// linked is a connection whose bytes travel by the links: Read gives those from its far end, Write sends to it.
type linked struct {
	net.Conn
	fabric   *Fabric
	from, to string // from is the far end

	once sync.Once
	gone chan struct{}
	mu   sync.Mutex
	out  chan piece // nil until a piece had to wait
	err  error
	end  time.Time // when the far end closed, whether or not the links let that be known; zero: it has not
}

// over is when the connection ended, in the drill's time; 0: it has not.
func (c *linked) over() time.Duration {
	if c == nil {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.end.IsZero() {
		return 0
	}
	return max(1, c.end.Sub(c.fabric.began))
}

func (c *linked) ended() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.end.IsZero() {
		c.end = time.Now()
	}
}

// piece is bytes with the time that they arrive at.
type piece struct {
	at   time.Time
	data []byte
}

// Source names the far end.
func (c *linked) Source() string { return c.from }

// pass waits until bytes may go on by a link, and says whether the connection still stands. The time that bytes take counts
// from when it is called: what comes while one piece waits makes up the next, so that a piece is late by once to twice the
// delay.
func (c *linked) pass(from, to string, n int) bool {
	l := c.fabric.link(from, to)
	wait := c.fabric.late(l)
	if c.fabric.chance(l.Loss) {
		wait += resend
	}
	if l.Pace > 0 {
		wait += time.Duration(float64(n) / l.Pace * float64(time.Second))
	}
	if wait > 0 && !c.sleep(wait) {
		return false
	}
	for c.fabric.link(from, to).Cut {
		if !c.sleep(look) {
			return false
		}
	}
	return true
}

func (c *linked) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.gone:
		return false
	}
}

// Read gives what has come from the far end, once it has arrived.
func (c *linked) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b[:min(len(b), pieceMost)])
	if n > 0 && !c.pass(c.from, c.to, n) {
		return 0, net.ErrClosed
	}
	var timeout net.Error
	if err != nil && (!errors.As(err, &timeout) || !timeout.Timeout()) {
		c.ended()
	}
	if n == 0 && err != nil {
		for c.fabric.link(c.from, c.to).Cut { // nor does the end of the connection arrive
			if !c.sleep(look) {
				break
			}
		}
	}
	return n, err
}

// Write sends to the far end. It does not wait for the link: the bytes of a connection queue behind one another.
func (c *linked) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return 0, c.err
	}
	if c.out == nil {
		if c.fabric.link(c.to, c.from) == (Link{}) {
			return c.Conn.Write(b)
		}
		c.out = make(chan piece, queueMost)
		go c.send()
	}
	select {
	case c.out <- piece{time.Now(), append([]byte(nil), b...)}:
		return len(b), nil
	case <-c.gone:
		return 0, net.ErrClosed
	}
}

func (c *linked) send() {
	for {
		var p piece
		select {
		case p = <-c.out:
		case <-c.gone:
			return
		}
		for more := true; more && len(p.data) < pieceMost; { // what has queued meanwhile goes along
			select {
			case next := <-c.out:
				p.data = append(p.data, next.data...)
			default:
				more = false
			}
		}
		if !c.pass(c.to, c.from, len(p.data)) {
			return
		}
		if _, err := c.Conn.Write(p.data); err != nil {
			c.mu.Lock()
			c.err = err
			c.mu.Unlock()
			return
		}
	}
}

// Close ends the connection.
func (c *linked) Close() error {
	c.ended()
	c.once.Do(func() {
		close(c.gone)
		c.fabric.mu.Lock()
		delete(c.fabric.conns, c)
		c.fabric.mu.Unlock()
	})
	return c.Conn.Close()
}

// SetLinger is that of the socket, so that a close can be made a reset.
func (c *linked) SetLinger(sec int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(sec)
	}
	return nil
}
