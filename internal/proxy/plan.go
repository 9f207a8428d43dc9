package proxy

import (
	"errors"
	"fmt"
	"io"

	"sloequay/internal/clock"
	"sloequay/internal/membership"
	"sloequay/internal/membership/listwatch"
	"sloequay/internal/platformconfig"
)

// Plan is what Serve runs by.
type Plan struct {
	clock                *clock.System
	settings             *platformconfig.Settings
	own                  *Settings
	members              *membership.Table
	firstCatalogueSource int // the place in members of the catalogue's first service
	decoder              listwatch.Decoder
	initialEvents        []membership.SourceEvent // of the endpoint list watch, as the platform's settings have them
	lastInitialEvent     int64                    // the number of the last of them
	initialEndpointCount int
	reload               func() (*Plan, error) // reads all files anew
}

// Print writes our settings in force, defaults marked.
func (p *Plan) Print(out io.Writer) error { return p.own.Section.Print(out) }

// String says in a line what was read.
func (p *Plan) String() string {
	return fmt.Sprintf("the configuration of %s is sound: %d classes, %d boxes known",
		p.settings.Name, len(p.settings.Control.Classes), p.initialEndpointCount)
}

// Load reads and checks all files: the platform's configuration and our settings, of which the second may be empty.
func Load(system *clock.System, config, conf string) (*Plan, error) {
	if config == "" {
		return nil, errors.New("no configuration: set BALANCER_CONFIG or --config")
	}
	p := &Plan{clock: system, reload: func() (*Plan, error) { return Load(system, config, conf) }}
	var err error
	if p.settings, err = platformconfig.Load(config); err != nil {
		return nil, err
	}
	if p.own, err = ReadSettings(system, conf); err != nil {
		return nil, err
	}
	if p.own.UpstreamTLS != nil {
		if err := p.own.UpstreamTLS.check(p.settings.Control.ZoneNames); err != nil {
			return nil, err
		}
	}
	if p.own.Services != nil {
		if p.own.Snapshot != nil {
			return nil, errors.New("services: a snapshot is of one pool; leave out one of the two blocks")
		}
		if _, err := p.own.Services.table(0, p.settings.Control.ZoneNames, p.settings.Control.KindNames); err != nil {
			return nil, err
		}
	}
	return p, p.decode()
}

// decode reads the initial events, so that `sloequay check` finds faults in them too.
func (p *Plan) decode() error {
	control := p.settings.Control
	p.members, p.decoder.Source, p.firstCatalogueSource = p.own.members()
	p.decoder.Names = membership.Names{Zones: control.ZoneNames, Kinds: control.KindNames}
	last, events, err := p.decoder.DecodeInitial(p.settings.InitialList)
	if err != nil {
		return err
	}
	p.lastInitialEvent = last
	p.initialEvents = events
	p.initialEndpointCount = listwatch.CountEndpoints(events)
	return nil
}
