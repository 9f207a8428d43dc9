package consul

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"strings"
	"time"

	"github.com/hashicorp/consul/api"

	"sloequay/internal/identity/tlsclient"
	"sloequay/internal/membership/consul/blockingquery"
)

const (
	dialTimeout = time.Second
	// tlsTimeout limits connecting to an agent over TLS, including the handshake.
	tlsTimeout = 3 * time.Second
	// idleConnTimeout and maxIdleConnsPerAgent limit the idle connections that a client keeps open.
	idleConnTimeout      = 90 * time.Second
	maxIdleConnsPerAgent = 4
)

// newClients returns one API client for each agent, with its own connections.
func (c *Config) newClients() ([]*api.Client, error) {
	scheme := "http"
	var dialer *tlsclient.Dialer
	if c.TLS != nil {
		scheme = "https"
		var err error
		if dialer, err = c.TLS.dialer(); err != nil {
			return nil, err
		}
	}
	var clients []*api.Client
	for _, agent := range c.Agents {
		transport := c.newTransport(dialer)
		client, err := api.NewClient(&api.Config{
			Address:    agent,
			Scheme:     scheme,
			Datacenter: c.Datacenter,
			Transport:  transport,
			HttpClient: &http.Client{Transport: transport},
		})
		if err != nil {
			return nil, fmt.Errorf("consul: %w", err)
		}
		clients = append(clients, client)
	}
	return clients, nil
}

// newTransport returns the HTTP transport of one client. dialer is nil without TLS.
func (c *Config) newTransport(dialer *tlsclient.Dialer) *http.Transport {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout, LocalAddr: c.Bind}).DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerAgent,
		IdleConnTimeout:     idleConnTimeout,
	}
	if dialer == nil {
		return transport
	}
	transport.DialTLSContext = func(ctx context.Context, _, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, tlsTimeout)
		defer cancel()
		serverName := c.TLS.ServerName
		if serverName == "" {
			serverName, _, _ = net.SplitHostPort(address)
		}
		return dialer.Dial(ctx, address, serverName)
	}
	return transport
}

// readToken returns the token from its file. It is called for each API call because the file may have changed.
func (c *Config) readToken() (string, error) {
	if c.TokenFile == "" {
		return "", nil
	}
	text, err := os.ReadFile(c.TokenFile)
	return strings.TrimSpace(string(text)), err
}

// queryOptions returns the options of the API call for a query.
func queryOptions(ctx context.Context, query blockingquery.Query, token string) *api.QueryOptions {
	options := &api.QueryOptions{
		WaitIndex:         query.Index,
		WaitTime:          query.Wait,
		Token:             token,
		AllowStale:        query.Mode == blockingquery.Stale,
		RequireConsistent: query.Mode == blockingquery.Consistent,
	}
	return options.WithContext(ctx)
}

// withResponseTrace returns a context in which an API call reports the first byte of its response to responseStarted.
func withResponseTrace(ctx context.Context, responseStarted func()) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: responseStarted})
}

// faultOf classifies why a query failed. The client wraps the causes of its errors, so their types suffice: all errors
// of a connection are net.Errors, including syscall.ECONNRESET and other system call errors. Error texts are not
// examined, since an agent may have written parts of them.
func faultOf(err error) blockingquery.Fault {
	var statusErr api.StatusError
	var netErr net.Error
	switch {
	case errors.As(err, &statusErr):
		return blockingquery.Rejected
	case errors.Is(err, context.DeadlineExceeded), errors.As(err, &netErr) && netErr.Timeout():
		return blockingquery.TimedOut
	case errors.As(err, &netErr), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return blockingquery.ConnectionFailed
	}
	return blockingquery.Malformed
}

func responseMeta(meta *api.QueryMeta) blockingquery.ResponseMeta {
	return blockingquery.ResponseMeta{
		Index:       meta.LastIndex,
		KnownLeader: meta.KnownLeader,
		LastContact: meta.LastContact,
		Filtered:    meta.ResultsFilteredByACLs,
	}
}
