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

// TestDNSQueries checks the responses to single queries, both valid and invalid.
func TestDNSQueries(t *testing.T) {
	// Objects that endpoints reject, and for which they never respond.
	const rejectedObject, unanswered = "00000000000000ff", "00000000000000fe"
	bed := newTestbed(t, func(attempt *receivedRequest) {
		switch attempt.Fields["thing"] {
		case rejectedObject:
			attempt.Answer("AGAIN", "-", "")
		case unanswered:
		default:
			attempt.Answer("ACK", "tag=t1,remark=hit", "bytes")
		}
	}, "c1")
	bed.enableDNS("limit 300ms")
	bed.addSettings("contracts {", "team lanes {", "class lookup", "}", "others {", "}", "}")
	bed.start()
	port := bed.listeners["c2"].Addr().(*net.TCPAddr).Port
	served := func(names ...string) dnsAnswer { return dnsAnswer{Rcode: "NOERROR", RecordData: names} }
	failed := func(rcode, text string) dnsAnswer { return dnsAnswer{Rcode: rcode, Text: text} }
	for _, network := range []string{"udp", "tcp"} {
		resolver := bed.dialDNS(network)
		for i, c := range []struct {
			name  string
			qtype uint16
			want  dnsAnswer
		}{
			{"n0.00000000000000aa.lookup.lanes", dns.TypeSRV, served(fmt.Sprint("c2:", port))},
			{"N0.00000000000000AA.Lookup.LANES", dns.TypeA, served("127.0.0.1")},
			{"g3.n0.00000000000000aa.lookup._", dns.TypeTXT, served("outcome=served", "tag=t1", "remark=hit")},
			{"n0.00000000000000aa.lookup.lanes", dns.TypeAAAA, served()},
			{"c2.box", dns.TypeA, served("127.0.0.1")},
			{"c1.box", dns.TypeA, failed("NXDOMAIN", "")},
			{"n0.00000000000000aa.nosuch._", dns.TypeA, failed("NXDOMAIN", "")},
			{"n0.aa.lookup._", dns.TypeA, failed("FORMERR", `object "aa"`)},
			{"n0.00000000000000aa.charge._", dns.TypeA, failed("FORMERR", "this class needs a key")},
			{"n0.00000000000000aa.footage.lanes", dns.TypeA, failed("REFUSED", `later=1000 budget="lanes class"`)},
			{"n0." + rejectedObject + ".lookup._", dns.TypeA, failed("REFUSED", "later=125")},
			{"k-slow.n0." + unanswered + ".charge._", dns.TypeA, failed("REFUSED", "later=350")},
		} {
			c.want.ID = uint16(i)
			resolver.query(c.want.ID, c.name, c.qtype)
			if diff := cmp.Diff(c.want, resolver.mustRead()); diff != "" {
				t.Errorf("%s over %s (-want +got):\n%s", c.name, network, diff)
			}
		}
	}
	resolver := bed.dialDNS("udp")
	_ = resolver.conn.WriteMsg(new(dns.Msg).SetQuestion("www.example.org.", dns.TypeA))
	if answer := resolver.mustRead(); answer.Rcode != "REFUSED" {
		t.Errorf("query of another zone: got response %+v, want REFUSED", answer)
	}
	for _, raw := range []string{
		"x",
		"\x00\x07\x01\x00\x00\x01\x00\x00\x00\x00\x00\x00\xc0\x0c",
		"\x00\x08\x80\x00\x00\x00\x00\x00\x00\x00\x00\x00",
	} {
		_, _ = resolver.conn.Write([]byte(raw))
	}
	if answer := resolver.mustRead(); answer.Rcode != "FORMERR" || answer.ID != 7 {
		t.Errorf("malformed queries: got response %+v, want FORMERR to query 7", answer)
	}
	resolver.expectNoFurtherAnswer()
}

// TestDNSRetransmitsAreIdempotent checks a charge that is sent again while its first attempt is open. There must be one
// attempt and one response to each accepted query, and a later query within the window of the idempotency key must get
// the same result.
func TestDNSRetransmitsAreIdempotent(t *testing.T) {
	release := make(chan struct{})
	bed := newTestbed(t, func(attempt *receivedRequest) {
		<-release
		attempt.Answer("ACK", "remark=hit", "")
	})
	bed.enableDNS("")
	bed.start()
	const name = "k-5c0f.n0.00000000000000aa.charge.lanes"
	first, retry, tcp := bed.dialDNS("udp"), bed.dialDNS("udp"), bed.dialDNS("tcp")
	first.query(1, name, dns.TypeTXT)
	bed.waitAttempts(1)
	first.query(1, name, dns.TypeTXT) // a retransmission
	retry.query(2, strings.ToUpper(name), dns.TypeTXT)
	tcp.query(3, name, dns.TypeTXT)
	// All queries have been read once a later query of the same client is answered.
	for _, resolver := range []*dnsClient{first, retry, tcp} {
		resolver.expectNoFurtherAnswer()
	}
	close(release)
	served := []string{"outcome=served", "remark=hit"}
	for id, resolver := range map[uint16]*dnsClient{1: first, 2: retry, 3: tcp} {
		want := dnsAnswer{ID: id, Rcode: "NOERROR", RecordData: served}
		if diff := cmp.Diff(want, resolver.mustRead()); diff != "" {
			t.Errorf("query %d (-want +got):\n%s", id, diff)
		}
		resolver.expectNoFurtherAnswer()
	}
	retry.query(4, name, dns.TypeTXT) // within the window
	if diff := cmp.Diff(dnsAnswer{ID: 4, Rcode: "NOERROR", RecordData: served}, retry.mustRead()); diff != "" {
		t.Errorf("query 4, within the key's window (-want +got):\n%s", diff)
	}
	if attempts := bed.attempts(); len(attempts) != 1 || attempts[0].Endpoint != "o1" {
		t.Errorf("got %d attempts, want one, at the origin", len(attempts))
	}
}

