package test

import (
	"fmt"
	"net"
	"testing"
	"time"
)

const (
	// pacedMessages is how many requests with a bad token a client sends before one that needs none. They wait for the
	// client's turn for some tenths of a second.
	pacedMessages = 10
	// pacedWait is longer than the time that they wait.
	pacedWait = 1500 * time.Millisecond
)

// connectionEnds are the ways in which a client ends its connection.
var connectionEnds = []struct {
	name string
	end  func(conn *net.TCPConn) error
}{
	{"closes", (*net.TCPConn).Close},
	{"half-closes", (*net.TCPConn).CloseWrite},
	{"resets", func(conn *net.TCPConn) error {
		if err := conn.SetLinger(0); err != nil {
			return err
		}
		return conn.Close()
	}},
}

// TestUnreadRequestsEndWithTheirClient guards against requests that are forwarded after their client has gone: they had
// arrived completely, and waited for the turn of a rate-limited connection.
func TestUnreadRequestsEndWithTheirClient(t *testing.T) {
	t.Parallel()
	t.Run("stays", func(t *testing.T) { testUnreadRequests(t, func(*net.TCPConn) error { return nil }, 1) })
	for _, way := range connectionEnds {
		t.Run(way.name, func(t *testing.T) { testUnreadRequests(t, way.end, 0) })
	}
}

// testUnreadRequests has a rate-limited client send requests, of which the last needs no token, and then go. It
// checks how many of them reach an endpoint afterwards.
func testUnreadRequests(t *testing.T, end func(*net.TCPConn) error, want int) {
	t.Parallel()
	bed := newTestbed(t, nil)
	token := bed.enableIdentity("unsigned staff").token("lane-1", "lanes", time.Hour)
	bed.start()
	flood := &tokenFlood{testbed: bed, token: token, reads: true}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() { defer close(done); flood.run(stop) }()
	time.Sleep(*floodDuration) // until clients of this address are rate-limited
	conn, err := net.Dial("tcp", bed.address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	var batch []byte
	for i := range uint64(pacedMessages) {
		bad := fmt.Sprintf("%s%08d", token[:len(token)-8], i)
		batch = append(batch, request(i+1, "charge", map[string]string{"token": bad, "unique": hexID(i)}, "")...)
	}
	batch = append(batch, request(pacedMessages+1, "lookup", nil, "")...)
	if _, err := conn.Write(batch); err != nil {
		t.Fatal(err)
	}
	if err := end(conn.(*net.TCPConn)); err != nil {
		t.Fatal(err)
	}
	endedAt := time.Now()
	close(stop)
	<-done
	if want > 0 {
		bed.waitFirstAttempt()
	}
	time.Sleep(pacedWait)
	afterwards := bed.received(func(line *receivedRequest) bool {
		return line.Word == "ASK" && line.At.Sub(endedAt) > crossingWindow
	})
	if len(afterwards) != want {
		t.Errorf("got %d attempts at endpoints after the client had gone, want %d", len(afterwards), want)
	}
}
