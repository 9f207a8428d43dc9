package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"sloequay/internal/bootstrap"
	"sloequay/internal/emulator"
	"sloequay/internal/membership"
	"sloequay/internal/peer"
	"sloequay/internal/peer/transport"
)

const (
	longListMemoryMB = 32 // of 32 to 192
	longListBoxes    = 100000
	longListSeconds  = 15
	partPause        = time.Millisecond
	longFleet        = 2 // the doorman and the liar
)

// wrongPeer is a member of the fleet with one name, whose lists are far too long.
type wrongPeer struct {
	world     *world
	transport *transport.Transport
	version   bootstrap.ListVersion // of the list, which is the same for each service
	boxes     []membership.Endpoint

	mu      sync.Mutex
	members []peer.Member
	served  map[string]bool // by member and service: a list is sent once
	bytes   atomic.Int64
}

func init() { cases["long-list"] = longListCase }

// longListCase: a peer advertises lists of many more boxes than the fleet has; the platform kills a doorman that takes
// more memory than its limit.
func longListCase(w *world) (broken bool, err error) {
	depots := emulator.NewEndpoints(nil)
	defer depots.Close()
	depots.OnControlLine(func(*emulator.ReceivedRequest) {})
	depots.SetResponder(answerServed)
	listed, err := addDepots(depots, "c1", "c2", "p1", "o1")
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
	doormans, seeds, err := w.startFleet(keyFile, agent.Address(), longFleet, longListMemoryMB, "n1")
	if err != nil {
		return false, err
	}
	d := doormans[0]
	time.Sleep(2 * time.Second)
	w.ask(d, 6)
	w.note("the doorman holds %.1f MB of its own, its limit is %d MB", d.anonymousMB(), longListMemoryMB)
	var stop atomic.Bool
	var clients sync.WaitGroup
	var usual tally
	for range usualClients {
		clients.Go(func() { w.usualClient(d.address, &stop, &usual) })
	}
	if w.trouble {
		leave, err := w.startWrongPeer("n2", keyFile, seeds)
		if err != nil {
			return false, err
		}
		defer leave()
	}
	peak := 0.0
	for until := time.Now().Add(longListSeconds * time.Second); time.Now().Before(until); time.Sleep(memoryLookEvery) {
		held := d.anonymousMB()
		peak = max(peak, held)
		if held > longListMemoryMB {
			w.note("the doorman holds %.1f MB of its own: the platform kills it", held)
			d.kill()
			broken = true
			break
		}
	}
	stop.Store(true)
	clients.Wait()
	w.note("peak %.1f MB; usual clients: %s", peak, usual.text())
	return broken, nil
}

// startWrongPeer joins the fleet and advertises a list for each service.
func (w *world) startWrongPeer(name, keyFile string, seeds []string) (leave func(), err error) {
	p := &wrongPeer{world: w, served: map[string]bool{}}
	for i := range longListBoxes {
		p.boxes = append(p.boxes, membership.Endpoint{
			ID:      fmt.Sprintf("cache-box-%06d.plaza-%03d.peajes.example", i, i%300),
			Address: fmt.Sprintf("127.%d.%d.%d:8443", 1+i>>16, i>>8&255, i&255),
			Zone:    1, State: membership.Up, Weight: 4,
		})
	}
	p.boxes = bootstrap.SortEndpoints(p.boxes)
	p.version = bootstrap.VersionOf(0, falseVersion, p.boxes)
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	config, err := transport.NewConfig(address, "", keyFile, seeds)
	if err != nil {
		return nil, err
	}
	config.Advertise = config.Listen
	self := transport.Identity{Name: name, Zone: "edge", Incarnation: rand.Uint64(), FleetSize: longFleet}
	if p.transport, err = transport.Open(config, self, p); err != nil {
		return nil, err
	}
	w.note("the peer %s has joined; its lists have %d boxes each", name, len(p.boxes))
	stopped, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-stopped:
				return
			case <-time.After(time.Second):
				p.advertise()
			}
		}
	}()
	return func() {
		close(stopped)
		<-ended
		p.transport.Close()
		w.note("the peer has sent %.1f MB", float64(p.bytes.Load())/(1<<20))
	}, nil
}

// versionOf returns the version of a service's list. The list is the same for each.
func (p *wrongPeer) versionOf(list int) bootstrap.ListVersion {
	version := p.version
	version.List = list
	return version
}

func (p *wrongPeer) send(to string, message bootstrap.Message) {
	body, err := transport.Encode(message)
	if err != nil {
		p.world.note("a message of the peer was not sent: %v", err)
		return
	}
	p.bytes.Add(int64(len(body)))
	p.transport.Send(to, body)
}

func (p *wrongPeer) advertise() {
	var digest []bootstrap.Advertisement
	for list := range catalogueServices {
		digest = append(digest, bootstrap.Advertisement{ListVersion: p.versionOf(list)})
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, member := range p.members {
		p.send(member.Name, bootstrap.Message{Digest: digest})
	}
}

// MembersChanged takes the members of the fleet.
func (p *wrongPeer) MembersChanged(members []peer.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members = members
}

// MessageReceived serves the list that a member fetches, in parts of 100 boxes as its own program does.
func (p *wrongPeer) MessageReceived(from string, body []byte) {
	var message bootstrap.Message
	if transport.Decode(body, &message) != nil || message.Fetch == nil {
		return
	}
	list := message.Fetch.List
	key := fmt.Sprint(from, " ", list)
	p.mu.Lock()
	served := p.served[key]
	p.served[key] = true
	p.mu.Unlock()
	if served || list < 0 || list >= len(catalogueServices) {
		return
	}
	p.world.note("%s fetches the list of %s", from, catalogueServices[list].service)
	go p.sendList(from, list)
}

func (p *wrongPeer) sendList(to string, list int) {
	total := (len(p.boxes) + bootstrap.EndpointsPerPart - 1) / bootstrap.EndpointsPerPart
	for number := range total {
		first := number * bootstrap.EndpointsPerPart
		part := p.boxes[first:min(len(p.boxes), first+bootstrap.EndpointsPerPart)]
		p.send(to, bootstrap.Message{Part: &bootstrap.Part{
			ListVersion: p.versionOf(list), Number: number, Total: total, Endpoints: part}})
		time.Sleep(partPause)
	}
	p.world.note("the whole list of %s was sent to %s", catalogueServices[list].service, to)
}

// Log drops the transport's log events.
func (*wrongPeer) Log(string, ...any) {}
