package consul

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/consul/api"

	"sloequay/internal/membership/consul/blockingquery"
)

// TestFaultOf: a fault is classified by the types of an error's chain, whatever words stand in its text.
func TestFaultOf(t *testing.T) {
	connReset := os.NewSyscallError("read", syscall.ECONNRESET)
	for _, c := range []struct {
		name string
		err  error
		want blockingquery.Fault
	}{
		{"a status", fmt.Errorf("agent: %w", api.StatusError{Code: http.StatusInternalServerError}),
			blockingquery.Rejected},
		{"a status that speaks of a reset", api.StatusError{Code: http.StatusBadGateway, Body: "connection reset"},
			blockingquery.Rejected},
		{"out of time", &url.Error{Op: "Get", Err: context.DeadlineExceeded},
			blockingquery.TimedOut},
		{"a dial out of time", &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded},
			blockingquery.TimedOut},
		{"a reset", connReset,
			blockingquery.ConnectionFailed},
		{"a reset on a connection", &net.OpError{Op: "read", Err: connReset},
			blockingquery.ConnectionFailed},
		{"a reset, wrapped", fmt.Errorf("reading the body: %w", &net.OpError{Op: "read", Err: connReset}),
			blockingquery.ConnectionFailed},
		{"a closed pipe", syscall.EPIPE,
			blockingquery.ConnectionFailed},
		{"a dial that was refused", &url.Error{Op: "Get", Err: &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}},
			blockingquery.ConnectionFailed},
		{"no name", &net.DNSError{Err: "no such host", Name: "agent.test", IsNotFound: true},
			blockingquery.ConnectionFailed},
		{"an end before the answer", &url.Error{Op: "Get", Err: io.EOF},
			blockingquery.ConnectionFailed},
		{"an end within the answer", io.ErrUnexpectedEOF,
			blockingquery.ConnectionFailed},
		{"no JSON", json.Unmarshal([]byte("{,"), new(any)),
			blockingquery.Malformed},
		{"a text that speaks of a reset", errors.New(`invalid duration "connection reset"`),
			blockingquery.Malformed},
	} {
		if got := faultOf(c.err); got != c.want {
			t.Errorf("%s: %v gives %v, want %v", c.name, c.err, got, c.want)
		}
	}
}

// sendAndEnd sends a text as it is and ends the connection, with a reset or in order.
func sendAndEnd(t *testing.T, w http.ResponseWriter, text string, end func(*net.TCPConn)) {
	conn, buffer, err := w.(http.Hijacker).Hijack()
	if err != nil {
		t.Error(err)
		return
	}
	buffer.WriteString(text)
	buffer.Flush()
	time.Sleep(20 * time.Millisecond) // so that the text is read before the end comes
	end(conn.(*net.TCPConn))
}

func closeInOrder(conn *net.TCPConn) { conn.Close() }

func reset(conn *net.TCPConn) {
	conn.SetLinger(0)
	conn.Close()
}

// TestFaultOfConnection: what the client makes of connections that break at each stage of an answer is classified as
// what it is.
func TestFaultOfConnection(t *testing.T) {
	const (
		timeout   = time.Second
		header    = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\nX-Consul-Index: 7\r\n\r\n"
		firstPart = header + `[{"Node":`
	)
	for _, c := range []struct {
		name   string
		answer func(w http.ResponseWriter)
		want   blockingquery.Fault
	}{
		{"reset before the header", func(w http.ResponseWriter) { sendAndEnd(t, w, "", reset) },
			blockingquery.ConnectionFailed},
		{"closed before the header", func(w http.ResponseWriter) { sendAndEnd(t, w, "", closeInOrder) },
			blockingquery.ConnectionFailed},
		{"reset within the body", func(w http.ResponseWriter) { sendAndEnd(t, w, firstPart, reset) },
			blockingquery.ConnectionFailed},
		{"closed within the body", func(w http.ResponseWriter) { sendAndEnd(t, w, firstPart, closeInOrder) },
			blockingquery.ConnectionFailed},
		{"status 500", func(w http.ResponseWriter) { w.WriteHeader(http.StatusInternalServerError) },
			blockingquery.Rejected},
		{"a body that is no JSON", func(w http.ResponseWriter) { io.WriteString(w, "connection reset") },
			blockingquery.Malformed},
		{"a body whose error quotes the agent", func(w http.ResponseWriter) {
			io.WriteString(w, `[{"Checks":[{"Definition":{"Interval":"connection reset"}}]}]`)
		}, blockingquery.Malformed},
		{"no answer in time", func(http.ResponseWriter) { time.Sleep(timeout + 100*time.Millisecond) },
			blockingquery.TimedOut},
	} {
		err := queryServer(t, c.answer, timeout)
		if err == nil {
			t.Errorf("%s: no error", c.name)
		} else if got := faultOf(err); got != c.want {
			t.Errorf("%s: %v gives %v, want %v", c.name, err, got, c.want)
		}
	}
}

// queryServer queries a server that answers so and returns the error.
func queryServer(t *testing.T, answer func(w http.ResponseWriter), timeout time.Duration) error {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { answer(w) }))
	defer server.Close()
	clients, err := (&Config{Agents: []string{server.Listener.Addr().String()}}).clients()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_, _, err = clients[0].Health().ServiceMultipleTags("cache", nil, false, (&api.QueryOptions{}).WithContext(ctx))
	return err
}
