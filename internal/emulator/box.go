// Package emulator has stand-ins for what a doorman talks to: boxes, the bulletin, a name server. They are written from
// the protocols' pages, listen on loopback, and are scripted: tests, the experiments and `sloequay try` share them.
package emulator

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// ReceivedRequest is one line that a stand-in box has read.
type ReceivedRequest struct {
	Endpoint, Word, ID string
	Fields             map[string]string
	Body               string
	At                 time.Time
	Answer             func(word, fields, body string) // may be called from any goroutine, and more than once
	Conn               net.Conn
}

// heardMost bounds what a fleet remembers; beyond it the oldest half goes.
const heardMost = 1 << 17

// bodyMost is the largest body that a box reads.
const bodyMost = 64 << 20

// Endpoints is stand-in boxes: caches, trunk caches and the archive, all alike but for what their script makes of them.
type Endpoints struct {
	mu            sync.Mutex
	script        func(*ReceivedRequest)
	deaf          func(*ReceivedRequest) bool
	onControlLine func(*ReceivedRequest)
	heard         []*ReceivedRequest
	listeners     map[string]net.Listener
	conns         map[string]map[net.Conn]bool
}

// NewEndpoints makes a fleet without boxes. The script is called on a goroutine of its own for each ASK; nil answers a hit
// with the object's name as the body.
func NewEndpoints(script func(*ReceivedRequest)) *Endpoints {
	return &Endpoints{script: script, listeners: map[string]net.Listener{}, conns: map[string]map[net.Conn]bool{}}
}

// Put has a box be known by a listener that the caller serves by Serve, so that Kill and Drop find it.
func (f *Endpoints) Put(id string, ln net.Listener) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listeners[id] = ln
}

// OnControlLine has a function called with each line that is no ASK (QUIT, NOOP). With one, nothing is kept for Received.
func (f *Endpoints) OnControlLine(callback func(*ReceivedRequest)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onControlLine = callback
}

// Add starts a box at an address; port 0 picks one.
func (f *Endpoints) Add(id, address string) (net.Listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.listeners[id] = ln
	f.mu.Unlock()
	go f.Serve(id, ln)
	return ln, nil
}

// Address is where a box listens.
func (f *Endpoints) Address(id string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listeners[id].Addr().String()
}

// Kill ends a box as a dying process does: its listener closes and its connections are reset.
func (f *Endpoints) Kill(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ln := f.listeners[id]; ln != nil {
		_ = ln.Close()
	}
	f.reset(id)
}

// Drop resets the connections of a box, which goes on listening.
func (f *Endpoints) Drop(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reset(id)
}

func (f *Endpoints) reset(id string) {
	for c := range f.conns[id] {
		if tcp, ok := c.(interface{ SetLinger(int) error }); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Close ends all boxes.
func (f *Endpoints) Close() {
	f.mu.Lock()
	ids := make([]string, 0, len(f.listeners))
	for id := range f.listeners {
		ids = append(ids, id)
	}
	f.mu.Unlock()
	for _, id := range ids {
		f.Kill(id)
	}
}

// Script has the boxes act by another script from now on.
func (f *Endpoints) Script(script func(*ReceivedRequest)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.script = script
}

// StopReading says which NOOP are not answered; nil: all are.
func (f *Endpoints) StopReading(deaf func(*ReceivedRequest) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deaf = deaf
}

// Received gives what the boxes have read that fits, in the order of its coming.
func (f *Endpoints) Received(fits func(*ReceivedRequest) bool) []*ReceivedRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*ReceivedRequest
	for _, a := range f.heard {
		if fits(a) {
			out = append(out, a)
		}
	}
	return out
}

// Serve is a box on a listener of the caller's, until that is closed.
func (f *Endpoints) Serve(id string, ln net.Listener) {
	f.mu.Lock()
	if f.conns[id] == nil {
		f.conns[id] = map[net.Conn]bool{}
	}
	f.mu.Unlock()
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		f.mu.Lock()
		f.conns[id][conn] = true
		f.mu.Unlock()
		go func() {
			f.talk(id, conn)
			_ = conn.Close()
			f.mu.Lock()
			delete(f.conns[id], conn)
			f.mu.Unlock()
		}()
	}
}

// talk reads one connection's lines until it ends or says what can't be read.
func (f *Endpoints) talk(id string, conn net.Conn) {
	r := bufio.NewReader(conn)
	var writing sync.Mutex
	for {
		line, err := r.ReadString('\n')
		words := strings.Fields(line)
		if err != nil || len(words) < 2 {
			return
		}
		a := &ReceivedRequest{Endpoint: id, Word: words[0], ID: words[1], Fields: map[string]string{}, At: time.Now(), Conn: conn}
		if a.Word == "ASK" {
			if len(words) < 4 {
				return
			}
			for _, field := range strings.Split(words[2], ",") {
				name, value, _ := strings.Cut(field, "=")
				a.Fields[name] = value
			}
			var n int
			if _, err := fmt.Sscan(words[3], &n); err != nil || n < 0 || n > bodyMost {
				return
			}
			body := make([]byte, n+2)
			if _, err := io.ReadFull(r, body); err != nil {
				return
			}
			a.Body = string(body[:n])
		}
		a.Answer = func(word, fields, body string) {
			writing.Lock()
			defer writing.Unlock()
			_, _ = fmt.Fprintf(conn, "%s %s %s %d\r\n%s\r\n", a.ID, word, fields, len(body), body)
		}
		f.mu.Lock()
		script, deaf, heed := f.script, f.deaf, f.onControlLine
		if heed == nil {
			if f.heard = append(f.heard, a); len(f.heard) > heardMost {
				f.heard = append([]*ReceivedRequest(nil), f.heard[heardMost/2:]...)
			}
		}
		f.mu.Unlock()
		if heed != nil && a.Word != "ASK" {
			heed(a)
		}
		switch {
		case a.Word == "NOOP" && (deaf == nil || !deaf(a)):
			a.Answer("READY", "-", "")
		case a.Word != "ASK":
		case script != nil:
			go script(a)
		default:
			a.Answer("ACK", "tag=t1,minted=1,remark=hit", a.Fields["thing"])
		}
	}
}

// Caching is a script by which boxes hold what was filled into them, for as long as the fleet lives. A box in the
// set origins has everything.
func Caching(origins ...string) func(*ReceivedRequest) {
	var mu sync.Mutex
	held := map[string]bool{}
	return func(a *ReceivedRequest) {
		key := a.Endpoint + " " + a.Fields["thing"] + " " + a.Fields["nth"]
		mu.Lock()
		has := held[key]
		for _, origin := range origins {
			has = has || a.Endpoint == origin
		}
		filled := !has && a.Fields["via"] != ""
		if filled && len(held) < 1<<16 {
			held[key] = true
		}
		mu.Unlock()
		minted := time.Now().UnixMilli()
		switch {
		case has:
			a.Answer("ACK", fmt.Sprintf("tag=t1,minted=%d,remark=hit", minted), a.Fields["thing"])
		case filled:
			a.Answer("ACK", fmt.Sprintf("tag=t1,minted=%d,remark=filled,lag=1", minted), a.Fields["thing"])
		default:
			a.Answer("NOENT", "-", "")
		}
	}
}
