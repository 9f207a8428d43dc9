package consul

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is a scripted way in which an agent fails.
type Fault int

// The faults.
const (
	None       Fault = iota
	Hang             // takes requests and says nothing, until the fault is over
	Refuse           // takes no connections, and resets those that stand
	Reset            // resets the connection in the middle of the body
	Status500        // answers that it can't
	Empty200         // answers with an empty list, as an agent without rights or with no data does
	FilteredBy       // the same with the header that says that results were filtered
	IndexBack        // the true list with the index 1
	Truncated        // JSON that ends too soon, with the length that fits
	Slow             // a byte at a time
	StaleBy          // the list of some time ago
	NoLeader         // the true list, with no leader known
)

// Agent is one agent of a cluster, on a loopback port.
type Agent struct {
	cluster *Cluster
	name    string
	server  *http.Server
	address string
	listens func(address string) (net.Listener, error)
	middle  func(http.Handler) http.Handler

	mu     sync.Mutex
	fault  Fault
	by     time.Duration // with StaleBy
	over   chan struct{} // closed when the fault ends
	count  int           // requests taken
	open   bool
	header http.Header // of the newest request for a list or a key
	query  url.Values  // the same
}

// NewAgent starts an agent.
func (c *Cluster) NewAgent(name string) (*Agent, error) {
	return c.NewAgentOn(name, "127.0.0.1:0", nil, nil)
}

