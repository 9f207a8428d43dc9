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

// tlsTimeout is what connecting to an agent by TLS may take.
const tlsTimeout = 3 * time.Second

// clients makes the API's clients, one an agent, with connections of their own.
func (c *Config) clients() ([]*api.Client, error) {
	var out []*api.Client
	var dialer *tlsclient.Dialer
	if c.TLS != nil {
		var err error
		if dialer, err = c.TLS.dialer(); err != nil {
			return nil, err
		}
	}
	for _, agent := range c.Agents {
		transport := &http.Transport{
			DialContext:         (&net.Dialer{Timeout: time.Second, LocalAddr: c.Bind}).DialContext,
			MaxIdleConnsPerHost: 4, IdleConnTimeout: 90 * time.Second,
		}
		cfg := api.Config{Address: agent, Scheme: "http", Datacenter: c.Datacenter, Transport: transport}
		if c.TLS != nil {
			cfg.Scheme = "https"
			transport.DialTLSContext = func(ctx context.Context, _, address string) (net.Conn, error) {
				ctx, cancel := context.WithTimeout(ctx, tlsTimeout)
				defer cancel()
				name := c.TLS.ServerName
				if name == "" {
					name, _, _ = net.SplitHostPort(address)
				}
				return dialer.Dial(ctx, address, name)
			}
		}
		cfg.HttpClient = &http.Client{Transport: transport}
		client, err := api.NewClient(&cfg)
		if err != nil {
			return nil, fmt.Errorf("consul: %w", err)
		}
		out = append(out, client)
	}
	return out, nil
}

// token reads the token's file, which may have changed.
func (c *Config) token() (string, error) {
	if c.TokenFile == "" {
		return "", nil
	}
	text, err := os.ReadFile(c.TokenFile)
	return strings.TrimSpace(string(text)), err
}

// options gives the options of a question. headed is called when its answer begins.
func (c *Config) options(ctx context.Context, a blockingquery.Query, token string, headed func()) *api.QueryOptions {
	if headed != nil {
		ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: headed})
	}
	q := &api.QueryOptions{WaitIndex: a.Index, WaitTime: a.Wait, Token: token, AllowStale: a.Mode == blockingquery.Stale,
		RequireConsistent: a.Mode == blockingquery.Consistent}
	return q.WithContext(ctx)
}

// faultOf classifies why a query failed. The client keeps the causes of its errors, so their types say it all: whatever
// the connection returns is a net.Error, syscall.ECONNRESET and the other errors of system calls among them. No text is
// looked at, since parts of it are the agent's.
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

func metaOf(m *api.QueryMeta) blockingquery.ResponseMeta {
	return blockingquery.ResponseMeta{Index: m.LastIndex, KnownLeader: m.KnownLeader, LastContact: m.LastContact,
		Filtered: m.ResultsFilteredByACLs}
}
