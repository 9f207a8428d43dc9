package drill

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"sloequay/internal/emulator/consul"
)

// serviceNames holds the names of the catalogue's services by the class of their endpoints.
var serviceNames = map[string]string{classCache: "cache", classParent: "trunk", classOrigin: "archive"}

// apiPrefix is the path prefix of Consul's HTTP API.
const apiPrefix = "/v1/"

// catalogueSettings is the section of a proxy's settings for a catalogue with one agent.
const catalogueSettings = `catalogue {
agent %s
service cache {
}
service trunk {
}
service archive {
}
}
`

// catalogue is the list service as an emulated Consul cluster with one agent.
type catalogue struct {
	cluster *Cluster
	consul  *consul.Cluster
	agent   *consul.Agent

	mu       sync.Mutex
	rate     float64 // calls per second that are answered; 0: unlimited
	tokens   float64 // calls that may be answered at filledAt
	filledAt time.Time
}

func newCatalogue(c *Cluster) (listService, error) {
	list := &catalogue{cluster: c, consul: consul.NewCluster(), rate: c.Plan.ListRate, tokens: 1}
	for _, e := range c.endpointOrder {
		list.endpointChanged(e)
	}
	listen := func(address string) (net.Listener, error) { return c.network.listen(listNode, address) }
	var err error
	list.agent, err = list.consul.NewAgentOn("agent", c.listAddress()+":0", listen, list.limitCalls)
	return list, err
}

// limitCalls records each call, and answers it with status 429 if it exceeds the rate.
func (l *catalogue) limitCalls(next http.Handler) http.Handler {
	return http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
		l.cluster.recordListCall(l.cluster.network.nodeAt(in.RemoteAddr), strings.TrimPrefix(in.URL.Path, apiPrefix))
		if !l.takeToken() {
			http.Error(out, "rate limit exceeded, try again later", http.StatusTooManyRequests)
			return
		}
		next.ServeHTTP(out, in)
	})
}

// takeToken reports whether the rate allows one more call. The token bucket holds the calls of one second.
func (l *catalogue) takeToken() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rate <= 0 {
		return true
	}
	now := time.Now()
	l.tokens = min(max(1, l.rate), l.tokens+now.Sub(l.filledAt).Seconds()*l.rate)
	l.filledAt = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

func (l *catalogue) endpointChanged(changed *endpoint) {
	host, port := splitAddress(changed.address)
	changed.mu.Lock()
	state, startedAt := changed.state, changed.startedAt
	changed.mu.Unlock()
	service := serviceNames[changed.class]
	meta := map[string]string{"site": changed.zone, "class": changed.class}
	if !startedAt.IsZero() {
		meta["born_ms"] = fmt.Sprint(startedAt.UnixMilli())
	}
	l.consul.Put(consul.Instance{
		Node:    "node-" + changed.id,
		Service: service,
		ID:      changed.id,
		Address: host,
		Port:    port,
		Meta:    meta,
		Weights: consul.Weights{Passing: int(l.cluster.Plan.Weight), Warning: 1},
	})
	if state == listedDraining {
		l.consul.SetStatus(service, changed.id, consul.Maintenance)
	}
}

func (l *catalogue) addEndpoints(count int, address string) {
	host, port := splitAddress(address)
	service := serviceNames[classCache]
	instances := make([]consul.Instance, 0, count)
	for i := range count {
		instances = append(instances, consul.Instance{
			Node:    fmt.Sprint("node-x", i),
			ID:      fmt.Sprint("x", i),
			Service: service,
			Address: host,
			Port:    port,
			Meta:    map[string]string{"site": zoneName(1), "class": classCache},
			Weights: consul.Weights{Passing: 1, Warning: 1},
		})
	}
	instances = append(instances, l.consul.Instances(service)...)
	l.consul.ReplaceAll(service, instances)
}

func (l *catalogue) setFault(fault listFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch fault.kind {
	case listHangs:
		l.agent.SetFault(consul.Hang, 0)
	case listRefuses:
		l.agent.SetFault(consul.Refuse, 0)
	case listIsEmpty:
		l.agent.SetFault(consul.EmptyList, 0)
	case listIsStale:
		l.agent.SetFault(consul.Stale, fault.age)
	case listIsRateLimited:
		l.rate = fault.rate
	case listIsHealthy:
		l.rate = l.cluster.Plan.ListRate
		l.agent.SetFault(consul.None, 0)
	}
}

func (l *catalogue) proxySettings() (configuration map[string]any, settings string) {
	return map[string]any{}, fmt.Sprintf(catalogueSettings, l.agent.Address())
}

func (l *catalogue) close() {
	if l.agent != nil {
		l.agent.Close()
	}
}

// splitAddress splits the host:port of a listener.
func splitAddress(address string) (host string, port int) {
	host, text, _ := net.SplitHostPort(address)
	port, _ = strconv.Atoi(text)
	return host, port
}
