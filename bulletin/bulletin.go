// Package bulletin follows the list of boxes and the purges: numbered events, one JSON object a line.
package bulletin

import (
	"bytes"
	"fmt"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/tidwall/gjson"

	"sloequay/broker"
	"sloequay/control"
	"sloequay/loop"
)

const (
	mostLine    = 1 << 20 // the whole list of a large fleet
	mostHosts   = 4096
	quietMost   = 3500 * time.Millisecond // a line comes each second
	dialLimit   = time.Second
	retryFirst  = 100 * time.Millisecond
	retryMost   = time.Second
	latestClock = 1 << 42 // milliseconds: some hundred years from now
)

// states is what the list calls the states of a box.
var states = map[string]control.State{"up": control.Ready, "draining": control.Draining, "removed": control.Gone}

// Names gives the places of the words for location and kind.
type Names struct{ Zones, Kinds []string }

// Decode reads one event.
func (n Names) Decode(e gjson.Result) (no int64, events []broker.Event, err error) {
	if !e.IsObject() || e.Get("no").Type != gjson.Number {
		return 0, nil, fmt.Errorf("not an event with a number: %.80q", e.Raw)
	}
	no = e.Get("no").Int()
	if roster := e.Get("roster"); roster.Exists() {
		list, err := n.roster(roster)
		if err != nil {
			return no, nil, fmt.Errorf("event %d: roster: %w", no, err)
		}
		events = append(events, list)
	}
	if recall := e.Get("recall"); recall.Exists() {
		purge, err := decodeRecall(recall)
		if err != nil {
			return no, nil, fmt.Errorf("event %d: recall: %w", no, err)
		}
		events = append(events, purge)
	}
	return no, events, nil
}

func (n Names) roster(r gjson.Result) (broker.Roster, error) {
	list := broker.Roster{Whole: r.Get("whole").Bool(), Version: r.Get("seq").Uint()}
	hosts := r.Get("hosts").Array()
	if !r.Get("hosts").IsArray() || len(hosts) > mostHosts {
		return list, fmt.Errorf("hosts: expected a list of at most %d", mostHosts)
	}
	for i, h := range hosts {
		box, err := n.box(h)
		if err != nil {
			return list, fmt.Errorf("hosts[%d]: %w", i, err)
		}
		list.Boxes = append(list.Boxes, box)
	}
	return list, nil
}

// Entry is what a source of the list tells of a box, whichever source it is.
type Entry struct {
	Host, Dial, Site, Class string
	Block                   int
	State                   control.State
	Weight                  float64
	Born                    int64 // Unix millisecond of a late start, or 0
}

func (n Names) box(h gjson.Result) (broker.Box, error) {
	state, ok := states[h.Get("health").String()]
	if !ok {
		return broker.Box{}, fmt.Errorf("health %q", h.Get("health").String())
	}
	return n.Box(Entry{Host: h.Get("host").String(), Dial: h.Get("dial").String(), Site: h.Get("site").String(),
		Class: h.Get("class").String(), Block: int(h.Get("block").Int()), State: state,
		Weight: h.Get("share").Float(), Born: h.Get("born_ms").Int()})
}

// Box checks an entry. One that is gone need not tell more than its id.
func (n Names) Box(e Entry) (broker.Box, error) {
	b := broker.Box{Host: e.Host, Dial: e.Dial}
	b.Zone, b.Kind = slices.Index(n.Zones, e.Site), slices.Index(n.Kinds, e.Class)
	b.Cell, b.State, b.Weight = e.Block, e.State, e.Weight
	b.Since = time.Duration(e.Born) * time.Millisecond
	_, _, dialErr := net.SplitHostPort(e.Dial)
	switch {
	case !isHost(e.Host):
		return b, fmt.Errorf("host %q", e.Host)
	case e.Born < 0 || e.Born > latestClock:
		return b, fmt.Errorf("%s: born_ms %d", e.Host, e.Born)
	case e.State == control.Gone:
	case b.Zone < 0:
		return b, fmt.Errorf("%s: site %q is not in the settings", e.Host, e.Site)
	case b.Kind < 0:
		return b, fmt.Errorf("%s: class %q is not in the settings", e.Host, e.Class)
	case dialErr != nil:
		return b, fmt.Errorf("%s: dial: %w", e.Host, dialErr)
	}
	return b, nil
}

// isHost says whether an id can stand in a line to a depot.
func isHost(s string) bool {
	for i := range len(s) {
		if c := s[i]; c <= ' ' || c >= 0x7f || c == ',' || c == '=' {
			return false
		}
	}
	return s != "" && len(s) <= 255
}

