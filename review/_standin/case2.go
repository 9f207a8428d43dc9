package main

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"syscall"
	"time"

	"sloequay/internal/emulator"
)

const (
	tlsParts   = 24 // requests for footage on the connection
	tlsCharges = 4  // charges behind them
	tlsSmall   = 4  // and as many requests for small parts of footage
	tlsAll     = tlsParts + tlsCharges + tlsSmall
	// chargesAfter and termAfter are when the charges are sent and when SIGTERM comes, after the first request; killAfter when SIGKILL may come after that at the earliest:
	// the longest deadline, which counts as 3 s where it is longer, and 0.7 s.
	chargesAfter = 100 * time.Millisecond
	termAfter    = 150 * time.Millisecond
	killAfter    = 3700 * time.Millisecond
	// beyondBuffers is how much more the answers hold than the system's socket buffers take at once.
	beyondBuffers = 150_000
)

// socketBuffers measures how many bytes the system takes at once for a client that reads at a rate.
func (b *bench) socketBuffers(rate float64, within time.Duration) int {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	defer listener.Close()
	client := b.dialClient(listener.Addr().String())
	server, err := listener.Accept()
	must(err)
	defer server.Close()
	newPacedConn(client, rate)
	_ = server.SetWriteDeadline(time.Now().Add(within))
	total := 0
	for chunk := make([]byte, 16<<10); ; {
		n, err := server.Write(chunk)
		total += n
		if err != nil {
			return total
		}
	}
}

func init() { cases["2"] = tlsRestart }

// tlsRestart: a client that is identified by its certificate reads its answers at 0.8 MB a second while the doorman is
// told to end by SIGTERM. Each request was taken well before the signal and must get its whole answer.
func tlsRestart(b *bench) int {
	buffers := b.socketBuffers(slowReading, chargesAfter)
	size := min(partBytes, (buffers+beyondBuffers)/tlsParts)
	b.note("the system's buffers take %d bytes at once for such a client; %d answers of %d bytes are asked for",
		buffers, tlsParts, size)
	depots, list := b.plaza(func() func(*attempt) (string, string, []byte) { return servingParts(size) })
	authority, err := emulator.NewAuthority(b.dir)
	must(err)
	cert, key, err := authority.Issue("server", "doorman.test")
	must(err)
	clientCert, clientKey, err := authority.Issue("lane3", "lane3.lanes.test")
	must(err)
	pair, err := tls.LoadX509KeyPair(clientCert, clientKey)
	must(err)
	roots := x509.NewCertPool()
	roots.AddCert(authority.Cert)

	address, tlsAddress := freeAddress(), freeAddress()
	p := b.startProxy("n1", platformConfig("n1", address, 64, 256, list, platformSettings(1)), fmt.Sprintf(`identity {
    tls {
        listen %s
        cert %s
        key %s
        client-ca %s
    }
    tenant lanes {
        right footage lookup charge
        certificate *.lanes.test
    }
}
`, tlsAddress, cert, key, authority.CertFile))
	p.waitReady(address)

	conn := newPacedConn(b.dialClient(tlsAddress), slowReading)
	secure := tls.Client(conn, &tls.Config{RootCAs: roots, ServerName: "doorman.test",
		Certificates: []tls.Certificate{pair}})
	must(secure.Handshake())
	client := emulator.NewClient(secure)
	began := time.Now()
	for id := 1; id <= tlsParts; id++ {
		must(client.Send(partRequest(id)))
	}
	b.note("client: %d requests for footage sent by TLS, reading %.0f bytes/s", tlsParts, slowReading)
	time.Sleep(time.Until(began.Add(chargesAfter)))
	for id := tlsParts + 1; id <= tlsParts+tlsCharges; id++ {
		must(client.Send(emulator.Request(uint64(id), "charge", map[string]string{"limit": "3000",
			"item": fmt.Sprintf("%016x", 0x7f3a9c2200000000+id), "ram": "1",
			"unique": fmt.Sprintf("5c0f6e1a2b3d4c59a8b7c6d5e4f3%04x", id)}, "toll")))
	}
	for id := tlsParts + tlsCharges + 1; id <= tlsAll; id++ {
		must(client.Send(emulator.Request(uint64(id), "footage", map[string]string{"limit": "6000",
			"item": fmt.Sprintf("%016x", smallItems+id), "ram": "1"}, "")))
	}
	b.note("client: %d charges and %d requests for small parts sent on the same connection", tlsCharges, tlsSmall)
	time.Sleep(time.Until(began.Add(termAfter)))
	sent, charged := 0, 0
	for _, d := range depots {
		sent += d.count()
		charged += d.countClass("charge")
	}
	b.note("depots: %d attempts read and answered, %d of them charges", sent, charged)
	var termAt time.Time
	if hasTrouble() {
		termAt = time.Now()
		p.signal(syscall.SIGTERM)
	}
	answered := map[uint64]bool{}
	for len(answered) < tlsAll {
		reply, err := client.Read(20 * time.Second)
		if err != nil {
			b.note("client: no further answer: %v", err)
			break
		}
		outcome := reply.Error
		if outcome == "" {
			outcome = fmt.Sprintf("served with %d bytes", len(reply.Body))
		}
		answered[reply.ID] = true
		b.note("client: answer to request %d: %s", reply.ID, outcome)
	}
	total, endAt, end := conn.ended()
	if end != nil {
		b.note("client: the connection ended %v after the first request, after %d bytes: %v",
			endAt.Sub(began).Round(time.Millisecond), total, end)
	}
	missing := tlsAll - len(answered)
	b.note("client: %d of %d requests have no whole answer", missing, tlsAll)
	if !hasTrouble() {
		if missing > 0 {
			return broken
		}
		return held
	}
	select {
	case <-p.exited:
	case <-time.After(10 * time.Second):
		giveUp("the doorman did not end by itself")
	}
	ended := p.exitAt.Sub(termAt)
	b.note("n1 ended by itself %v after SIGTERM (%v); SIGKILL comes %v after SIGTERM at the earliest",
		ended.Round(time.Millisecond), p.cmd.ProcessState, killAfter)
	// One answer may have been passed on in part when the connection ended. The pages may excuse that one, not the others.
	if missing > 1 && ended < killAfter {
		return broken
	}
	return held
}
