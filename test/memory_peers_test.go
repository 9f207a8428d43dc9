package test

import (
	"encoding/binary"
	"net"
	"sync"
	"testing"
	"time"
)

const (
	// encryptedMessageType is the first byte of an encrypted message on a stream between members, by memberlist's
	// protocol. Its size follows in four bytes.
	encryptedMessageType = 10
	// strangerMessageBytes is the size that a stranger announces: less than memberlist's own limit.
	strangerMessageBytes = 16 << 20
	// strangers is how many connections without the fleet's key are open at the same time.
	strangers = 60
	// strangersTime is how long strangers send.
	strangersTime = time.Second
)

// floodAsStranger sends large messages without the fleet's key, on one connection after another, until the time is
// over.
func floodAsStranger(address string, end time.Time) {
	for time.Now().Before(end) {
		sendAsStranger(address, end)
	}
}

// sendAsStranger sends one message until the program closes the connection or the time is over.
func sendAsStranger(address string, end time.Time) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	sendLargeMessage(conn, end)
}

// sendLargeMessage sends one message on a stream between members until it is complete, the program closes the stream or
// the time is over, and closes the stream.
func sendLargeMessage(conn net.Conn, end time.Time) {
	defer conn.Close()
	_ = conn.SetDeadline(end)
	header := binary.BigEndian.AppendUint32([]byte{encryptedMessageType}, strangerMessageBytes)
	_, err := conn.Write(header)
	chunk := make([]byte, 64<<10)
	for sent := 0; err == nil && sent < strangerMessageBytes; sent += len(chunk) {
		_, err = conn.Write(chunk)
	}
}

// TestStrangersAtPeersStayWithinMemory guards against strangers that send large messages to the address for peers: each
// was kept until it was complete, before its key was looked at. Meanwhile a member must be able to join.
func TestStrangersAtPeersStayWithinMemory(t *testing.T) {
	forMemoryLimits(t, func(t *testing.T, limit memoryLimit) {
		bed := newCatalogueTestbed(t, answerDone)
		bed.config["limits"] = limit.config()
		bed.enableCatalogue(1, "")
		peers := enablePeers(bed)
		bed.start()
		bed.waitEndpointsKnown(4)
		watch := bed.watchMemory(limit.megabytes)
		usual := bed.startUsualClient()
		end := time.Now().Add(strangersTime)
		var senders sync.WaitGroup
		for range strangers {
			senders.Go(func() { floodAsStranger(peers.address, end) })
		}
		peers.startPeer("n2", 1)
		bed.waitLogged("event=peer-joined peer=n2")
		if time.Now().After(end) {
			t.Error("a peer joined after the strangers had ended, want it to join meanwhile")
		}
		senders.Wait()
		usual.expectServed()
		watch.expectWithinLimit()
	})
}

// TestStrangerAtSeedStaysWithinMemory guards against strangers at the address of a member: what they answer to an
// exchange was kept until it was complete, before its key was looked at.
func TestStrangerAtSeedStaysWithinMemory(t *testing.T) {
	limit := memoryLimits[0]
	bed := newCatalogueTestbed(t, answerDone)
	bed.config["limits"] = limit.config()
	bed.enableCatalogue(1, "")
	seed := bed.listenOn(bed.ip + ":0")
	enablePeers(bed, "seed "+seed.Addr().String())
	bed.start()
	bed.waitEndpointsKnown(4)
	watch := bed.watchMemory(limit.megabytes)
	usual := bed.startUsualClient()
	end := time.Now().Add(strangersTime)
	_ = seed.(*net.TCPListener).SetDeadline(end)
	for answered := 0; ; answered++ {
		conn, err := seed.Accept()
		if err != nil {
			if answered == 0 {
				t.Error("the stranger was not asked for an exchange, want it asked")
			}
			break
		}
		sendLargeMessage(conn, end)
	}
	usual.expectServed()
	watch.expectWithinLimit()
}
