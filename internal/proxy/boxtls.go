package proxy

import (
	"context"
	"fmt"
	"net"
	"time"

	"sloequay/internal/broker"
	"sloequay/internal/config"
	"sloequay/internal/eventloop/bridge"
	"sloequay/internal/identity/tlsclient"
)

// boxTLS is the block `box-tls` of the settings: how boxes are connected to by TLS, by their site.
type boxTLS struct {
	limit time.Duration
	all   boxSite
	sites map[string]*boxSite
}

// boxSite is what holds for the boxes of a site.
type boxSite struct {
	tlsclient.Config
	plain  bool
	name   string // that every box's certificate must have; empty: its id with suffix
	suffix string
	dialer *tlsclient.Dialer
}

// boxDescriptors is what a connection to a box by TLS takes: its own, and the pair that joins it to the loop.
const boxDescriptors = 3

func (b *boxTLS) section(unixTime func() time.Time) *config.Section {
	b.limit, b.sites = time.Second, map[string]*boxSite{}
	s := b.all.section(unixTime)
	s.Duration("limit", &b.limit, 10*time.Millisecond, 30*time.Second, "for connecting to a box, the handshake included")
	s.Block("site", true, "what differs at one site", func(words []string) (*config.Section, error) {
		if len(words) != 1 {
			return nil, fmt.Errorf("expected the site's name, got %d words", len(words))
		}
		if b.sites[words[0]] != nil {
			return nil, fmt.Errorf("the site %s is named twice", words[0])
		}
		site := &boxSite{}
		b.sites[words[0]] = site
		section := site.section(unixTime)
		section.Flag("plain", &site.plain, "boxes of the site are spoken to by plain TCP")
		return section, nil
	})
	return s
}

func (s *boxSite) section(unixTime func() time.Time) *config.Section {
	s.Now = unixTime
	section := &config.Section{}
	section.Text("ca", &s.CA, nil, "file of the authorities that sign boxes; the system's without it")
	section.Text("cert", &s.Cert, nil, "file of our certificate, where boxes want one")
	section.Text("key", &s.Key, nil, "file of its key, readable by its owner alone")
	section.Text("suffix", &s.suffix, nil, "what follows a box's id in the name that its certificate must have")
	section.Text("name", &s.name, nil, "name that all certificates must have instead")
	section.Check(func() (err error) {
		if s.name != "" && s.suffix != "" {
			return fmt.Errorf("name and suffix exclude each other")
		}
		if !s.plain {
			s.dialer, err = tlsclient.New(s.Config)
		}
		return err
	})
	return section
}

// at is what holds for a site.
func (b *boxTLS) at(site string) *boxSite {
	if s := b.sites[site]; s != nil {
		return s
	}
	return &b.all
}

// check says whether all sites are such as the platform's settings know.
func (b *boxTLS) check(zones []string) error {
	for name := range b.sites {
		known := false
		for _, z := range zones {
			known = known || z == name
		}
		if !known {
			return fmt.Errorf("box-tls: site %s: not in the platform's settings", name)
		}
	}
	return nil
}

// secure gives how a box is connected to; nil: by plain TCP.
func (b *boxTLS) secure(zones []string) func(*broker.Endpoint) func(string) (net.Conn, error) {
	return func(box *broker.Endpoint) func(string) (net.Conn, error) {
		site := &b.all
		if int(box.Zone) < len(zones) {
			site = b.at(zones[box.Zone])
		}
		if site.plain {
			return nil
		}
		name := site.name
		if name == "" {
			name = box.Name + site.suffix
		}
		return func(address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(context.Background(), b.limit)
			defer cancel()
			far, err := site.dialer.Dial(ctx, address, name)
			if err != nil {
				return nil, err
			}
			ours, theirs, err := bridge.Pair()
			if err != nil {
				_ = far.Close()
				return nil, err
			}
			go bridge.Copy(far, ours)
			return theirs, nil
		}
	}
}

// watch takes over files of certificates that change, until the program ends.
func (b *boxTLS) watch(d *server) {
	never := make(chan struct{})
	for _, s := range b.sites {
		if !s.plain {
			go s.dialer.Watch(never, func(err error) { d.renewed(s.CA, err) })
		}
	}
	go b.all.dialer.Watch(never, func(err error) { d.renewed(b.all.CA, err) })
}
