package consul

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/consul/api"

	"sloequay/internal/config"
	"sloequay/internal/emulator"
	"sloequay/internal/emulator/consul"
	"sloequay/internal/membership"
)

func parse(t testing.TB, text string) *Config {
	t.Helper()
	c := &Config{}
	root := &config.Section{}
	root.Block("catalogue", false, "", func([]string) (*config.Section, error) { return c.Section(), nil })
	if err := root.Parse("test", []byte("catalogue {\n"+text+"\n}")); err != nil {
		t.Fatal(err)
	}
	return c
}

// heard collects what a catalogue tells and logs.
type heard struct {
	mu    sync.Mutex
	lists []membership.List
	words []string
}

func (h *heard) start(t *testing.T, c *Config) *Catalogue {
	t.Helper()
	cat := &Catalogue{Config: c, Names: membership.Names{Zones: []string{"hub", "edge"}, Kinds: []string{"std", "parent", "origin"}},
		Now: func() time.Duration { return time.Duration(time.Now().UnixNano()) },
		Log: func(event string, fields ...any) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.words = append(h.words, fmt.Sprint(event, fields))
		},
		Publish: func(events ...membership.SourceEvent) {
			h.mu.Lock()
			defer h.mu.Unlock()
			for _, e := range events {
				if l, ok := e.(membership.ListReceived); ok {
					h.lists = append(h.lists, l.List)
				}
			}
		}}
	ctx, end := context.WithCancel(context.Background())
	t.Cleanup(end)
	if err := cat.Start(ctx); err != nil {
		t.Fatal(err)
	}
	return cat
}

// until waits for a condition on what was heard.
func (h *heard) until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(2 * time.Millisecond) {
		h.mu.Lock()
		done := ok()
		h.mu.Unlock()
		if done {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("waited in vain until %s; heard %v", what, h.words)
		}
	}
}

// secured has an agent answer by HTTPS, and want a certificate.
func secured(t *testing.T, ca *emulator.Authority, agent *consul.Agent) *httptest.Server {
	t.Helper()
	cert, key, err := ca.Make("server", "consul.test")
	if err != nil {
		t.Fatal(err)
	}
	pair, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(ca.Cert)
	server := httptest.NewUnstartedServer(http.HandlerFunc(agent.ServeHTTP))
	server.TLS = &tls.Config{Certificates: []tls.Certificate{pair}, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert}
	server.StartTLS()
	t.Cleanup(server.Close)
	return server
}

// TestHTTPS: the agent is believed by its authority and name, and sees our certificate; without either nothing is
// taken.
func TestHTTPS(t *testing.T) {
	ca, err := emulator.NewAuthority(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	ourCert, ourKey, err := ca.Make("doorman", "consul.test")
	if err != nil {
		t.Fatal(err)
	}
	cluster := consul.NewCluster()
	agent, err := cluster.NewAgent("a")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Close)
	cluster.Put(consul.Instance{Node: "n", Service: "cache", ID: "c1", Address: "127.0.0.1", Port: 1, Meta: map[string]string{"site": "edge", "class": "std"}})
	server := secured(t, ca, agent)
	caFile := ca.File
	address := server.Listener.Addr().(*net.TCPAddr).String()
	for _, c := range []struct {
		name, tls string
		works     bool
	}{
		{"all right", "ca " + caFile + "\ncert " + ourCert + "\nkey " + ourKey + "\nserver-name consul.test", true},
		{"no certificate of ours", "ca " + caFile + "\nserver-name consul.test", false},
		{"another name", "ca " + caFile + "\ncert " + ourCert + "\nkey " + ourKey + "\nserver-name other.test", false},
		{"no authority", "cert " + ourCert + "\nkey " + ourKey + "\nserver-name consul.test", false},
	} {
		h := &heard{}
		h.start(t, parse(t, "agent "+address+"\nservice cache {\n}\ntls {\n"+c.tls+"\n}"))
		h.until(t, c.name+": something comes", func() bool { return len(h.lists) > 0 || len(h.words) > 0 })
		if works := len(h.lists) > 0; works != c.works {
			t.Errorf("%s: lists %d, %v", c.name, len(h.lists), h.words)
		}
	}
}

