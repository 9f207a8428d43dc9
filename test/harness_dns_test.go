package test

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/miekg/dns"
)

// zone is the DNS zone that the program serves.
const zone = "boxes.test."

// enableDNS enables the DNS frontend; extra is added to the dns block of the settings.
func (bed *testbed) enableDNS(extra string) {
	bed.t.Helper()
	address := bed.freeAddress()
	bed.addSettings("dns {", "listen "+address, "zone "+zone, extra, "}")
	bed.dnsAddress = address
}

// dnsClient is an emulated resolver that queries the program over UDP or TCP.
type dnsClient struct {
	t    *testing.T
	conn *dns.Conn
}

// dialDNS connects a dnsClient over network, "udp" or "tcp". The connection is closed when the test ends.
func (bed *testbed) dialDNS(network string) *dnsClient {
	bed.t.Helper()
	conn, err := net.Dial(network, bed.dnsAddress)
	if err != nil {
		bed.t.Fatal(err)
	}
	bed.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(waitLimit))
	return &dnsClient{bed.t, &dns.Conn{Conn: conn}}
}

// newDNSQuery returns a query for a name in the zone, with EDNS.
func newDNSQuery(id uint16, name string, qtype uint16) *dns.Msg {
	message := new(dns.Msg).SetQuestion(name+"."+zone, qtype)
	message.Id = id
	message.SetEdns0(1232, false)
	return message
}

// query sends a query for a name in the zone.
func (c *dnsClient) query(id uint16, name string, qtype uint16) {
	c.t.Helper()
	if err := c.conn.WriteMsg(newDNSQuery(id, name, qtype)); err != nil {
		c.t.Fatal(err)
	}
}

// dnsAnswer is the part of a DNS response that tests compare.
type dnsAnswer struct {
	ID         uint16
	Rcode      string
	RecordData []string // of the answer section: TARGET:PORT (SRV), address (A) or texts (TXT)
	Text       string   // of the extended error; empty: none
}

// mustRead reads the next response, and fails the test if there is none or if it may be cached (its TTL is not 0).
func (c *dnsClient) mustRead() dnsAnswer {
	c.t.Helper()
	message, err := c.conn.ReadMsg()
	if err != nil {
		c.t.Fatalf("read response: %v", err)
	}
	answer := dnsAnswer{ID: message.Id, Rcode: dns.RcodeToString[message.Rcode], Text: extendedError(message)}
	for _, record := range message.Answer {
		if record.Header().Ttl != 0 {
			c.t.Errorf("got TTL %d in %v, want 0", record.Header().Ttl, record)
		}
		switch record := record.(type) {
		case *dns.SRV:
			target := strings.TrimSuffix(record.Target, ".box."+zone)
			answer.RecordData = append(answer.RecordData, fmt.Sprintf("%s:%d", target, record.Port))
		case *dns.A:
			answer.RecordData = append(answer.RecordData, record.A.String())
		case *dns.TXT:
			answer.RecordData = append(answer.RecordData, record.Txt...)
		}
	}
	return answer
}

// extendedError returns the text of a message's extended error (RFC 8914), or "" if it has none.
func extendedError(message *dns.Msg) (text string) {
	if opt := message.IsEdns0(); opt != nil {
		for _, option := range opt.Option {
			if extended, ok := option.(*dns.EDNS0_EDE); ok {
				text = extended.ExtraText
			}
		}
	}
	return text
}

// expectNoFurtherAnswer fails the test if another response is on its way: the next one must be to a query sent now.
func (c *dnsClient) expectNoFurtherAnswer() {
	c.t.Helper()
	c.query(9999, "n0.00000000000000aa.nosuchclass._", dns.TypeA)
	if answer := c.mustRead(); answer.ID != 9999 {
		c.t.Errorf("got the further response %+v, want none", answer)
	}
}
