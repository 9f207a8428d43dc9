package dns

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/miekg/dns"

	"sloequay/internal/config"
)

const (
	defaultTimeout        = 2 * time.Second
	defaultResolveTimeout = 300 * time.Millisecond
	minTimeout            = time.Millisecond
	maxTimeout            = time.Minute
)

// Config is the block `dns` of the settings, which turns the frontend on.
type Config struct {
	Listen         string        // ip:port, UDP and TCP
	Zone           string        // lower case, with the last dot
	Timeout        time.Duration // that a query waits at most; 2 s by default
	Resolver       string        // ip:port of the server that knows endpoints listed by name; empty: none
	ResolveTimeout time.Duration // for the address of one name; 300 ms by default
}

// Section returns the directives of the block, and sets the defaults.
func (c *Config) Section() *config.Section {
	c.Timeout = defaultTimeout
	c.ResolveTimeout = defaultResolveTimeout
	section := &config.Section{}
	section.Text("listen", &c.Listen, checkAddress, "where queries come, by UDP and TCP")
	section.Text("zone", &c.Zone, checkZone, "the zone whose names are requests")
	section.Duration("limit", &c.Timeout, minTimeout, maxTimeout, "that a query waits at most")
	section.Text("resolver", &c.Resolver, checkAddress, "name server that knows the endpoints listed by name")
	section.Duration("resolve-limit", &c.ResolveTimeout, minTimeout, maxTimeout, "for the address of one name")
	section.Check(func() error {
		if c.Listen == "" || c.Zone == "" {
			return errors.New("listen and zone are needed")
		}
		c.Zone = dns.CanonicalName(c.Zone)
		return nil
	})
	return section
}

func checkAddress(text string) error {
	if _, err := netip.ParseAddrPort(text); err != nil {
		return fmt.Errorf("expected ip:port, got %q", text)
	}
	return nil
}

func checkZone(zone string) error {
	if _, ok := dns.IsDomainName(zone); !ok || dns.CanonicalName(zone) == "." {
		return fmt.Errorf("%q is not a domain name", zone)
	}
	return nil
}
