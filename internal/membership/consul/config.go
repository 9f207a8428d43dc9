package consul

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"sloequay/internal/config"
	"sloequay/internal/identity/tlsclient"
	"sloequay/internal/membership"
	"sloequay/internal/membership/consul/blockingquery"
	"sloequay/internal/membership/consul/health"
)

// Config holds the settings in the block `catalogue`.
type Config struct {
	Agents       []string // host:port; the first is the preferred one
	TokenFile    string
	Datacenter   string // empty: the agents' own
	Mode         blockingquery.Mode
	Watch        blockingquery.Config
	TLS          *TLS // nil: agents are called over plain HTTP
	Services     []*Service
	PurgePrefix  string        // prefix of the purges' keys in the KV store; empty: no purges
	Registration *Registration // nil: the proxy does not register itself
	Bind         net.Addr      // local address of connections to agents; nil: chosen by the system
}

// TLS holds the settings for calling agents over HTTPS. CA, Cert and Key are the paths of files.
type TLS struct {
	CA         string
	Cert       string
	Key        string
	ServerName string
	Now        func() time.Time // the Unix clock; nil: the system's

	sharedDialer *tlsclient.Dialer // made while the settings are checked, before any other goroutine uses it
}

// Service is a service whose instances are used as endpoints.
type Service struct {
	Name   string
	Tags   []string
	Filter string
	Rules  health.Rules
}

// Registration holds the settings of the proxy's own registration.
type Registration struct {
	Service string
	ID      string // empty: the proxy's name
	Address string // host:port; empty: where the proxy listens
	Tags    []string
	TTL     time.Duration // of the check
}

const (
	defaultProbeAfter = time.Second
	defaultTTL        = 10 * time.Second

	maxPathSegmentBytes = 255
)

// Section returns the directives of the block.
func (c *Config) Section() *config.Section {
	section := &config.Section{}
	c.Watch = blockingquery.Config{ProbeAfter: defaultProbeAfter}.WithDefaults()
	mode := c.Mode.String()
	section.Words("agent", &c.Agents, validateHostPort, "host:port of the agents; the first is the preferred one")
	section.Text("token-file", &c.TokenFile, validateReadableFile, "file with the token; read again for each call")
	section.Text("datacentre", &c.Datacenter, pathSegmentValidator("datacentre"),
		"datacenter to query; default: that of the agents")
	section.Choice("mode", &mode, modeNames(), "consistency mode of the queries")
	c.addTimes(section)
	section.Text("purges", &c.PurgePrefix, nil, "prefix of the purges' keys in the KV store")
	section.Block("tls", false, "HTTPS to the agents", func([]string) (*config.Section, error) {
		c.TLS = &TLS{}
		return c.TLS.section(), nil
	})
	section.Block("service", true, "a service whose instances are used as endpoints", c.serviceSection)
	section.Block("register", false, "the proxy's own registration", func([]string) (*config.Section, error) {
		c.Registration = &Registration{TTL: defaultTTL}
		return c.Registration.section(), nil
	})
	section.Check(func() error {
		c.Mode, _ = blockingquery.ParseMode(mode)
		switch {
		case len(c.Agents) == 0:
			return errors.New("at least one agent is required")
		case len(c.Services) == 0 && c.PurgePrefix == "" && c.Registration == nil:
			return errors.New("at least one of service, purges and register is required")
		}
		return nil
	})
	return section
}

func modeNames() []string {
	modes := []blockingquery.Mode{blockingquery.Default, blockingquery.Stale, blockingquery.Consistent}
	var names []string
	for _, mode := range modes {
		names = append(names, mode.String())
	}
	return names
}

// addTimes adds the directives for the intervals and timeouts of the watches.
func (c *Config) addTimes(section *config.Section) {
	section.Duration("stale-most", &c.Watch.MaxStaleness, 10*time.Millisecond, 10*time.Minute,
		"maximum staleness of a response in mode stale")
	section.Duration("wait", &c.Watch.Wait, time.Second, 10*time.Minute,
		"maximum time that a query blocks")
	section.Duration("limit", &c.Watch.ResponseTimeout, 100*time.Millisecond, time.Minute,
		"timeout of a query that does not block")
	section.Duration("gap", &c.Watch.MinInterval, 10*time.Millisecond, 800*time.Millisecond,
		"minimum interval between two lists while the list changes")
	section.Duration("probe", &c.Watch.ProbeAfter, 100*time.Millisecond, time.Minute,
		"silence after which an agent is probed")
	section.Duration("probe-limit", &c.Watch.ProbeTimeout, 50*time.Millisecond, 10*time.Second,
		"timeout of a probe")
	section.Duration("home", &c.Watch.PreferredRetryAfter, time.Second, time.Hour,
		"time after which the preferred agent is tried again")
}