// NewAgentOn starts an agent at an address, on a listener of the caller's making, and with a handler of the caller's round its
// own; either may be nil.
func (c *Cluster) NewAgentOn(name, address string, listen func(string) (net.Listener, error),
	middle func(http.Handler) http.Handler) (*Agent, error) {
	if listen == nil {
		listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	a := &Agent{cluster: c, name: name, address: address, over: make(chan struct{}), listens: listen, middle: middle}
	if err := a.listen(); err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.agents = append(c.agents, a)
	c.mu.Unlock()
	return a, nil
}

func (a *Agent) listen() error {
	ln, err := a.listens(a.address)
	if err != nil {
		return err
	}
	a.address = ln.Addr().String()
	a.server = &http.Server{Handler: a, ReadHeaderTimeout: 10 * time.Second}
	if a.middle != nil {
		a.server.Handler = a.middle(a)
	}
	server := a.server
	go func() { _ = server.Serve(ln) }()
	a.open = true
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
	return a.count
}

// Header is a header of the newest request for a list or a key.
func (a *Agent) Header(name string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.header.Get(name)
}

// Query is a parameter of the newest request for a list or a key, and whether it was there.
func (a *Agent) Query(name string) (string, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.query.Get(name), a.query.Has(name)
}

// SetFault has it fail from now on; None has it be well again. by is how old the answers of StaleBy are.
func (a *Agent) SetFault(f Fault, by time.Duration) {
	a.mu.Lock()
	was, open, server := a.fault, a.open, a.server
	a.fault, a.by = f, by
	if was != f {
		close(a.over)
		a.over = make(chan struct{})
	}
	a.open = f != Refuse
	a.mu.Unlock()
	switch {
	case f == Refuse && open:
		_ = server.Close()
	case f != Refuse && !open:
		for range 100 { // the port may be in use for a moment still
			if a.listen() == nil {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// Restart forgets what was registered at this agent, as one that lost its data directory.
func (a *Agent) Restart() {
	c := a.cluster
	c.mu.Lock()
	lost := map[string][]string{}
	for name, list := range c.services {
		for _, in := range list {
			if in.agent == a {
				lost[name] = append(lost[name], in.ID)
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
	a.cluster.expire()
	a.mu.Lock()
	a.count++
	fault, by, over := a.fault, a.by, a.over
	if strings.HasPrefix(r.URL.Path, "/v1/health") || strings.HasPrefix(r.URL.Path, "/v1/kv") {
		a.header, a.query = r.Header.Clone(), r.URL.Query()
	}
	a.mu.Unlock()
	switch fault {
	case Hang:
		select {
		case <-over:
		case <-r.Context().Done():
			return
		}
	case Status500:
		http.Error(w, "rpc error making call: No cluster leader", http.StatusInternalServerError)
		return
	}
	path, _ := strings.CutPrefix(r.URL.Path, "/v1/")
	parts := strings.SplitN(path, "/", 3)
	for len(parts) < 3 {
		parts = append(parts, "")
	}
	token := r.Header.Get("X-Consul-Token")
	switch {
	case path == "status/leader":
		_, _ = io.WriteString(w, `"127.0.0.1:8300"`)
	case parts[0] == "health" && parts[1] == "service":
		a.health(w, r, parts[2], token, fault, by)
	case path == "catalog/services":
		c := a.cluster
		index := a.wait(r, func() uint64 { return c.index })
		names := map[string][]string{}
		c.mu.Lock()
		for name, list := range c.services {
			for _, in := range list {
				names[name] = append(names[name], in.Tags...)
			}
			slices.Sort(names[name])
			names[name] = slices.Compact(names[name])
		}
		c.mu.Unlock()
		a.write(w, names, index, fault, by)
	case parts[0] == "catalog" && parts[1] == "service":
		c := a.cluster
		index := a.wait(r, func() uint64 { return max(c.indexes[parts[2]], 10) })
		entries := []map[string]any{}
		for _, in := range c.Instances(parts[2]) {
			entries = append(entries, map[string]any{"Node": in.Node, "Address": in.NodeAddress, "ServiceID": in.ID, "ServiceName": in.Service,
				"ServiceAddress": in.Address, "ServicePort": in.Port, "ServiceTags": in.Tags, "ServiceMeta": in.Meta,
				"CreateIndex": in.Create, "ModifyIndex": in.Modify})
		}
		a.write(w, entries, index, fault, by)
	case parts[0] == "kv":
		a.kv(w, r, strings.TrimPrefix(path, "kv/"))
	case parts[0] == "agent":
		a.local(w, r, parts[1], parts[2])
	default:
		http.Error(w, "no such endpoint: "+path, http.StatusNotFound)
	}
}

// health is /v1/health/service/NAME.
func (a *Agent) health(w http.ResponseWriter, r *http.Request, name, token string, fault Fault, by time.Duration) {
	query := r.URL.Query()
	if query.Has("stale") && query.Has("consistent") {
		http.Error(w, "Cannot specify ?stale with ?consistent, conflicting semantics.", http.StatusBadRequest)
		return
	}
	c := a.cluster
	index := a.wait(r, func() uint64 { return max(c.indexes[name], 10) })
	c.mu.Lock()
	list := copies(c.services[name])
	if fault == StaleBy {
		list, index = nil, 1
		for _, m := range c.moments {
			if time.Since(m.at) >= by {
				list, index = m.services[name], max(m.indexes[name], 10)
			}
		}
	}
	allowed := c.tokens == nil || slices.Contains(c.tokens[token], name)
	c.mu.Unlock()
	filtered := fault == FilteredBy || !allowed
	if filtered || fault == Empty200 {
		list = nil
	}
	if fault == IndexBack {
		index = 1
	}
	entries := []map[string]any{}
	for _, in := range list {
		if tag := query.Get("tag"); tag != "" && !slices.Contains(in.Tags, tag) {
			continue
		}
		checks := []map[string]any{}
		for _, k := range in.Checks {
			checks = append(checks, map[string]any{"Node": in.Node, "CheckID": k.CheckID, "Name": k.Name, "Status": k.Status,
				"ServiceID": k.ServiceID, "ServiceName": name})
		}
		entries = append(entries, map[string]any{
			"Node": map[string]any{"Node": in.Node, "Address": in.NodeAddress, "Datacenter": "dc1"},
			"Service": map[string]any{"ID": in.ID, "Service": name, "Address": in.Address, "Port": in.Port, "Tags": in.Tags,
				"Meta": in.Meta, "Weights": in.Weights, "CreateIndex": in.Create, "ModifyIndex": in.Modify},
			"Checks": checks})
	}
	h := w.Header()
	if filtered {
		h.Set("X-Consul-Results-Filtered-By-ACLs", "true")
	}
	a.write(w, entries, index, fault, by)
}

// wait blocks as ?index and ?wait ask, and gives the index of the answer.
func (a *Agent) wait(r *http.Request, index func() uint64) uint64 {
	query := r.URL.Query()
	since, _ := strconv.ParseUint(query.Get("index"), 10, 64)
	limit, err := time.ParseDuration(query.Get("wait"))
	if err != nil || limit <= 0 {
		limit = 5 * time.Minute
	}
	limit += time.Duration(rand.Int64N(int64(limit)/16 + 1)) // so that not all ask again together
	timer := time.NewTimer(limit)
	defer timer.Stop()
	c := a.cluster
	for {
		c.mu.Lock()
		now, changed := index(), c.changed
		c.mu.Unlock()
		if since == 0 || now > since || now < since {
			return now
		}
		a.mu.Lock()
		over := a.over
		a.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			return now
		case <-over: // the agent fails from now on, or is well again
			a.mu.Lock()
			hangs, next := a.fault == Hang, a.over
			a.mu.Unlock()
			if !hangs {
				return now
			}
			select {
			case <-next:
			case <-r.Context().Done():
				return now
			}
		case <-r.Context().Done():
			return now
		}
	}
}

// write sends an answer, well or by the fault.
func (a *Agent) write(w http.ResponseWriter, value any, index uint64, fault Fault, by time.Duration) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("X-Consul-Index", strconv.FormatUint(index, 10))
	h.Set("X-Consul-KnownLeader", strconv.FormatBool(fault != NoLeader))
	h.Set("X-Consul-LastContact", "0")
	if fault == StaleBy {
		h.Set("X-Consul-LastContact", strconv.FormatInt(by.Milliseconds(), 10))
	}
	switch fault {
	case Truncated:
		body = body[:len(body)*2/3]
	case Reset:
		conn, buffered, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\nX-Consul-Index: %d\r\nContent-Length: %d\r\n\r\n%s", index, len(body), body[:len(body)/2])
		_ = buffered.Flush()
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
		return
	case Slow:
		h.Set("Content-Length", strconv.Itoa(len(body)))
		for i := range body {
			if _, err := w.Write(body[i : i+1]); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
			time.Sleep(20 * time.Millisecond)
			a.mu.Lock()
			well := a.fault != Slow
			a.mu.Unlock()
			if well {
				_, _ = w.Write(body[i+1:])
				return
			}
		}
		return
	}
	_, _ = w.Write(body)
}

// kv is /v1/kv/KEY.
func (a *Agent) kv(w http.ResponseWriter, r *http.Request, key string) {
	c := a.cluster
	switch r.Method {
	case http.MethodPut:
		value, err := io.ReadAll(io.LimitReader(r.Body, 512<<10))
		if err == nil {
			c.SetKV(key, value)
		}
		_, _ = io.WriteString(w, strconv.FormatBool(err == nil))
		return
	case http.MethodDelete:
		c.SetKV(key, nil)
		_, _ = io.WriteString(w, "true")
		return
	}
	index := a.wait(r, func() uint64 { return c.kvIndex })
	pairs := []map[string]any{}
	c.mu.Lock()
	for k, p := range c.kv {
		if k == key || r.URL.Query().Has("recurse") && strings.HasPrefix(k, key) {
			pairs = append(pairs, map[string]any{"Key": k, "Value": p.value, "CreateIndex": p.create, "ModifyIndex": p.modify})
		}
	}
	c.mu.Unlock()
	slices.SortFunc(pairs, func(x, y map[string]any) int {
		return strings.Compare(x["Key"].(string), y["Key"].(string))
	})
	a.mu.Lock()
	fault, by := a.fault, a.by
	a.mu.Unlock()
	if len(pairs) == 0 {
		w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
		w.WriteHeader(http.StatusNotFound)
		return
	}
	a.write(w, pairs, index, fault, by)
}

// local is /v1/agent: what is registered at this agent.
func (a *Agent) local(w http.ResponseWriter, r *http.Request, what, rest string) {
	c := a.cluster
	switch {
	case what == "service" && rest == "register" && r.Method == http.MethodPut:
		var body struct {
			ID, Name, Address string
			Port              int
			Tags              []string
			Meta              map[string]string
			Weights           Weights
			Check             struct{ CheckID, TTL, Status string }
		}
		err := json.NewDecoder(io.LimitReader(r.Body, 1<<20)).Decode(&body)
		ttl, ttlErr := time.ParseDuration(body.Check.TTL)
		if body.Check.TTL == "" {
			ttlErr = nil
		}
		if err = errors.Join(err, ttlErr); err != nil || body.Name == "" {
			http.Error(w, fmt.Sprint("Request decode failed: ", err), http.StatusBadRequest)
			return
		}
		if body.ID == "" {
			body.ID = body.Name
		}
		check := Check{CheckID: body.Check.CheckID, Status: body.Check.Status, ServiceID: body.ID, ttl: ttl,
			expires: time.Now().Add(ttl)}
		if check.CheckID == "" {
			check.CheckID = "service:" + body.ID
		}
		if check.Status == "" {
			check.Status = Critical
		}
		c.Put(Instance{Node: a.name, NodeAddress: "127.0.0.1", Service: body.Name, ID: body.ID, Address: body.Address,
			Port: body.Port, Tags: body.Tags, Meta: body.Meta, Weights: body.Weights, Checks: []Check{check}, agent: a})
	case what == "service" && strings.HasPrefix(rest, "deregister/") && r.Method == http.MethodPut:
		if name, ok := a.find(strings.TrimPrefix(rest, "deregister/"), ""); ok {
			c.Remove(name, strings.TrimPrefix(rest, "deregister/"))
			return
		}
		http.Error(w, "Unknown service ID", http.StatusNotFound)
	case what == "service" && strings.HasPrefix(rest, "maintenance/") && r.Method == http.MethodPut:
		id := strings.TrimPrefix(rest, "maintenance/")
		name, ok := a.find(id, "")
		if !ok {
			http.Error(w, "Unknown service ID", http.StatusNotFound)
			return
		}
		c.Mark(name, id, maintenance(r))
	case what == "maintenance" && r.Method == http.MethodPut:
		c.MarkNode(a.name, maintenance(r))
	case what == "check" && strings.HasPrefix(rest, "update/") && r.Method == http.MethodPut:
		id := strings.TrimPrefix(rest, "update/")
		var body struct{ Status, Output string }
		_ = json.NewDecoder(io.LimitReader(r.Body, 1<<20)).Decode(&body)
		name, ok := a.find("", id)
		if !ok {
			http.Error(w, "Unknown check ID "+strconv.Quote(id), http.StatusNotFound)
			return
		}
		c.mu.Lock()
		same := false
		for _, in := range c.services[name] {
			for i := range in.Checks {
				if k := &in.Checks[i]; k.CheckID == id {
					k.expires = time.Now().Add(k.ttl)
					same = k.Status == body.Status
				}
			}
		}
		c.mu.Unlock()
		if same {
			return // a renewal changes nothing that others see
		}
		c.update(name, func() {
			for _, in := range c.services[name] {
				for i := range in.Checks {
					if k := &in.Checks[i]; k.CheckID == id {
						k.Status = body.Status
					}
				}
			}
		})
	default:
		http.Error(w, "no such endpoint", http.StatusNotFound)
	}
}

// maintenance is the status that ?enable asks for.
func maintenance(r *http.Request) string {
	if r.URL.Query().Get("enable") == "true" {
		return "maintenance"
	}
	return Passing
}

// find gives the service of an instance or a check that is registered here.
func (a *Agent) find(id, check string) (string, bool) {
	c := a.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, list := range c.services {
		for _, in := range list {
			if in.agent != a {
				continue
			}
			if in.ID == id || slices.ContainsFunc(in.Checks, func(k Check) bool { return k.CheckID == check && check != "" }) {
				return name, true
			}
		}
	}
	return "", false
}
