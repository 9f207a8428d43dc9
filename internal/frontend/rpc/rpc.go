// Package rpc is the platform's front: MessagePack-RPC over TCP. It turns frames into requests of the broker and
// final answers into frames, and decides nothing.
package rpc

import (
	"container/list"
	"errors"
	"fmt"
	"maps"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"sloequay/internal/broker"
	"sloequay/internal/eventloop"
	"sloequay/internal/frontend/connlimit"
	"sloequay/internal/frontend/rpc/msgpack"
	"sloequay/internal/identity"
	"sloequay/internal/invariant"
	"sloequay/internal/policy"
)

const (
	mostFrame  = 96 << 10 // a write of 48,000 bytes with its fields
	mostValues = 256      // of a message: twice its fields, and what they are packed in
	mostBody   = 48000
	mostText   = 256
	mostWord   = 64 // of a key or a tag
	mostPart   = 1 << 20
	mostSizeKB = 1e7
	mostLimit  = 3.6e6 // milliseconds
	smallBody  = 4096
	mostFields = 64
	mostOpen   = 32 // of one connection, as the protocol says
	mostExcess = 64 // requests beyond that in one read: who sends more does not look at the answers

	// A client whose calls identity turns away for want of a budget is paced: at each Tick some of its messages are
	// looked at, and some of all such clients' together: sixteen at once were felt in the others' 99th percentile. Who sends
	// on meanwhile is closed, and so is who can't be looked at in time.
	pacedEach = 4
	pacedAll  = 32
	pacedMost = 2 * mostFrame
	pacedWait = 2 * time.Second

	// idleAfter is longer than clients keep an idle connection, so that no request crosses the close.
	idleAfter = 6 * time.Second

	// crowdedWait is told a client that has too much open, or while memory is short.
	crowdedWait = 100 * time.Millisecond
)

// The words of the protocol.
const (
	kindRequest, kindAnswer, kindNotice = 0, 1, 2

	wordRefused   = "Overloaded"
	wordFailed    = "Internal"
	wordMalformed = "Malformed"
	wordDenied    = "Denied"
)

// Server is all client connections.
type Server struct {
	classes map[string]int
	keyed   []bool
	emit    func(broker.Event)
	now     func() time.Duration
	log     func(event string, fields ...any)
	ready   func() bool // whether new clients are wanted
	full    func() bool // whether memory is short
	lobby   *connlimit.Limiter
	paced   list.List // of *client, which wait to be looked at

	// MaxRetryAfter is the longest time to stay away that clients heed. Zero: nobody may be told one, whoever refuses.
	MaxRetryAfter time.Duration

	// Monitor checks the front's invariants at run time; nil: nothing is checked.
	Monitor *invariant.Monitor

	// Source gives what identity knows of where a client comes from. Nil: identity is off.
	Source func(remote string) *identity.Source
}

// New makes the front. most bounds its connections.
func New(classes []policy.Class, most int, emit func(broker.Event), now func() time.Duration,
	ready, full func() bool, log func(string, ...any)) *Server {
	f := &Server{classes: map[string]int{}, emit: emit, now: now, ready: ready, full: full, log: log,
		lobby: connlimit.New(most, idleAfter)}
	for i, c := range classes {
		f.classes[c.Name] = i
		f.keyed = append(f.keyed, c.Idempotency == policy.IdempotentByKey)
	}
	return f
}

// Clients is the number of connections.
func (f *Server) Clients() int { return f.lobby.Len() }

// Accept takes a new connection, or none where there is no descriptor for it.
func (f *Server) Accept(remote net.Addr) eventloop.Handler {
	return f.AcceptFrom(remote, identity.Caller{Front: "rpc"})
}

// AcceptFrom is Accept for a caller of whom something is known already.
func (f *Server) AcceptFrom(remote net.Addr, caller identity.Caller) eventloop.Handler {
	if f.Source != nil {
		if caller.Remote == "" {
			caller.Remote, _, _ = net.SplitHostPort(remote.String())
		}
		caller.Source = f.Source(caller.Remote)
	}
	c := &client{front: f, caller: caller, open: map[uint32]*broker.Request{}, msgs: map[*broker.Request]uint32{}}
	if c.guest = f.lobby.Admit(f.now(), c.evict, c.unsent); c.guest == nil {
		f.log("client-connection-limit", "front", "rpc", "from", remote)
		return nil
	}
	return c
}

