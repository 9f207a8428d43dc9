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
	// An agent that listens again retries, because its port may still be in use for a moment.
	listenAttempts = 100
	listenInterval = 5 * time.Millisecond
)

// Agent is one agent of a cluster. It serves the HTTP API on a loopback port.
type Agent struct {
	cluster  *Cluster
	name     string
	server   *http.Server
	address  string
	listenOn func(address string) (net.Listener, error)
	wrap     func(http.Handler) http.Handler // wraps the agent's own handler; may be nil

	mu           sync.Mutex
	fault        activeFault
	faultChanged chan struct{} // closed and replaced when a fault begins or ends
	requests     int
	isListening  bool
	lastHeader   http.Header // of the latest request under /v1/health or /v1/kv
	lastQuery    url.Values  // of the same request
}

// NewAgent starts an agent on a free loopback port.
func (c *Cluster) NewAgent(name string) (*Agent, error) {
	return c.NewAgentOn(name, "127.0.0.1:0", nil, nil)
}

// NewAgentOn starts an agent at an address. listen opens its listener, and wrap wraps its handler; either may be nil.
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

// listen opens the listener and serves the API on it.
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

// Address returns the host:port of the HTTP API.
func (a *Agent) Address() string { return a.address }

// Close stops the agent.
func (a *Agent) Close() { a.SetFault(Refuse, 0) }

// Requests returns how many requests the agent has received.
func (a *Agent) Requests() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.requests
}

// Header returns a header of the latest request under /v1/health or /v1/kv.
func (a *Agent) Header(name string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastHeader.Get(name)
}

// Query returns a parameter of the latest request under /v1/health or /v1/kv, and whether the request had it.
func (a *Agent) Query(name string) (value string, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastQuery.Get(name), a.lastQuery.Has(name)
}

// SetFault makes the agent fail from now on; None ends the fault. age is the age of the lists that Stale sends.
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

// listenAgain calls listen until it succeeds, at most listenAttempts times.
func (a *Agent) listenAgain() {
	for range listenAttempts {
		if a.listen() == nil {
			return
		}
		time.Sleep(listenInterval)
	}
}

// active returns the current fault.
func (a *Agent) active() activeFault {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fault
}

// LoseRegistrations removes the instances that were registered at this agent, as if it had lost its data directory.
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

// ServeHTTP answers one request, or fails it as the current fault requires.
func (a *Agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.cluster.expireChecks()
	a.mu.Lock()
	a.requests++
	active, faultChanged := a.fault, a.faultChanged
	if strings.HasPrefix(r.URL.Path, "/v1/health") || strings.HasPrefix(r.URL.Path, "/v1/kv") {
		a.lastHeader, a.lastQuery = r.Header.Clone(), r.URL.Query()
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

// route calls the handler of the request's path.
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