func decodeRecall(r gjson.Result) (broker.Purge, error) {
	issued := r.Get("issued")
	if issued.Type != gjson.Number || issued.Int() < 0 || issued.Int() > latestClock {
		return broker.Purge{}, fmt.Errorf("issued %.32q", issued.Raw)
	}
	p := broker.Purge{Issued: time.Duration(issued.Int()) * time.Millisecond}
	if item := r.Get("item"); item.Exists() {
		object, err := strconv.ParseUint(item.String(), 16, 64)
		if err != nil {
			return p, fmt.Errorf("item %.32q", item.String())
		}
		if p.Object = object; object == 0 {
			p.Object = broker.ObjectZero
		}
		return p, nil
	}
	lot := r.Get("lot")
	if lot.Type != gjson.Number || lot.Int() < 0 || lot.Int() > 1<<30 {
		return p, fmt.Errorf("lot %.32q", lot.Raw)
	}
	p.Group = int(lot.Int())
	return p, nil
}

// Known decodes the events of the start.
func (n Names) Known(known gjson.Result) (last int64, events []broker.Event, err error) {
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

// Reader keeps a connection to the bulletin and resumes after the last event it has.
type Reader struct {
	Loop    *loop.Loop
	Address string
	Names   Names
	Last    int64
	Emit    func(broker.Event)
	Now     func() time.Duration
	Log     func(format string, args ...any)

	conn   *loop.Conn
	dialed bool
	heard  time.Duration
	retry  time.Duration // the wait before the next dial
	again  time.Duration // when that is
	badAt  int64         // the last event before a line that could not be read
	skip   bool          // that line came again: go on behind it
	down   bool
}

// Tick dials when there is no connection, and drops one that has gone quiet.
func (r *Reader) Tick(now time.Duration) {
	if r.Address == "" {
		return
	}
	switch {
	case r.conn != nil && now-r.heard > quietMost:
		r.lost(fmt.Errorf("nothing came for %v", now-r.heard))
	case r.conn == nil && !r.dialed && now >= r.again:
		r.dialed = true
		r.Loop.Dial("tcp", r.Address, dialLimit, r, func(err error) {
			r.dialed = false
			r.lost(err)
		})
	}
}

// lost drops the connection and sets the time of the next dial.
func (r *Reader) lost(err error) {
	if !r.down {
		r.Log("bulletin-lost: %v; resuming after event %d", err, r.Last)
	}
	r.down = true
	if r.conn != nil {
		r.conn.Close()
		r.conn = nil
	}
	r.again = r.Now() + r.retry
	r.retry = min(max(retryFirst, 2*r.retry), retryMost)
}

// Opened asks for what has happened since.
func (r *Reader) Opened(c *loop.Conn) {
	r.conn, r.dialed, r.heard = c, false, r.Now()
	c.Send([]byte("after " + strconv.FormatInt(r.Last, 10) + "\n"))
}

// Closed has the connection dialled again.
func (r *Reader) Closed(c *loop.Conn, err error) {
	if r.conn == c {
		r.conn = nil
		r.lost(fmt.Errorf("connection ended: %v", err))
	}
}

// Received takes whole lines.
func (r *Reader) Received(c *loop.Conn) {
	if r.conn != c {
		c.Used(len(c.In))
		return
	}
	r.heard = r.Now()
	used := 0
	for r.conn == c {
		end := bytes.IndexByte(c.In[used:], '\n')
		if end < 0 {
			break
		}
		line := bytes.TrimSuffix(c.In[used:used+end], []byte("\r"))
		used += end + 1
		r.line(line)
	}
	c.Used(used)
	if r.conn == c && len(c.In) > mostLine {
		r.lost(fmt.Errorf("a line of over %d bytes", mostLine))
	}
}

// line takes an event, or the number of the last one alone.
func (r *Reader) line(line []byte) {
	if len(line) == 0 {
		return
	}
	if last, err := strconv.ParseInt(string(line), 10, 64); err == nil {
		if last > r.Last && !r.skip {
			r.lost(fmt.Errorf("event %d was missed", r.Last+1))
		}
		r.settled()
		return
	}
	var no int64
	var events []broker.Event
	err := fmt.Errorf("not valid JSON: %.80q", line)
	if gjson.ValidBytes(line) {
		no, events, err = r.Names.Decode(gjson.ParseBytes(line))
	}
	switch {
	case err != nil && r.badAt == r.Last+1:
		// It came again after resuming, so it is what the bulletin has; go on without it.
		r.Log("bulletin-line: skipped: %v", err)
		r.skip = true
		if no == r.Last+1 {
			r.Last = no
		}
	case err != nil:
		r.badAt = r.Last + 1
		r.Log("bulletin-line: %v; resuming after event %d", err, r.Last)
		r.lost(err)
	case no <= r.Last:
	case no > r.Last+1 && r.Last > 0 && !r.skip:
		r.lost(fmt.Errorf("event %d came after event %d", no, r.Last))
	default:
		r.Last, r.skip = no, false
		for _, e := range events {
			r.Emit(e)
		}
		r.settled()
	}
}

// settled notes that the stream runs.
func (r *Reader) settled() {
	if r.down && r.conn != nil {
		r.Log("bulletin-back: at event %d", r.Last)
		r.down = false
	}
	if r.conn != nil {
		r.retry = 0
	}
}