// TestDNSDrainingEndpoint checks an endpoint that began to drain half a second ago and whose address name servers still
// return. Responses must not name it, and nothing may be sent to it after 1 s.
func TestDNSDrainingEndpoint(t *testing.T) {
	pending := make(chan *receivedRequest, 64)
	bed := newTestbed(t, nil)
	bed.startNameServer(map[string]string{"c2.plaza.test.": "127.0.0.1", "c3.plaza.test.": "127.0.0.1"})
	// c2 and c3 are listed by host name. The record of c3 is out of date: it has the address of c1.
	bed.setListedAddress("c2", strings.Replace(bed.endpointAddress("c2"), "127.0.0.1", "c2.plaza.test", 1))
	outdatedAddress := strings.Replace(bed.endpointAddress("c1"), "127.0.0.1", "c3.plaza.test", 1)
	bed.enableDNS("resolver " + bed.nameServer.address())
	bed.start()
	bed.waitListPoll()
	resolver := bed.dialDNS("udp")
	id := 0
	query := func(qtype uint16) {
		id++
		resolver.query(uint16(id), fmt.Sprintf("n0.%s.lookup._", hexID(0x1000+id)), qtype)
	}
	bed.waitUntil("both endpoints have been named", func() bool {
		query(dns.TypeTXT)
		resolver.mustRead()
		return len(bed.attemptsAt("c1")) > 0 && len(bed.attemptsAt("c2")) > 0
	})
	bed.setResponder(func(attempt *receivedRequest) {
		if attempt.Endpoint == "c1" {
			pending <- attempt // answered below, half a second after the endpoint began to drain
			return
		}
		attempt.Answer("ACK", "remark=hit", "")
	})
	var openAttempt *receivedRequest
	bed.waitUntil("an attempt is open at c1", func() bool {
		query(dns.TypeSRV)
		select {
		case openAttempt = <-pending:
		case <-time.After(20 * time.Millisecond):
			resolver.mustRead()
		}
		return openAttempt != nil
	})
	namesC2 := func(answer dnsAnswer) bool {
		return len(answer.RecordData) == 1 && strings.HasPrefix(answer.RecordData[0], "c2:")
	}
	began := time.Now()
	bed.listFeed <- listEvent(2, false, bed.endpointEntry("c1", "draining"),
		listEntry("c3", outdatedAddress, "edge", "std", "up", 0))
	time.Sleep(500 * time.Millisecond) // time between the beginning of the drain and the response
	openAttempt.Answer("ACK", "remark=hit", "")
	if answer := resolver.mustRead(); answer.Rcode != "NOERROR" || !namesC2(answer) {
		t.Errorf("attempt open at the drain: got response %+v, want c2 named", answer)
	}
	for time.Since(began) < 1500*time.Millisecond {
		query(dns.TypeSRV)
		if answer := resolver.mustRead(); !namesC2(answer) {
			t.Fatalf("query %d: got response %+v, want c2 named", id, answer)
		}
	}
	resolver.expectNoFurtherAnswer()
	drained := began.Add(time.Second)
	linesAfterDrain := bed.received(func(attempt *receivedRequest) bool {
		return attempt.Endpoint == "c1" && attempt.At.After(drained)
	})
	if len(linesAfterDrain) > 0 {
		t.Errorf("got %d lines at the drained endpoint after 1 s, the first %+v, want none", len(linesAfterDrain),
			linesAfterDrain[0])
	}
	ids := map[string]bool{}
	for _, attempt := range bed.attempts() {
		if ids[attempt.ID] && attempt.Endpoint == "c1" {
			t.Errorf("got another attempt of request %s at c1, want none", attempt.ID)
		}
		ids[attempt.ID] = true
	}
	if !slices.Contains(bed.nameServer.queries(), "c3.plaza.test.") {
		t.Error("got no DNS query for c3, want its outdated record looked up")
	}
}
