package test

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/miekg/dns"
)

const zone = "boxes.test."

// withDNS turns the DNS side on; extra is added to its block.
func (w *world) withDNS(extra string) {
	w.t.Helper()
	address := w.free()
	w.own("dns {\nlisten " + address + "\nzone " + zone + "\n" + extra + "\n}")
	w.dns = address
}

func (w *world) file(text string) string {
	path := filepath.Join(w.t.TempDir(), "file.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		w.t.Fatal(err)
	}
	return path
}

// stub is a stand-in for a resolver that asks the doorman over UDP or TCP.
type stub struct {
	t    *testing.T
	conn *dns.Conn
}

func (w *world) stub(network string) *stub {
	w.t.Helper()
	conn, err := net.Dial(network, w.dns)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(patience))
	return &stub{w.t, &dns.Conn{Conn: conn}}
}

func (s *stub) ask(id uint16, name string, qtype uint16) {
	s.t.Helper()
	m := new(dns.Msg).SetQuestion(name+"."+zone, qtype)
	m.Id = id
	m.SetEdns0(1232, false)
	if err := s.conn.WriteMsg(m); err != nil {
		s.t.Fatal(err)
	}
}

// told is an answer in the words of the table tests.
type told struct {
	ID    uint16
	Rcode string
	Names []string // what the records of the answer name
	Text  string   // of the extended error
}

func (s *stub) want() told {
	s.t.Helper()
	m, err := s.conn.ReadMsg()
	if err != nil {
		s.t.Fatalf("no answer: %v", err)
	}
	a := told{ID: m.Id, Rcode: dns.RcodeToString[m.Rcode]}
	for _, rr := range m.Answer {
		if rr.Header().Ttl != 0 {
			s.t.Errorf("TTL %d in %v", rr.Header().Ttl, rr)
		}
		switch rr := rr.(type) {
		case *dns.SRV:
			a.Names = append(a.Names, fmt.Sprintf("%s:%d", strings.TrimSuffix(rr.Target, ".box."+zone), rr.Port))
		case *dns.A:
			a.Names = append(a.Names, rr.A.String())
		case *dns.TXT:
			a.Names = append(a.Names, rr.Txt...)
		}
	}
	if opt := m.IsEdns0(); opt != nil {
		for _, o := range opt.Option {
			if e, ok := o.(*dns.EDNS0_EDE); ok {
				a.Text = e.ExtraText
			}
		}
	}
	return a
}

// none checks that no further answer is on its way: what comes next is that of a question asked now.
func (s *stub) none() {
	s.t.Helper()
	s.ask(9999, "n0.00000000000000aa.nosuchclass._", dns.TypeA)
	if a := s.want(); a.ID != 9999 {
		s.t.Errorf("a second answer: %+v", a)
	}
}