// TestFilesChange: an authority and a certificate that are put right while the doorman runs are taken over without a
// restart.
func TestFilesChange(t *testing.T) {
	ca, err := emulator.NewAuthority(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	stranger, err := emulator.NewAuthority(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	files := map[string]string{}
	copyTo := func(dir string, a *emulator.Authority) {
		cert, key, err := a.Make("doorman", "consul.test")
		if err != nil {
			t.Fatal(err)
		}
		for name, from := range map[string]string{"ca": a.File, "cert": cert, "key": key} {
			text, err := os.ReadFile(from)
			if err == nil {
				err = os.WriteFile(dir+"/"+name+".new", text, 0o600)
			}
			if err == nil {
				err = os.Rename(dir+"/"+name+".new", dir+"/"+name)
			}
			if err != nil {
				t.Fatal(err)
			}
			files[name] = dir + "/" + name
		}
	}
	dir := t.TempDir()
	copyTo(dir, stranger)
	agent, err := consul.NewCluster().NewAgent("a")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Close)
	server := secured(t, ca, agent)
	h := &heard{}
	h.start(t, parse(t, "agent "+server.Listener.Addr().String()+"\nservice cache {\n}\ntls {\nca "+files["ca"]+"\ncert "+files["cert"]+"\nkey "+files["key"]+
		"\nserver-name consul.test\n}"))
	h.until(t, "the stranger's files fail", func() bool { return len(h.words) > 0 })
	if len(h.lists) > 0 {
		t.Fatal("a list by the stranger's authority")
	}
	copyTo(dir, ca)
	h.until(t, "the right files are in force", func() bool { return len(h.lists) > 0 })
}

// TestLargeListInParts: a first list of thousands comes in parts, and the whole of it last.
func TestLargeListInParts(t *testing.T) {
	cluster := consul.NewCluster()
	agent, err := cluster.NewAgent("a")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Close)
	var all []consul.Instance
	for i := range 2500 {
		all = append(all, consul.Instance{Node: "n", ID: fmt.Sprint("c", i), Address: "127.0.0.1", Port: i + 1,
			Meta: map[string]string{"site": "edge", "class": "std"}})
	}
	cluster.PutAll("cache", all)
	h := &heard{}
	h.start(t, parse(t, "agent "+agent.Address()+"\nservice cache {\n}"))
	h.until(t, "the whole list is there", func() bool { return len(h.lists) > 0 && !h.lists[len(h.lists)-1].Part })
	h.mu.Lock()
	defer h.mu.Unlock()
	sum := 0
	for _, l := range h.lists[:len(h.lists)-1] {
		if sum += len(l.Endpoints); !l.Part || len(l.Endpoints) > maxBatchSize {
			t.Errorf("a part of %d boxes, part %v", len(l.Endpoints), l.Part)
		}
	}
	if last := h.lists[len(h.lists)-1]; sum != 2500 || len(last.Endpoints) != 2500 {
		t.Errorf("%d boxes in parts, %d in the whole", sum, len(last.Endpoints))
	}
}

// TestSettings: what is missing or wrong in the block is told by its key.
func TestSettings(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"service cache {\n}", "test:1: catalogue: no agent is given"},
		{"agent 127.0.0.1:8500", "test:1: catalogue: neither service nor purges nor register is given"},
		{"agent here\nservice cache {\n}", `test:2: catalogue.agent: expected host:port, got "here"`},
		{"agent 127.0.0.1:1\nservice a/b {\n}", "test:3: catalogue.service: expected the name of one service"},
		{"agent 127.0.0.1:1\nservice a {\n}\nservice a {\n}", "test:5: catalogue.service: the service a is named twice"},
		{"agent 127.0.0.1:1\nservice a {\nid host\n}", `test:4: catalogue.service.id: expected one of service, node, node/service or meta:KEY, got "host"`},
		{"agent 127.0.0.1:1\nregister {\n}", "test:3: catalogue.register: service is missing"},
		{"agent 127.0.0.1:1\nservice a {\n}\ntls {\ncert /nowhere\n}", "test:6: catalogue.tls.cert: open /nowhere: no such file or directory"},
	} {
		cfg := &Config{}
		root := &config.Section{}
		root.Block("catalogue", false, "", func([]string) (*config.Section, error) { return cfg.Section(), nil })
		if err := root.Parse("test", []byte("catalogue {\n"+c.text+"\n}")); err == nil || err.Error() != c.want {
			t.Errorf("%q:\n got %v\nwant %s", c.text, err, c.want)
		}
	}
}

