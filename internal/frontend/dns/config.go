package dns

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/miekg/dns"

	"sloequay/internal/config"
)

// Config is the block `dns` of the settings, which turns the DNS side on.
type Config struct {
	Listen         string        // ip:port, UDP and TCP
	Zone           string        // lower case, with the last dot
	Timeout        time.Duration // that a query waits at most
	Resolver       string        // ip:port of the server that knows boxes listed by name; empty: none
	ResolveTimeout time.Duration
}

// Section gives the directives of the block.
func (c *Config) Section() *config.Section {
	c.Timeout, c.ResolveTimeout = 2*time.Second, 300*time.Millisecond
	address := func(s string) error {
		if _, err := netip.ParseAddrPort(s); err != nil {
			return fmt.Errorf("expected ip:port, got %q", s)
		}
		return nil
	}
	s := &config.Section{}
	s.Text("listen", &c.Listen, address, "where queries come, by UDP and TCP")
	s.Text("zone", &c.Zone, func(zone string) error {
		if _, ok := dns.IsDomainName(zone); !ok || dns.CanonicalName(zone) == "." {
			return fmt.Errorf("%q is not a domain name", zone)
		}
		return nil
	}, "the zone whose names are requests")
	s.Duration("limit", &c.Timeout, time.Millisecond, time.Minute, "that a query waits at most")
	s.Text("resolver", &c.Resolver, address, "name server that knows boxes listed by name")
	s.Duration("resolve-limit", &c.ResolveTimeout, time.Millisecond, time.Minute, "for the address of one name")
	s.Check(func() error {
		if c.Listen == "" || c.Zone == "" {
			return fmt.Errorf("listen and zone are needed")
		}
		c.Zone = dns.CanonicalName(c.Zone)
		return nil
	})
	return s
}
