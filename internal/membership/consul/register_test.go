package consul

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/consul/api"

	"sloequay/internal/emulator/consul"
	"sloequay/internal/membership"
	"sloequay/internal/membership/consul/registrar"
)

// TestKeepRegistered: a proxy is registered with the ID and address of the settings, or else with its name and where it
// listens, and is deregistered when it stops.
func TestKeepRegistered(t *testing.T) {
	for _, c := range []struct{ name, settings, id, address string }{
		{"default ID and address", "service proxy\ntag a", "p1", "127.0.0.1:4040"},
		{"configured ID and address", "service proxy\nid other\naddress 10.0.0.9:80\ntag a", "other", "10.0.0.9:80"},
	} {
		cluster := consul.NewCluster()
		agent := newAgent(t, cluster)
		recorder := &recorder{}
		catalogue := &Catalogue{
			Config: parseConfig(t, "agent "+agent.Address()+"\nregister {\n"+c.settings+"\n}"),
			Now:    func() time.Duration { return time.Duration(time.Now().UnixNano()) },
			Log:    recorder.log,
		}
		stop, done := make(chan struct{}), make(chan error, 1)
		go func() { done <- catalogue.KeepRegistered(stop, "p1", "127.0.0.1:4040") }()
		recorder.waitUntil(t, c.name+": registration", func(_ []membership.List, logged []string) bool {
			return hasEvent(logged, "catalogue-registered")
		})
		instances := cluster.Instances("proxy")
		if len(instances) != 1 {
			t.Fatalf("%s: got %d instances, want 1", c.name, len(instances))
		}
		in := instances[0]
		if address := fmt.Sprint(in.Address, ":", in.Port); in.ID != c.id || address != c.address ||
			!slices.Equal(in.Tags, []string{"a"}) {
			t.Errorf("%s: got instance %+v", c.name, in)
		}
		close(stop)
		if err := <-done; err != nil || len(cluster.Instances("proxy")) > 0 {
			t.Errorf("%s: got error %v and %d instances after the deregistration, want none",
				c.name, err, len(cluster.Instances("proxy")))
		}
		if _, logged := recorder.recorded(); !hasEvent(logged, "catalogue-deregistered") {
			t.Errorf("%s: got log %q, want catalogue-deregistered", c.name, logged)
		}
	}
}

// hasEvent reports whether a log event with the given name was logged.
func hasEvent(logged []string, name string) bool {
	return slices.ContainsFunc(logged, func(line string) bool { return strings.HasPrefix(line, name+"[") })
}

// TestResultOf: only the agent's status 404 gives NotFound, which makes the registrar register again.
func TestResultOf(t *testing.T) {
	for _, c := range []struct {
		err  error
		want registrar.Result
	}{
		{nil, registrar.Succeeded},
		{fmt.Errorf("agent: %w", api.StatusError{Code: http.StatusNotFound}), registrar.NotFound},
		{api.StatusError{Code: http.StatusInternalServerError, Body: "404"}, registrar.Failed},
		{errors.New("not found"), registrar.Failed},
	} {
		if got := resultOf(c.err); got != c.want {
			t.Errorf("resultOf(%v): got %v, want %v", c.err, got, c.want)
		}
	}
}
