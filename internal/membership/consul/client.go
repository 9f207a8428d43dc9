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
	// tlsTimeout bounds connecting to an agent by TLS, the handshake included.
	tlsTimeout = 3 * time.Second
	// idleConnTimeout and maxIdleConnsPerAgent bound the connections that a client keeps open.
	idleConnTimeout      = 90 * time.Second
	maxIdleConnsPerAgent = 4
)

// clients makes the API's clients, one for each agent, with connections of their own.
func (c *Config) clients() ([]*api.Client, error) {
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
		transport := c.transport(dialer)
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

// transport makes the connections of one client. dialer is nil without TLS.
func (c *Config) transport(dialer *tlsclient.Dialer) *http.Transport {
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

// token reads the token's file for each call, since it may have changed.
func (c *Config) token() (string, error) {
	if c.TokenFile == "" {
		return "", nil
	}
	text, err := os.ReadFile(c.TokenFile)
	return strings.TrimSpace(string(text)), err
}

// queryOptions returns the options of a call to an agent.
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

// withResponseTrace has a function called when the answer to a call begins.
func withResponseTrace(ctx context.Context, responseStarted func()) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: responseStarted})
}

// faultOf classifies why a query failed. The client keeps the causes of its errors, so their types are enough:
// whatever the connection returns is a net.Error, syscall.ECONNRESET and the other errors of system calls among them.
// No text is looked at, since parts of it may be the agent's.
func faultOf(err error) blockingquery.Fault {
	var status api.StatusError
	var network net.Error
	switch {
	case errors.As(err, &status):
		return blockingquery.Rejected
	case errors.Is(err, context.DeadlineExceeded), errors.As(err, &network) && network.Timeout():
		return blockingquery.TimedOut
	case errors.As(err, &network), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
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