// Tick closes connections that are idle or owe the rest of a message.
func (f *Server) Tick(now time.Duration) {
	if halves := f.lobby.Tick(now); halves > 0 {
		f.log("client-message-timeout", "front", "rpc", "connections", halves)
	}
	for e := f.paced.Front(); e != nil && now-e.Value.(*client).since > pacedWait; e = f.paced.Front() {
		c := e.Value.(*client)
		f.log("client-rate-limited", "from", c.caller.Remote, "waited", now-c.since)
		c.refuse = true
		c.conn.ReadAgain() // rejects what has come whole
		c.abandon()
	}
	for left, n := pacedAll, f.paced.Len(); n > 0 && left > 0; n-- { // each at most once, the rest next time
		c := f.paced.Remove(f.paced.Front()).(*client)
		c.waits, c.may = nil, min(pacedEach, left)
		left -= c.may
		c.conn.ReadAgain()
		left += c.may
		c.may = 0
	}
}

// client is one connection and what is open on it.
type client struct {
	front        *Server
	guest        *connlimit.Client
	conn         *eventloop.Conn
	open         map[uint32]*broker.Request // by message id
	msgs         map[*broker.Request]uint32
	excess       int // requests beyond mostOpen in this read
	caller       identity.Caller
	waits        *list.Element // in the front's paced
	since        time.Duration // when it began to wait there
	may          int           // messages that may be looked at though the client is paced
	waitingSince time.Duration // since when messages of it have waited without a break; 0: none waits
	came         time.Duration // when the messages that are looked at may have come at the earliest
	refuse       bool          // whole requests are rejected unread, as the connection is about to be closed
	left         bool
}

// Opened notes the connection.
func (c *client) Opened(conn *eventloop.Conn) { c.conn = conn }

// unsent is how much of its answers the client has not taken.
func (c *client) unsent() int {
	if c.conn == nil {
		return 0
	}
	return c.conn.Unsent()
}

// CloseIdle closes the connections on which nothing is open, none of an answer is on its way and no request has begun.
func (f *Server) CloseIdle() { f.lobby.CloseIdle() }

// Abandon gives up a client whose connection never came to be.
func Abandon(h eventloop.Handler) {
	if c, ok := h.(*client); ok {
		c.leave()
	}
}

// Closed withdraws all that is open.
func (c *client) Closed(*eventloop.Conn, error) { c.leave() }

// leave closes the connection: nobody waits for what is open on it.
func (c *client) leave() {
	if c.left {
		return
	}
	c.left = true
	if c.waits != nil {
		c.front.paced.Remove(c.waits)
		c.waits = nil
	}
	c.guest.Remove()
	for _, r := range c.open {
		r.Canceled = true
		c.front.emit(broker.RequestCanceled{Request: r})
	}
	c.open, c.msgs = nil, nil
	if c.conn != nil {
		c.conn.Close()
	}
}

// evict closes the connection of a client that has nothing open, for another client or for the end of its time.
func (c *client) evict() {
	if len(c.open) > 0 {
		c.front.Monitor.Violated(invariant.NothingOpenAtClose, c.caller.Remote)
	}
	c.leave()
	if c.conn != nil {
		c.conn.CloseNow()
	}
}

// abandon ends the connection of a client that can't be understood any more. What it asked before was well-formed and is owed an
// answer; it is not served, as nobody can tell which answer such a client takes for which.
func (c *client) abandon() {
	for _, msg := range slices.Sorted(maps.Keys(c.open)) {
		c.fail(msg, wordFailed, nil)
	}
	c.leave()
}

