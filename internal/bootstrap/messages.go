package bootstrap

import (
	"time"

	"sloequay/internal/membership"
)

// ListVersion identifies the content of a list: the index of the list, the service's version, a checksum and a
// cryptographic hash. A Sum of 0 means that there is no content. Earlier versions of this program send no Hash.
type ListVersion struct {
	List    int    `codec:"List"`
	Version uint64 `codec:"Version"`
	Sum     uint64 `codec:"Sum"`
	Hash    string `codec:"Hash,omitempty"`
}

// Advertisement is the entry of a digest for one list: the version that the sender has, and when it last saw the
// service.
type Advertisement struct {
	ListVersion
	LastSeen time.Duration `codec:"Heard"` // time since then; negative: the sender does not poll
}

// notPolling is the LastSeen of a sender that does not poll.
const notPolling time.Duration = -1

// isFromPoller reports whether the sender polls the service.
func (a Advertisement) isFromPoller() bool { return a.LastSeen >= 0 }

// Message is sent from proxy to proxy. Exactly one of the fields below Incarnation is set.
type Message struct {
	From        string          `codec:"From"`
	Incarnation uint64          `codec:"Epoch"`
	Digest      []Advertisement `codec:"Digest"` // of all lists
	Fetch       *Fetch          `codec:"Want"`
	Part        *Part           `codec:"Part"`
	Delta       *Delta          `codec:"Delta"`
	Busy        *Busy           `codec:"Busy"`
}

// Fetch requests the content of a list. HaveSum is the checksum of the sender's current list, 0 if it has none.
type Fetch struct {
	ListVersion
	HaveSum uint64 `codec:"Have"`
}

// Part is one of Total parts of a list's content.
type Part struct {
	ListVersion
	Number    int                   `codec:"N"` // from 0
	Total     int                   `codec:"Of"`
	Endpoints []membership.Endpoint `codec:"Boxes"`
}

// Delta holds the changes from the content with the checksum BaseSum to that of ListVersion.
type Delta struct {
	ListVersion
	BaseSum   uint64                `codec:"Was"`
	Endpoints []membership.Endpoint `codec:"Boxes"` // added or changed
	Removed   []string              `codec:"Gone"`  // by ID
}

// Busy answers a Fetch that is not served. Peer is another proxy that has the list; if it is empty, the fetch should be
// retried later.
type Busy struct {
	ListVersion
	Peer string `codec:"Peer"`
}