// TestDNSQueries asks one question each.
func TestDNSQueries(t *testing.T) {
	w := newWorld(t, func(a *asked) {
		switch {
		case a.Fields["thing"] == "00000000000000ff":
			a.Answer("AGAIN", "-", "")
		case a.Fields["thing"] == "00000000000000fe":
		default:
			a.Answer("ACK", "tag=t1,remark=hit", "bytes")
		}
	}, "c1")
	w.withDNS("limit 300ms")
	w.own("contracts {\nteam lanes {\nclass lookup\n}\nothers {\n}\n}")
	w.run()
	port := w.boxes["c2"].Addr().(*net.TCPAddr).Port
	for _, network := range []string{"udp", "tcp"} {
		s := w.stub(network)
		for i, c := range []struct {
			name  string
			qtype uint16
			want  told
		}{
			{"n0.00000000000000aa.lookup.lanes", dns.TypeSRV, told{Rcode: "NOERROR", Names: []string{fmt.Sprint("c2:", port)}}},
			{"N0.00000000000000AA.Lookup.LANES", dns.TypeA, told{Rcode: "NOERROR", Names: []string{"127.0.0.1"}}},
			{"g3.n0.00000000000000aa.lookup._", dns.TypeTXT,
				told{Rcode: "NOERROR", Names: []string{"outcome=served", "tag=t1", "remark=hit"}}},
			{"n0.00000000000000aa.lookup.lanes", dns.TypeAAAA, told{Rcode: "NOERROR"}},
			{"c2.box", dns.TypeA, told{Rcode: "NOERROR", Names: []string{"127.0.0.1"}}},
			{"c1.box", dns.TypeA, told{Rcode: "NXDOMAIN"}},
			{"n0.00000000000000aa.nosuch._", dns.TypeA, told{Rcode: "NXDOMAIN"}},
			{"n0.aa.lookup._", dns.TypeA, told{Rcode: "FORMERR", Text: `object "aa"`}},
			{"n0.00000000000000aa.charge._", dns.TypeA, told{Rcode: "FORMERR", Text: "this class needs a key"}},
			{"n0.00000000000000aa.footage.lanes", dns.TypeA, told{Rcode: "REFUSED", Text: `later=1000 budget="lanes class"`}},
			{"n0.00000000000000ff.lookup._", dns.TypeA, told{Rcode: "REFUSED", Text: "later=125"}},
			{"k-slow.n0.00000000000000fe.charge._", dns.TypeA, told{Rcode: "REFUSED", Text: "later=350"}},
		} {
			c.want.ID = uint16(i)
			s.ask(c.want.ID, c.name, c.qtype)
			if diff := cmp.Diff(c.want, s.want()); diff != "" {
				t.Errorf("%s over %s (-want +got):\n%s", c.name, network, diff)
			}
		}
	}
	other := new(dns.Msg).SetQuestion("www.example.org.", dns.TypeA)
	s := w.stub("udp")
	_ = s.conn.WriteMsg(other)
	if a := s.want(); a.Rcode != "REFUSED" {
		t.Errorf("another zone: %+v", a)
	}
	for _, raw := range []string{"x", "\x00\x07\x01\x00\x00\x01\x00\x00\x00\x00\x00\x00\xc0\x0c", "\x00\x08\x80\x00\x00\x00\x00\x00\x00\x00\x00\x00"} {
		_, _ = s.conn.Write([]byte(raw))
	}
	if a := s.want(); a.Rcode != "FORMERR" || a.ID != 7 {
		t.Errorf("what can't be read: %+v", a)
	}
	s.none()
}

// TestDNSRetriedCharge is the first hard case: a charge is retried while its first try is out. There must be one
// attempt, one answer to each query that was taken, and the same result again within the key's window.
func TestDNSRetriedCharge(t *testing.T) {
	release := make(chan struct{})
	w := newWorld(t, func(a *asked) {
		<-release
		a.Answer("ACK", "remark=hit", "")
	})
	w.withDNS("")
	w.run()
	const name = "k-5c0f.n0.00000000000000aa.charge.lanes"
	first, retry, tcp := w.stub("udp"), w.stub("udp"), w.stub("tcp")
	first.ask(1, name, dns.TypeTXT)
	w.until("the first try is out", func() bool { return len(w.lines(word("ASK"))) == 1 })
	first.ask(1, name, dns.TypeTXT) // a retransmit
	retry.ask(2, strings.ToUpper(name), dns.TypeTXT)
	tcp.ask(3, name, dns.TypeTXT)
	// Both clients' questions have been read once something asked behind them is answered.
	for _, s := range []*stub{first, retry, tcp} {
		s.none()
	}
	close(release)
	served := []string{"outcome=served", "remark=hit"}
	for id, s := range map[uint16]*stub{1: first, 2: retry, 3: tcp} {
		if diff := cmp.Diff(told{ID: id, Rcode: "NOERROR", Names: served}, s.want()); diff != "" {
			t.Errorf("query %d (-want +got):\n%s", id, diff)
		}
		s.none()
	}
	retry.ask(4, name, dns.TypeTXT) // within the window
	if diff := cmp.Diff(told{ID: 4, Rcode: "NOERROR", Names: served}, retry.want()); diff != "" {
		t.Errorf("asked again (-want +got):\n%s", diff)
	}
	if asks := w.lines(word("ASK")); len(asks) != 1 || asks[0].Endpoint != "o1" {
		t.Errorf("%d attempts, want one at the origin", len(asks))
	}
}

