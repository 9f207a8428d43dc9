// Package emulator plays what a proxy talks to: endpoints, clients, and an authority for certificates. Its parts are
// written from the protocols' pages, listen on loopback and are scripted: tests, drills and `sloequay try` share them.
package emulator

import (
	"net"
	"sync"
)

// maxReceived bounds how many lines Received can give; beyond it the oldest half goes.
const maxReceived = 1 << 17

// Endpoints is emulated endpoints: caches, parents and the origin, all alike but for what their responder makes of
// them.
type Endpoints struct {
	mu            sync.Mutex
	respond       func(*ReceivedRequest)
	ignoreCheck   func(*ReceivedRequest) bool
	onControlLine func(*ReceivedRequest)
	received      []*ReceivedRequest
	listeners     map[string]net.Listener
	conns         map[string]map[net.Conn]bool
}

// NewEndpoints makes a set without endpoints. The responder is called on a goroutine of its own for each ASK; nil
// answers a hit with the object's name as the body.
func NewEndpoints(respond func(*ReceivedRequest)) *Endpoints {
	return &Endpoints{
		respond:   respond,
		listeners: map[string]net.Listener{},
		conns:     map[string]map[net.Conn]bool{},
	}
}

// SetResponder has the endpoints answer by another responder from now on.
func (e *Endpoints) SetResponder(respond func(*ReceivedRequest)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.respond = respond
}

// IgnoreHealthChecks says which NOOP are not answered; nil: all are.
func (e *Endpoints) IgnoreHealthChecks(ignore func(*ReceivedRequest) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ignoreCheck = ignore
}

// OnControlLine has a function called with each line that is no ASK (QUIT, NOOP). With one, nothing is kept for
// Received.
func (e *Endpoints) OnControlLine(callback func(*ReceivedRequest)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onControlLine = callback
}

// Add starts an endpoint at an address; port 0 picks one.
func (e *Endpoints) Add(id, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	e.Register(id, listener)
	go e.Serve(id, listener)
	return listener, nil
}

// Register has an endpoint known by a listener that the caller serves by Serve, so that Kill and Close find it.
func (e *Endpoints) Register(id string, listener net.Listener) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listeners[id] = listener
}

// Serve is an endpoint on a listener of the caller's, until that is closed.
func (e *Endpoints) Serve(id string, listener net.Listener) {
	e.mu.Lock()
	if e.conns[id] == nil {
		e.conns[id] = map[net.Conn]bool{}
	}
	e.mu.Unlock()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[id][conn] = true
		e.mu.Unlock()
		go func() {
			e.serveConn(id, conn)
			_ = conn.Close()
			e.mu.Lock()
			delete(e.conns[id], conn)
			e.mu.Unlock()
		}()
	}
}

// Kill ends an endpoint as a dying process does: its listener closes and its connections are reset.
func (e *Endpoints) Kill(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if listener := e.listeners[id]; listener != nil {
		_ = listener.Close()
	}
	e.reset(id)
}

// ResetConnections resets the connections of an endpoint, which goes on listening.
func (e *Endpoints) ResetConnections(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reset(id)
}

// reset resets the connections of an endpoint. The caller holds the lock.
func (e *Endpoints) reset(id string) {
	for conn := range e.conns[id] {
		if socket, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
			_ = socket.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// Close ends all endpoints.
func (e *Endpoints) Close() {
	e.mu.Lock()
	ids := make([]string, 0, len(e.listeners))
	for id := range e.listeners {
		ids = append(ids, id)
	}
	e.mu.Unlock()
	for _, id := range ids {
		e.Kill(id)
	}
}

// Received gives what the endpoints have read that fits, in the order of its coming.
func (e *Endpoints) Received(fits func(*ReceivedRequest) bool) []*ReceivedRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []*ReceivedRequest
	for _, line := range e.received {
		if fits(line) {
			list = append(list, line)
		}
	}
	return list
}