// Received takes the messages that have come whole.
func (c *client) Received(conn *eventloop.Conn) {
	c.excess = 0
	used, now, held := 0, c.front.now(), false
	c.came = now - conn.ReadLag()
	if c.waitingSince != 0 {
		c.came = min(c.came, c.waitingSince)
	}
	for used < len(conn.In) && !c.left {
		if held = c.hold(now); held {
			break
		}
		r := msgpack.Reader{Data: conn.In[used:], MaxElements: mostFrame, Values: mostValues}
		done, err := c.frame(&r)
		if errors.Is(err, msgpack.ErrShort) {
			break
		}
		if err != nil {
			c.front.log("client-protocol-error", "error", err, "open", len(c.open))
			c.abandon()
		}
		used += done
	}
	switch {
	case !held:
		c.waitingSince = 0
	case c.waitingSince == 0:
		c.waitingSince = c.came
	}
	if held && len(conn.In)-used > pacedMost {
		c.front.log("client-rate-limited", "from", c.caller.Remote, "bytes", len(conn.In)-used)
		c.rejectUnread(conn.In[used:])
		c.abandon()
	}
	if c.left {
		used = len(conn.In)
	}
	if conn.Consume(used); held && used == 0 {
		conn.DeferRead() // what was left over is whole, as far as is known
		return
	}
	c.guest.Received(now, used > 0, len(conn.In) > 0 && !held)
	c.busy()
}

// rejectUnread rejects the requests that have come whole and were not looked at: they were read, so that each is owed an
// answer.
func (c *client) rejectUnread(data []byte) {
	c.refuse = true
	for len(data) > 0 {
		r := msgpack.Reader{Data: data, MaxElements: mostFrame, Values: mostValues}
		used, err := c.frame(&r)
		if err != nil {
			return
		}
		data = data[used:]
	}
}

// hold says whether the rest of what came has to wait, and has it looked at later.
func (c *client) hold(now time.Duration) bool {
	if c.refuse || c.front.Source == nil || !c.caller.Paced(now) {
		return false
	}
	if c.may > 0 {
		c.may--
		return false
	}
	if c.waits == nil {
		c.waits, c.since = c.front.paced.PushBack(c), now
	}
	return true
}

// busy has an open request keep the connection.
func (c *client) busy() { c.guest.Busy(c.front.now(), len(c.open) > 0) }

// frame takes one whole message off r. An error means that the connection can't go on.
func (c *client) frame(r *msgpack.Reader) (int, error) {
	n, kind := r.Array(), r.Uint()
	switch {
	case r.Err != nil:
		return 0, r.Err
	case n == 4 && kind == kindRequest:
		return c.request(r)
	case n == 3 && kind == kindNotice:
		return c.notice(r)
	}
	return 0, fmt.Errorf("message of kind %d with %d elements", kind, n)
}

func (c *client) request(r *msgpack.Reader) (int, error) {
	id := r.Uint()
	if r.Err != nil || id > 0xffffffff {
		return 0, errors.Join(r.Err, idError(id))
	}
	msg := uint32(id)
	start := r.Pos
	r.Skip() // method
	r.Skip() // params
	if r.Err != nil {
		// The id is known: say so before the connection ends.
		if !errors.Is(r.Err, msgpack.ErrShort) {
			c.fail(msg, wordMalformed, nil)
		}
		return 0, r.Err
	}
	end := r.Pos
	p := msgpack.Reader{Data: r.Data[:end], Pos: start}
	if c.refuse {
		c.reject(msg, broker.Response{})
		return end, nil
	}
	method := string(p.Text(mostText))
	if p.Err == nil && method == "status" {
		c.conn.Send(msgpack.AppendMap(msgpack.AppendBool(msgpack.AppendArray(
			msgpack.AppendNil(answerHead(msg)), 2), c.front.ready()), 0))
		return end, nil
	}
	req, err := c.parse(method, &p)
	switch {
	case err != nil:
		c.front.log("client-bad-request", "message", msg, "error", err)
		c.fail(msg, wordMalformed, nil)
	case c.open[msg] != nil:
		c.front.log("client-duplicate-id", "message", msg)
		return end, fmt.Errorf("message id %d used twice", msg)
	case len(c.open) >= mostOpen || c.front.full():
		c.reject(msg, broker.Response{RetryAfter: min(crowdedWait, c.front.MaxRetryAfter)})
		if c.excess++; c.excess > mostExcess {
			return end, fmt.Errorf("%d requests beyond the %d that may be open", c.excess, mostOpen)
		}
	default:
		c.open[msg], c.msgs[req] = req, msg
		c.front.emit(broker.RequestReceived{Request: req})
	}
	return end, nil
}

