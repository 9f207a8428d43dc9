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

// TestFaultOf: a fault is told by the types of an error's chain, whatever words stand in its text.
func TestFaultOf(t *testing.T) {
	reset := os.NewSyscallError("read", syscall.ECONNRESET)
	for _, c := range []struct {
		name string
		err  error
		want blockingquery.Fault
	}{
		{"a status", fmt.Errorf("agent: %w", api.StatusError{Code: http.StatusInternalServerError}), blockingquery.Rejected},
		{"a status that speaks of a reset", api.StatusError{Code: http.StatusBadGateway, Body: "connection reset"},
			blockingquery.Rejected},
		{"out of time", &url.Error{Op: "Get", Err: context.DeadlineExceeded}, blockingquery.TimedOut},
		{"a dial out of time", &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}, blockingquery.TimedOut},
		{"a reset", reset, blockingquery.ConnectionFailed},
		{"a reset on a connection", &net.OpError{Op: "read", Err: reset}, blockingquery.ConnectionFailed},
		{"a reset, wrapped", fmt.Errorf("reading the body: %w", &net.OpError{Op: "read", Err: reset}), blockingquery.ConnectionFailed},
		{"a closed pipe", syscall.EPIPE, blockingquery.ConnectionFailed},
		{"a dial that was refused", &url.Error{Op: "Get", Err: &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}},
			blockingquery.ConnectionFailed},
		{"no name", &net.DNSError{Err: "no such host", Name: "agent.test", IsNotFound: true}, blockingquery.ConnectionFailed},
		{"an end before the answer", &url.Error{Op: "Get", Err: io.EOF}, blockingquery.ConnectionFailed},
		{"an end within the answer", io.ErrUnexpectedEOF, blockingquery.ConnectionFailed},
		{"no JSON", json.Unmarshal([]byte("{,"), new(any)), blockingquery.Malformed},
		{"a text that speaks of a reset", errors.New(`invalid duration "connection reset"`), blockingquery.Malformed},
	} {
		if got := faultOf(c.err); got != c.want {
			t.Errorf("%s: %v gives %v, want %v", c.name, c.err, got, c.want)
		}
	}
}

// TestFaultOfConnection: what the client makes of connections that break at each stage of an answer is told as what
// it is.
func TestFaultOfConnection(t *testing.T) {
	hijack := func(w http.ResponseWriter, text string, reset bool) {
		conn, buffer, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		buffer.WriteString(text)
		buffer.Flush()
		time.Sleep(20 * time.Millisecond) // so that the text is read before the end comes
		if reset {
			conn.(*net.TCPConn).SetLinger(0)
		}
		conn.Close()
	}
	const header = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\nX-Consul-Index: 7\r\n\r\n"
	for _, c := range []struct {
		name   string
		answer func(w http.ResponseWriter)
		want   blockingquery.Fault
	}{
		{"reset before the header", func(w http.ResponseWriter) { hijack(w, "", true) }, blockingquery.ConnectionFailed},
		{"closed before the header", func(w http.ResponseWriter) { hijack(w, "", false) }, blockingquery.ConnectionFailed},
		{"reset within the body", func(w http.ResponseWriter) { hijack(w, header+`[{"Node":`, true) }, blockingquery.ConnectionFailed},
		{"closed within the body", func(w http.ResponseWriter) { hijack(w, header+`[{"Node":`, false) }, blockingquery.ConnectionFailed},
		{"status 500", func(w http.ResponseWriter) { w.WriteHeader(http.StatusInternalServerError) }, blockingquery.Rejected},
		{"a body that is no JSON", func(w http.ResponseWriter) { io.WriteString(w, "connection reset") }, blockingquery.Malformed},
		{"a body whose error quotes the agent", func(w http.ResponseWriter) {
			io.WriteString(w, `[{"Checks":[{"Definition":{"Interval":"connection reset"}}]}]`)
		}, blockingquery.Malformed},
		{"no answer in time", func(http.ResponseWriter) { time.Sleep(400 * time.Millisecond) }, blockingquery.TimedOut},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { c.answer(w) }))
		clients, err := (&Config{Agents: []string{server.Listener.Addr().String()}}).clients()
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		_, _, err = clients[0].Health().ServiceMultipleTags("cache", nil, false, (&api.QueryOptions{}).WithContext(ctx))
		cancel()
		server.Close()
		if err == nil {
			t.Errorf("%s: no error", c.name)
		} else if got := faultOf(err); got != c.want {
			t.Errorf("%s: %v gives %v, want %v", c.name, err, got, c.want)
		}
	}
}
