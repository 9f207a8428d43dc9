package consul

import (
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"
)

const (
	readHeaderTimeout = 10 * time.Second
	// The port of an agent that listens again may be in use for a moment still.
	listenAttempts = 100
	listenInterval = 5 * time.Millisecond
)

// Agent is one agent of a cluster, on a loopback port.
type Agent struct {
	cluster  *Cluster
	name     string
	server   *http.Server
	address  string
	listenOn func(address string) (net.Listener, error)
	wrap     func(http.Handler) http.Handler // nil: nothing is round the agent's own handler

	mu           sync.Mutex
	fault        activeFault
	faultChanged chan struct{} // closed and made anew when another fault begins or the last one ends
	requests     int           // taken
	isListening  bool
	header       http.Header // of the newest request for a list or a key
	query        url.Values  // the same
}

// NewAgent starts an agent.
func (c *Cluster) NewAgent(name string) (*Agent, error) {
	return c.NewAgentOn(name, "127.0.0.1:0", nil, nil)
}

// NewAgentOn starts an agent at an address, on a listener of the caller's making, and with a handler of the caller's
// round its own; either may be nil.
func (c *Cluster) NewAgentOn(name, address string, listen func(string) (net.Listener, error),
	wrap func(http.Handler) http.Handler) (*Agent, error) {
	if listen == nil {
		listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	agent := &Agent{
		cluster:      c,
		name:         name,
		address:      address,
		listenOn:     listen,
		wrap:         wrap,
		faultChanged: make(chan struct{}),
	}
	if err := agent.listen(); err != nil {
		return nil, err
	}
	return agent, nil
}

func (a *Agent) listen() error {
	listener, err := a.listenOn(a.address)
	if err != nil {
		return err
	}
	a.address = listener.Addr().String()
	a.server = &http.Server{Handler: a, ReadHeaderTimeout: readHeaderTimeout}
	if a.wrap != nil {
		a.server.Handler = a.wrap(a)
	}
	server := a.server
	go func() { _ = server.Serve(listener) }()
	a.isListening = true
	return nil
}

// Address is host:port of its HTTP API.
func (a *Agent) Address() string { return a.address }

// Close ends it.
func (a *Agent) Close() { a.SetFault(Refuse, 0) }

// Requests is how many requests it has taken.
func (a *Agent) Requests() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.requests
}

// Header is a header of the newest request for a list or a key.
func (a *Agent) Header(name string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.header.Get(name)
}

// Query is a parameter of the newest request for a list or a key, and whether it was there.
func (a *Agent) Query(name string) (value string, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.query.Get(name), a.query.Has(name)
}

// SetFault has it fail from now on; None has it be well again. age is that of the answers of StaleBy.
func (a *Agent) SetFault(fault Fault, age time.Duration) {
	a.mu.Lock()
	before, wasListening, server := a.fault.fault, a.isListening, a.server
	a.fault = activeFault{fault, age}
	if before != fault {
		close(a.faultChanged)
		a.faultChanged = make(chan struct{})
	}
	a.isListening = fault != Refuse
	a.mu.Unlock()
	switch {
	case fault == Refuse && wasListening:
		_ = server.Close()
	case fault != Refuse && !wasListening:
		a.listenAgain()
	}
}

func (a *Agent) listenAgain() {
	for range listenAttempts {
		if a.listen() == nil {
			return
		}
		time.Sleep(listenInterval)
	}
}

// active is the fault in force.
func (a *Agent) active() activeFault {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fault
}

// LoseRegistrations forgets what was registered at this agent, as one that lost its data directory.
func (a *Agent) LoseRegistrations() {
	c := a.cluster
	c.mu.Lock()
	lost := map[string][]string{}
	for name, instances := range c.services {
		for _, instance := range instances {
			if instance.agent == a {
				lost[name] = append(lost[name], instance.ID)
			}
		}
	}
	c.mu.Unlock()
	for name, ids := range lost {
		c.Remove(name, ids...)
	}
}

// ServeHTTP answers one request.
func (a *Agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.cluster.expireChecks()
	a.mu.Lock()
	a.requests++
	active, faultChanged := a.fault, a.faultChanged
	if strings.HasPrefix(r.URL.Path, "/v1/health") || strings.HasPrefix(r.URL.Path, "/v1/kv") {
		a.header, a.query = r.Header.Clone(), r.URL.Query()
	}
	a.mu.Unlock()
	switch active.fault {
	case Hang:
		select {
		case <-faultChanged:
		case <-r.Context().Done():
			return
		}
	case Status500:
		http.Error(w, "rpc error making call: No cluster leader", http.StatusInternalServerError)
		return
	}
	a.route(w, r, active)
}

// route hands a request to the part of the API that its path names.
func (a *Agent) route(w http.ResponseWriter, r *http.Request, active activeFault) {
	path := strings.TrimPrefix(r.URL.Path, "/v1/")
	area, rest, _ := strings.Cut(path, "/")
	kind, name, _ := strings.Cut(rest, "/")
	switch {
	case path == "status/leader":
		_, _ = io.WriteString(w, `"127.0.0.1:8300"`)
	case area == "health" && kind == "service":
		a.serveHealth(w, r, name, active)
	case path == "catalog/services":
		a.serveServices(w, r, active)
	case area == "catalog" && kind == "service":
		a.serveCatalogService(w, r, name, active)
	case area == "kv":
		a.serveKV(w, r, strings.TrimPrefix(path, "kv/"))
	case area == "agent":
		a.serveLocal(w, r, rest)
	default:
		http.Error(w, "no such endpoint: "+path, http.StatusNotFound)
	}
}
