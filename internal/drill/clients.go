package drill

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"sloequay/internal/emulator"
)

// clients asks by open loop: requests come when they come, whatever became of those before.
type clients struct {
	w    *Cluster
	stop chan struct{}
	done sync.WaitGroup
	mu   sync.Mutex
	conn map[int][]*clientConn // by doorman
}

const (
	openMost = 24 // of a connection, of 32 that the protocol allows
	// crossing is how long after its sending a request that meets the close of its connection is sent again once, as the
	// protocol has it.
	crossing = 50 * time.Millisecond
	// patience is how long after its limit an answer may still come, for what the machine itself is late.
	patience = 2 * time.Second
)

func newClients(w *Cluster) *clients {
	return &clients{w: w, stop: make(chan struct{}), conn: map[int][]*clientConn{}}
}

// run sends to the doormans of one plaza until the drill is over.
func (c *clients) run(plaza int) {
	c.done.Add(1)
	go func() {
		defer c.done.Done()
		rng := c.w.rng(uint64(plaza) + 100)
		var ours []*doorman
		for _, d := range c.w.doormans {
			if d.plaza == plaza {
				ours = append(ours, d)
			}
		}
		if len(ours) == 0 {
			return
		}
		zipf := rand.NewZipf(rng, 1.1, 8, uint64(c.w.Plan.Objects-1))
		for next := time.Now(); ; {
			next = next.Add(time.Duration(rng.ExpFloat64() / (c.w.Plan.Rate * float64(len(ours))) * float64(time.Second)))
			select {
			case <-c.stop:
				return
			case <-time.After(time.Until(next)):
			}
			up := ours[:0:0]
			for _, d := range ours {
				if d.serving() {
					up = append(up, d)
				}
			}
			if len(up) > 0 {
				proxy, object, charge := up[rng.IntN(len(up))], zipf.Uint64()+1, rng.Float64() < c.w.Plan.Charges
				c.send(proxy, object, charge, c.drawCancellation(rng))
			}
		}
	}()
}

// close ends all connections. What is open then is left out of the record.
func (c *clients) close() {
	select {
	case <-c.stop:
	default:
		close(c.stop)
	}
	c.done.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, list := range c.conn {
		for _, k := range list {
			_ = k.c.Conn.Close()
		}
	}
	clear(c.conn)
}

// clientConn is a connection to a doorman.
type clientConn struct {
	c    *emulator.Client
	d    *doorman
	mu   sync.Mutex
	next uint64
	open map[uint64]*asking
	late map[uint64]bool // given up: an answer may come still
	dead bool
	// alone says that it was made for one request.
	alone bool
}

// asking is a request that waits for its answer.
type asking struct {
	r     *Request
	frame func(id uint64) []byte
	sent  time.Time
	alone bool // it has a connection to itself
}

// cancellation is whether a client leaves before it has its answer, and how.
type cancellation struct {
	cancels, closes bool
	after           time.Duration
}

// drawCancellation draws one. Without the plan's leaves nothing is drawn, so that the other draws stay as they are.
func (c *clients) drawCancellation(rng *rand.Rand) cancellation {
	if c.w.Plan.Leaves == 0 {
		return cancellation{}
	}
	after := time.Duration(rng.Float64() * float64(maxCancelDelay))
	return cancellation{cancels: rng.Float64() < c.w.Plan.Leaves, closes: rng.IntN(2) == 0, after: after}
}

// send puts one request out.
func (c *clients) send(d *doorman, object uint64, charge bool, plan cancellation) {
	id := c.w.ids.Add(1)
	r := &Request{ID: fmt.Sprintf("%016x", id), Class: "lookup", Proxy: d.n, Sent: c.w.now()}
	fields := map[string]string{"txn": r.ID, "item": fmt.Sprintf("%016x", object), "ram": fmt.Sprint(c.w.Plan.SizeKB),
		"limit": fmt.Sprint(c.w.Plan.Limit.Milliseconds())}
	if charge {
		r.Class, r.Key = "charge", fmt.Sprintf("k%d", id)
		fields["unique"] = r.Key
	}
	c.w.Record.add(func() { c.w.Record.Requests = append(c.w.Record.Requests, r) })
	a := &asking{r: r, frame: func(msg uint64) []byte { return emulator.Request(msg, r.Class, fields, "") }}
	if plan.cancels && plan.closes {
		a.alone = true
	}
	k, msg := c.put(d, a)
	if plan.cancels && k != nil {
		go c.cancelLater(k, msg, a, plan.after, plan.closes)
	}
}

// put writes a request to a connection with room, and gives that with the message's id; nil: none could be made.
func (c *clients) put(d *doorman, a *asking) (*clientConn, uint64) {
	c.mu.Lock()
	var k *clientConn
	list := c.conn[d.n][:0]
	for _, o := range c.conn[d.n] {
		o.mu.Lock()
		dead, n := o.dead, len(o.open)
		o.mu.Unlock()
		if !dead {
			list = append(list, o)
		}
		if !dead && n < openMost && !o.alone && !a.alone {
			k = o
		}
	}
	c.conn[d.n] = list
	if k == nil {
		conn, err := c.w.fabric.Dial("clients", d.name, d.listen)
		if err != nil {
			c.mu.Unlock()
			c.ended(a, "broken")
			return nil, 0
		}
		k = &clientConn{c: emulator.NewClient(conn), d: d, alone: a.alone, open: map[uint64]*asking{}, late: map[uint64]bool{}}
		c.conn[d.n] = append(c.conn[d.n], k)
		go c.read(k)
	}
	c.mu.Unlock()
	k.mu.Lock()
	k.next++
	msg := k.next
	a.sent = time.Now()
	k.open[msg] = a
	k.mu.Unlock()
	// A write that fails is seen by the reader too, which ends all that is open.
	_ = k.c.Send(a.frame(msg))
	return k, msg
}

// read takes a connection's answers until it ends.
func (c *clients) read(k *clientConn) {
	for {
		a, err := k.c.Read(time.Second)
		if err == nil {
			k.mu.Lock()
			o := k.open[a.ID]
			late := k.late[a.ID]
			delete(k.open, a.ID)
			delete(k.late, a.ID)
			k.mu.Unlock()
			if late {
				continue
			}
			if o != nil {
				c.ended(o, map[string]string{"": "served", "Overloaded": "refused"}[a.Error])
			} else {
				c.w.Record.add(func() { c.w.Record.Strays++ })
			}
			continue
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.overdue(k)
			continue
		}
		k.mu.Lock()
		k.dead = true
		open := k.open
		k.open = map[uint64]*asking{}
		k.mu.Unlock()
		_ = k.c.Conn.Close()
		select {
		case <-c.stop:
			return // the drill is over, and closed it
		default:
		}
		for _, o := range open {
			// Only a close in good order is one that a request can cross.
			if errors.Is(err, io.EOF) && time.Since(o.sent) < crossing && !o.r.Repeats && k.d.serving() {
				o.r.Repeats = true
				c.put(k.d, o)
				continue
			}
			c.ended(o, "broken")
		}
		return
	}
}

// overdue gives up what has no answer long after its time.
func (c *clients) overdue(k *clientConn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for msg, o := range k.open {
		if time.Since(o.sent) > c.w.Plan.Limit+patience {
			delete(k.open, msg)
			k.late[msg] = true
			c.ended(o, "none")
		}
	}
}

func (c *clients) ended(a *asking, end string) {
	if end == "" {
		end = "failed"
	}
	at := c.w.now()
	c.w.Record.add(func() { a.r.Answers, a.r.End, a.r.Ended = a.r.Answers+1, end, at })
}
