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

// TestFaultOf: a fault is classified by the types in an error's chain, regardless of the error's text.
func TestFaultOf(t *testing.T) {
	connReset := os.NewSyscallError("read", syscall.ECONNRESET)
	for _, c := range []struct {
		name string
		err  error
		want blockingquery.Fault
	}{
		{"error status", fmt.Errorf("agent: %w", api.StatusError{Code: http.StatusInternalServerError}),
			blockingquery.Rejected},
		{"error status whose body mentions a reset",
			api.StatusError{Code: http.StatusBadGateway, Body: "connection reset"},
			blockingquery.Rejected},
		{"deadline exceeded", &url.Error{Op: "Get", Err: context.DeadlineExceeded},
			blockingquery.TimedOut},
		{"dial timeout", &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded},
			blockingquery.TimedOut},
		{"connection reset", connReset,
			blockingquery.ConnectionFailed},
		{"connection reset while reading", &net.OpError{Op: "read", Err: connReset},
			blockingquery.ConnectionFailed},
		{"connection reset, wrapped", fmt.Errorf("reading the body: %w", &net.OpError{Op: "read", Err: connReset}),
			blockingquery.ConnectionFailed},
		{"broken pipe", syscall.EPIPE,
			blockingquery.ConnectionFailed},
		{"dial refused", &url.Error{Op: "Get", Err: &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}},
			blockingquery.ConnectionFailed},
		{"host name not found", &net.DNSError{Err: "no such host", Name: "agent.test", IsNotFound: true},
			blockingquery.ConnectionFailed},
		{"EOF before the response", &url.Error{Op: "Get", Err: io.EOF},
			blockingquery.ConnectionFailed},
		{"EOF within the response", io.ErrUnexpectedEOF,
			blockingquery.ConnectionFailed},
		{"invalid JSON", json.Unmarshal([]byte("{,"), new(any)),
			blockingquery.Malformed},
		{"error text that mentions a reset", errors.New(`invalid duration "connection reset"`),
			blockingquery.Malformed},
	} {
		if got := faultOf(c.err); got != c.want {
			t.Errorf("%s: faultOf(%v): got %v, want %v", c.name, c.err, got, c.want)
		}
	}
}

// sendAndClose sends a response as it is and then closes the connection by closeConn.
func sendAndClose(t *testing.T, w http.ResponseWriter, response string, closeConn func(*net.TCPConn)) {
	conn, buffer, err := w.(http.Hijacker).Hijack()
	if err != nil {
		t.Error(err)
		return
	}
	buffer.WriteString(response)
	buffer.Flush()
	time.Sleep(20 * time.Millisecond) // lets the client read the text before the connection ends
	closeConn(conn.(*net.TCPConn))
}

func closeGracefully(conn *net.TCPConn) { conn.Close() }

func resetConn(conn *net.TCPConn) {
	conn.SetLinger(0)
	conn.Close()
}

// TestFaultOfBrokenConnection: the client's errors for connections that break at each stage of a response, and for
// invalid responses, are classified correctly.
func TestFaultOfBrokenConnection(t *testing.T) {
	const (
		timeout         = time.Second
		header          = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\nX-Consul-Index: 7\r\n\r\n"
		partialResponse = header + `[{"Node":`
	)
	for _, c := range []struct {
		name    string
		respond func(w http.ResponseWriter)
		want    blockingquery.Fault
	}{
		{"reset before the header", func(w http.ResponseWriter) { sendAndClose(t, w, "", resetConn) },
			blockingquery.ConnectionFailed},
		{"closed before the header", func(w http.ResponseWriter) { sendAndClose(t, w, "", closeGracefully) },
			blockingquery.ConnectionFailed},
		{"reset within the body", func(w http.ResponseWriter) { sendAndClose(t, w, partialResponse, resetConn) },
			blockingquery.ConnectionFailed},
		{"closed within the body", func(w http.ResponseWriter) { sendAndClose(t, w, partialResponse, closeGracefully) },
			blockingquery.ConnectionFailed},
		{"status 500", func(w http.ResponseWriter) { w.WriteHeader(http.StatusInternalServerError) },
			blockingquery.Rejected},
		{"body is not JSON", func(w http.ResponseWriter) { io.WriteString(w, "connection reset") },
			blockingquery.Malformed},
		{"body whose decoding error quotes the agent", func(w http.ResponseWriter) {
			io.WriteString(w, `[{"Checks":[{"Definition":{"Interval":"connection reset"}}]}]`)
		}, blockingquery.Malformed},
		{"no response in time", func(http.ResponseWriter) { time.Sleep(timeout + 100*time.Millisecond) },
			blockingquery.TimedOut},
	} {
		err := queryServer(t, c.respond, timeout)
		if err == nil {
			t.Errorf("%s: got no error, want one", c.name)
		} else if got := faultOf(err); got != c.want {
			t.Errorf("%s: faultOf(%v): got %v, want %v", c.name, err, got, c.want)
		}
	}
}

// queryServer queries a server that responds by a function, and returns the client's error.
func queryServer(t *testing.T, respond func(w http.ResponseWriter), timeout time.Duration) error {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { respond(w) }))
	defer server.Close()
	clients, err := (&Config{Agents: []string{server.Listener.Addr().String()}}).newClients()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_, _, err = clients[0].Health().ServiceMultipleTags("cache", nil, false, (&api.QueryOptions{}).WithContext(ctx))
	return err
}
