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
	// maxSocketPath is the longest path of the operators' socket, in bytes: the system takes few more.
	maxSocketPath = 100
	// maxClockOffset bounds the offset of the Unix clock, either way.
	maxClockOffset = 10 * 365 * 24 * time.Hour
)

// The words of `prefer`.
const (
	preferListWatch = "bulletin"
	preferCatalogue = "catalogue"
)

// listWatchSource is the name of the endpoint list watch as a source of endpoints, which operators read.
const listWatchSource = "bulletin"

// Settings is the file that --conf names. Without it everything in it is off, as on the platform.
type Settings struct {
	Section     *config.Section
	Contracts   *quota.Contracts  // nil: every team may do everything
	DNS         *dns.Config       // nil: off
	Catalogue   *consul.Config    // nil: off
	Snapshot    *snapshotSettings // nil: off
	Identity    *identitySettings // nil: off
	Services    *serviceSettings  // nil: one pool for all
	AdminSocket string            // path of the operators' socket; empty: none
	UpstreamTLS *upstreamTLS      // nil: endpoints are connected to by plain TCP
	Peers       *transport.Config // nil: no other proxy is known

	clock         *clock.System
	clockOffset   time.Duration // of the Unix clock here, for drills
	bind          string        // address that our own connections come from; empty: the system's choice
	list          membership.Config
	damping       membership.Damping
	usesListWatch bool   // whether the endpoint list watch is a source of endpoints; it always is one of purges
	preferred     string // the source whose report on an endpoint goes first: preferListWatch or preferCatalogue
}

// NewSettings returns settings with everything off. Certificates are checked by the clock.
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

// ReadSettings reads the file of settings; without a path everything is off.
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

// addDirectives adds the directives of the top level, in the order in which they are printed.
func (s *Settings) addDirectives() {
	s.block("contracts", "what each team may send", func() *config.Section {
		section, contracts := quota.Section()
		s.Contracts = contracts
		return section
	})
	s.Section.Text("control", &s.AdminSocket, checkSocketPath,
		"path of a socket for operators, as sloequay contracts --show; none without it")
	s.Section.Text("bind", &s.bind, checkIPv4,
		"address that connections to endpoints, lists and other proxies come from; the system's choice without it")
	s.Section.Duration("clock-ahead", &s.clockOffset, -maxClockOffset, maxClockOffset,
		"for drills: what the Unix clock here is taken to be ahead of the system's")
	s.block("peers", "proxies that know of each other", func() *config.Section {
		s.Peers = &transport.Config{}
		return s.Peers.Section()
	})
	s.block("identity", "who may do what", func() *config.Section {
		s.Identity = &identitySettings{}
		return s.Identity.section(s.clock.UnixTime)
	})
	s.block("services", "services, their pools of endpoints, and moves between those", func() *config.Section {
		s.Services = &serviceSettings{}
		return s.Services.section()
	})
	s.block("box-tls", "TLS towards endpoints", func() *config.Section {
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
	s.block("list", "how the sources of endpoints are joined", s.listSection)
	s.block("snapshot", "the last good list on a disk that lasts", func() *config.Section {
		s.Snapshot = &snapshotSettings{Interval: 10 * time.Second, MaxAge: 24 * time.Hour}
		return s.Snapshot.section()
	})
}

// block adds a block that may be given once and takes no words.
func (s *Settings) block(name, help string, open func() *config.Section) {
	s.Section.Block(name, false, help, func([]string) (*config.Section, error) { return open(), nil })
}

func checkSocketPath(path string) error {
	if info, err := os.Stat(filepath.Dir(path)); err != nil || !info.IsDir() || len(path) > maxSocketPath {
		return fmt.Errorf("%.120s: no folder for a socket, or a path of more than %d letters", path, maxSocketPath)
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
		"whether the endpoint list watch is a source of endpoints; it always is one of purges")
	section.Choice("prefer", &s.preferred, []string{preferListWatch, preferCatalogue},
		"whose report of address, place, kind and weight goes first")
	section.Int("most-boxes", &s.list.MaxEndpoints, 1, 1_000_000, "endpoints held")
	section.Number("loss-share", &s.list.MaxLossShare, 0, 1,
		"of a source's endpoints: a list that lacks more at once is suspected; 0: none")
	section.Int("loss-least", &s.list.MinLoss, 1, 1_000_000, "and at least so many")
	section.Duration("confirm", &s.list.ConfirmInterval, 50*time.Millisecond, 10*time.Second,
		"how often a suspected source is polled again")
	section.Duration("silent-most", &s.list.MaxSilence, time.Second, 30*24*time.Hour,
		"after which a silent source is overruled by any other")
	s.addDampingDirectives(section)
	return section
}

// addDampingDirectives adds the directives of the damping of endpoints that flap.
func (s *Settings) addDampingDirectives(section *config.Section) {
	damping := &s.damping
	section.Number("flap-cut", &damping.SuppressAbove, 0, 1000,
		"times gone down, halved by flap-half-life, from which an endpoint is held down; 0: never")
	section.Number("flap-reuse", &damping.ReuseBelow, 0.01, 1000, "below which it is released")
	section.Duration("flap-half-life", &damping.HalfLife, 10*time.Millisecond, time.Hour, "of that count")
	section.Duration("flap-most", &damping.MaxSuppress, 10*time.Millisecond, time.Hour,
		"longest that an endpoint is held down")
	section.Check(func() error {
		if damping.SuppressAbove > 0 && damping.ReuseBelow >= damping.SuppressAbove {
			return errors.New("flap-reuse must be under flap-cut")
		}
		return nil
	})
}

// membershipTable makes the table of endpoints, and returns the indices of its sources: the endpoint list watch's and
// that of the catalogue's first service. The watch reports changes, the catalogue complete lists.
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

// bindAddress returns the address that our own connections come from; nil: the system's choice.
func (s *Settings) bindAddress() *net.TCPAddr {
	if s.bind == "" {
		return nil
	}
	return &net.TCPAddr{IP: net.ParseIP(s.bind)}
}
