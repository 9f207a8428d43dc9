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

// newAgent starts an emulated agent that ends with the test.
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
	certFile, keyFile, err := authority.Make(name, "consul.test")
	if err != nil {
		t.Fatal(err)
	}
	return certFile, keyFile
}

// newTLSServer has an agent answer by HTTPS, and demand a certificate.
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

// TestHTTPS: the agent is trusted by its authority and name, and sees our certificate; without either nothing is taken.
func TestHTTPS(t *testing.T) {
	authority := newAuthority(t)
	ourCert, ourKey := makeCertificate(t, authority, "doorman")
	cluster := consul.NewCluster()
	agent := newAgent(t, cluster)
	cluster.Put(newInstance("c1", 1))
	server := newTLSServer(t, authority, agent)
	ca := "ca " + authority.File + "\n"
	pair := "cert " + ourCert + "\nkey " + ourKey + "\n"
	for _, c := range []struct {
		name, tls string
		works     bool
	}{
		{"all right", ca + pair + "server-name consul.test", true},
		{"no certificate of ours", ca + "server-name consul.test", false},
		{"another name", ca + pair + "server-name other.test", false},
		{"no authority", pair + "server-name consul.test", false},
	} {
		recorder := &recorder{}
		address := server.Listener.Addr().String()
		recorder.start(t, parseConfig(t, "agent "+address+"\nservice cache {\n}\ntls {\n"+c.tls+"\n}"))
		lists, logged := recorder.until(t, c.name+": something comes",
			func(lists []membership.List, logged []string) bool { return len(lists)+len(logged) > 0 })
		if works := len(lists) > 0; works != c.works {
			t.Errorf("%s: lists %d, %v", c.name, len(lists), logged)
		}
	}
}

// TestFilesChange: an authority and a certificate that are put right while the proxy runs are taken over without a
// restart.
func TestFilesChange(t *testing.T) {
	authority, stranger := newAuthority(t), newAuthority(t)
	folder := t.TempDir()
	replaceFiles(t, folder, stranger)
	server := newTLSServer(t, authority, newAgent(t, consul.NewCluster()))
	recorder := &recorder{}
	recorder.start(t, parseConfig(t, fmt.Sprintf(
		"agent %s\nservice cache {\n}\ntls {\nca %[2]s/ca\ncert %[2]s/cert\nkey %[2]s/key\nserver-name consul.test\n}",
		server.Listener.Addr(), folder)))
	if lists, _ := recorder.until(t, "the stranger's files fail", someLog); len(lists) > 0 {
		t.Fatal("a list by the stranger's authority")
	}
	replaceFiles(t, folder, authority)
	recorder.until(t, "the right files are in force", someList)
}

// replaceFiles puts an authority's certificate, and one that it signs, into a folder, each in one step.
func replaceFiles(t *testing.T, folder string, authority *emulator.Authority) {
	t.Helper()
	certFile, keyFile := makeCertificate(t, authority, "doorman")
	for name, from := range map[string]string{"ca": authority.File, "cert": certFile, "key": keyFile} {
		path := filepath.Join(folder, name)
		text, err := os.ReadFile(from)
		if err == nil {
			err = os.WriteFile(path+".new", text, 0o600)
		}
		if err == nil {
			err = os.Rename(path+".new", path)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
}

// TestLargeListInParts: a first list of thousands comes in parts, and the complete list last.
func TestLargeListInParts(t *testing.T) {
	const instanceCount = 2500
	cluster := consul.NewCluster()
	agent := newAgent(t, cluster)
	var instances []consul.Instance
	for i := range instanceCount {
		instances = append(instances, newInstance(fmt.Sprint("c", i), i+1))
	}
	cluster.PutAll("cache", instances)
	recorder := &recorder{}
	recorder.start(t, parseConfig(t, "agent "+agent.Address()+"\nservice cache {\n}"))
	lists, _ := recorder.until(t, "the complete list is there", func(lists []membership.List, _ []string) bool {
		return len(lists) > 0 && !lists[len(lists)-1].Part
	})
	parts, last := lists[:len(lists)-1], lists[len(lists)-1]
	sum := 0
	for _, part := range parts {
		sum += len(part.Endpoints)
		if !part.Part || len(part.Endpoints) > maxBatchSize {
			t.Errorf("a part of %d endpoints, part %v", len(part.Endpoints), part.Part)
		}
	}
	if sum != instanceCount || len(last.Endpoints) != instanceCount {
		t.Errorf("%d endpoints in parts, %d in the complete list", sum, len(last.Endpoints))
	}
}

// TestQueryParameters: datacentre, filter, tags and mode go out with each query.
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
		lists, _ := recorder.until(t, "a list comes", someList)
		if endpoints := lists[0].Endpoints; len(endpoints) != 1 || endpoints[0].ID != "c1" {
			t.Errorf("%s: %+v, want the one with the tag", mode, endpoints)
		}
		datacenter, _ := agent.Query("dc")
		filter, _ := agent.Query("filter")
		if datacenter != "dc9" || filter != "Service.Port == 1" {
			t.Errorf("%s: dc %q, filter %q", mode, datacenter, filter)
		}
		_, isStale := agent.Query("stale")
		_, isConsistent := agent.Query("consistent")
		if isStale != (mode == "stale") || isConsistent != (mode == "consistent") {
			t.Errorf("%s: stale %v, consistent %v", mode, isStale, isConsistent)
		}
	}
}
