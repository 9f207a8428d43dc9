package proxy

import (
	"fmt"
	"slices"
	"time"

	"sloequay/internal/config"
	"sloequay/internal/identity/tlsclient"
)

// upstreamTLS holds the settings in the block `box-tls`: TLS for connections to endpoints, by zone.
type upstreamTLS struct {
	timeout     time.Duration // of connecting, including the handshake
	defaultZone zoneTLS       // for the zones that are not in zones
	zones       map[string]*zoneTLS
}

// zoneTLS holds the TLS settings for the endpoints of a zone.
type zoneTLS struct {
	tlsclient.Config
	plain      bool              // connect over plain TCP
	serverName string            // name in all endpoints' certificates; empty: the endpoint's ID followed by nameSuffix
	nameSuffix string            // see serverName
	dialer     *tlsclient.Dialer // nil if plain
}

// section returns the directives of the block. The validity of certificates is checked against unixTime.
func (u *upstreamTLS) section(unixTime func() time.Time) *config.Section {
	u.timeout = time.Second
	u.zones = map[string]*zoneTLS{}
	section := u.defaultZone.section(unixTime)
	section.Duration("limit", &u.timeout, 10*time.Millisecond, 30*time.Second,
		"timeout of connecting to an endpoint, including the handshake")
	section.Block("site", true, "settings for the endpoints of a site", func(words []string) (*config.Section, error) {
		if len(words) != 1 {
			return nil, fmt.Errorf("expected the site's name, got %d words", len(words))
		}
		name := words[0]
		if u.zones[name] != nil {
			return nil, fmt.Errorf("the site %s is defined twice", name)
		}
		zone := &zoneTLS{}
		u.zones[name] = zone
		section := zone.section(unixTime)
		section.Flag("plain", &zone.plain, "whether to connect to the endpoints of the site over plain TCP")
		return section, nil
	})
	return section
}

func (z *zoneTLS) section(unixTime func() time.Time) *config.Section {
	z.Now = unixTime
	section := &config.Section{}
	section.Text("ca", &z.CA, nil, "file with the CA certificates for endpoints; default: the system's")
	section.Text("cert", &z.Cert, nil, "file with the proxy's client certificate, if endpoints request one")
	section.Text("key", &z.Key, nil, "file with its private key, readable only by its owner")
	section.Text("suffix", &z.nameSuffix, nil,
		"suffix after an endpoint's id in the name that its certificate must have")
	section.Text("name", &z.serverName, nil, "name that all endpoints' certificates must have; excludes suffix")
	section.Check(func() error {
		if z.serverName != "" && z.nameSuffix != "" {
			return fmt.Errorf("name and suffix are mutually exclusive")
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

// checkZones returns an error if one of the zones is not in zoneNames, those of the platform configuration.
func (u *upstreamTLS) checkZones(zoneNames []string) error {
	for name := range u.zones {
		if !slices.Contains(zoneNames, name) {
			return fmt.Errorf("box-tls: site %s: not in the platform configuration", name)
		}
	}
	return nil
}
