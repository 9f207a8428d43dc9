package main

import (
	mathrand "math/rand/v2"
	"sync"
	"time"

	"sloequay/internal/bootstrap"
	"sloequay/internal/membership"
	"sloequay/internal/peer"
	"sloequay/internal/peer/transport"
)

// falseLists are the lists of a liar: of the caches, the trunk caches and the archive.
type falseLists [3][]membership.Endpoint

// liar is a member of the fleet that advertises false lists.
type liar struct {
	bench     *bench
	transport *transport.Transport
	mu        sync.Mutex
	members   []peer.Member
	fetchers  map[string]bool // who wants the false lists
	lists     falseLists
}

const (
	liarVersion  = 1 << 40
	liarInterval = 100 * time.Millisecond
)

func (b *bench) startLiar(keyFile string, seeds []string, lists falseLists) {
	l := &liar{bench: b, fetchers: map[string]bool{}}
	for list := range lists {
		l.lists[list] = bootstrap.SortEndpoints(lists[list])
	}
	config, err := transport.NewConfig(freeAddress(), "", keyFile, seeds)
	must(err)
	config.Advertise = config.Listen
	l.transport, err = transport.Open(config, transport.Identity{Name: "n3", Zone: "edge-1",
		Incarnation: mathrand.Uint64(), FleetSize: 3}, l)
	must(err)
	end := make(chan struct{})
	b.atEnd(func() { close(end); l.transport.Close() })
	go func() {
		for {
			select {
			case <-end:
				return
			case <-time.After(liarInterval):
				l.lie()
			}
		}
	}()
	b.note("n3, a peer, begins to lie")
}

// lie advertises the false lists to all members, and sends them to those that want them.
func (l *liar) lie() {
	l.mu.Lock()
	defer l.mu.Unlock()
	var digest []bootstrap.Advertisement
	for list := range l.lists {
		digest = append(digest, bootstrap.Advertisement{ListVersion: l.version(list)})
	}
	for _, member := range l.members {
		l.send(member.Name, bootstrap.Message{Digest: digest})
	}
	for name := range l.fetchers {
		for list := range l.lists {
			l.send(name, bootstrap.Message{Part: &bootstrap.Part{ListVersion: l.version(list), Number: 0, Total: 1,
				Endpoints: l.lists[list]}})
		}
	}
}

func (l *liar) version(list int) bootstrap.ListVersion {
	return bootstrap.VersionOf(list, liarVersion, l.lists[list])
}

func (l *liar) send(to string, message bootstrap.Message) {
	if body, err := transport.Encode(message); err == nil {
		l.transport.Send(to, body)
	}
}

// MembersChanged takes the members of the fleet.
func (l *liar) MembersChanged(members []peer.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members = members
}

// MessageReceived notes who wants the false list.
func (l *liar) MessageReceived(from string, body []byte) {
	var message bootstrap.Message
	if transport.Decode(body, &message) != nil || message.Fetch == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.fetchers[from] {
		l.bench.note("n3: %s wants the false lists", from)
	}
	l.fetchers[from] = true
}

// Log drops the log of the transport.
func (l *liar) Log(string, ...any) {}
