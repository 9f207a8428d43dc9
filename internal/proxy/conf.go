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

// Settings is our settings: the file that --conf names. Without it everything in it is off, as on the platform.
type Settings struct {
	Section       *config.Section
	Contracts     *quota.Contracts  // nil: every team may do everything
	DNS           *dns.Config       // nil: off
	Catalogue     *consul.Config    // nil: off
	Snapshot      *snapshotConfig   // nil: off
	Identity      *identityConfig   // nil: off
	Services      *services         // nil: one pool for all
	Control       string            // path of the operators' socket; empty: none
	UpstreamTLS   *boxTLS           // nil: boxes are spoken to by plain TCP
	Peers         *transport.Config // nil: no other doorman is known
	clock         *clock.System
	clockOffset   time.Duration // of the Unix clock here, for drills
	bind          string        // address that our own connections come from; empty: the system's choice
	list          membership.Config
	damping       membership.Damping
	usesListWatch bool   // whether the endpoint list watch is a source of endpoints; it always is one of purges
	prefer        string // whose word on what a box is goes first: "bulletin" or "catalogue"
}

// snapshotConfig is the block `snapshot`.
type snapshotConfig struct {
	File   string
	Every  time.Duration
	Oldest time.Duration
}

// NewSettings has everything off. What the settings configure goes by the clock.
func NewSettings(system *clock.System) *Settings {
	o := &Settings{Section: &config.Section{}, clock: system, usesListWatch: true, prefer: "bulletin",
		list: membership.Config{MaxEndpoints: membership.DefaultMaxEndpoints, MaxLossShare: 0.3, MinLoss: 2,
			ConfirmInterval: membership.DefaultConfirmInterval, MaxSilence: 10 * time.Minute, Forget: membership.DefaultForget},
		damping: membership.Damping{SuppressAbove: 3, ReuseBelow: 1, HalfLife: 5 * time.Second, MaxSuppress: 20 * time.Second}}
	s := o.Section
	s.Block("contracts", false, "what each team may send", func([]string) (*config.Section, error) {
		section, contracts := quota.Section()
		o.Contracts = contracts
		return section, nil
	})
	s.Text("control", &o.Control, func(path string) error {
		if info, err := os.Stat(filepath.Dir(path)); err != nil || !info.IsDir() || len(path) > 100 {
			return fmt.Errorf("%.120s: no folder for a socket, or a path of more than 100 letters", path)
		}
		return nil
	}, "path of a socket for operators, as sloequay contracts --show; none without it")
	s.Text("bind", &o.bind, func(word string) error {
		if a, err := netip.ParseAddr(word); err != nil || !a.Is4() {
			return fmt.Errorf("expected an IPv4 address, got %.80q", word)
		}
		return nil
	}, "address that connections to boxes, lists and other doormans come from; the system's choice without it")
	s.Duration("clock-ahead", &o.clockOffset, -10*365*24*time.Hour, 10*365*24*time.Hour, "for drills: what the Unix clock here is taken to be ahead of the system's")
	s.Block("peers", false, "doormans that know of each other", func([]string) (*config.Section, error) {
		o.Peers = &transport.Config{}
		return o.Peers.Section(), nil
	})
	s.Block("identity", false, "who may do what", func([]string) (*config.Section, error) {
		o.Identity = &identityConfig{}
		return o.Identity.section(o.clock.UnixTime), nil
	})
	s.Block("services", false, "services, their pools of boxes, and moves between those", func([]string) (*config.Section, error) {
		o.Services = &services{}
		return o.Services.section(), nil
	})
	s.Block("box-tls", false, "TLS towards boxes", func([]string) (*config.Section, error) {
		o.UpstreamTLS = &boxTLS{}
		return o.UpstreamTLS.section(o.clock.UnixTime), nil
	})
	s.Block("dns", false, "DNS request routing", func([]string) (*config.Section, error) {
		o.DNS = &dns.Config{}
		return o.DNS.Section(), nil
	})
	s.Block("catalogue", false, "Consul's catalogue as a source of boxes", func([]string) (*config.Section, error) {
		o.Catalogue = &consul.Config{}
		return o.Catalogue.Section(), nil
	})
	s.Block("list", false, "how the sources of boxes are joined", func([]string) (*config.Section, error) {
		return o.listSection(), nil
	})
	s.Block("snapshot", false, "the last good list on a disk that lasts", func([]string) (*config.Section, error) {
		o.Snapshot = &snapshotConfig{Every: 10 * time.Second, Oldest: 24 * time.Hour}
		p := &config.Section{}
		p.Text("file", &o.Snapshot.File, func(path string) error {
			if info, err := os.Stat(filepath.Dir(path)); err != nil || !info.IsDir() {
				return fmt.Errorf("%s is no folder", filepath.Dir(path))
			}
			return nil
		}, "where it is kept")
		p.Duration("every", &o.Snapshot.Every, 100*time.Millisecond, time.Hour, "least time between two")
		p.Duration("oldest", &o.Snapshot.Oldest, time.Second, 30*24*time.Hour, "age from which one is refused")
		p.Check(func() error {
			if o.Snapshot.File == "" {
				return errors.New("file is missing")
			}
			return nil
		})
		return p, nil
	})
	return o
}

