package proxy

import (
	"context"
	"net"
	"time"

	"sloequay/internal/broker"
	"sloequay/internal/eventloop/bridge"
	"sloequay/internal/identity/tlsclient"
)

// upstreamDrainTimeout is how long bytes for an endpoint that does not read may still be sent after the connection was
// closed. Later, an attempt among them could begin after its client has left or its endpoint has drained.
const upstreamDrainTimeout = 50 * time.Millisecond

// zoneByName returns the settings for the zone with a name.
func (u *upstreamTLS) zoneByName(name string) *zoneTLS {
	if zone := u.zones[name]; zone != nil {
		return zone
	}
	return &u.defaultZone
}

// zoneFor returns the settings for an endpoint. If its zone has no name, these are the default ones.
func (u *upstreamTLS) zoneFor(endpoint *broker.Endpoint, zoneNames []string) *zoneTLS {
	if int(endpoint.Zone) >= len(zoneNames) {
		return &u.defaultZone
	}
	return u.zoneByName(zoneNames[endpoint.Zone])
}

// dialer returns a function that returns the dial function for an endpoint, or nil if the connection is plain TCP. The
// dial function blocks, so it must not run on the event loop.
func (u *upstreamTLS) dialer(zoneNames []string) func(*broker.Endpoint) func(address string) (net.Conn, error) {
	return func(endpoint *broker.Endpoint) func(string) (net.Conn, error) {
		zone := u.zoneFor(endpoint, zoneNames)
		if zone.plain {
			return nil
		}
		serverName := zone.serverName
		if serverName == "" {
			serverName = endpoint.Name + zone.nameSuffix
		}
		return func(address string) (net.Conn, error) { return u.dial(zone.dialer, address, serverName) }
	}
}

// dial connects over TLS and returns a connection on which the event loop reads and writes the plain text. It blocks
// for at most the timeout.
func (u *upstreamTLS) dial(dialer *tlsclient.Dialer, address, serverName string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), u.timeout)
	defer cancel()
	tlsConn, err := dialer.Dial(ctx, address, serverName)
	if err != nil {
		return nil, err
	}
	relay, loopEnd, err := bridge.New(tlsConn, upstreamDrainTimeout)
	if err != nil {
		_ = tlsConn.Close()
		return nil, err
	}
	go relay.Run()
	return loopEnd, nil
}

// watch reloads certificate files when they change, until the process ends. It calls reloaded after each reload, on
// other goroutines than the event loop's.
func (u *upstreamTLS) watch(reloaded func(certificate string, err error)) {
	never := make(chan struct{})
	for _, zone := range u.zones {
		if !zone.plain {
			go zone.dialer.Watch(never, func(err error) { reloaded(zone.CA, err) })
		}
	}
	go u.defaultZone.dialer.Watch(never, func(err error) { reloaded(u.defaultZone.CA, err) })
}