// section returns the directives of the block `tls`.
func (t *TLS) section() *config.Section {
	section := &config.Section{}
	section.Text("ca", &t.CA, validateReadableFile,
		"file with the CA certificates for the agents; default: the system's")
	section.Text("cert", &t.Cert, validateReadableFile, "file with the proxy's client certificate")
	section.Text("key", &t.Key, validateReadableFile, "file with the private key of the certificate")
	section.Text("server-name", &t.ServerName, nil, "name in the agents' certificates; default: the agent's host")
	section.Check(func() error {
		if (t.Cert == "") != (t.Key == "") {
			return errors.New("cert and key must be given together")
		}
		_, err := t.dialer()
		return err
	})
	return section
}

// serviceSection adds a service and returns the directives of its block.
func (c *Config) serviceSection(words []string) (*config.Section, error) {
	if len(words) != 1 || pathSegmentValidator("service")(words[0]) != nil {
		return nil, errors.New("expected the name of one service")
	}
	name := words[0]
	for _, other := range c.Services {
		if other.Name == name {
			return nil, fmt.Errorf("the service %s is named twice", name)
		}
	}
	service := &Service{Name: name, Rules: health.DefaultRules()}
	c.Services = append(c.Services, service)
	return service.section(), nil
}

// section returns the directives of the block `service`.
func (s *Service) section() *config.Section {
	section := &config.Section{}
	rules := &s.Rules
	warning := membership.Up.String()
	section.Words("tag", &s.Tags, nil, "tags that an instance must all have")
	section.Text("filter", &s.Filter, nil, "filter expression of the API")
	section.Text("id", &rules.ID, health.ValidateIDForm,
		"origin of an endpoint's id: service, node, node/service or meta:KEY")
	section.Text("site", &rules.Zone, nil, "site of all instances; default: taken from their metadata")
	section.Text("site-key", &rules.ZoneKey, nil, "metadata key of the site")
	section.Text("class", &rules.Kind, nil, "class of all instances; default: taken from their metadata")
	section.Text("class-key", &rules.KindKey, nil, "metadata key of the class")
	section.Text("born-key", &rules.StartedAtKey, nil, "metadata key of the start time in Unix milliseconds")
	section.Text("capacity-key", &rules.WeightKey, nil,
		"metadata key of the weight; without it the catalogue's weights by health apply")
	section.Words("check", &rules.Checks, nil, "checks that count: all, service, node, or ids")
	section.Words("ignore-check", &rules.IgnoredChecks, nil, "ids of checks that do not count")
	section.Choice("warning", &warning, []string{membership.Up.String(), membership.Draining.String()},
		"state of an instance with a warning")
	section.Check(func() error {
		rules.Warning = membership.Up
		if warning == membership.Draining.String() {
			rules.Warning = membership.Draining
		}
		return nil
	})
	return section
}

// section returns the directives of the block `register`.
func (r *Registration) section() *config.Section {
	section := &config.Section{}
	section.Text("service", &r.Service, pathSegmentValidator("service"), "name of the service")
	section.Text("id", &r.ID, pathSegmentValidator("instance"), "id of this proxy; default: the proxy's name")
	section.Text("address", &r.Address, validateHostPort, "host:port to register; default: where the proxy listens")
	section.Words("tag", &r.Tags, nil, "tags of the instance")
	section.Duration("ttl", &r.TTL, time.Second, 10*time.Minute, "TTL of the check")
	section.Check(func() error {
		if r.Service == "" {
			return errors.New("service is missing")
		}
		return nil
	})
	return section
}

// pathSegmentValidator returns a function that rejects text that can't be one segment of a URL path. The error says
// what the text should name.
func pathSegmentValidator(what string) func(string) error {
	return func(text string) error {
		if text == "" || strings.ContainsAny(text, "/?#% ") || len(text) > maxPathSegmentBytes {
			return fmt.Errorf("expected the name of a %s, got %q", what, text)
		}
		return nil
	}
}

func validateHostPort(text string) error {
	if _, port, err := net.SplitHostPort(text); err != nil || port == "" {
		return fmt.Errorf("expected host:port, got %q", text)
	}
	return nil
}

func validateReadableFile(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	return file.Close()
}

// dialer returns the dialer for connections to agents, which all clients share. watchFiles keeps its files up to date.
func (t *TLS) dialer() (*tlsclient.Dialer, error) {
	if t.sharedDialer != nil {
		return t.sharedDialer, nil
	}
	dialer, err := tlsclient.New(tlsclient.Config{
		CA:         t.CA,
		Cert:       t.Cert,
		Key:        t.Key,
		MinVersion: tls.VersionTLS12,
		Now:        t.Now,
	})
	t.sharedDialer = dialer
	return dialer, err
}

// Sources returns the membership sources that the catalogue provides, one for each service.
func (c *Config) Sources(damping membership.Damping) []membership.Source {
	var sources []membership.Source
	for _, service := range c.Services {
		sources = append(sources, membership.Source{
			Name:             "consul:" + service.Name,
			ConfirmLosses:    true,
			FirstSeenIsStart: true,
			Damping:          damping,
		})
	}
	return sources
}
