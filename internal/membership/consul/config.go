// Package consul follows Consul's catalogue as a source of boxes, and its KV store as one of purges, and keeps the doorman
// itself registered. What it decides is in membership/watch, membership/health and membership/registrar; here is the I/O,
// on goroutines of its own, since the client blocks.
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
	Agents       []string // host:port; the first is the one at home
	TokenFile    string
	Datacenter   string
	Mode         blockingquery.Mode
	Watch        blockingquery.Config
	TLS          *TLS
	Services     []*Service
	Purges       string        // prefix of the KV store; empty: none
	Registration *Registration // nil: the doorman does not register itself
	Bind         net.Addr      // that connections come from; nil: the system's choice
}

// TLS is how agents are spoken to by HTTPS.
type TLS struct {
	CA, Cert, Key, ServerName string
	Now                       func() time.Time // the Unix clock; nil: the system's
	sharedDialer              *tlsclient.Dialer
}

// Service is one service whose instances are boxes.
type Service struct {
	Name   string
	Tags   []string
	Filter string
	Rules  health.Rules
}

// Registration is the doorman's own registration.
type Registration struct {
	Service, ID, Address string
	Tags                 []string
	TTL                  time.Duration
}

// pathSegment refuses what can't be part of a path.
func pathSegment(what string) func(string) error {
	return func(s string) error {
		if s == "" || strings.ContainsAny(s, "/?#% ") || len(s) > 255 {
			return fmt.Errorf("expected the name of a %s, got %q", what, s)
		}
		return nil
	}
}

func hostPort(s string) error {
	if _, port, err := net.SplitHostPort(s); err != nil || port == "" {
		return fmt.Errorf("expected host:port, got %q", s)
	}
	return nil
}

func readableFile(s string) error {
	f, err := os.Open(s)
	if err != nil {
		return err
	}
	return f.Close()
}

// Section gives the directives of the block.
func (c *Config) Section() *config.Section {
	s := &config.Section{}
	c.Watch = blockingquery.Config{ProbeAfter: time.Second}.WithDefaults()
	mode := c.Mode.String()
	s.Words("agent", &c.Agents, hostPort, "addresses of agents, host:port; the first is the one at home")
	s.Text("token-file", &c.TokenFile, readableFile, "file that holds the token; read again for each question")
	s.Text("datacentre", &c.Datacenter, pathSegment("datacentre"), "asked for, where it is not the agents' own")
	s.Choice("mode", &mode, []string{"default", "stale", "consistent"}, "how consistent answers are to be")
	s.Duration("stale-most", &c.Watch.MaxStaleness, 10*time.Millisecond, 10*time.Minute, "oldest answer that mode stale takes")
	s.Duration("wait", &c.Watch.Wait, time.Second, 10*time.Minute, "of one blocking query")
	s.Duration("limit", &c.Watch.ResponseTimeout, 100*time.Millisecond, time.Minute, "for an answer that need not wait")
	s.Duration("gap", &c.Watch.MinInterval, 10*time.Millisecond, 800*time.Millisecond, "between two lists while things change")
	s.Duration("probe", &c.Watch.ProbeAfter, 100*time.Millisecond, time.Minute, "silence after which an agent is asked whether it lives")
	s.Duration("probe-limit", &c.Watch.ProbeTimeout, 50*time.Millisecond, 10*time.Second, "for the answer to that")
	s.Duration("home", &c.Watch.PreferredRetryAfter, time.Second, time.Hour, "after which the agent at home is tried again")
	s.Text("purges", &c.Purges, nil, "prefix of the KV store that holds purges")
	s.Block("tls", false, "HTTPS to the agents", func([]string) (*config.Section, error) {
		c.TLS = &TLS{}
		t := &config.Section{}
		t.Text("ca", &c.TLS.CA, readableFile, "file with the authorities that sign agents; the system's without it")
		t.Text("cert", &c.TLS.Cert, readableFile, "file with our certificate")
		t.Text("key", &c.TLS.Key, readableFile, "file with its key")
		t.Text("server-name", &c.TLS.ServerName, nil, "name that the agents' certificates have")
		t.Check(func() error {
			if (c.TLS.Cert == "") != (c.TLS.Key == "") {
				return errors.New("cert and key go together")
			}
			_, err := c.TLS.dialer()
			return err
		})
		return t, nil
	})
	s.Block("service", true, "a service whose instances are boxes", func(words []string) (*config.Section, error) {
		if len(words) != 1 || pathSegment("service")(words[0]) != nil {
			return nil, errors.New("expected the name of one service")
		}
		for _, o := range c.Services {
			if o.Name == words[0] {
				return nil, fmt.Errorf("the service %s is named twice", o.Name)
			}
		}
		v := &Service{Name: words[0], Rules: health.DefaultRules()}
		c.Services = append(c.Services, v)
		return v.section(), nil
	})
	s.Block("register", false, "the doorman's own registration", func([]string) (*config.Section, error) {
		c.Registration = &Registration{TTL: 10 * time.Second}
		r := &config.Section{}
		r.Text("service", &c.Registration.Service, pathSegment("service"), "name of the service")
		r.Text("id", &c.Registration.ID, pathSegment("instance"), "of this doorman; its name without it")
		r.Text("address", &c.Registration.Address, hostPort, "host:port to be told; where it listens without it")
		r.Words("tag", &c.Registration.Tags, nil, "tags of the instance")
		r.Duration("ttl", &c.Registration.TTL, time.Second, 10*time.Minute, "of the check")
		r.Check(func() error {
			if c.Registration.Service == "" {
				return errors.New("service is missing")
			}
			return nil
		})
		return r, nil
	})
	s.Check(func() error {
		c.Mode, _ = blockingquery.ParseMode(mode)
		switch {
		case len(c.Agents) == 0:
			return errors.New("no agent is given")
		case len(c.Services) == 0 && c.Purges == "" && c.Registration == nil:
			return errors.New("neither service nor purges nor register is given")
		}
		return nil
	})
	return s
}