func (o *Settings) listSection() *config.Section {
	s, l, d := &config.Section{}, &o.list, &o.damping
	s.Flag("bulletin", &o.usesListWatch, "whether the bulletin's word on boxes counts; its purges always do")
	s.Choice("prefer", &o.prefer, []string{"bulletin", "catalogue"}, "whose word on address, place, kind and weight goes first")
	s.Int("most-boxes", &l.MaxEndpoints, 1, 1_000_000, "boxes held")
	s.Number("loss-share", &l.MaxLossShare, 0, 1, "of a source's boxes: a list that lacks more at once is doubted; 0: none")
	s.Int("loss-least", &l.MinLoss, 1, 1_000_000, "and at least so many")
	s.Duration("confirm", &l.ConfirmInterval, 50*time.Millisecond, 10*time.Second, "how often a doubted source is asked again")
	s.Duration("silent-most", &l.MaxSilence, time.Second, 30*24*time.Hour, "after which a silent source is overruled by any other")
	s.Number("flap-cut", &d.SuppressAbove, 0, 1000, "ways down, halved by flap-half-life, from which a box is held down; 0: never")
	s.Number("flap-reuse", &d.ReuseBelow, 0.01, 1000, "under which it is let go")
	s.Duration("flap-half-life", &d.HalfLife, 10*time.Millisecond, time.Hour, "of that count")
	s.Duration("flap-most", &d.MaxSuppress, 10*time.Millisecond, time.Hour, "longest that a box is held down")
	s.Check(func() error {
		if d.SuppressAbove > 0 && d.ReuseBelow >= d.SuppressAbove {
			return errors.New("flap-reuse must be under flap-cut")
		}
		return nil
	})
	return s
}

// ReadSettings reads our settings; without a path all of them are off.
func ReadSettings(system *clock.System, path string) (*Settings, error) {
	o := NewSettings(system)
	if path == "" {
		return o, nil
	}
	if err := o.Section.Load(path); err != nil {
		return nil, err
	}
	return o, nil
}

// members makes the table of endpoints, and returns the places of its sources: the endpoint list watch's and that of the
// catalogue's first service. The watch reports changes, the catalogue complete lists.
func (o *Settings) members() (table *membership.Table, watchSource, firstCatalogueSource int) {
	config := o.list
	watch := membership.Source{Name: "bulletin"}
	if o.Catalogue == nil {
		config.Sources = []membership.Source{watch}
		return membership.New(config), 0, 1
	}
	services := o.Catalogue.Sources(o.damping)
	if o.prefer == "catalogue" {
		config.Sources = append(services, watch)
		return membership.New(config), len(services), 0
	}
	config.Sources = append([]membership.Source{watch}, services...)
	return membership.New(config), 0, 1
}

// from is the address that our own connections come from; nil: the system's choice.
func (o *Settings) from() *net.TCPAddr {
	if o.bind == "" {
		return nil
	}
	return &net.TCPAddr{IP: net.ParseIP(o.bind)}
}
