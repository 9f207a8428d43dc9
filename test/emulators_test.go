package test

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync"

	"github.com/miekg/dns"
)

// listServiceBuffer is the number of lines, and of polls, that a list service buffers.
const listServiceBuffer = 64

// listService emulates the service that serves the endpoint list: it sends each line of feed to the connected client.
// The line "!" closes the connection; a line that begins with "~" is sent without the "~" and without a line end.
type listService struct {
	feed     chan string
	polls    chan string // the line that each connection sent first
	listener net.Listener
}

// newListService starts a list service on a loopback port. It serves one connection at a time.
func newListService() (*listService, error) {
	return newListServiceAt("127.0.0.1:0")
}

// newListServiceAt starts a list service at an address.
func newListServiceAt(address string) (*listService, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &listService{
		feed:     make(chan string, listServiceBuffer),
		polls:    make(chan string, listServiceBuffer),
		listener: listener,
	}
	go s.serve()
	return s, nil
}

// address returns the address that the list service listens on.
func (s *listService) address() string { return s.listener.Addr().String() }

// close stops the list service.
func (s *listService) close() { _ = s.listener.Close() }

func (s *listService) serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		line, err := bufio.NewReader(conn).ReadString('\n')
		if err == nil {
			s.polls <- strings.TrimSpace(line)
			for text := range s.feed {
				if text == "!" {
					break
				}
				line, partial := strings.CutPrefix(text, "~")
				if !partial {
					line += "\n"
				}
				if _, err := io.WriteString(conn, line); err != nil {
					break
				}
			}
		}
		_ = conn.Close()
	}
}

// nameServer emulates a UDP name server with A records.
type nameServer struct {
	mu           sync.Mutex
	records      map[string]string // addresses by name
	queriedNames []string          // in the order of the queries
	conn         net.PacketConn
}

// newNameServer starts a name server with the given records, addresses by name, on a loopback port.
func newNameServer(records map[string]string) (*nameServer, error) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &nameServer{records: records, conn: conn}
	go s.serve()
	return s, nil
}

// address returns the address that the name server listens on.
func (s *nameServer) address() string { return s.conn.LocalAddr().String() }

// close stops the name server.
func (s *nameServer) close() { _ = s.conn.Close() }

// queries returns the names that were queried, in order.
func (s *nameServer) queries() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.queriedNames...)
}

func (s *nameServer) serve() {
	packet := make([]byte, 2000)
	for {
		n, from, err := s.conn.ReadFrom(packet)
		if err != nil {
			return
		}
		q := &dns.Msg{}
		if q.Unpack(packet[:n]) != nil || len(q.Question) != 1 {
			continue
		}
		name := q.Question[0].Name
		s.mu.Lock()
		s.queriedNames = append(s.queriedNames, name)
		address := s.records[name]
		s.mu.Unlock()
		m := new(dns.Msg).SetReply(q)
		m.Answer = append(m.Answer, &dns.A{A: net.ParseIP(address),
			Hdr: dns.RR_Header{Name: name, Rrtype: dns.TypeA, Class: dns.ClassINET}})
		if out, err := m.Pack(); err == nil {
			_, _ = s.conn.WriteTo(out, from)
		}
	}
}
