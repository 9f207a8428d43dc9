package proxy

import (
	"context"
	"net"

	"sloequay/internal/broker"
	"sloequay/internal/eventloop/bridge"
	"sloequay/internal/identity/tlsclient"
)

// zoneByName returns what holds for a zoneByName.
func (u *upstreamTLS) zoneByName(name string) *zoneTLS {
	if zone := u.zones[name]; zone != nil {
		return zone
	}
	return &u.defaultZone
}

// zoneFor returns what holds for an endpoint. One whose zone has no name gets what holds for most.
func (u *upstreamTLS) zoneFor(endpoint *broker.Endpoint, zoneNames []string) *zoneTLS {
	if int(endpoint.Zone) >= len(zoneNames) {
		return &u.defaultZone
	}
	return u.zoneByName(zoneNames[endpoint.Zone])
}

// dialer returns how endpoints are connected to: for each a function that dials it beside the loop, or nil where it is
// connected to by plain TCP.
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

// dial connects by TLS, and returns the connection that the loop reads and writes in plain text. It blocks until the
// time-out.
func (u *upstreamTLS) dial(dialer *tlsclient.Dialer, address, serverName string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), u.timeout)
	defer cancel()
	tlsConn, err := dialer.Dial(ctx, address, serverName)
	if err != nil {
		return nil, err
	}
	bridgeEnd, loopEnd, err := bridge.Pair()
	if err != nil {
		_ = tlsConn.Close()
		return nil, err
	}
	go bridge.Copy(tlsConn, bridgeEnd)
	return loopEnd, nil
}

// watch takes over files of certificates that change, until the process ends. reloaded is called beside the loop.
func (u *upstreamTLS) watch(reloaded func(certificate string, err error)) {
	never := make(chan struct{})
	for _, zone := range u.zones {
		if !zone.plain {
			go zone.dialer.Watch(never, func(err error) { reloaded(zone.CA, err) })
		}
	}
	go u.defaultZone.dialer.Watch(never, func(err error) { reloaded(u.defaultZone.CA, err) })
}
