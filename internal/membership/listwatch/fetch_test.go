package listwatch

import (
	"bufio"
	"net"
	"testing"
	"time"
)

// serve answers one connection by a text, and leaves it open until the test ends. It gives the address and, once the
// request has come, its line.
func serve(t *testing.T, answer string) (address string, request <-chan string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	requests := make(chan string, 1)
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
		requests <- line
		conn.Write([]byte(answer))
	}()
	return listener.Addr().String(), requests
}

// TestFetchOnce: events come until the line with the last number alone, or until the limit where none does.
func TestFetchOnce(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		limit        time.Duration
		want         int
		fails        bool
	}{
		{"all", purgeEvent(5) + purgeEvent(6) + "6\n" + purgeEvent(7), 10 * time.Second, 2, false},
		{"none", "4\n", 10 * time.Second, 0, false},
		{"no end", purgeEvent(5), 200 * time.Millisecond, 1, false},
		{"malformed", purgeEvent(5) + "{\n", 10 * time.Second, 1, true},
	} {
		address, request := serve(t, c.answer)
		events, err := testDecoder.FetchOnce(address, 4, c.limit)
		if len(events) != c.want || (err != nil) != c.fails {
			t.Errorf("%s: %d events, %v", c.name, len(events), err)
		}
		if got := <-request; got != "after 4\n" {
			t.Errorf("%s: requested by %q", c.name, got)
		}
	}
	if _, err := testDecoder.FetchOnce("127.0.0.1:0", 4, time.Second); err == nil {
		t.Error("no error without a listener")
	}
}
