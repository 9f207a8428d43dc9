package consul

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// maxRequestBody is the largest body of a request to /v1/agent, in bytes.
const maxRequestBody = 1 << 20

// registration is the body of /v1/agent/service/register.
type registration struct {
	ID, Name, Address string
	Port              int
	Tags              []string
	Meta              map[string]string
	Weights           Weights
	Check             struct{ CheckID, TTL, Status string }
}

// serveLocal answers /v1/agent, the API for what is registered at this agent.
func (a *Agent) serveLocal(w http.ResponseWriter, r *http.Request, path string) {
	if r.Method != http.MethodPut {
		http.Error(w, "no such endpoint", http.StatusNotFound)
		return
	}
	if path == "service/register" {
		a.serveRegister(w, r)
	} else if id, ok := strings.CutPrefix(path, "service/deregister/"); ok {
		a.serveDeregister(w, id)
	} else if id, ok := strings.CutPrefix(path, "service/maintenance/"); ok {
		a.serveMaintenance(w, r, id)
	} else if path == "maintenance" {
		a.cluster.SetNodeStatus(a.name, maintenanceStatus(r))
	} else if id, ok := strings.CutPrefix(path, "check/update/"); ok {
		a.serveCheckUpdate(w, r, id)
	} else {
		http.Error(w, "no such endpoint", http.StatusNotFound)
	}
}

func (a *Agent) serveRegister(w http.ResponseWriter, r *http.Request) {
	var body registration
	err := json.NewDecoder(io.LimitReader(r.Body, maxRequestBody)).Decode(&body)
	var ttl time.Duration
	if body.Check.TTL != "" {
		var ttlErr error
		ttl, ttlErr = time.ParseDuration(body.Check.TTL)
		err = errors.Join(err, ttlErr)
	}
	if err != nil || body.Name == "" {
		http.Error(w, fmt.Sprint("Request decode failed: ", err), http.StatusBadRequest)
		return
	}
	if body.ID == "" {
		body.ID = body.Name
	}
	check := Check{
		CheckID:   body.Check.CheckID,
		Status:    body.Check.Status,
		ServiceID: body.ID,
		ttl:       ttl,
		expires:   time.Now().Add(ttl),
	}
	if check.CheckID == "" {
		check.CheckID = serviceCheckPrefix + body.ID
	}
	if check.Status == "" {
		check.Status = Critical
	}
	a.cluster.Put(Instance{
		Node:        a.name,
		NodeAddress: "127.0.0.1",
		Service:     body.Name,
		ID:          body.ID,
		Address:     body.Address,
		Port:        body.Port,
		Tags:        body.Tags,
		Meta:        body.Meta,
		Weights:     body.Weights,
		Checks:      []Check{check},
		agent:       a,
	})
}

func (a *Agent) serveDeregister(w http.ResponseWriter, id string) {
	service, ok := a.serviceOfInstance(id)
	if !ok {
		http.Error(w, "Unknown service ID", http.StatusNotFound)
		return
	}
	a.cluster.Remove(service, id)
}

func (a *Agent) serveMaintenance(w http.ResponseWriter, r *http.Request, id string) {
	service, ok := a.serviceOfInstance(id)
	if !ok {
		http.Error(w, "Unknown service ID", http.StatusNotFound)
		return
	}
	a.cluster.SetStatus(service, id, maintenanceStatus(r))
}

// maintenanceStatus returns the status that the parameter enable requests.
func maintenanceStatus(r *http.Request) string {
	if r.URL.Query().Get("enable") == "true" {
		return Maintenance
	}
	return Passing
}

func (a *Agent) serveCheckUpdate(w http.ResponseWriter, r *http.Request, checkID string) {
	var body struct{ Status string }
	_ = json.NewDecoder(io.LimitReader(r.Body, maxRequestBody)).Decode(&body)
	service, ok := a.serviceOfCheck(checkID)
	if !ok {
		http.Error(w, "Unknown check ID "+strconv.Quote(checkID), http.StatusNotFound)
		return
	}
	c := a.cluster
	if c.renewTTL(service, checkID, body.Status) {
		return // a renewal with the same status changes no index
	}
	c.update(service, func() {
		for check := range c.checks(service, checkID) {
			check.Status = body.Status
		}
	})
}

// renewTTL restarts a check's TTL, and reports whether the check already has the given status.
func (c *Cluster) renewTTL(service, checkID, status string) (isSame bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for check := range c.checks(service, checkID) {
		check.expires = time.Now().Add(check.ttl)
		isSame = check.Status == status
	}
	return isSame
}

// checks iterates over the checks of a service whose ID is checkID. The caller holds the lock.
func (c *Cluster) checks(service, checkID string) func(yield func(*Check) bool) {
	return func(yield func(*Check) bool) {
		for _, instance := range c.services[service] {
			for i := range instance.Checks {
				if instance.Checks[i].CheckID == checkID && !yield(&instance.Checks[i]) {
					return
				}
			}
		}
	}
}

// serviceOfInstance returns the service of an instance that is registered at this agent.
func (a *Agent) serviceOfInstance(id string) (service string, ok bool) {
	return a.findService(func(instance *Instance) bool { return instance.ID == id })
}

// serviceOfCheck returns the service of a check that is registered at this agent.
func (a *Agent) serviceOfCheck(checkID string) (service string, ok bool) {
	return a.findService(func(instance *Instance) bool {
		hasID := func(check Check) bool { return check.CheckID == checkID && checkID != "" }
		return slices.ContainsFunc(instance.Checks, hasID)
	})
}

// findService returns the service of an instance that matches and is registered at this agent.
func (a *Agent) findService(matches func(*Instance) bool) (service string, ok bool) {
	c := a.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, instances := range c.services {
		for _, instance := range instances {
			if instance.agent == a && matches(instance) {
				return name, true
			}
		}
	}
	return "", false
}
