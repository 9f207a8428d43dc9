package test

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/miekg/dns"
)

// TestDNSQueries asks one question each.
func TestDNSQueries(t *testing.T) {
	w := newTestbed(t, func(a *receivedRequest) {
		switch {
		case a.Fields["thing"] == "00000000000000ff":
			a.Answer("AGAIN", "-", "")
		case a.Fields["thing"] == "00000000000000fe":
		default:
			a.Answer("ACK", "tag=t1,remark=hit", "bytes")
		}
	}, "c1")
	w.enableDNS("limit 300ms")
	w.addSettings("contracts {\nteam lanes {\nclass lookup\n}\nothers {\n}\n}")
	w.start()
	port := w.listeners["c2"].Addr().(*net.TCPAddr).Port
	for _, network := range []string{"udp", "tcp"} {
		s := w.dialDNS(network)
		for i, c := range []struct {
			name  string
			qtype uint16
			want  dnsAnswer
		}{
			{"n0.00000000000000aa.lookup.lanes", dns.TypeSRV, dnsAnswer{Rcode: "NOERROR", Names: []string{fmt.Sprint("c2:", port)}}},
			{"N0.00000000000000AA.Lookup.LANES", dns.TypeA, dnsAnswer{Rcode: "NOERROR", Names: []string{"127.0.0.1"}}},
			{"g3.n0.00000000000000aa.lookup._", dns.TypeTXT,
				dnsAnswer{Rcode: "NOERROR", Names: []string{"outcome=served", "tag=t1", "remark=hit"}}},
			{"n0.00000000000000aa.lookup.lanes", dns.TypeAAAA, dnsAnswer{Rcode: "NOERROR"}},
			{"c2.box", dns.TypeA, dnsAnswer{Rcode: "NOERROR", Names: []string{"127.0.0.1"}}},
			{"c1.box", dns.TypeA, dnsAnswer{Rcode: "NXDOMAIN"}},
			{"n0.00000000000000aa.nosuch._", dns.TypeA, dnsAnswer{Rcode: "NXDOMAIN"}},
			{"n0.aa.lookup._", dns.TypeA, dnsAnswer{Rcode: "FORMERR", Text: `object "aa"`}},
			{"n0.00000000000000aa.charge._", dns.TypeA, dnsAnswer{Rcode: "FORMERR", Text: "this class needs a key"}},
			{"n0.00000000000000aa.footage.lanes", dns.TypeA, dnsAnswer{Rcode: "REFUSED", Text: `later=1000 budget="lanes class"`}},
			{"n0.00000000000000ff.lookup._", dns.TypeA, dnsAnswer{Rcode: "REFUSED", Text: "later=125"}},
			{"k-slow.n0.00000000000000fe.charge._", dns.TypeA, dnsAnswer{Rcode: "REFUSED", Text: "later=350"}},
		} {
			c.want.ID = uint16(i)
			s.query(c.want.ID, c.name, c.qtype)
			if diff := cmp.Diff(c.want, s.mustRead()); diff != "" {
				t.Errorf("%s over %s (-want +got):\n%s", c.name, network, diff)
			}
		}
	}
	other := new(dns.Msg).SetQuestion("www.example.org.", dns.TypeA)
	s := w.dialDNS("udp")
	_ = s.conn.WriteMsg(other)
	if a := s.mustRead(); a.Rcode != "REFUSED" {
		t.Errorf("another zone: %+v", a)
	}
	for _, raw := range []string{"x", "\x00\x07\x01\x00\x00\x01\x00\x00\x00\x00\x00\x00\xc0\x0c", "\x00\x08\x80\x00\x00\x00\x00\x00\x00\x00\x00\x00"} {
		_, _ = s.conn.Write([]byte(raw))
	}
	if a := s.mustRead(); a.Rcode != "FORMERR" || a.ID != 7 {
		t.Errorf("what can't be read: %+v", a)
	}
	s.expectNoMore()
}

// TestDNSRetransmitsAreIdempotent is the first hard case: a charge is retried while its first try is out. There must be one
// attempt, one answer to each query that was taken, and the same result again within the key's window.
func TestDNSRetransmitsAreIdempotent(t *testing.T) {
	release := make(chan struct{})
	w := newTestbed(t, func(a *receivedRequest) {
		<-release
		a.Answer("ACK", "remark=hit", "")
	})
	w.enableDNS("")
	w.start()
	const name = "k-5c0f.n0.00000000000000aa.charge.lanes"
	first, retry, tcp := w.dialDNS("udp"), w.dialDNS("udp"), w.dialDNS("tcp")
	first.query(1, name, dns.TypeTXT)
	w.waitUntil("the first try is out", func() bool { return len(w.received(hasWord("ASK"))) == 1 })
	first.query(1, name, dns.TypeTXT) // a retransmit
	retry.query(2, strings.ToUpper(name), dns.TypeTXT)
	tcp.query(3, name, dns.TypeTXT)
	// Both clients' questions have been read once something asked behind them is answered.
	for _, s := range []*dnsClient{first, retry, tcp} {
		s.expectNoMore()
	}
	close(release)
	served := []string{"outcome=served", "remark=hit"}
	for id, s := range map[uint16]*dnsClient{1: first, 2: retry, 3: tcp} {
		if diff := cmp.Diff(dnsAnswer{ID: id, Rcode: "NOERROR", Names: served}, s.mustRead()); diff != "" {
			t.Errorf("query %d (-want +got):\n%s", id, diff)
		}
		s.expectNoMore()
	}
	retry.query(4, name, dns.TypeTXT) // within the window
	if diff := cmp.Diff(dnsAnswer{ID: 4, Rcode: "NOERROR", Names: served}, retry.mustRead()); diff != "" {
		t.Errorf("asked again (-want +got):\n%s", diff)
	}
	if asks := w.received(hasWord("ASK")); len(asks) != 1 || asks[0].Endpoint != "o1" {
		t.Errorf("%d attempts, want one at the origin", len(asks))
	}
}

