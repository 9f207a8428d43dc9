package test

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/miekg/dns"
)

const zone = "boxes.test."

// enableDNS turns the DNS side on; extra is added to its block.
func (w *testbed) enableDNS(extra string) {
	w.t.Helper()
	address := w.freeAddress()
	w.addSettings("dns {\nlisten " + address + "\nzone " + zone + "\n" + extra + "\n}")
	w.dnsAddress = address
}

// dnsClient is a stand-in for a resolver that asks the doorman over UDP or TCP.
type dnsClient struct {
	t    *testing.T
	conn *dns.Conn
}

func (w *testbed) dialDNS(network string) *dnsClient {
	w.t.Helper()
	conn, err := net.Dial(network, w.dnsAddress)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(waitLimit))
	return &dnsClient{w.t, &dns.Conn{Conn: conn}}
}

func (s *dnsClient) query(id uint16, name string, qtype uint16) {
	s.t.Helper()
	m := new(dns.Msg).SetQuestion(name+"."+zone, qtype)
	m.Id = id
	m.SetEdns0(1232, false)
	if err := s.conn.WriteMsg(m); err != nil {
		s.t.Fatal(err)
	}
}

// dnsAnswer is an answer in the words of the table tests.
type dnsAnswer struct {
	ID    uint16
	Rcode string
	Names []string // what the records of the answer name
	Text  string   // of the extended error
}

func (s *dnsClient) mustRead() dnsAnswer {
	s.t.Helper()
	m, err := s.conn.ReadMsg()
	if err != nil {
		s.t.Fatalf("no answer: %v", err)
	}
	a := dnsAnswer{ID: m.Id, Rcode: dns.RcodeToString[m.Rcode]}
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

// expectNoMore checks that no further answer is on its way: what comes next is that of a question asked now.
func (s *dnsClient) expectNoMore() {
	s.t.Helper()
	s.query(9999, "n0.00000000000000aa.nosuchclass._", dns.TypeA)
	if a := s.mustRead(); a.ID != 9999 {
		s.t.Errorf("a second answer: %+v", a)
	}
}
