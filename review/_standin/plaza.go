package main

import (
	"bytes"
	"fmt"
	"time"

	"sloequay/internal/emulator"
)

const (
	partBytes   = 240_000            // the largest object that the protocol page allows
	openOnConn  = 32                 // requests that one connection may carry
	smallItems  = 0x7f3a9c2300000000 // objects from here on are small
	slowReading = 8e5                // bytes a second; the pages name clients that read at most 1 MB a second
	// depotPace is the time in which a depot sends one such part, at the configured flow.
	depotPace = 25 * time.Millisecond
)

// servingPart returns the answers of a depot that holds every part, and whose link carries depotShare of them at a time.
func servingPart() func(*attempt) (string, string, []byte) { return servingParts(partBytes) }

// servingParts is servingPart for parts of another size. Charges and small parts take no time.
func servingParts(size int) func(*attempt) (string, string, []byte) {
	part := bytes.Repeat([]byte("x"), size)
	link := make(chan bool, depotShare)
	return func(read *attempt) (string, string, []byte) {
		if read.fields["profile"] == "charge" {
			return "ACK", fmt.Sprintf("tag=4be0c1927d55a6f4,minted=%d", time.Now().UnixMilli()), []byte("posted")
		}
		if read.fields["thing"] >= fmt.Sprintf("%016x", smallItems) {
			return "ACK", fmt.Sprintf("tag=4be0c1927d55a6f5,minted=%d,remark=hit", time.Now().UnixMilli()), []byte("small")
		}
		link <- true
		defer func() { <-link }()
		time.Sleep(depotPace)
		return "ACK", fmt.Sprintf("tag=4be0c1927d55a6f3,minted=%d,remark=hit", time.Now().UnixMilli()), part
	}
}

// plaza starts four caches, a trunk cache and the archive, and the bulletin that lists them.
func (b *bench) plaza(answers func() func(*attempt) (string, string, []byte)) (depots []*depot, list *bulletin) {
	var hosts []map[string]any
	for i := range 4 {
		d := b.startDepot(fmt.Sprintf("s-00c41f7%d", i), answers())
		depots = append(depots, d)
		hosts = append(hosts, d.host("edge-1", "standard", "up"))
	}
	trunk, archive := b.startDepot("t-00c41f80", answers()), b.startDepot("a-00c41f90", answers())
	hosts = append(hosts, trunk.host("north-trunk", "parent", "up"), archive.host("north-trunk", "origin", "up"))
	return append(depots, trunk, archive), b.startBulletin(hosts)
}

// partRequest returns the frame of a request for a part of its own.
func partRequest(id int) []byte {
	return emulator.Request(uint64(id), "footage", map[string]string{"limit": "6000",
		"item": fmt.Sprintf("%016x", 0x7f3a9c2100000000+id), "ram": "300"}, "")
}
