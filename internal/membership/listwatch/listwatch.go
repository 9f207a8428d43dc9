// Package listwatch follows the list of boxes and the purges: numbered events, one JSON object a line.
package listwatch

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/tidwall/gjson"

	"sloequay/internal/eventloop"
	"sloequay/internal/membership"
)

const (
	maxLineBytes = 1 << 20 // the whole list of a large fleet
	maxEndpoints = 4096
	// maxSilence is how long a connection may say nothing: a line comes each second. What a bulletin that stopped would
	// have told counts as told 4 s later, and there is a dial and a drain's own second to come.
	maxSilence    = 1600 * time.Millisecond
	dialTimeout   = time.Second
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
	maxIssuedMS   = 1 << 42 // milliseconds: some hundred years from now
)

// endpointStates is what the list calls the states of a box.
var endpointStates = map[string]membership.State{"up": membership.Up, "draining": membership.Draining,
	"removed": membership.Gone}

// Decoder decodes events for one source of the list.
type Decoder struct {
	membership.Names
	Source int
}

// Decode reads one event.
func (n Decoder) Decode(e gjson.Result) (no int64, events []membership.SourceEvent, err error) {
	if !e.IsObject() || e.Get("no").Type != gjson.Number {
		return 0, nil, fmt.Errorf("not an event with a number: %.80q", e.Raw)
	}
	no = e.Get("no").Int()
	if roster := e.Get("roster"); roster.Exists() {
		list, err := n.decodeList(roster)
		if err != nil {
			return no, nil, fmt.Errorf("event %d: roster: %w", no, err)
		}
		events = append(events, list)
	}
	if recall := e.Get("recall"); recall.Exists() {
		purge, err := decodePurge(recall)
		if err != nil {
			return no, nil, fmt.Errorf("event %d: recall: %w", no, err)
		}
		events = append(events, purge)
	}
	return no, events, nil
}

func (n Decoder) decodeList(r gjson.Result) (membership.SourceEvent, error) {
	hosts := r.Get("hosts").Array()
	if !r.Get("hosts").IsArray() || len(hosts) > maxEndpoints {
		return nil, fmt.Errorf("hosts: expected a list of at most %d", maxEndpoints)
	}
	boxes := make([]membership.Endpoint, 0, len(hosts))
	for i, h := range hosts {
		box, err := n.decodeEndpoint(h)
		if err != nil {
			return nil, fmt.Errorf("hosts[%d]: %w", i, err)
		}
		boxes = append(boxes, box)
	}
	version := r.Get("seq").Uint()
	if r.Get("whole").Bool() {
		return membership.ListReceived{Source: n.Source, List: membership.List{Version: version, Endpoints: boxes}}, nil
	}
	return membership.DeltaReceived{Source: n.Source, Version: version, Endpoints: boxes}, nil
}

func (n Decoder) decodeEndpoint(h gjson.Result) (membership.Endpoint, error) {
	state, ok := endpointStates[h.Get("health").String()]
	if !ok {
		return membership.Endpoint{}, fmt.Errorf("health %q", h.Get("health").String())
	}
	return n.Endpoint(membership.Entry{ID: h.Get("host").String(), Address: h.Get("dial").String(),
		Zone: h.Get("site").String(), Kind: h.Get("class").String(), Cell: int(h.Get("block").Int()), State: state,
		Weight: h.Get("share").Float(), StartedAtMS: h.Get("born_ms").Int()})
}

func decodePurge(r gjson.Result) (membership.PurgeReceived, error) {
	issued := r.Get("issued")
	if issued.Type != gjson.Number || issued.Int() < 0 || issued.Int() > maxIssuedMS {
		return membership.PurgeReceived{}, fmt.Errorf("issued %.32q", issued.Raw)
	}
	p := membership.PurgeReceived{Issued: time.Duration(issued.Int()) * time.Millisecond}
	if item := r.Get("item"); item.Exists() {
		object, err := strconv.ParseUint(item.String(), 16, 64)
		if err != nil {
			return p, fmt.Errorf("item %.32q", item.String())
		}
		p.IsObject = true
		p.Object = object
		return p, nil
	}
	lot := r.Get("lot")
	if lot.Type != gjson.Number || lot.Int() < 0 || lot.Int() > 1<<30 {
		return p, fmt.Errorf("lot %.32q", lot.Raw)
	}
	p.Group = int(lot.Int())
	return p, nil
}

