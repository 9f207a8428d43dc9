package proxy

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"sloequay/internal/clock"
	"sloequay/internal/config"
	"sloequay/internal/frontend/dns"
	"sloequay/internal/membership"
	"sloequay/internal/membership/consul"
	"sloequay/internal/peer/transport"
	"sloequay/internal/quota"
)

const (
	// maxSocketPath is the maximum length of the path of the operators' socket, in bytes. The system's own limit is
	// slightly higher.
	maxSocketPath = 100
	// maxClockOffset limits the offset of the Unix clock in both directions.
	maxClockOffset = 10 * 365 * 24 * time.Hour
)

// The values of the directive `prefer`.
const (
	preferListWatch = "bulletin"
	preferCatalogue = "catalogue"
)

// listWatchSource is the name of the endpoint list watch, as a source of endpoints, in output for operators.
const listWatchSource = "bulletin"

// Settings holds the settings of the file given by --conf. Without the file all of its features are off, as on the
// platform.
type Settings struct {
	Section     *config.Section
	Contracts   *quota.Contracts  // nil: no limits on teams
	DNS         *dns.Config       // nil: off
	Catalogue   *consul.Config    // nil: off
	Snapshot    *snapshotSettings // nil: off
	Identity    *identitySettings // nil: off
	Services    *serviceSettings  // nil: one pool for all
	AdminSocket string            // path of the operators' socket; empty: none
	UpstreamTLS *upstreamTLS      // nil: connections to endpoints are plain TCP
	Peers       *transport.Config // nil: no messages are exchanged with other proxies

	clock         *clock.System
	clockOffset   time.Duration // added to the Unix clock, for drills
	bind          string        // local address of outgoing connections; empty: chosen by the system
	list          membership.Config
	damping       membership.Damping
	usesListWatch bool   // whether the endpoint list watch is a source of endpoints; it always is a source of purges
	preferred     string // the source whose reports take precedence: preferListWatch or preferCatalogue
}

// NewSettings returns settings with all features off. The validity of certificates is checked against the clock.
func NewSettings(system *clock.System) *Settings {
	created := &Settings{
		Section:       &config.Section{},
		clock:         system,
		usesListWatch: true,
		preferred:     preferListWatch,
		list: membership.Config{
			MaxEndpoints:    membership.DefaultMaxEndpoints,
			MaxLossShare:    0.3,
			MinLoss:         2,
			ConfirmInterval: membership.DefaultConfirmInterval,
			MaxSilence:      10 * time.Minute,
			TombstoneTTL:    membership.DefaultTombstoneTTL,
		},
		damping: membership.Damping{
			SuppressAbove: 3,
			ReuseBelow:    1,
			HalfLife:      5 * time.Second,
			MaxSuppress:   20 * time.Second,
		},
	}
	created.addDirectives()
	return created
}

// ReadSettings reads the file of settings. If the path is empty, all features are off.
func ReadSettings(system *clock.System, path string) (*Settings, error) {
	settings := NewSettings(system)
	if path == "" {
		return settings, nil
	}
	if err := settings.Section.Load(path); err != nil {
		return nil, err
	}
	return settings, nil
}

// addDirectives adds the top-level directives, in the order in which they are printed.
func (s *Settings) addDirectives() {
	s.block("contracts", "budgets of each team", func() *config.Section {
		section, contracts := quota.Section()
		s.Contracts = contracts
		return section
	})
	s.Section.Text("control", &s.AdminSocket, checkSocketPath,
		"path of the operators' socket, which sloequay contracts --show and others query; default: no socket")
	s.Section.Text("bind", &s.bind, checkIPv4,
		"local address of connections to endpoints, list sources and other proxies; default: the system's choice")
	s.Section.Duration("clock-ahead", &s.clockOffset, -maxClockOffset, maxClockOffset,
		"for drills: how far the proxy's Unix clock is ahead of the system's")
	s.block("peers", "exchange of lists with other proxies", func() *config.Section {
		s.Peers = &transport.Config{}
		return s.Peers.Section()
	})
	s.block("identity", "authentication and authorization of callers", func() *config.Section {
		s.Identity = &identitySettings{}
		return s.Identity.section(s.clock.UnixTime)
	})
	s.block("services", "services, their pools of endpoints, and migrations between pools", func() *config.Section {
		s.Services = &serviceSettings{}
		return s.Services.section()
	})
	s.block("box-tls", "TLS for connections to endpoints", func() *config.Section {
		s.UpstreamTLS = &upstreamTLS{}
		return s.UpstreamTLS.section(s.clock.UnixTime)
	})
	s.block("dns", "DNS request routing", func() *config.Section {
		s.DNS = &dns.Config{}
		return s.DNS.Section()
	})
	s.block("catalogue", "Consul's catalogue as a source of endpoints", func() *config.Section {
		s.Catalogue = &consul.Config{}
		return s.Catalogue.Section()
	})
	s.block("list", "how the lists of the sources of endpoints are merged", s.listSection)
	s.block("snapshot", "the last good list, kept on a persistent disk", func() *config.Section {
		s.Snapshot = &snapshotSettings{Interval: 10 * time.Second, MaxAge: 24 * time.Hour}
		return s.Snapshot.section()
	})
}

