package test

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/miekg/dns"
)

// unansweredDNSName returns the name of a request of the class charge with a key, which the endpoints of a memory
// testbed do not answer.
func unansweredDNSName(key int) string {
	return fmt.Sprintf("k-%d.n0.00000000000000aa.charge.lanes", key)
}

// manyRecordsQuery returns a query with as many additional records as fit into a datagram.
func manyRecordsQuery(t *testing.T, id uint16, key int) []byte {
	t.Helper()
	const records = 4000 // of 15 bytes
	message := newDNSQuery(id, unansweredDNSName(key), dns.TypeTXT)
	for range records {
		header := dns.RR_Header{Name: ".", Rrtype: dns.TypeA, Class: dns.ClassINET}
		message.Extra = append(message.Extra, &dns.A{Hdr: header, A: net.IPv4(127, 0, 0, 1)})
	}
	packet, err := message.Pack()
	if err != nil {
		t.Fatal(err)
	}
	return packet
}

// TestDNSQueriesStayWithinMemory guards against DNS queries that take more memory than the process may use while they
// wait: many small ones, some with very many records, by UDP and by TCP, and the longest messages without their last
// byte. Clients of the platform's protocol must be served meanwhile.
func TestDNSQueriesStayWithinMemory(t *testing.T) {
	limit := memoryLimit{32, 512}
	const (
		queries      = 10_000
		largeQueries = 160
	)
	sendPlain := func(bed *testbed) {
		client := bed.dialDNS("udp")
		for index := range queries {
			client.query(uint16(index), unansweredDNSName(index), dns.TypeTXT)
		}
	}
	for name, send := range map[string]func(bed *testbed){
		"a key each":     sendPlain,
		"records by UDP": func(bed *testbed) { sendLargeQueries(bed.t, bed.dialDNS("udp"), largeQueries) },
		"records by TCP": func(bed *testbed) { sendLargeQueries(bed.t, bed.dialDNS("tcp"), largeQueries) },
		"stopped by TCP": stopDNSQueries,
	} {
		t.Run(name, func(t *testing.T) {
			bed, _ := newMemoryTestbed(t, limit)
			bed.enableDNS("limit 20s")
			bed.start()
			watch := bed.watchMemory(limit.megabytes)
			usual := bed.startUsualClient()
			send(bed)
			usual.expectServed()
			watch.expectWithinLimit()
			bed.expectRunning()
		})
	}
}

// sendLargeQueries sends queries with many records, each of a key of its own.
func sendLargeQueries(t *testing.T, client *dnsClient, count int) {
	for index := range count {
		if _, err := client.conn.Write(manyRecordsQuery(t, uint16(index), index)); err != nil {
			t.Logf("after %d queries: %v", index, err)
			return
		}
		time.Sleep(time.Millisecond) // so that the system does not drop datagrams
	}
}

// stopDNSQueries has as many connections as the program takes send the longest message but for its last byte.
func stopDNSQueries(bed *testbed) {
	const connections, length = 64, 65535
	for range connections {
		message := append([]byte{length >> 8, length & 0xff}, make([]byte, length-1)...)
		_, _ = bed.dialDNS("tcp").conn.Conn.Write(message)
	}
}
