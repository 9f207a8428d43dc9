package test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"sloequay/internal/bootstrap"
	"sloequay/internal/emulator/consul"
	"sloequay/internal/membership"
	"sloequay/internal/peer"
	"sloequay/internal/peer/transport"
	"sloequay/internal/proxy/admin"
)

// advertiseInterval is how often an emulated peer advertises its lists.
const advertiseInterval = 100 * time.Millisecond

// emulatedPeer is a member of the program's fleet that advertises and serves lists.
type emulatedPeer struct {
	transport *transport.Transport
	lists     [][]membership.Endpoint // by list index
	version   uint64

	mu      sync.Mutex
	members []peer.Member
	served  map[int]bool // the lists that a member has fetched
}

// peersTestbed is a testbed whose program exchanges lists with emulated peers.
type peersTestbed struct {
	*testbed
	keyFile, address string
	socket           string // the operators' socket
}

// enablePeers makes the program a member of a fleet of three. extra is added to the peers block of the settings.
func enablePeers(bed *testbed, extra ...string) *peersTestbed {
	bed.t.Helper()
	p := &peersTestbed{
		testbed: bed,
		keyFile: filepath.Join(bed.t.TempDir(), "peers.key"),
		address: bed.freeAddress(),
		socket:  socketPath(bed.t),
	}
	bed.addSettings("control " + p.socket)
	writeFile(bed.t, p.keyFile, "MDEyMzQ1Njc4OWFiY2RlZg==\n")
	bed.addSettings("peers {", "listen "+p.address, "key-file "+p.keyFile, "fleet 3", strings.Join(extra, "\n"), "}")
	return p
}

// status returns what the program says about its peers and lists.
func (bed *peersTestbed) status() string {
	bed.t.Helper()
	var out bytes.Buffer
	if err := admin.Query(&out, bed.socket, "peers"); err != nil {
		bed.t.Fatal(err)
	}
	return out.String()
}

// startPeer starts a peer that names the endpoints as up.
func (bed *peersTestbed) startPeer(name string, version uint64, ids ...string) *emulatedPeer {
	bed.t.Helper()
	e := &emulatedPeer{version: version, lists: make([][]membership.Endpoint, 3), served: map[int]bool{}}
	for _, id := range ids {
		list, endpoint := bed.listedEndpoint(id)
		e.lists[list] = append(e.lists[list], endpoint)
	}
	config, err := transport.NewConfig(bed.freeAddress(), "", bed.keyFile, []string{bed.address})
	if err != nil {
		bed.t.Fatal(err)
	}
	config.Advertise = config.Listen
	identity := transport.Identity{Name: name, Zone: "edge", Incarnation: rand.Uint64(), FleetSize: 3}
	if e.transport, err = transport.Open(config, identity, e); err != nil {
		bed.t.Fatal(err)
	}
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			case <-time.After(advertiseInterval):
				e.advertise()
			}
		}
	}()
	bed.t.Cleanup(func() {
		close(stop)
		<-stopped
		e.transport.Close()
	})
	return e
}

// listedEndpoint returns an endpoint as the catalogue's list has it, and the index of that list.
func (bed *peersTestbed) listedEndpoint(id string) (list int, endpoint membership.Endpoint) {
	endpoint = membership.Endpoint{ID: id, Address: bed.endpointAddress(id), State: membership.Up, Weight: 4}
	switch service, _, _ := placement(id); service {
	case "trunk":
		list, endpoint.Kind = 1, 1
	case "archive":
		list, endpoint.Kind = 2, 2
	default:
		endpoint.Zone = 1
	}
	return list, endpoint
}

func (e *emulatedPeer) listVersion(list int) bootstrap.ListVersion {
	return bootstrap.VersionOf(list, e.version, e.lists[list])
}

// advertise sends the versions of all lists to all members.
func (e *emulatedPeer) advertise() {
	var digest []bootstrap.Advertisement
	for list := range e.lists {
		digest = append(digest, bootstrap.Advertisement{ListVersion: e.listVersion(list)})
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, member := range e.members {
		e.send(member.Name, bootstrap.Message{Digest: digest})
	}
}

func (e *emulatedPeer) send(to string, message bootstrap.Message) {
	if body, err := transport.Encode(message); err == nil {
		e.transport.Send(to, body)
	}
}

// MembersChanged takes the members of the fleet.
func (e *emulatedPeer) MembersChanged(members []peer.Member) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.members = members
}

// MessageReceived serves the list that a member fetches.
func (e *emulatedPeer) MessageReceived(from string, body []byte) {
	var message bootstrap.Message
	if transport.Decode(body, &message) != nil || message.Fetch == nil {
		return
	}
	list := message.Fetch.List
	part := &bootstrap.Part{ListVersion: e.listVersion(list), Total: 1, Endpoints: e.lists[list]}
	e.send(from, bootstrap.Message{Part: part})
	e.mu.Lock()
	defer e.mu.Unlock()
	e.served[list] = true
}

// hasServedAll reports whether members have fetched all lists.
func (e *emulatedPeer) hasServedAll() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.served) == len(e.lists)
}

// Log drops the transport's log events.
func (*emulatedPeer) Log(string, ...any) {}

// TestByzantinePeerGetsNoRequests guards against requests to endpoints that a lying peer has invented, while the
// catalogue is silent and the program was made ready by the list of another peer.
func TestByzantinePeerGetsNoRequests(t *testing.T) {
	t.Parallel()
	bed := enablePeers(newCatalogueTestbed(t, nil))
	_, agents := bed.enableCatalogue(1, "")
	agents[0].SetFault(consul.Hang, 0)
	invented := []string{"c8", "c9", "p9", "o9"}
	for _, id := range invented {
		bed.addEndpoint(id)
	}
	bed.startPeer("n2", 3, "c1", "c2", "p1", "o1")
	bed.start()
	// The program has written the lines when it is ready; they reach the test by a pipe, later.
	bed.waitUntil("the 4 endpoints of the only peer are logged", func() bool {
		return bed.timesLogged("event=endpoint-added") >= 4
	})
	if added := bed.timesLogged("event=endpoint-added"); added != 4 {
		t.Errorf("got %d endpoints when the program was ready, want the 4 of the only peer", added)
	}
	byzantine := bed.startPeer("n3", 1<<40, invented...)
	bed.waitUntil("the false lists are fetched", byzantine.hasServedAll)
	sendAll := func() {
		t.Helper()
		client := bed.dial()
		for id := range uint64(20) {
			class, fields := "footage", map[string]string{"item": hexID(id + 1)}
			if id%2 == 0 {
				class, fields["unique"] = "charge", fmt.Sprint("k", time.Now().UnixNano())
			}
			if answer := client.call(id, class, fields); answer.Error != "" {
				t.Errorf("request %d: got error %q, want it served", id, answer.Error)
			}
		}
	}
	for until := time.Now().Add(300 * time.Millisecond); time.Now().Before(until); { // some rounds of advertisements
		sendAll()
	}
	agents[0].SetFault(consul.None, 0)
	bed.waitUntil("all lists are in force", func() bool { return strings.Count(bed.status(), "held true") == 3 })
	sendAll()
	for _, id := range invented {
		if attempts := len(bed.attemptsAt(id)); attempts > 0 {
			t.Errorf("got %d attempts at %s, which only the byzantine peer names, want none", attempts, id)
		}
	}
	if bed.logged("event=endpoint-removed") || bed.logged("event=list-loss-suspected") {
		t.Error("an endpoint was removed or its loss suspected, want the same endpoints by the catalogue's own list")
	}
}