// DecodeInitial decodes the events of the start.
func (n Decoder) DecodeInitial(known gjson.Result) (last int64, events []membership.SourceEvent, err error) {
	if !known.Exists() {
		return 0, nil, nil
	}
	if known.Get("no").Type != gjson.Number || !known.Get("items").IsArray() {
		return 0, nil, fmt.Errorf("known: expected no and items")
	}
	for _, item := range known.Get("items").Array() {
		_, more, err := n.Decode(item)
		if err != nil {
			return 0, nil, fmt.Errorf("known: %w", err)
		}
		events = append(events, more...)
	}
	return known.Get("no").Int(), events, nil
}

// CountEndpoints is the number of entries of boxes in events.
func CountEndpoints(events []membership.SourceEvent) (n int) {
	for _, e := range events {
		switch e := e.(type) {
		case membership.ListReceived:
			n += len(e.List.Endpoints)
		case membership.DeltaReceived:
			n += len(e.Endpoints)
		}
	}
	return n
}

// Watcher keeps a connection to the bulletin and resumes after the last event it has.
type Watcher struct {
	Loop      *eventloop.Loop
	Address   string // empty: there is none
	Decoder   Decoder
	LastEvent int64
	Publish   func(membership.SourceEvent)
	Now       func() time.Duration
	Log       func(event string, fields ...any)

	session        *session // nil: none, and the next dial is due at again
	retryDelay     time.Duration
	nextDialAt     time.Duration
	malformedEvent int64 // the last event before a line that could not be read
	skipping       bool  // that line came again: go on behind it
	stale          bool
}

// session is one connection to the bulletin, or the dial of one. What comes on any but the Reader's own is dropped.
type session struct {
	watcher    *Watcher
	conn       *eventloop.Conn // nil while it is dialled
	receivedAt time.Duration
}

// Tick dials when there is no connection, and drops one that has gone quiet.
func (r *Watcher) Tick(now time.Duration) {
	switch s := r.session; {
	case s != nil && s.conn != nil && now-s.receivedAt > maxSilence:
		r.disconnect(fmt.Errorf("nothing came for %v", now-s.receivedAt))
	case s == nil && r.Address != "" && now >= r.nextDialAt:
		s = &session{watcher: r}
		r.session = s
		r.Loop.Dial("tcp", r.Address, dialTimeout, s, func(err error) {
			if r.session == s {
				r.disconnect(err)
			}
		})
	}
}

// SwitchTo goes over to another address and asks there for what has happened since the last event. The numbers go on.
func (r *Watcher) SwitchTo(address string) {
	if address == r.Address {
		return
	}
	r.drop()
	r.Address, r.retryDelay, r.nextDialAt = address, 0, 0
	r.Tick(r.Now())
}

func (r *Watcher) drop() {
	if s := r.session; s != nil && s.conn != nil {
		s.conn.Close()
	}
	r.session = nil
}

// disconnect drops the connection and sets the time of the next dial.
func (r *Watcher) disconnect(err error) {
	if !r.stale {
		r.Log("endpoint-list-stale", "error", err, "after", r.LastEvent)
		r.Publish(membership.SourceStatus{Source: r.Decoder.Source, Silent: true})
	}
	r.stale = true
	r.drop()
	r.nextDialAt = r.Now() + r.retryDelay
	r.retryDelay = min(max(minRetryDelay, 2*r.retryDelay), maxRetryDelay)
}

// Opened asks for what has happened since.
func (s *session) Opened(c *eventloop.Conn) {
	if s.watcher.session != s { // the dial of an address that is not followed any more
		c.Close()
		return
	}
	s.conn, s.receivedAt = c, s.watcher.Now()
	c.Send([]byte("after " + strconv.FormatInt(s.watcher.LastEvent, 10) + "\n"))
}

