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

// Config is the block `catalogue` of the settings.
type Config struct {
	Agents       []string // host:port; the first is the preferred one
	TokenFile    string
	Datacenter   string // empty: the agents' own
	Mode         blockingquery.Mode
	Watch        blockingquery.Config
	TLS          *TLS // nil: agents are called by HTTP
	Services     []*Service
	PurgePrefix  string        // prefix of the KV store; empty: none
	Registration *Registration // nil: the proxy does not register itself
	Bind         net.Addr      // the local address of connections; nil: the system's choice
}

// TLS is how agents are called by HTTPS.
type TLS struct {
	CA         string
	Cert       string
	Key        string
	ServerName string
	Now        func() time.Time // the Unix clock; nil: the system's

	sharedDialer *tlsclient.Dialer // made when the settings are checked, before anything runs
}

// Service is one service whose instances are endpoints.
type Service struct {
	Name   string
	Tags   []string
	Filter string
	Rules  health.Rules
}

// Registration is the proxy's own registration.
type Registration struct {
	Service string
	ID      string // empty: the proxy's name
	Address string // empty: where the proxy listens
	Tags    []string
	TTL     time.Duration
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
	section.Words("agent", &c.Agents, hostPort, "addresses of agents, host:port; the first is the one at home")
	section.Text("token-file", &c.TokenFile, readableFile, "file that holds the token; read again for each question")
	section.Text("datacentre", &c.Datacenter, pathSegment("datacentre"), "asked for, where it is not the agents' own")
	section.Choice("mode", &mode, modeNames(), "how consistent answers are to be")
	c.addTimes(section)
	section.Text("purges", &c.PurgePrefix, nil, "prefix of the KV store that holds purges")
	section.Block("tls", false, "HTTPS to the agents", func([]string) (*config.Section, error) {
		c.TLS = &TLS{}
		return c.TLS.section(), nil
	})
	section.Block("service", true, "a service whose instances are endpoints", c.serviceSection)
	section.Block("register", false, "the proxy's own registration", func([]string) (*config.Section, error) {
		c.Registration = &Registration{TTL: defaultTTL}
		return c.Registration.section(), nil
	})
	section.Check(func() error {
		c.Mode, _ = blockingquery.ParseMode(mode)
		switch {
		case len(c.Agents) == 0:
			return errors.New("no agent is given")
		case len(c.Services) == 0 && c.PurgePrefix == "" && c.Registration == nil:
			return errors.New("neither service nor purges nor register is given")
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

// addTimes adds the directives for the times of the watches.
func (c *Config) addTimes(section *config.Section) {
	section.Duration("stale-most", &c.Watch.MaxStaleness, 10*time.Millisecond, 10*time.Minute,
		"oldest answer that mode stale takes")
	section.Duration("wait", &c.Watch.Wait, time.Second, 10*time.Minute,
		"of one blocking query")
	section.Duration("limit", &c.Watch.ResponseTimeout, 100*time.Millisecond, time.Minute,
		"for an answer that need not wait")
	section.Duration("gap", &c.Watch.MinInterval, 10*time.Millisecond, 800*time.Millisecond,
		"between two lists while things change")
	section.Duration("probe", &c.Watch.ProbeAfter, 100*time.Millisecond, time.Minute,
		"silence after which an agent is asked whether it lives")
	section.Duration("probe-limit", &c.Watch.ProbeTimeout, 50*time.Millisecond, 10*time.Second,
		"for the answer to that")
	section.Duration("home", &c.Watch.PreferredRetryAfter, time.Second, time.Hour,
		"after which the agent at home is tried again")
}

// section returns the directives of the block `tls`.
func (t *TLS) section() *config.Section {
	section := &config.Section{}
	section.Text("ca", &t.CA, readableFile, "file with the authorities that sign agents; the system's without it")
	section.Text("cert", &t.Cert, readableFile, "file with our certificate")
	section.Text("key", &t.Key, readableFile, "file with its key")
	section.Text("server-name", &t.ServerName, nil, "name that the agents' certificates have")
	section.Check(func() error {
		if (t.Cert == "") != (t.Key == "") {
			return errors.New("cert and key go together")
		}
		_, err := t.dialer()
		return err
	})
	return section
}

// serviceSection adds a service and returns the directives of its block.
func (c *Config) serviceSection(words []string) (*config.Section, error) {
	if len(words) != 1 || pathSegment("service")(words[0]) != nil {
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
		"where an endpoint's id comes from: service, node, node/service or meta:KEY")
	section.Text("site", &rules.Zone, nil, "site of all instances, where the metadata does not tell it")
	section.Text("site-key", &rules.ZoneKey, nil, "metadata that has the site")
	section.Text("class", &rules.Kind, nil, "class of all instances, where the metadata does not tell it")
	section.Text("class-key", &rules.KindKey, nil, "metadata that has the class")
	section.Text("born-key", &rules.StartedAtKey, nil, "metadata that has the Unix millisecond of a late start")
	section.Text("capacity-key", &rules.WeightKey, nil,
		"metadata that has the weight; the weights by health without it")
	section.Words("check", &rules.Checks, nil, "checks that count: all, service, node, or ids")
	section.Words("ignore-check", &rules.IgnoredChecks, nil, "ids of checks that do not count")
	section.Choice("warning", &warning, []string{membership.Up.String(), membership.Draining.String()},
		"what a warning means")
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
	section.Text("service", &r.Service, pathSegment("service"), "name of the service")
	section.Text("id", &r.ID, pathSegment("instance"), "of this proxy; its name without it")
	section.Text("address", &r.Address, hostPort, "host:port to be told; where it listens without it")
	section.Words("tag", &r.Tags, nil, "tags of the instance")
	section.Duration("ttl", &r.TTL, time.Second, 10*time.Minute, "of the check")
	section.Check(func() error {
		if r.Service == "" {
			return errors.New("service is missing")
		}
		return nil
	})
	return section
}

// pathSegment returns a check that refuses what can't be part of a path.
func pathSegment(what string) func(string) error {
	return func(text string) error {
		if text == "" || strings.ContainsAny(text, "/?#% ") || len(text) > maxPathSegmentBytes {
			return fmt.Errorf("expected the name of a %s, got %q", what, text)
		}
		return nil
	}
}

func hostPort(text string) error {
	if _, port, err := net.SplitHostPort(text); err != nil || port == "" {
		return fmt.Errorf("expected host:port, got %q", text)
	}
	return nil
}

func readableFile(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	return file.Close()
}

// dialer returns what connects to agents, which takes its files over when they change. All clients share it.
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

// Sources returns the sources of endpoints that the catalogue is, one for each service, for the membership's
// settings.
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