func idError(id uint64) error {
	if id > 0xffffffff {
		return fmt.Errorf("message id %d", id)
	}
	return nil
}

// notice takes a withdraw: [2, "withdraw", [ID]].
func (c *client) notice(r *msgpack.Reader) (int, error) {
	start := r.Pos
	r.Skip()
	r.Skip()
	if r.Err != nil {
		return 0, r.Err
	}
	p := msgpack.Reader{Data: r.Data[:r.Pos], Pos: start}
	method := string(p.Text(mostText))
	if n := p.Array(); p.Err != nil || method != "withdraw" || n != 1 {
		return r.Pos, nil // a notice is owed no answer, and an unknown one does no harm
	}
	id := p.Uint()
	if req := c.open[uint32(id)]; p.Err == nil && id <= 0xffffffff && req != nil {
		delete(c.open, uint32(id))
		delete(c.msgs, req)
		req.Canceled = true
		c.front.emit(broker.RequestCanceled{Request: req})
	}
	return r.Pos, nil
}

// parse checks the fields of a request.
func (c *client) parse(method string, p *msgpack.Reader) (*broker.Request, error) {
	class, known := c.front.classes[method]
	if p.Err == nil && !known {
		return nil, fmt.Errorf("unknown method %q", method)
	}
	if n := p.Array(); p.Err == nil && n != 2 {
		return nil, fmt.Errorf("%d parameters, expected 2", n)
	}
	pairs := p.Map()
	if p.Err == nil && pairs > mostFields {
		return nil, fmt.Errorf("%d fields, at most %d expected", pairs, mostFields)
	}
	fields := map[string]string{}
	for ; pairs > 0 && p.Err == nil; pairs-- {
		name := string(p.Text(mostText))
		most := uint32(mostText)
		if name == "token" {
			most = identity.MaxTokenBytes
		}
		fields[name] = string(p.Text(most))
	}
	body := p.Binary(mostBody)
	if p.Err != nil {
		return nil, p.Err
	}
	r := &broker.Request{Frontend: c, ID: fields["txn"], Class: class, Team: fields["team"], ObjectName: fields["item"],
		Token: fields["token"], Caller: &c.caller, Key: fields["unique"], ETag: fields["got"], MarkedRetry: fields["second"] == "1", Body: append([]byte(nil), body...), ReceivedAt: c.came}
	if !isHex16(r.ID) {
		return nil, fmt.Errorf("txn %q: expected 16 hex digits", r.ID)
	}
	for _, f := range []string{r.Key, r.ETag} {
		if !isWord(f) {
			return nil, fmt.Errorf("field %.80q: not a plain word", f)
		}
	}
	if c.front.keyed[class] && r.Key == "" {
		return nil, errors.New("unique: missing in a keyed class")
	}
	if !isHex16(r.ObjectName) {
		return nil, fmt.Errorf("item %q: expected 16 hex digits", r.ObjectName)
	}
	r.Object, _ = strconv.ParseUint(r.ObjectName, 16, 64)
	if r.Object == 0 {
		r.Object = broker.ObjectZero
	}
	limit, err := number(fields, "limit", 1, mostLimit, "")
	nth, err1 := number(fields, "nth", 0, mostPart, "0")
	batch, err2 := number(fields, "batch", 0, 255, "0")
	ram, err3 := number(fields, "ram", 0, mostSizeKB, "0")
	if err := errors.Join(err, err1, err2, err3); err != nil {
		return nil, err
	}
	if nth != math.Trunc(nth) || batch != math.Trunc(batch) {
		return nil, fmt.Errorf("nth %g, batch %g: expected whole numbers", nth, batch)
	}
	r.Timeout = time.Duration(limit * float64(time.Millisecond))
	r.Part, r.Group, r.SizeKB = int(nth), int(batch), ram
	return r, nil
}