// Closed has the connection dialled again.
func (s *session) Closed(_ *eventloop.Conn, err error) {
	if s.watcher.session == s {
		s.watcher.disconnect(fmt.Errorf("connection ended: %v", err))
	}
}

// Received takes whole lines.
func (s *session) Received(c *eventloop.Conn) {
	r := s.watcher
	s.receivedAt = r.Now()
	used := 0
	for r.session == s {
		end := bytes.IndexByte(c.In[used:], '\n')
		if end < 0 {
			break
		}
		line := bytes.TrimSuffix(c.In[used:used+end], []byte("\r"))
		used += end + 1
		r.handleLine(line)
	}
	if r.session != s { // nothing more of it counts
		used = len(c.In)
	}
	c.Consume(used)
	if len(c.In) > maxLineBytes {
		r.disconnect(fmt.Errorf("a line of over %d bytes", maxLineBytes))
	}
}

// handleLine takes an event, or the number of the last one alone.
func (r *Watcher) handleLine(line []byte) {
	if len(line) == 0 {
		return
	}
	if last, err := strconv.ParseInt(string(line), 10, 64); err == nil {
		if last > r.LastEvent && !r.skipping {
			r.disconnect(fmt.Errorf("event %d was missed", r.LastEvent+1))
		}
		r.caughtUp()
		return
	}
	var no int64
	var events []membership.SourceEvent
	err := fmt.Errorf("not valid JSON: %.80q", line)
	if gjson.ValidBytes(line) {
		no, events, err = r.Decoder.Decode(gjson.ParseBytes(line))
	}
	switch {
	case err != nil && r.malformedEvent == r.LastEvent+1:
		// It came again after resuming, so it is what the bulletin has; go on without it.
		r.Log("endpoint-list-event-skipped", "error", err)
		r.skipping = true
		if no == r.LastEvent+1 {
			r.LastEvent = no
		}
	case err != nil:
		r.malformedEvent = r.LastEvent + 1
		r.Log("endpoint-list-bad-event", "error", err, "after", r.LastEvent)
		r.disconnect(err)
	case no <= r.LastEvent:
	case no > r.LastEvent+1 && r.LastEvent > 0 && !r.skipping:
		r.disconnect(fmt.Errorf("event %d came after event %d", no, r.LastEvent))
	default:
		r.LastEvent, r.skipping = no, false
		for _, e := range events {
			r.Publish(e)
		}
		r.caughtUp()
	}
}

// caughtUp notes that the stream runs.
func (r *Watcher) caughtUp() {
	if r.session == nil {
		return
	}
	r.Publish(membership.SourceStatus{Source: r.Decoder.Source})
	if r.retryDelay = 0; r.stale {
		r.Log("endpoint-list-resumed", "at", r.LastEvent)
		r.stale = false
	}
}

// FetchOnce connects once and gives the events after one that are there by the first line that tells the last number, or within
// limit.
func (n Decoder) FetchOnce(address string, after int64, limit time.Duration) (events []membership.SourceEvent, err error) {
	end := time.Now().Add(limit)
	conn, err := net.DialTimeout("tcp", address, limit)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(end); err != nil {
		return nil, err
	}
	if _, err := fmt.Fprintf(conn, "after %d\n", after); err != nil {
		return nil, err
	}
	lines := bufio.NewScanner(conn)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		line := bytes.TrimSpace(lines.Bytes())
		if _, err := strconv.ParseInt(string(line), 10, 64); err == nil {
			return events, nil
		}
		if !gjson.ValidBytes(line) {
			return events, fmt.Errorf("not valid JSON: %.80q", line)
		}
		_, more, err := n.Decode(gjson.ParseBytes(line))
		if err != nil {
			return events, err
		}
		events = append(events, more...)
	}
	if err := lines.Err(); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return events, err
	}
	return events, nil
}
