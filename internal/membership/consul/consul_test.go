package consul

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"sloequay/internal/emulator"
	"sloequay/internal/emulator/consul"
	"sloequay/internal/membership"
)

// newAgent starts an emulated agent that is closed at the end of the test.
func newAgent(t *testing.T, cluster *consul.Cluster) *consul.Agent {
	t.Helper()
	agent, err := cluster.NewAgent("a")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Close)
	return agent
}

func newAuthority(t *testing.T) *emulator.Authority {
	t.Helper()
	authority, err := emulator.NewAuthority(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	return authority
}

func makeCertificate(t *testing.T, authority *emulator.Authority, name string) (certFile, keyFile string) {
	t.Helper()
	certFile, keyFile, err := authority.Issue(name, "consul.test")
	if err != nil {
		t.Fatal(err)
	}
	return certFile, keyFile
}

// newTLSServer serves an agent over HTTPS and requires client certificates signed by the authority.
func newTLSServer(t *testing.T, authority *emulator.Authority, agent *consul.Agent) *httptest.Server {
	t.Helper()
	pair, err := tls.LoadX509KeyPair(makeCertificate(t, authority, "server"))
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(authority.Cert)
	server := httptest.NewUnstartedServer(http.HandlerFunc(agent.ServeHTTP))
	server.TLS = &tls.Config{
		Certificates: []tls.Certificate{pair},
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}
	server.StartTLS()
	t.Cleanup(server.Close)
	return server
}

func newInstance(id string, port int) consul.Instance {
	return consul.Instance{Node: "n", Service: "cache", ID: id, Address: "127.0.0.1", Port: port,
		Meta: map[string]string{"site": "edge", "class": "std"}}
}

// TestHTTPS: the client verifies the agent's certificate by its authority and name and presents its own certificate.
// If any of these is missing or wrong, no list arrives.
func TestHTTPS(t *testing.T) {
	authority := newAuthority(t)
	clientCert, clientKey := makeCertificate(t, authority, "proxy")
	cluster := consul.NewCluster()
	agent := newAgent(t, cluster)
	cluster.Put(newInstance("c1", 1))
	server := newTLSServer(t, authority, agent)
	ca := "ca " + authority.CertFile + "\n"
	pair := "cert " + clientCert + "\nkey " + clientKey + "\n"
	for _, c := range []struct {
		name, tls string
		works     bool
	}{
		{"CA, certificate and name", ca + pair + "server-name consul.test", true},
		{"no client certificate", ca + "server-name consul.test", false},
		{"wrong server name", ca + pair + "server-name other.test", false},
		{"no CA", pair + "server-name consul.test", false},
	} {
		recorder := &recorder{}
		address := server.Listener.Addr().String()
		recorder.start(t, parseConfig(t, "agent "+address+"\nservice cache {\n}\ntls {\n"+c.tls+"\n}"))
		lists, logged := recorder.waitUntil(t, c.name+": a list or a log event",
			func(lists []membership.List, logged []string) bool { return len(lists)+len(logged) > 0 })
		if works := len(lists) > 0; works != c.works {
			t.Errorf("%s: got %d lists, logged %v", c.name, len(lists), logged)
		}
	}
}

// TestTLSFilesReloaded: wrong CA and certificate files that are replaced by correct ones while the proxy runs take
// effect without a restart.
func TestTLSFilesReloaded(t *testing.T) {
	authority, otherAuthority := newAuthority(t), newAuthority(t)
	dir := t.TempDir()
	replaceTLSFiles(t, dir, otherAuthority)
	server := newTLSServer(t, authority, newAgent(t, consul.NewCluster()))
	recorder := &recorder{}
	recorder.start(t, parseConfig(t, fmt.Sprintf(
		"agent %s\nservice cache {\n}\ntls {\nca %[2]s/ca\ncert %[2]s/cert\nkey %[2]s/key\nserver-name consul.test\n}",
		server.Listener.Addr(), dir)))
	if lists, _ := recorder.waitUntil(t, "an error with the wrong files", hasLog); len(lists) > 0 {
		t.Fatal("got a list with the files of the wrong authority, want none")
	}
	replaceTLSFiles(t, dir, authority)
	recorder.waitUntil(t, "a list with the correct files", hasList)
}

// replaceTLSFiles replaces the CA certificate, and a client certificate and key that it signs, in a directory. Each
// file is replaced atomically.
func replaceTLSFiles(t *testing.T, dir string, authority *emulator.Authority) {
	t.Helper()
	certFile, keyFile := makeCertificate(t, authority, "proxy")
	for name, source := range map[string]string{"ca": authority.CertFile, "cert": certFile, "key": keyFile} {
		path := filepath.Join(dir, name)
		content, err := os.ReadFile(source)
		if err == nil {
			err = os.WriteFile(path+".new", content, 0o600)
		}
		if err == nil {
			err = os.Rename(path+".new", path)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
}

// TestLargeListInParts: a first list of 2500 instances arrives in parts, followed by the complete list.
func TestLargeListInParts(t *testing.T) {
	const instanceCount = 2500
	cluster := consul.NewCluster()
	agent := newAgent(t, cluster)
	var instances []consul.Instance
	for i := range instanceCount {
		instances = append(instances, newInstance(fmt.Sprint("c", i), i+1))
	}
	cluster.ReplaceAll("cache", instances)
	recorder := &recorder{}
	recorder.start(t, parseConfig(t, "agent "+agent.Address()+"\nservice cache {\n}"))
	lists, _ := recorder.waitUntil(t, "the complete list", func(lists []membership.List, _ []string) bool {
		return len(lists) > 0 && !lists[len(lists)-1].Part
	})
	parts, last := lists[:len(lists)-1], lists[len(lists)-1]
	partEndpoints := 0
	for _, part := range parts {
		partEndpoints += len(part.Endpoints)
		if !part.Part || len(part.Endpoints) > maxBatchSize {
			t.Errorf("got list of %d endpoints with Part %v, want at most maxBatchSize and true",
				len(part.Endpoints), part.Part)
		}
	}
	if partEndpoints != instanceCount || len(last.Endpoints) != instanceCount {
		t.Errorf("got %d endpoints in the parts and %d in the complete list, want 2500 in each",
			partEndpoints, len(last.Endpoints))
	}
}

// TestQueryParameters: each query contains the datacenter, filter, tags and mode of the settings.
func TestQueryParameters(t *testing.T) {
	cluster := consul.NewCluster()
	agent := newAgent(t, cluster)
	tagged := newInstance("c1", 1)
	tagged.Tags = []string{"edge"}
	cluster.Put(tagged)
	cluster.Put(newInstance("c2", 1))
	for _, mode := range []string{"default", "stale", "consistent"} {
		recorder := &recorder{}
		recorder.start(t, parseConfig(t, "agent "+agent.Address()+"\ndatacentre dc9\nmode "+mode+
			"\nservice cache {\ntag edge\nfilter 'Service.Port == 1'\n}"))
		lists, _ := recorder.waitUntil(t, "a list", hasList)
		if endpoints := lists[0].Endpoints; len(endpoints) != 1 || endpoints[0].ID != "c1" {
			t.Errorf("mode %s: got endpoints %+v, want only c1, which has the tag", mode, endpoints)
		}
		datacenter, _ := agent.Query("dc")
		filter, _ := agent.Query("filter")
		if datacenter != "dc9" || filter != "Service.Port == 1" {
			t.Errorf("mode %s: got dc %q and filter %q, want dc9 and the configured filter",
				mode, datacenter, filter)
		}
		_, isStale := agent.Query("stale")
		_, isConsistent := agent.Query("consistent")
		if isStale != (mode == "stale") || isConsistent != (mode == "consistent") {
			t.Errorf("mode %s: got stale %v, consistent %v", mode, isStale, isConsistent)
		}
	}
}
