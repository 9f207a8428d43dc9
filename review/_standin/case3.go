package main

import (
	"fmt"
	"time"

	"sloequay/internal/emulator"
)

func init() { cases["3"] = slowReader }

// slowReader: one client has 32 requests open on a connection, and reads their answers at 0.8 MB a second. Each request
// must get one final answer.
func slowReader(b *bench) int {
	depots, list := b.plaza(servingPart)
	address := freeAddress()
	p := b.startProxy("n1", platformConfig("n1", address, 32, 256, list, platformSettings(1)), "")
	p.waitReady(address)

	rate := 0.0
	if hasTrouble() {
		rate = slowReading
	}
	raw := b.dialClient(address)
	conn := newPacedConn(raw, rate)
	client := emulator.NewClient(conn)
	began := time.Now()
	for id := 1; id <= openOnConn; id++ {
		must(client.Send(partRequest(id)))
	}
	b.note("client: %d requests sent on one connection; it reads %.0f bytes/s (0: as they come)", openOnConn, rate)
	answered := map[uint64]bool{}
	for len(answered) < openOnConn {
		reply, err := client.Read(20 * time.Second)
		if err != nil {
			break
		}
		outcome := reply.Error
		if outcome == "" {
			outcome = fmt.Sprintf("served with %d bytes", len(reply.Body))
		}
		if answered[reply.ID] {
			b.note("client: second answer to request %d", reply.ID)
			return broken
		}
		answered[reply.ID] = true
		b.note("client: answer to request %d: %s", reply.ID, outcome)
	}
	sent := 0
	for _, d := range depots {
		sent += d.count()
	}
	b.note("depots: %d attempts read and answered", sent)
	total, endAt, end := conn.ended()
	if end != nil {
		b.note("client: the connection ended %v after the first request, after %d bytes: %v",
			endAt.Sub(began).Round(time.Millisecond), total, end)
	}
	missing := openOnConn - len(answered)
	b.note("client: %d of %d requests have no whole answer", missing, openOnConn)
	// One answer may have been passed on in part when the connection ended. The pages may excuse that one, not the others.
	if missing > 1 {
		return broken
	}
	return held
}
