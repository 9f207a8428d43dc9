package transport

import (
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"sloequay/internal/peer"
)

// recorder is a Receiver that records the members and the messages.
type recorder struct {
	mu       sync.Mutex
	members  map[string]bool
	messages []string // sender and body
}

func (r *recorder) MembersChanged(members []peer.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.members = map[string]bool{}
	for _, member := range members {
		r.members[member.Name] = true
	}
}

func (r *recorder) MessageReceived(from string, body []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.messages = append(r.messages, from+" "+string(body))
}

func (r *recorder) Log(string, ...any) {}

func (r *recorder) sees(names ...string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !slices.ContainsFunc(names, func(name string) bool { return !r.members[name] })
}

// count returns how often a message was received.
func (r *recorder) count(message string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, received := range r.messages {
		if received == message {
			count++
		}
	}
	return count
}

// fleet opens transports, each on a loopback address of its own. The first one is the seed of all others.
type fleet struct {
	t         *testing.T
	directory string
	prefix    string // first three bytes of the addresses
	seed      string
}

func newFleet(t *testing.T) *fleet {
	return &fleet{t: t, directory: t.TempDir(), prefix: fmt.Sprintf("127.%d.%d", 40+rand.IntN(30), rand.IntN(250))}
}

// keyFile writes a key file and returns its path.
func (f *fleet) keyFile(name, key string) string {
	path := filepath.Join(f.directory, name)
	if err := os.WriteFile(path, []byte(base64.StdEncoding.EncodeToString([]byte(key))+"\n"), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

func (f *fleet) open(lastByte int, name, keyFile, membersFile string) (*Transport, *recorder) {
	f.t.Helper()
	listen := f.unusedAddress(lastByte)
	var seeds []string
	if f.seed != "" {
		seeds = []string{f.seed}
	} else {
		f.seed = listen
	}
	config, err := NewConfig(listen, "", keyFile, seeds)
	if err != nil {
		f.t.Fatal(err)
	}
	config.MembersFile = membersFile
	receiver := &recorder{}
	transport, err := Open(config, Identity{Name: name, Zone: "z", Incarnation: rand.Uint64(), FleetSize: 4}, receiver)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(transport.Close)
	return transport, receiver
}

func (f *fleet) unusedAddress(lastByte int) string {
	f.t.Helper()
	listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", f.prefix, lastByte))
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func (f *fleet) waitUntil(description string, condition func() bool) {
	f.t.Helper()
	for end := time.Now().Add(15 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("timed out waiting until %s", description)
		}
	}
}

// packet returns the envelope, signed by a transport and encoded.
func (f *fleet) packet(signer *Transport, e envelope) []byte {
	f.t.Helper()
	signer.sign(&e)
	packet, err := Encode(e)
	if err != nil {
		f.t.Fatal(err)
	}
	return packet
}

// TestMembersExchangeOnlyValidMessages checks that members find each other and receive each other's messages once, both
// small and large ones; that a program with another fleet key finds no member; that a message in another member's name
// or to another recipient is rejected; and that corrupted packets do no harm.
func TestMembersExchangeOnlyValidMessages(t *testing.T) {
	f := newFleet(t)
	keyFile := f.keyFile("right", "0123456789abcdef")
	membersFile := filepath.Join(f.directory, "peers")
	a, receivedByA := f.open(1, "a", keyFile, "")
	_, receivedByB := f.open(2, "b", keyFile, membersFile)
	c, receivedByC := f.open(3, "c", keyFile, "")
	_, receivedByOutsider := f.open(4, "x", f.keyFile("wrong", "fedcba9876543210"), "")
	f.waitUntil("all members see each other", func() bool {
		return receivedByA.sees("b", "c") && receivedByB.sees("a", "c") && receivedByC.sees("a", "b")
	})
	large := strings.Repeat("x", 50<<10)
	a.Send("b", []byte("small"))
	a.Send("b", []byte(large))
	f.waitUntil("both messages have arrived", func() bool {
		return receivedByB.count("a small") == 1 && receivedByB.count("a "+large) == 1
	})

	b := c.node("b")
	for _, invalid := range []envelope{
		{From: "a", Incarnation: a.self.Incarnation, Number: 1000, To: "b", Body: []byte("forged")},
		{From: "c", Incarnation: c.self.Incarnation, Number: 1000, To: "a", Body: []byte("replayed")},
	} {
		if err := c.list.SendBestEffort(b, f.packet(c, invalid)); err != nil {
			t.Fatal(err)
		}
	}
	const number = 1001
	valid := f.packet(c, envelope{
		From: "c", Incarnation: c.self.Incarnation, Number: number, To: "b", Body: []byte("once"),
	})
	random := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		corrupted := slices.Clone(valid)
		for range 1 + random.IntN(8) {
			corrupted[random.IntN(len(corrupted))] = byte(random.IntN(256))
		}
		_ = c.list.SendBestEffort(b, corrupted[:1+random.IntN(len(corrupted))])
	}
	for range 3 {
		_ = c.list.SendBestEffort(b, valid)
	}
	c.mu.Lock()
	c.lastNumber = number // a number too far below the latest one would be rejected
	c.mu.Unlock()
	f.waitUntil("the last message has arrived", func() bool {
		c.Send("b", []byte("last")) // a datagram may be lost
		return receivedByB.count("c last") > 0
	})
	f.waitUntil("the valid message has arrived", func() bool { return receivedByB.count("c once") == 1 })
	for message, want := range map[string]int{"a forged": 0, "c replayed": 0, "c once": 1} {
		if got := receivedByB.count(message); got != want {
			t.Errorf("message %q: received %d times, want %d", message, got, want)
		}
	}
	if receivedByA.sees("x") || receivedByOutsider.sees("a") {
		t.Error("a program with another fleet key is a member, want it kept out")
	}

	f.waitUntil("addresses are saved", func() bool { return len(readMembersFile(membersFile)) > 0 })
	a.AnnounceShutdown(time.Second)
	f.waitUntil("the member that shuts down has left", func() bool { return !receivedByB.sees("a") })
}
