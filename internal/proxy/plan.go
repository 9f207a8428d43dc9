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

// Plan is the complete configuration that Serve runs with: the platform configuration, the proxy's own settings, and
// what is derived from both.
type Plan struct {
	clock                *clock.System
	platform             *platformconfig.Settings
	settings             *Settings
	members              *membership.Table
	firstCatalogueSource int // index of the catalogue's first service among the sources of endpoints
	decoder              listwatch.Decoder
	initialEvents        []membership.SourceEvent // the endpoint list in the platform configuration, as watch events
	lastInitialEvent     int64                    // event number of the last one, after which the watch continues
	initialEndpointCount int
	reload               func() (*Plan, error) // reads all files again
}

// Print writes the proxy's own settings in force, with defaults marked.
func (p *Plan) Print(out io.Writer) error { return p.settings.Section.Print(out) }

// String summarizes the configuration in one line.
func (p *Plan) String() string {
	return fmt.Sprintf("the configuration of %s is valid: %d classes, %d endpoints",
		p.platform.Name, len(p.platform.Policy.Classes), p.initialEndpointCount)
}

// Load reads and checks all files: the platform configuration and the proxy's own settings. settingsPath may be empty.
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
	return p, p.decodeInitialList()
}

// validate checks the proxy's own settings against the platform configuration.
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
		return errors.New("services: a snapshot holds the endpoints of a single pool; remove one of the two blocks")
	}
	_, err := p.settings.Services.newTable(0, control.ZoneNames, control.KindNames)
	return err
}

// decodeInitialList decodes the initial events, which Load does so that `sloequay check` finds errors in them too.
func (p *Plan) decodeInitialList() error {
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

// descriptorDemand returns what the file descriptors are needed for.
func (p *Plan) descriptorDemand() descriptors.Demand {
	demand := descriptors.Demand{Total: p.platform.Descriptors, DNS: p.settings.DNS != nil}
	if identity := p.settings.Identity; identity != nil && identity.tls != nil {
		demand.MaxTLSConnections = identity.tls.MaxConnections
	}
	return demand
}
