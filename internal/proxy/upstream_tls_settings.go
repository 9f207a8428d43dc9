package proxy

import (
	"fmt"
	"slices"
	"time"

	"sloequay/internal/config"
	"sloequay/internal/identity/tlsclient"
)

// upstreamTLS is the block `box-tls`: how endpoints are connected to by TLS, by their zone.
type upstreamTLS struct {
	timeout     time.Duration // for connecting, the handshake included
	defaultZone zoneTLS
	zones       map[string]*zoneTLS // what differs, by the zone's name
}

// zoneTLS is what holds for the endpoints of a zone.
type zoneTLS struct {
	tlsclient.Config
	plain      bool              // by plain TCP
	serverName string            // that every certificate must have; empty: the endpoint's ID and nameSuffix
	nameSuffix string            // behind the endpoint's ID
	dialer     *tlsclient.Dialer // nil where plain
}

// section returns the directives of the block. Certificates are checked at the time that unixTime gives.
func (u *upstreamTLS) section(unixTime func() time.Time) *config.Section {
	u.timeout = time.Second
	u.zones = map[string]*zoneTLS{}
	section := u.defaultZone.section(unixTime)
	section.Duration("limit", &u.timeout, 10*time.Millisecond, 30*time.Second,
		"for connecting to an endpoint, the handshake included")
	section.Block("site", true, "what differs at one site", func(words []string) (*config.Section, error) {
		if len(words) != 1 {
			return nil, fmt.Errorf("expected the site's name, got %d words", len(words))
		}
		name := words[0]
		if u.zones[name] != nil {
			return nil, fmt.Errorf("the site %s is named twice", name)
		}
		zone := &zoneTLS{}
		u.zones[name] = zone
		section := zone.section(unixTime)
		section.Flag("plain", &zone.plain, "endpoints of the site are connected to by plain TCP")
		return section, nil
	})
	return section
}

func (z *zoneTLS) section(unixTime func() time.Time) *config.Section {
	z.Now = unixTime
	section := &config.Section{}
	section.Text("ca", &z.CA, nil, "file of the authorities that sign endpoints; the system's without it")
	section.Text("cert", &z.Cert, nil, "file of our certificate, where endpoints want one")
	section.Text("key", &z.Key, nil, "file of its key, readable by its owner alone")
	section.Text("suffix", &z.nameSuffix, nil,
		"what follows an endpoint's id in the name that its certificate must have")
	section.Text("name", &z.serverName, nil, "name that all certificates must have instead")
	section.Check(func() error {
		if z.serverName != "" && z.nameSuffix != "" {
			return fmt.Errorf("name and suffix exclude each other")
		}
		if z.plain {
			return nil
		}
		dialer, err := tlsclient.New(z.Config)
		z.dialer = dialer
		return err
	})
	return section
}

// checkZones reports the first zone that the platform's settings do not have.
func (u *upstreamTLS) checkZones(zoneNames []string) error {
	for name := range u.zones {
		if !slices.Contains(zoneNames, name) {
			return fmt.Errorf("box-tls: site %s: not in the platform's settings", name)
		}
	}
	return nil
}