// TestDNSDrainingEndpoint is the second hard case: half a second ago a box began to drain, and name servers still give its
// address. It must not be named, and nothing may be sent to it after 1 s.
func TestDNSDrainingEndpoint(t *testing.T) {
	hold := make(chan *receivedRequest, 64)
	w := newTestbed(t, nil)
	c1 := w.listeners["c1"].Addr().(*net.TCPAddr).Port
	w.startNameServer(map[string]string{"c2.plaza.test.": "127.0.0.1", "c3.plaza.test.": "127.0.0.1"})
	// c2 is listed by name. So is c3, and its name leads to the address of c1: a record that is out of date.
	for _, h := range w.listed {
		if h["host"] == "c2" {
			h["dial"] = strings.Replace(h["dial"].(string), "127.0.0.1", "c2.plaza.test", 1)
		}
	}
	w.enableDNS("resolver " + w.resolver)
	w.start()
	<-w.listPolls
	s := w.dialDNS("udp")
	name := func(i int) string { return fmt.Sprintf("n0.%016x.lookup._", 0x1000+i) }
	id := 0
	w.waitUntil("both boxes have been named", func() bool {
		id++
		s.query(uint16(id), name(id), dns.TypeTXT)
		s.mustRead()
		served := func(box string) func(*receivedRequest) bool {
			return func(a *receivedRequest) bool { return a.Endpoint == box }
		}
		return len(w.received(served("c1"))) > 0 && len(w.received(served("c2"))) > 0
	})
	w.setResponder(func(a *receivedRequest) {
		if a.Endpoint == "c1" {
			hold <- a // its answer comes half a second after the box began to drain
			return
		}
		a.Answer("ACK", "remark=hit", "")
	})
	var out *receivedRequest
	w.waitUntil("an attempt is out at c1", func() bool {
		id++
		s.query(uint16(id), name(id), dns.TypeSRV)
		select {
		case out = <-hold:
		case <-time.After(20 * time.Millisecond):
			s.mustRead()
		}
		return out != nil
	})
	began := time.Now()
	w.listFeed <- `{"no":2,"roster":{"seq":2,"whole":false,"hosts":[{"host":"c1","dial":"127.0.0.1:` + fmt.Sprint(c1) +
		`","site":"edge","class":"std",` +
		`"block":0,"health":"draining","share":4,"born_ms":0},{"host":"c3","dial":"c3.plaza.test:` + fmt.Sprint(c1) +
		`","site":"edge","class":"std","block":0,"health":"up","share":4,"born_ms":0}]}}`
	time.Sleep(500 * time.Millisecond) // the case's own half second
	out.Answer("ACK", "remark=hit", "")
	if a := s.mustRead(); a.Rcode != "NOERROR" || len(a.Names) != 1 || !strings.HasPrefix(a.Names[0], "c2:") {
		t.Errorf("the answer to the attempt that was out: %+v, want c2 named", a)
	}
	for time.Since(began) < 1500*time.Millisecond {
		id++
		s.query(uint16(id), name(id), dns.TypeSRV)
		if a := s.mustRead(); len(a.Names) != 1 || !strings.HasPrefix(a.Names[0], "c2:") {
			t.Fatalf("query %d: %+v, want c2 named", id, a)
		}
	}
	s.expectNoMore()
	if late := w.received(func(a *receivedRequest) bool { return a.Endpoint == "c1" && a.At.After(began.Add(time.Second)) }); len(late) > 0 {
		t.Errorf("%d lines reached the drained box after 1 s, the first %+v", len(late), late[0])
	}
	ids := map[string]bool{}
	for _, a := range w.received(hasWord("ASK")) {
		if ids[a.ID] && a.Endpoint == "c1" {
			t.Errorf("request %s went to c1 twice", a.ID)
		}
		ids[a.ID] = true
	}
	if !slices.ContainsFunc(w.nameServer.Queries(), func(n string) bool { return n == "c3.plaza.test." }) {
		t.Error("c3 was never looked up, so the case was not played")
	}
}
