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

// Config holds the settings of the block `dns`. The frontend is enabled if the block is present.
type Config struct {
	Listen         string        // ip:port for both UDP and TCP
	Zone           string        // in lower case, with the trailing dot
	Timeout        time.Duration // the longest time that a query waits for its answer; 2 s by default
	Resolver       string        // ip:port of the name server that resolves endpoints listed by name; empty: none
	ResolveTimeout time.Duration // for resolving one name; 300 ms by default
}

// Section sets the defaults and returns the directives of the block.
func (c *Config) Section() *config.Section {
	c.Timeout = defaultTimeout
	c.ResolveTimeout = defaultResolveTimeout
	section := &config.Section{}
	section.Text("listen", &c.Listen, checkAddress, "ip:port to listen on, for UDP and TCP")
	section.Text("zone", &c.Zone, checkZone, "zone whose names stand for requests")
	section.Duration("limit", &c.Timeout, minTimeout, maxTimeout, "longest time that a query waits for its answer")
	section.Text("resolver", &c.Resolver, checkAddress, "name server that resolves the endpoints listed by name")
	section.Duration("resolve-limit", &c.ResolveTimeout, minTimeout, maxTimeout, "timeout for resolving one name")
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
