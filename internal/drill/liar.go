package drill

import (
	"fmt"
	"math/rand/v2"
	"time"

	"sloequay/internal/bootstrap"
	"sloequay/internal/membership"
	"sloequay/internal/peer"
	"sloequay/internal/peer/transport"
)

// lies are the lists that a liar tells, of a version far ahead.
var lies = map[string]func(w *Cluster) []membership.Endpoint{
	"empty": func(*Cluster) []membership.Endpoint { return nil },
	"dead": func(w *Cluster) (out []membership.Endpoint) {
		for _, b := range w.order {
			out = append(out, membership.Endpoint{ID: b.id, Address: b.address, State: membership.Draining})
		}
		return out
	},
	"many": func(w *Cluster) (out []membership.Endpoint) {
		for i := range 20_000 {
			out = append(out, membership.Endpoint{ID: fmt.Sprint("m", i), Address: w.order[0].address, Zone: 1, State: membership.Up, Weight: 1000})
		}
		return out
	},
}

// byzantinePeer is a member of the fleet that has its key and tells all of a plaza what is not so.
type byzantinePeer struct {
	w     *Cluster
	n     int // of the liars, from 0
	link  *transport.Transport
	relay *Relay
	boxes []membership.Endpoint // of the lie, in order
	peers []peer.Member
	told  chan func()
	end   chan struct{}
}

// newLiar has one join the fleet as a doorman of a plaza.
func (w *Cluster) newLiar(plaza int, kind string) (*byzantinePeer, error) {
	ip := fmt.Sprintf("%s.49.%d", w.base, plaza)
	w.fabric.Join(ip, "liar")
	listen, err := vacant(ip)
	if err != nil {
		return nil, err
	}
	l := &byzantinePeer{w: w, n: len(w.liars), boxes: bootstrap.SortEndpoints(lies[kind](w)), told: make(chan func(), 64), end: make(chan struct{})}
	if l.relay, err = w.fabric.NewRelay("liar", fmt.Sprintf("%s.48.%d", w.base, plaza), listen); err != nil {
		return nil, err
	}
	var seed []string
	for _, o := range w.doormans[:min(seeds, len(w.doormans))] {
		seed = append(seed, o.relay.Address())
	}
	cfg, err := transport.NewConfig(listen, l.relay.Address(), w.key, seed)
	if err != nil {
		return nil, err
	}
	if l.link, err = transport.Open(cfg, transport.Identity{Name: fmt.Sprint("liar", l.n), Zone: fmt.Sprintf("p%d", plaza), Incarnation: rand.Uint64()}, l); err != nil {
		return nil, err
	}
	go l.run()
	return l, nil
}

// run tells the lie to everybody, again and again, and serves it to whoever asks.
func (l *byzantinePeer) run() {
	var digest []bootstrap.Advertisement
	for n := range len(services) {
		digest = append(digest, bootstrap.Advertisement{ListVersion: bootstrap.VersionOf(n, uint64(l.n+1)<<40, l.boxes)})
	}
	tick := time.NewTicker(200 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case do := <-l.told:
			do()
		case <-tick.C:
			for _, p := range l.peers {
				l.send(p.Name, bootstrap.Message{Digest: digest})
			}
		case <-l.end:
			return
		}
	}
}

func (l *byzantinePeer) send(to string, m bootstrap.Message) {
	if body, err := transport.Encode(m); err == nil {
		l.link.Send(to, body)
	}
}

// MembersChanged takes who is there.
func (l *byzantinePeer) MembersChanged(members []peer.Member) { l.told <- func() { l.peers = members } }

// Log has none.
func (l *byzantinePeer) Log(string, ...any) {}

// MessageReceived serves the lie.
func (l *byzantinePeer) MessageReceived(from string, body []byte) {
	var m bootstrap.Message
	if transport.Decode(body, &m) != nil || m.Fetch == nil {
		return
	}
	want := m.Fetch.ListVersion
	l.told <- func() {
		boxes := l.boxes
		of := max(1, (len(boxes)+bootstrap.EndpointsPerPart-1)/bootstrap.EndpointsPerPart)
		for n := range of {
			part := boxes[min(len(boxes), n*bootstrap.EndpointsPerPart):min(len(boxes), (n+1)*bootstrap.EndpointsPerPart)]
			l.send(from, bootstrap.Message{Part: &bootstrap.Part{ListVersion: want, Number: n, Total: of, Endpoints: part}})
		}
	}
}

func (l *byzantinePeer) close() {
	close(l.end)
	go func() { // what is under way in the link must not wait for ever
		for range l.told {
		}
	}()
	l.link.Close()
	l.relay.Close()
}
