package dnsfront

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/miekg/dns"
	"github.com/tidwall/gjson"
)

// Config is the file that turns the DNS side on.
type Config struct {
	Listen       string        // ip:port, UDP and TCP
	Zone         string        // lower case, with the last dot
	Limit        time.Duration // that a query waits at most
	Resolver     string        // ip:port of the server that knows boxes listed by name; empty: none
	ResolveLimit time.Duration
}

// Load reads {"listen":"127.0.0.1:5300","zone":"boxes.example.","limit_ms":2000,"resolver":"127.0.0.1:5301",
// "resolve_ms":300}.
func Load(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("dns: %w", err)
	}
	if !gjson.ValidBytes(text) {
		return nil, fmt.Errorf("dns: not valid JSON")
	}
	j := gjson.ParseBytes(text)
	c := &Config{Listen: j.Get("listen").String(), Zone: dns.CanonicalName(j.Get("zone").String()),
		Limit: 2 * time.Second, Resolver: j.Get("resolver").String(), ResolveLimit: 300 * time.Millisecond}
	if _, err := netip.ParseAddrPort(c.Listen); err != nil {
		return nil, fmt.Errorf("dns: listen: %w", err)
	}
	if _, ok := dns.IsDomainName(c.Zone); !ok || c.Zone == "." {
		return nil, fmt.Errorf("dns: zone: %q is not a domain name", c.Zone)
	}
	if c.Resolver != "" {
		if _, err := netip.ParseAddrPort(c.Resolver); err != nil {
			return nil, fmt.Errorf("dns: resolver: %w", err)
		}
	}
	for key, d := range map[string]*time.Duration{"limit_ms": &c.Limit, "resolve_ms": &c.ResolveLimit} {
		if v := j.Get(key); v.Exists() {
			if v.Type != gjson.Number || v.Num < 1 || v.Num > 60000 {
				return nil, fmt.Errorf("dns: %s: expected 1 to 60000", key)
			}
			*d = time.Duration(v.Num * float64(time.Millisecond))
		}
	}
	return c, nil
}
