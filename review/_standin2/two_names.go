package main

import (
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"sloequay/internal/bootstrap"
	"sloequay/internal/emulator"
	"sloequay/internal/membership"
	"sloequay/internal/peer"
	"sloequay/internal/peer/transport"
)

const (
	advertiseEvery = 100 * time.Millisecond
	falseVersion   = 1 << 40
	fleetSize      = 4
	lyingSeconds   = 8
)

// liar is the lying process under one of its names.
type liar struct {
	transport *transport.Transport
	lists     [][]membership.Endpoint // by the service's place

	mu      sync.Mutex
	members []peer.Member
}

func init() { cases["two-names"] = twoNamesCase }

// twoNamesCase: a peer whose process has joined under two names advertises lists of boxes that the catalogue does not
// have, while the catalogue answers.
func twoNamesCase(w *world) (broken bool, err error) {
	depots := emulator.NewEndpoints(nil)
	defer depots.Close()
	depots.OnControlLine(func(*emulator.ReceivedRequest) {})
	var mu sync.Mutex
	attempts := map[string]int{}
	depots.SetResponder(func(r *emulator.ReceivedRequest) {
		mu.Lock()
		attempts[r.Endpoint]++
		mu.Unlock()
		w.note("%s ran %s %s", r.Endpoint, r.Fields["profile"], r.ID)
		answerServed(r)
	})
	listed, err := addDepots(depots, "c1", "c2", "p1", "o1")
	if err != nil {
		return false, err
	}
	invented, err := addDepots(depots, "c8", "p9", "o9")
	if err != nil {
		return false, err
	}
	agent, err := startCatalogue(listed)
	if err != nil {
		return false, err
	}
	defer agent.Close()
	keyFile := filepath.Join(w.dir, "peers.key")
	if err := os.WriteFile(keyFile, []byte("MDEyMzQ1Njc4OWFiY2RlZg==\n"), 0o600); err != nil {
		return false, err
	}
	doormans, seeds, err := w.startFleet(keyFile, agent.Address(), fleetSize, 192, "n1", "n2")
	if err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	for _, d := range doormans {
		w.ask(d, 6)
	}
	if w.trouble {
		for _, name := range []string{"n3", "n4"} {
			stop, err := startLiar(name, keyFile, seeds, invented)
			if err != nil {
				return false, err
			}
			defer stop()
			w.note("the lying process has joined as %s", name)
		}
	}
	for range lyingSeconds {
		time.Sleep(time.Second)
		for _, d := range doormans {
			w.ask(d, 6)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if attempts["o1"] == 0 {
		return false, errors.New("no charge ran at the archive of the catalogue before the lie")
	}
	for _, entry := range invented {
		w.note("attempts at %s, which the catalogue does not have: %d", entry.Host, attempts[entry.Host])
		broken = broken || attempts[entry.Host] > 0
	}
	return broken, nil
}

// startLiar joins the fleet under a name and advertises lists that hold the invented boxes alone.
func startLiar(name, keyFile string, seeds []string, invented []listEntry) (stop func(), err error) {
	l := &liar{lists: make([][]membership.Endpoint, len(catalogueServices))}
	for _, box := range invented {
		kind := place(box.Class)
		zone := 0
		if box.Site == "edge" {
			zone = 1
		}
		l.lists[kind] = append(l.lists[kind], membership.Endpoint{
			ID: box.Host, Address: box.Dial, Zone: zone, Kind: kind, State: membership.Up, Weight: box.Share})
	}
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	config, err := transport.NewConfig(address, "", keyFile, seeds)
	if err != nil {
		return nil, err
	}
	config.Advertise = config.Listen
	self := transport.Identity{Name: name, Zone: "edge", Incarnation: rand.Uint64(), FleetSize: fleetSize}
	if l.transport, err = transport.Open(config, self, l); err != nil {
		return nil, err
	}
	stopped, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-stopped:
				return
			case <-time.After(advertiseEvery):
				l.advertise()
			}
		}
	}()
	return func() {
		close(stopped)
		<-ended
		l.transport.Close()
	}, nil
}

func (l *liar) version(list int) bootstrap.ListVersion {
	return bootstrap.VersionOf(list, falseVersion, l.lists[list])
}

func (l *liar) send(to string, message bootstrap.Message) {
	if body, err := transport.Encode(message); err == nil {
		l.transport.Send(to, body)
	}
}

// advertise tells all members the versions of all lists.
func (l *liar) advertise() {
	var digest []bootstrap.Advertisement
	for list := range l.lists {
		digest = append(digest, bootstrap.Advertisement{ListVersion: l.version(list)})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, member := range l.members {
		l.send(member.Name, bootstrap.Message{Digest: digest})
	}
}

// MembersChanged takes the members of the fleet.
func (l *liar) MembersChanged(members []peer.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members = members
}

// MessageReceived serves a list that a member fetches.
func (l *liar) MessageReceived(from string, body []byte) {
	var message bootstrap.Message
	if transport.Decode(body, &message) != nil || message.Fetch == nil {
		return
	}
	list := message.Fetch.List
	if list >= 0 && list < len(l.lists) {
		part := &bootstrap.Part{ListVersion: l.version(list), Total: 1, Endpoints: l.lists[list]}
		l.send(from, bootstrap.Message{Part: part})
	}
}

// Log drops the transport's log events.
func (*liar) Log(string, ...any) {}