// block adds a block that may be given once and takes no words after its name.
func (s *Settings) block(name, help string, open func() *config.Section) {
	s.Section.Block(name, false, help, func([]string) (*config.Section, error) { return open(), nil })
}

func checkSocketPath(path string) error {
	if info, err := os.Stat(filepath.Dir(path)); err != nil || !info.IsDir() || len(path) > maxSocketPath {
		return fmt.Errorf("%.120s: directory does not exist, or path is longer than %d bytes", path, maxSocketPath)
	}
	return nil
}

func checkIPv4(word string) error {
	if address, err := netip.ParseAddr(word); err != nil || !address.Is4() {
		return fmt.Errorf("expected an IPv4 address, got %.80q", word)
	}
	return nil
}

// listSection returns the directives of the block `list`.
func (s *Settings) listSection() *config.Section {
	section := &config.Section{}
	section.Flag("bulletin", &s.usesListWatch,
		"whether the endpoint list watch is a source of endpoints; it always is a source of purges")
	section.Choice("prefer", &s.preferred, []string{preferListWatch, preferCatalogue},
		"source whose reports of address, zone, kind and weight take precedence")
	section.Int("most-boxes", &s.list.MaxEndpoints, 1, 1_000_000, "maximum number of endpoints")
	section.Number("loss-share", &s.list.MaxLossShare, 0, 1,
		"share of a source's endpoints: a list that lacks more at once is suspected; 0: only one that lacks all")
	section.Int("loss-least", &s.list.MinLoss, 1, 1_000_000,
		"minimum number of missing endpoints for a list to be suspected, unless it lacks all")
	section.Duration("confirm", &s.list.ConfirmInterval, 50*time.Millisecond, 10*time.Second,
		"interval at which a suspected list is fetched again")
	section.Duration("silent-most", &s.list.MaxSilence, time.Second, 30*24*time.Hour,
		"time of silence after which other sources overrule a source")
	s.addDampingDirectives(section)
	return section
}

// addDampingDirectives adds the directives for the damping of flapping endpoints.
func (s *Settings) addDampingDirectives(section *config.Section) {
	damping := &s.damping
	section.Number("flap-cut", &damping.SuppressAbove, 0, 1000,
		"penalty from which an endpoint is suppressed: 1 per change to down, decaying over time; 0: never")
	section.Number("flap-reuse", &damping.ReuseBelow, 0.01, 1000, "penalty at which the suppression ends")
	section.Duration("flap-half-life", &damping.HalfLife, 10*time.Millisecond, time.Hour, "half-life of the penalty")
	section.Duration("flap-most", &damping.MaxSuppress, 10*time.Millisecond, time.Hour,
		"maximum time for which an endpoint is suppressed")
	section.Check(func() error {
		if damping.SuppressAbove > 0 && damping.ReuseBelow >= damping.SuppressAbove {
			return errors.New("flap-reuse must be less than flap-cut")
		}
		return nil
	})
}

// membershipTable returns a new table of endpoints, and the indices of two of its sources: the endpoint list watch and
// the catalogue's first service. The watch reports changes; the catalogue reports complete lists.
func (s *Settings) membershipTable() (table *membership.Table, watchSource, firstCatalogueSource int) {
	config := s.list
	watch := membership.Source{Name: listWatchSource}
	if s.Catalogue == nil {
		config.Sources = []membership.Source{watch}
		return membership.New(config), 0, 1
	}
	services := s.Catalogue.Sources(s.damping)
	if s.preferred == preferCatalogue {
		config.Sources = append(services, watch)
		return membership.New(config), len(services), 0
	}
	config.Sources = append([]membership.Source{watch}, services...)
	return membership.New(config), 0, 1
}

// bindAddress returns the local address of outgoing connections; nil: chosen by the system.
func (s *Settings) bindAddress() *net.TCPAddr {
	if s.bind == "" {
		return nil
	}
	return &net.TCPAddr{IP: net.ParseIP(s.bind)}
}
