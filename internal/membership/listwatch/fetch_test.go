package listwatch

import (
	"bufio"
	"net"
	"testing"
	"time"
)

// serve sends a text on the first connection it accepts, and leaves that open until the test ends. It returns the
// address, and a channel that receives the line of the request.
func serve(t *testing.T, answer string) (address string, received <-chan string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	requestLines := make(chan string, 1)
	done := make(chan struct{})
	t.Cleanup(func() {
		listener.Close()
		<-done
	})
	go func() {
		defer close(done)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		t.Cleanup(func() { conn.Close() })
		line, _ := bufio.NewReader(conn).ReadString('\n')
		requestLines <- line
		conn.Write([]byte(answer))
	}()
	return listener.Addr().String(), requestLines
}

// TestFetchOnce checks that FetchOnce returns all events before the line with only the last number, or those received
// until the timeout if there is no such line.
func TestFetchOnce(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		timeout      time.Duration
		want         int
		fails        bool
	}{
		{"two events", purgeEvent(5) + purgeEvent(6) + "6\n" + purgeEvent(7), 10 * time.Second, 2, false},
		{"no events", "4\n", 10 * time.Second, 0, false},
		{"no last number", purgeEvent(5), 200 * time.Millisecond, 1, false},
		{"a malformed event", purgeEvent(5) + "{\n", 10 * time.Second, 1, true},
	} {
		address, received := serve(t, c.answer)
		events, err := testDecoder.FetchOnce(address, 4, c.timeout)
		if len(events) != c.want || (err != nil) != c.fails {
			t.Errorf("%s: got %d events, error %v", c.name, len(events), err)
		}
		if got := <-received; got != "after 4\n" {
			t.Errorf("%s: got request %q, want \"after 4\\n\"", c.name, got)
		}
	}
	if _, err := testDecoder.FetchOnce("127.0.0.1:0", 4, time.Second); err == nil {
		t.Error("without a listener: got no error, want one")
	}
}
