package test

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/miekg/dns"
)

const (
	// maxUnreadAnswers is how many answers without a body a client by RPC may leave unread while it goes on sending,
	// and maxUnreadBytes the answers by DNS over TCP, in bytes. Both count what the system does not take for the
	// client.
	maxUnreadAnswers = 64
	maxUnreadBytes   = 64 << 10
	// unreadSendPause is the time between two messages of a client that reads nothing. It lets the program read each by
	// itself, so that the limit of the messages of one read does not apply.
	unreadSendPause = time.Millisecond
	// maxSystemBuffers is more than the system holds between the program and a client with small buffers, in bytes.
	maxSystemBuffers = 8 << 20
)

// sendUntilClosed sends a message again and again, until the program closes the connection or the number of messages
// has been sent. It returns how many were sent.
func sendUntilClosed(conn net.Conn, message []byte, maxMessages int) (sent int) {
	for sent < maxMessages {
		if _, err := conn.Write(message); err != nil {
			return sent
		}
		sent++
		time.Sleep(unreadSendPause)
	}
	return sent
}

// TestUnreadAnswersCloseConnection guards against answers that pile up in the program: a client went on sending what is
// answered at once, message by message, and read nothing.
func TestUnreadAnswersCloseConnection(t *testing.T) {
	t.Run("RPC", testUnreadRPCAnswers)
	t.Run("DNS by TCP", testUnreadDNSAnswers)
}

func testUnreadRPCAnswers(t *testing.T) {
	large := strings.Repeat("x", unreadBodyBytes)
	bed := newTestbed(t, func(attempt *receivedRequest) { attempt.Answer("ACK", "tag=t1", large) })
	bed.start()
	client := bed.dialSmallBuffer()
	for id := range uint64(maxUnreadBodies) {
		client.send(request(id+1, "footage", nil, ""))
	}
	bed.waitAttempts(maxUnreadBodies)
	const maxMessages = 10 * maxUnreadAnswers
	sent := sendUntilClosed(client.conn, request(maxUnreadBodies+1, "status", nil, ""), maxMessages)
	if sent <= maxUnreadAnswers || sent == maxMessages {
		t.Errorf("sent %d messages until the connection was closed, want more than %d and less than %d", sent,
			maxUnreadAnswers, maxMessages)
	}
	bed.waitLogged("answers were not read")
}

// TestCanceledAnswersCloseNoConnection guards against requests that are dropped because their client has left answers
// unread to others that it had given up: it reads large answers slowly, and at no time has more requests open than it
// may.
func TestCanceledAnswersCloseNoConnection(t *testing.T) {
	large := strings.Repeat("x", unreadBodyBytes)
	bed := newTestbed(t, func(attempt *receivedRequest) { attempt.Answer("ACK", "tag=t1", large) })
	bed.start()
	client := bed.dialSmallBuffer()
	for id := range uint64(maxUnreadBodies) {
		client.send(request(id+1, "footage", nil, ""))
	}
	bed.waitAttempts(maxUnreadBodies)
	const rounds = 8
	const perRound = openPerConnection - maxUnreadBodies
	id := uint64(maxUnreadBodies)
	for range rounds {
		for range perRound {
			id++
			client.send(request(id, "status", nil, ""))
		}
		time.Sleep(10 * unreadSendPause)
		for canceled := id - perRound + 1; canceled <= id; canceled++ {
			client.send(cancelNotification(canceled))
		}
		time.Sleep(10 * unreadSendPause)
	}
	for n := range maxUnreadBodies + rounds*perRound {
		if answer, err := client.read(); err != nil || answer.Error != "" {
			t.Fatalf("answer %d: got error code %q and error %v, want all answered", n+1, answer.Error, err)
		}
	}
}

func testUnreadDNSAnswers(t *testing.T) {
	bed := newTestbed(t, nil)
	bed.enableDNS("")
	bed.start()
	query, err := newDNSQuery(1, "unknown.lanes", dns.TypeTXT).Pack()
	if err != nil {
		t.Fatal(err)
	}
	const perMessage = 100 // fewer than may come with one read
	frame := append([]byte{byte(len(query) >> 8), byte(len(query))}, query...)
	message := []byte(strings.Repeat(string(frame), perMessage))
	maxMessages := (maxSystemBuffers + 2*maxUnreadBytes) / len(message) // an answer has the query in it
	sent := sendUntilClosed(dialWithOptions(t, bed.dnsAddress, setSmallBuffers), message, maxMessages)
	if sent*len(message) <= maxUnreadBytes || sent == maxMessages {
		t.Errorf("sent %d bytes until the connection was closed, want more than %d and less than %d",
			sent*len(message), maxUnreadBytes, maxMessages*len(message))
	}
	bed.waitLogMatches(`event=client-protocol-error front=dns unread=\d+`)
}