// number reads a plain decimal that must lie between least and most; absent is what a missing one stands for.
func number(fields map[string]string, name string, least, most float64, absent string) (float64, error) {
	text, ok := fields[name]
	if !ok {
		text = absent
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || strings.Trim(text, "0123456789.") != "" || !(v >= least && v <= most) {
		return 0, fmt.Errorf("%s %.80q: expected a number from %g to %g", name, text, least, most)
	}
	return v, nil
}

func isHex16(s string) bool {
	for i := range len(s) {
		if c := s[i]; (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return len(s) == 16
}

// isWord says whether a text may stand in a line to a depot. What a depot can't read has it close the connection, and
// costs every other request on it.
func isWord(s string) bool {
	for i := range len(s) {
		c := s[i]
		letter := c|0x20 >= 'a' && c|0x20 <= 'z'
		if !letter && (c < '0' || c > '9') && c != '-' && c != '_' && c != '.' && c != ':' {
			return false
		}
	}
	return len(s) <= mostWord
}

// Respond answers a request.
func (c *client) Respond(r *broker.Request, f broker.Response) {
	msg, ok := c.msgs[r]
	if !ok {
		if !c.left && !r.Canceled {
			c.front.Monitor.Violated(invariant.OneResponse, r.ID)
		}
		return
	}
	delete(c.msgs, r)
	delete(c.open, msg)
	defer c.busy() // once the answer is on its way
	if f.Kind == broker.ResponseServed && len(f.Body) > smallBody && c.front.full() {
		// Clients that do not read hold the memory. A short answer that says so is better than none at all.
		f.Kind = broker.ResponseFailed
	}
	switch f.Kind {
	case broker.ResponseServed, broker.ResponseNotModified:
		b := msgpack.AppendArray(msgpack.AppendNil(answerHead(msg)), 2)
		b = msgpack.AppendBinaryHead(b, len(f.Body))
		fields := f.Fields
		if f.Kind == broker.ResponseNotModified {
			fields = append(fields[:len(fields):len(fields)], broker.Field{Name: "ok304", Value: "1"})
		}
		c.conn.Send(b, f.Body, appendFields(nil, fields))
	case broker.ResponseRejected:
		c.reject(msg, f)
	case broker.ResponseFailed:
		c.fail(msg, wordFailed, nil)
	case broker.ResponseDenied:
		c.fail(msg, wordDenied, []broker.Field{{Name: "reason", Value: f.Reason}})
	}
}

// answerHead begins the frame of an answer, up to its error.
func answerHead(msg uint32) []byte {
	return msgpack.AppendUint(msgpack.AppendUint(msgpack.AppendArray(nil, 4), kindAnswer), uint64(msg))
}

// reject says that a further try is harmless, and when it is welcome.
func (c *client) reject(msg uint32, f broker.Response) {
	var fields []broker.Field
	if f.RetryAfter > 0 && c.front.MaxRetryAfter > 0 {
		later := (f.RetryAfter + time.Millisecond - 1) / time.Millisecond
		fields = append(fields, broker.Field{Name: "later", Value: strconv.FormatInt(int64(later), 10)})
	}
	if f.Budget != "" {
		fields = append(fields, broker.Field{Name: "budget", Value: f.Budget})
	}
	c.fail(msg, wordRefused, fields)
}

func (c *client) fail(msg uint32, word string, fields []broker.Field) {
	b := msgpack.AppendText(msgpack.AppendArray(answerHead(msg), 2), word)
	c.conn.Send(msgpack.AppendNil(appendFields(b, fields)))
}

func appendFields(b []byte, fields []broker.Field) []byte {
	b = msgpack.AppendMap(b, len(fields))
	for _, f := range fields {
		b = msgpack.AppendText(msgpack.AppendText(b, f.Name), f.Value)
	}
	return b
}