// TestDNSDrainedBox is the second hard case: half a second ago a box began to drain, and name servers still give its
// address. It must not be named, and nothing may be sent to it after 1 s.
func TestDNSDrainedBox(t *testing.T) {
	hold := make(chan *asked, 64)
	w := newWorld(t, nil)
	c1 := w.boxes["c1"].Addr().(*net.TCPAddr).Port
	w.nameServer(map[string]string{"c2.plaza.test.": "127.0.0.1", "c3.plaza.test.": "127.0.0.1"})
	// c2 is listed by name. So is c3, and its name leads to the address of c1: a record that is out of date.
	for _, h := range w.hosts {
		if h["host"] == "c2" {
			h["dial"] = strings.Replace(h["dial"].(string), "127.0.0.1", "c2.plaza.test", 1)
		}
	}
	w.withDNS("resolver " + w.resolver)
	w.run()
	<-w.after
	s := w.stub("udp")
	name := func(i int) string { return fmt.Sprintf("n0.%016x.lookup._", 0x1000+i) }
	id := 0
	w.until("both boxes have been named", func() bool {
		id++
		s.ask(uint16(id), name(id), dns.TypeTXT)
		s.want()
		served := func(box string) func(*asked) bool { return func(a *asked) bool { return a.Endpoint == box } }
		return len(w.lines(served("c1"))) > 0 && len(w.lines(served("c2"))) > 0
	})
	w.setScript(func(a *asked) {
		if a.Endpoint == "c1" {
			hold <- a // its answer comes half a second after the box began to drain
			return
		}
		a.Answer("ACK", "remark=hit", "")
	})
	var out *asked
	w.until("an attempt is out at c1", func() bool {
		id++
		s.ask(uint16(id), name(id), dns.TypeSRV)
		select {
		case out = <-hold:
		case <-time.After(20 * time.Millisecond):
			s.want()
		}
		return out != nil
	})
	began := time.Now()
	w.feed <- `{"no":2,"roster":{"seq":2,"whole":false,"hosts":[{"host":"c1","dial":"127.0.0.1:` + fmt.Sprint(c1) +
		`","site":"edge","class":"std",` +
		`"block":0,"health":"draining","share":4,"born_ms":0},{"host":"c3","dial":"c3.plaza.test:` + fmt.Sprint(c1) +
		`","site":"edge","class":"std","block":0,"health":"up","share":4,"born_ms":0}]}}`
	time.Sleep(500 * time.Millisecond) // the case's own half second
	out.Answer("ACK", "remark=hit", "")
	if a := s.want(); a.Rcode != "NOERROR" || len(a.Names) != 1 || !strings.HasPrefix(a.Names[0], "c2:") {
		t.Errorf("the answer to the attempt that was out: %+v, want c2 named", a)
	}
	for time.Since(began) < 1500*time.Millisecond {
		id++
		s.ask(uint16(id), name(id), dns.TypeSRV)
		if a := s.want(); len(a.Names) != 1 || !strings.HasPrefix(a.Names[0], "c2:") {
			t.Fatalf("query %d: %+v, want c2 named", id, a)
		}
	}
	s.none()
	if late := w.lines(func(a *asked) bool { return a.Endpoint == "c1" && a.At.After(began.Add(time.Second)) }); len(late) > 0 {
		t.Errorf("%d lines reached the drained box after 1 s, the first %+v", len(late), late[0])
	}
	ids := map[string]bool{}
	for _, a := range w.lines(word("ASK")) {
		if ids[a.ID] && a.Endpoint == "c1" {
			t.Errorf("request %s went to c1 twice", a.ID)
		}
		ids[a.ID] = true
	}
	if !slices.ContainsFunc(w.names.Queries(), func(n string) bool { return n == "c3.plaza.test." }) {
		t.Error("c3 was never looked up, so the case was not played")
	}
}
