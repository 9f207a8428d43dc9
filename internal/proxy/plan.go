package proxy

import (
	"errors"
	"fmt"
	"io"

	"sloequay/internal/clock"
	"sloequay/internal/membership"
	"sloequay/internal/membership/listwatch"
	"sloequay/internal/platformconfig"
	"sloequay/internal/proxy/descriptors"
)

// Plan is all that Serve runs by: the platform's configuration, our settings, and what both come to.
type Plan struct {
	clock                *clock.System
	platform             *platformconfig.Settings
	settings             *Settings
	members              *membership.Table
	firstCatalogueSource int // the index in members of the catalogue's first service
	decoder              listwatch.Decoder
	initialEvents        []membership.SourceEvent // of the endpoint list watch, as the platform's settings have them
	lastInitialEvent     int64                    // the number of the last of them
	initialEndpointCount int
	reload               func() (*Plan, error) // reads all files anew
}

// Print writes our settings in force, with defaults marked.
func (p *Plan) Print(out io.Writer) error { return p.settings.Section.Print(out) }

// String says in a line what was read.
func (p *Plan) String() string {
	return fmt.Sprintf("the configuration of %s is sound: %d classes, %d boxes known",
		p.platform.Name, len(p.platform.Policy.Classes), p.initialEndpointCount)
}

// Load reads and checks all files: the platform's configuration, and our settings, which may be left out.
func Load(system *clock.System, configPath, settingsPath string) (*Plan, error) {
	if configPath == "" {
		return nil, errors.New("no configuration: set BALANCER_CONFIG or --config")
	}
	platform, err := platformconfig.Load(configPath)
	if err != nil {
		return nil, err
	}
	settings, err := ReadSettings(system, settingsPath)
	if err != nil {
		return nil, err
	}
	p := &Plan{
		clock:    system,
		platform: platform,
		settings: settings,
		reload:   func() (*Plan, error) { return Load(system, configPath, settingsPath) },
	}
	if err := p.validate(); err != nil {
		return nil, err
	}
	return p, p.decode()
}

// validate checks our settings against the platform's configuration.
func (p *Plan) validate() error {
	control := p.platform.Policy
	if p.settings.UpstreamTLS != nil {
		if err := p.settings.UpstreamTLS.checkZones(control.ZoneNames); err != nil {
			return err
		}
	}
	if p.settings.Services == nil {
		return nil
	}
	if p.settings.Snapshot != nil {
		return errors.New("services: a snapshot is of one pool; leave out one of the two blocks")
	}
	_, err := p.settings.Services.table(0, control.ZoneNames, control.KindNames)
	return err
}

// decode reads the initial events, so that `sloequay check` finds faults in them too.
func (p *Plan) decode() error {
	control := p.platform.Policy
	p.members, p.decoder.Source, p.firstCatalogueSource = p.settings.membershipTable()
	p.decoder.Names = membership.Names{Zones: control.ZoneNames, Kinds: control.KindNames}
	last, events, err := p.decoder.DecodeInitial(p.platform.InitialList)
	if err != nil {
		return err
	}
	p.lastInitialEvent = last
	p.initialEvents = events
	p.initialEndpointCount = listwatch.CountEndpoints(events)
	return nil
}

// descriptorDemand returns who shares the file descriptors.
func (p *Plan) descriptorDemand() descriptors.Demand {
	demand := descriptors.Demand{Total: p.platform.Descriptors, DNS: p.settings.DNS != nil}
	if identity := p.settings.Identity; identity != nil && identity.tls != nil {
		demand.MaxTLSConnections = identity.tls.MaxConnections
	}
	return demand
}
