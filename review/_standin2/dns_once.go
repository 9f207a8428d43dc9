package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/miekg/dns"

	"sloequay/internal/emulator"
)

const (
	tolls        = 6
	answerWait   = time.Second // after which a client repeats its query
	dnsTries     = 3
	tollDuration = 40 * time.Millisecond
)

func init() { cases["dns-once"] = dnsOnceCase }

// dnsOnceCase: a client asks by DNS for charges of a class that must run once; the network loses one answer to each.
func dnsOnceCase(w *world) (broken bool, err error) {
	depots := emulator.NewEndpoints(nil)
	defer depots.Close()
	depots.OnControlLine(func(*emulator.ReceivedRequest) {})
	var mu sync.Mutex
	ran := map[string]int{}
	depots.SetResponder(func(r *emulator.ReceivedRequest) {
		time.Sleep(tollDuration)
		key := r.Fields["replay"]
		mu.Lock()
		ran[key]++
		mu.Unlock()
		w.note("%s ran %s %s as request %s", r.Endpoint, r.Fields["profile"], key, r.ID)
		answerServed(r)
	})
	list, err := addDepots(depots, "c1", "c2", "p1", "o1")
	if err != nil {
		return false, err
	}
	listen, err := freeAddress()
	if err != nil {
		return false, err
	}
	const keyed = `"idempotency":"by_key","group":"all","window-ms":3000`
	settings := strings.Replace(emulator.Settings, keyed, `"idempotency":"once"`, 1)
	if settings == emulator.Settings {
		return false, errors.New("the settings have no keyed class")
	}
	conf := fmt.Sprintf("dns {\n    listen %s\n    zone boxes.peajes.example.\n    limit 2s\n}\n", listen)
	if _, err = w.start("n1", options{memoryMB: 192, sockets: 1024, depots: list, settings: settings, conf: conf}); err != nil {
		return false, err
	}
	network, err := w.startNetwork(listen)
	if err != nil {
		return false, err
	}
	defer network.close()
	for i := range tolls {
		if err := w.askOnce(network.address(), fmt.Sprintf("toll-%d-%d", os.Getpid(), i), i); err != nil {
			return false, err
		}
	}
	mu.Lock()
	defer mu.Unlock()
	for key, times := range ran {
		w.note("charge %s ran %d times", key, times)
		broken = broken || times > 1
	}
	return broken, nil
}

// askOnce asks for one charge as a DNS client does: it repeats the same message while no answer comes.
func (w *world) askOnce(address, key string, part int) error {
	conn, err := net.Dial("udp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	query := new(dns.Msg)
	query.SetQuestion(fmt.Sprintf("k-%s.n%d.7f3a9c21e0b4d655.charge._.boxes.peajes.example.", key, part), dns.TypeSRV)
	packet, err := query.Pack()
	if err != nil {
		return err
	}
	buffer := make([]byte, dns.MaxMsgSize)
	for try := range dnsTries {
		w.note("query %d for charge %s, try %d", query.Id, key, try+1)
		if _, err := conn.Write(packet); err != nil {
			return err
		}
		_ = conn.SetReadDeadline(time.Now().Add(answerWait))
		n, err := conn.Read(buffer)
		if err != nil {
			w.note("query %d: no answer within %v", query.Id, answerWait)
			continue
		}
		answer := new(dns.Msg)
		if err := answer.Unpack(buffer[:n]); err != nil {
			return err
		}
		w.note("query %d: %s with %d records", query.Id, dns.RcodeToString[answer.Rcode], len(answer.Answer))
		return nil
	}
	return nil
}

// network passes datagrams between clients and a doorman. With trouble it loses the first answer to each query.
type network struct {
	world    *world
	socket   net.PacketConn
	doorman  string
	mu       sync.Mutex
	lost     map[string]bool // by client and id of the query
	upstream map[string]net.Conn
}

func (w *world) startNetwork(doorman string) (*network, error) {
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &network{world: w, socket: socket, doorman: doorman, lost: map[string]bool{}, upstream: map[string]net.Conn{}}
	go n.passQueries()
	return n, nil
}

func (n *network) address() string { return n.socket.LocalAddr().String() }

func (n *network) close() {
	_ = n.socket.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, conn := range n.upstream {
		_ = conn.Close()
	}
}

func (n *network) passQueries() {
	buffer := make([]byte, dns.MaxMsgSize)
	for {
		size, client, err := n.socket.ReadFrom(buffer)
		if err != nil {
			return
		}
		n.mu.Lock()
		conn := n.upstream[client.String()]
		if conn == nil {
			if conn, err = net.Dial("udp", n.doorman); err == nil {
				n.upstream[client.String()] = conn
				go n.passAnswers(conn, client)
			}
		}
		n.mu.Unlock()
		if conn != nil {
			_, _ = conn.Write(buffer[:size])
		}
	}
}

func (n *network) passAnswers(conn net.Conn, client net.Addr) {
	buffer := make([]byte, dns.MaxMsgSize)
	for {
		size, err := conn.Read(buffer)
		if err != nil {
			return
		}
		key := fmt.Sprintf("%v %x", client, buffer[:2])
		n.mu.Lock()
		lose := n.world.trouble && !n.lost[key]
		n.lost[key] = true
		n.mu.Unlock()
		if lose {
			n.world.note("the network loses the answer of %d bytes to %v", size, client)
			continue
		}
		_, _ = n.socket.WriteTo(buffer[:size], client)
	}
}
