package emulator

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync"

	"github.com/miekg/dns"
)

// ListService is a stand-in bulletin that tells each line of Feed to whoever is connected. The line "!" ends the connection; what begins
// with "~" is told without the end of its line.
type ListService struct {
	Feed  chan string
	After chan string // what each connection asked for
	ln    net.Listener
}

// NewListService starts one on a loopback port. It serves one connection at a time.
func NewListService() (*ListService, error) {
	return NewListServiceAt("127.0.0.1:0")
}

// NewListServiceAt starts one at an address.
func NewListServiceAt(address string) (*ListService, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	b := &ListService{Feed: make(chan string, 64), After: make(chan string, 64), ln: ln}
	go b.serve()
	return b, nil
}

// Address is where it listens.
func (b *ListService) Address() string { return b.ln.Addr().String() }

// Close ends it.
func (b *ListService) Close() { _ = b.ln.Close() }

func (b *ListService) serve() {
	for {
		conn, err := b.ln.Accept()
		if err != nil {
			return
		}
		line, err := bufio.NewReader(conn).ReadString('\n')
		if err == nil {
			b.After <- strings.TrimSpace(line)
			for text := range b.Feed {
				if text == "!" {
					break
				}
				line, half := strings.CutPrefix(text, "~")
				if !half {
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

// NameServer is a stand-in name server over UDP that has A records.
type NameServer struct {
	mu      sync.Mutex
	records map[string]string
	asked   []string
	conn    net.PacketConn
}

// NewNameServer starts one on a loopback port, with addresses by name.
func NewNameServer(records map[string]string) (*NameServer, error) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &NameServer{records: records, conn: conn}
	go s.serve()
	return s, nil
}

// Address is where it listens.
func (s *NameServer) Address() string { return s.conn.LocalAddr().String() }

// Close ends it.
func (s *NameServer) Close() { _ = s.conn.Close() }

// Queries gives the names that it was asked for.
func (s *NameServer) Queries() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.asked...)
}

func (s *NameServer) serve() {
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
		s.asked = append(s.asked, name)
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
