// Package emulator emulates what a proxy talks to: endpoints, clients, and a certificate authority. The emulators are
// written from the protocols' documentation, listen on loopback, and are scripted by their callers: tests, drills and
// `sloequay try`.
package emulator

import (
	"net"
	"sync"
)

// maxReceived is the largest number of lines that are kept for Received; beyond it the oldest half is dropped.
const maxReceived = 1 << 17

// Endpoints is a set of emulated endpoints: caches, parents and origins. They differ only in how the responder answers
// for each.
type Endpoints struct {
	mu            sync.Mutex
	respond       func(*ReceivedRequest)
	ignoreCheck   func(*ReceivedRequest) bool
	onControlLine func(*ReceivedRequest)
	received      []*ReceivedRequest
	listeners     map[string]net.Listener
	conns         map[string]map[net.Conn]bool
}

// NewEndpoints returns an empty set. The responder is called on its own goroutine for each request (ASK); with a nil
// responder, each request is answered as a hit with the object's name as the body.
func NewEndpoints(respond func(*ReceivedRequest)) *Endpoints {
	return &Endpoints{
		respond:   respond,
		listeners: map[string]net.Listener{},
		conns:     map[string]map[net.Conn]bool{},
	}
}

// SetResponder replaces the responder for the requests that are read from now on.
func (e *Endpoints) SetResponder(respond func(*ReceivedRequest)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.respond = respond
}

// IgnoreHealthChecks sets which health checks (NOOP) are not answered; with nil, all are answered.
func (e *Endpoints) IgnoreHealthChecks(ignore func(*ReceivedRequest) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ignoreCheck = ignore
}

// OnControlLine sets a function that is called with each control line (QUIT, NOOP). While one is set, neither requests
// nor control lines are kept for Received.
func (e *Endpoints) OnControlLine(callback func(*ReceivedRequest)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onControlLine = callback
}

// Add starts an endpoint that listens at an address; with port 0 the system picks the port.
func (e *Endpoints) Add(id, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	e.Register(id, listener)
	go e.Serve(id, listener)
	return listener, nil
}

// Register records the listener of an endpoint, so that Kill and Close can close it. The caller passes the listener to
// Serve.
func (e *Endpoints) Register(id string, listener net.Listener) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listeners[id] = listener
}

// Serve accepts and serves an endpoint's connections until the listener is closed.
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

// Kill stops an endpoint as the death of its process would: it closes the listener and resets the connections.
func (e *Endpoints) Kill(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if listener := e.listeners[id]; listener != nil {
		_ = listener.Close()
	}
	e.resetConns(id)
}

// ResetConnections resets the connections of an endpoint, which keeps listening.
func (e *Endpoints) ResetConnections(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resetConns(id)
}

// resetConns resets the connections of an endpoint. The caller holds the lock.
func (e *Endpoints) resetConns(id string) {
	for conn := range e.conns[id] {
		if lingerer, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
			_ = lingerer.SetLinger(0) // so that Close sends a reset
		}
		_ = conn.Close()
	}
}

// Close kills all endpoints that Add or Register has recorded.
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

// Received returns the kept lines that match, in the order in which the endpoints read them.
func (e *Endpoints) Received(matches func(*ReceivedRequest) bool) []*ReceivedRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []*ReceivedRequest
	for _, line := range e.received {
		if matches(line) {
			list = append(list, line)
		}
	}
	return list
}
