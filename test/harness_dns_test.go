package test

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/miekg/dns"
)

// zone is the one that the program answers for.
const zone = "boxes.test."

// enableDNS turns the DNS side on; extra is added to its block.
func (bed *testbed) enableDNS(extra string) {
	bed.t.Helper()
	address := bed.freeAddress()
	bed.addSettings("dns {", "listen "+address, "zone "+zone, extra, "}")
	bed.dnsAddress = address
}

// dnsClient is an emulator of a resolver that asks the program over UDP or TCP.
type dnsClient struct {
	t    *testing.T
	conn *dns.Conn
}

// dialDNS connects one, until the test ends; network is udp or tcp.
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

// newDNSQuery is a query for a name in the zone, with EDNS.
func newDNSQuery(id uint16, name string, qtype uint16) *dns.Msg {
	message := new(dns.Msg).SetQuestion(name+"."+zone, qtype)
	message.Id = id
	message.SetEdns0(1232, false)
	return message
}

// query sends a question for a name in the zone.
func (c *dnsClient) query(id uint16, name string, qtype uint16) {
	c.t.Helper()
	if err := c.conn.WriteMsg(newDNSQuery(id, name, qtype)); err != nil {
		c.t.Fatal(err)
	}
}

// dnsAnswer is an answer in the words of the table tests.
type dnsAnswer struct {
	ID         uint16
	Rcode      string
	RecordData []string // what the records of the answer name
	Text       string   // of the extended error
}

// mustRead takes one answer, and fails without it or if it may be cached.
func (c *dnsClient) mustRead() dnsAnswer {
	c.t.Helper()
	message, err := c.conn.ReadMsg()
	if err != nil {
		c.t.Fatalf("no answer came: %v", err)
	}
	answer := dnsAnswer{ID: message.Id, Rcode: dns.RcodeToString[message.Rcode], Text: extendedError(message)}
	for _, record := range message.Answer {
		if record.Header().Ttl != 0 {
			c.t.Errorf("TTL %d in %v, want 0", record.Header().Ttl, record)
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

// extendedError is the text of a message's extended error (RFC 8914); empty: it has none.
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

// expectNoFurtherAnswer checks that no further answer is on its way: what comes next is that of a question asked now.
func (c *dnsClient) expectNoFurtherAnswer() {
	c.t.Helper()
	c.query(9999, "n0.00000000000000aa.nosuchclass._", dns.TypeA)
	if answer := c.mustRead(); answer.ID != 9999 {
		c.t.Errorf("%+v came besides, want no further answer", answer)
	}
}