// FuzzEntries: no answer of an agent's ends the program, and what is taken of it is a box that can be used.
func FuzzEntries(f *testing.F) {
	f.Add([]byte(`[{"Node":{"Node":"n","Address":"10.0.0.1"},"Service":{"ID":"c1","Port":8443,"Meta":{"site":"edge","class":"std"},"Weights":{"Passing":4}},"Checks":[{"CheckID":"a","Status":"passing"}]}]`))
	f.Add([]byte(`[null,{"Node":null},{"Service":{"ID":"","Port":-1}},{"Node":{},"Service":{"ID":"a b","Port":1},"Checks":[null,{"Status":"x"}]}]`))
	f.Add([]byte(`[{"Node":{"Address":"::1"},"Service":{"ID":"c","Port":1,"Meta":{"site":"hub","class":"parent","capacity":"1e400","born_ms":"-1"}}}]`))
	v := parse(f, "agent 127.0.0.1:1\nservice cache {\n}").Services[0]
	names := membership.Names{Zones: []string{"hub", "edge"}, Kinds: []string{"std", "parent", "origin"}}
	f.Fuzz(func(t *testing.T, data []byte) {
		var entries []*api.ServiceEntry
		if json.Unmarshal(data, &entries) != nil {
			return
		}
		for _, e := range entries {
			box, err := v.endpoint(e, names)
			if err != nil {
				if err.Error() == "" {
					t.Fatal("an error without a reason")
				}
				continue
			}
			if box.ID == "" || box.State != membership.Gone && (box.Zone < 0 || box.Kind < 0 || box.Address == "") || box.StartedAt < 0 || box.Weight != box.Weight {
				t.Fatalf("taken: %+v", box)
			}
		}
	})
}

// TestQuestions: datacentre, filter, tags and mode go out with each question.
func TestQuestions(t *testing.T) {
	cluster := consul.NewCluster()
	agent, err := cluster.NewAgent("a")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Close)
	box := consul.Instance{Node: "n", Service: "cache", ID: "c1", Address: "127.0.0.1", Port: 1, Tags: []string{"edge"},
		Meta: map[string]string{"site": "edge", "class": "std"}}
	cluster.Put(box)
	box.ID, box.Tags = "c2", nil
	cluster.Put(box)
	for _, mode := range []string{"default", "stale", "consistent"} {
		h := &heard{}
		h.start(t, parse(t, "agent "+agent.Address()+"\ndatacentre dc9\nmode "+mode+"\nservice cache {\ntag edge\nfilter 'Service.Port == 1'\n}"))
		h.until(t, "a list comes", func() bool { return len(h.lists) > 0 })
		if len(h.lists[0].Endpoints) != 1 || h.lists[0].Endpoints[0].ID != "c1" {
			t.Errorf("%s: %+v, want the one with the tag", mode, h.lists[0].Endpoints)
		}
		dc, _ := agent.Query("dc")
		filter, _ := agent.Query("filter")
		_, stale := agent.Query("stale")
		_, consistent := agent.Query("consistent")
		if dc != "dc9" || filter != "Service.Port == 1" || stale != (mode == "stale") || consistent != (mode == "consistent") {
			t.Errorf("%s: dc %q, filter %q, stale %v, consistent %v", mode, dc, filter, stale, consistent)
		}
	}
}