func (v *Service) section() *config.Section {
	s, r := &config.Section{}, &v.Rules
	warning := "up"
	s.Words("tag", &v.Tags, nil, "tags that an instance must all have")
	s.Text("filter", &v.Filter, nil, "filter expression of the API")
	s.Text("id", &r.ID, health.ValidateIDForm, "where a box's id comes from: service, node, node/service or meta:KEY")
	s.Text("site", &r.Zone, nil, "site of all instances, where the metadata does not tell it")
	s.Text("site-key", &r.ZoneKey, nil, "metadata that has the site")
	s.Text("class", &r.Kind, nil, "class of all instances, where the metadata does not tell it")
	s.Text("class-key", &r.KindKey, nil, "metadata that has the class")
	s.Text("born-key", &r.StartedAtKey, nil, "metadata that has the Unix millisecond of a late start")
	s.Text("capacity-key", &r.WeightKey, nil, "metadata that has the weight; the weights by health without it")
	s.Words("check", &r.Checks, nil, "checks that count: all, service, node, or ids")
	s.Words("ignore-check", &r.IgnoredChecks, nil, "ids of checks that do not count")
	s.Choice("warning", &warning, []string{"up", "draining"}, "what a warning means")
	s.Check(func() error {
		if r.Warning = membership.Up; warning == "draining" {
			r.Warning = membership.Draining
		}
		return nil
	})
	return s
}

// dialer gives how agents are connected to. Its files are taken over when they change.
func (t *TLS) dialer() (*tlsclient.Dialer, error) {
	if t.sharedDialer != nil {
		return t.sharedDialer, nil
	}
	var err error
	t.sharedDialer, err = tlsclient.New(tlsclient.Config{CA: t.CA, Cert: t.Cert, Key: t.Key, MinVersion: tls.VersionTLS12, Now: t.Now})
	return t.sharedDialer, err
}

// Sources gives the sources of boxes that the catalogue is, one a service, for the membership's settings.
func (c *Config) Sources(damping membership.Damping) (out []membership.Source) {
	for _, v := range c.Services {
		out = append(out, membership.Source{Name: "consul:" + v.Name, ConfirmLosses: true, FirstSeenIsStart: true, Damping: damping})
	}
	return out
}
