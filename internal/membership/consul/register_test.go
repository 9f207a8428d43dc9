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

// TestKeepRegistered: a proxy is registered by the settings, or by its name and where it listens, and deregistered when
// it is to stop.
func TestKeepRegistered(t *testing.T) {
	for _, c := range []struct{ name, settings, id, address string }{
		{"by the proxy's own", "service proxy\ntag a", "p1", "127.0.0.1:4040"},
		{"by the settings", "service proxy\nid other\naddress 10.0.0.9:80\ntag a", "other", "10.0.0.9:80"},
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
		recorder.until(t, c.name+": it is registered", func(_ []membership.List, logged []string) bool {
			return hasEvent(logged, "catalogue-registered")
		})
		instances := cluster.Instances("proxy")
		if len(instances) != 1 {
			t.Fatalf("%s: %d instances", c.name, len(instances))
		}
		in := instances[0]
		if address := fmt.Sprint(in.Address, ":", in.Port); in.ID != c.id || address != c.address ||
			!slices.Equal(in.Tags, []string{"a"}) {
			t.Errorf("%s: registered as %+v", c.name, in)
		}
		close(stop)
		if err := <-done; err != nil || len(cluster.Instances("proxy")) > 0 {
			t.Errorf("%s: %v, %d instances at the end", c.name, err, len(cluster.Instances("proxy")))
		}
		if _, logged := recorder.recorded(); !hasEvent(logged, "catalogue-deregistered") {
			t.Errorf("%s: logged %q", c.name, logged)
		}
	}
}

// hasEvent reports whether a log event of a name was logged.
func hasEvent(logged []string, name string) bool {
	return slices.ContainsFunc(logged, func(line string) bool { return strings.HasPrefix(line, name+"[") })
}

// TestResultOf: only an answer that the agent does not know the registration has it made anew.
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
			t.Errorf("%v gives %v, want %v", c.err, got, c.want)
		}
	}
}
