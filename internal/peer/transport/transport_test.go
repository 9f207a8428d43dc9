package transport

import (
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"sloequay/internal/peer"
)

// ear keeps what a link hears.
type ear struct {
	mu       sync.Mutex
	live     map[string]bool
	messages []string
}

func (e *ear) MembersChanged(members []peer.Member) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.live = map[string]bool{}
	for _, m := range members {
		e.live[m.Name] = true
	}
}

func (e *ear) MessageReceived(from string, body []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.messages = append(e.messages, from+" "+string(body))
}

func (e *ear) Log(string, ...any) {}

func (e *ear) sees(names ...string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, n := range names {
		if !e.live[n] {
			return false
		}
	}
	return true
}

func (e *ear) heard(text string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, m := range e.messages {
		if m == text {
			n++
		}
	}
	return n
}

// fleet is links on loopback addresses of their own.
type fleet struct {
	t    *testing.T
	dir  string
	base string
	seed string
}

func newFleet(t *testing.T) *fleet {
	return &fleet{t: t, dir: t.TempDir(), base: fmt.Sprintf("127.%d.%d", 40+rand.IntN(30), rand.IntN(250))}
}

func (f *fleet) key(name, key string) string {
	path := filepath.Join(f.dir, name)
	if err := os.WriteFile(path, []byte(base64.StdEncoding.EncodeToString([]byte(key))+"\n"), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

func (f *fleet) open(n int, name, key string, remember string) (*Transport, *ear) {
	f.t.Helper()
	ln, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", f.base, n))
	if err != nil {
		f.t.Fatal(err)
	}
	listen := ln.Addr().String()
	_ = ln.Close()
	var seeds []string
	if f.seed != "" {
		seeds = []string{f.seed}
	} else {
		f.seed = listen
	}
	cfg, err := NewConfig(listen, "", key, seeds)
	if err != nil {
		f.t.Fatal(err)
	}
	cfg.MembersFile = remember
	e := &ear{}
	l, err := Open(cfg, Identity{Name: name, Zone: "z", Incarnation: rand.Uint64(), Fleet: 4}, e)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(l.Close)
	return l, e
}

func (f *fleet) until(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(15 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("waited in vain until %s", what)
		}
	}
}

// TestMembersAndStrangers: members find each other and hear each other's words once, small ones and large ones; a stranger with
// another key finds nobody, a word in another's name is not heard, nor one passed on to another, and what can't be read does no harm.
func TestMembersAndStrangers(t *testing.T) {
	f := newFleet(t)
	right := f.key("right", "0123456789abcdef")
	a, earA := f.open(1, "a", right, "")
	b, earB := f.open(2, "b", right, filepath.Join(f.dir, "peers"))
	c, earC := f.open(3, "c", right, "")
	_, stranger := f.open(4, "x", f.key("wrong", "fedcba9876543210"), "")
	f.until("all see each other", func() bool { return earA.sees("b", "c") && earB.sees("a", "c") && earC.sees("a", "b") })
	a.Send("b", []byte("small"))
	large := strings.Repeat("x", 50<<10)
	a.Send("b", []byte(large))
	f.until("both came", func() bool { return earB.heard("a small") == 1 && earB.heard("a "+large) == 1 })
	// c forges a word of a's, and passes one of its own to b that was meant for a.
	for _, e := range []envelope{{From: "a", Epoch: a.self.Incarnation, Number: 1000, To: "b", Body: []byte("forged")},
		{From: "c", Epoch: c.self.Incarnation, Number: 1000, To: "a", Body: []byte("passed on")}} {
		e.Sig = c.sign(&e)
		packet, err := Encode(e)
		if err != nil {
			t.Fatal(err)
		}
		if err := c.list.SendBestEffort(c.nodes["b"], packet); err != nil {
			t.Fatal(err)
		}
	}
	// One that is right, twice; and noise.
	e := envelope{From: "c", Epoch: c.self.Incarnation, Number: 1001, To: "b", Body: []byte("once")}
	e.Sig = c.sign(&e)
	packet, _ := Encode(e)
	rng := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		noise := append([]byte(nil), packet...)
		for range 1 + rng.IntN(8) {
			noise[rng.IntN(len(noise))] = byte(rng.IntN(256))
		}
		_ = c.list.SendBestEffort(c.nodes["b"], noise[:1+rng.IntN(len(noise))])
	}
	for range 3 {
		_ = c.list.SendBestEffort(c.nodes["b"], packet)
	}
	c.mu.Lock()
	c.number = e.Number // what is numbered far behind is not heard
	c.mu.Unlock()
	f.until("the last came", func() bool {
		c.Send("b", []byte("the last")) // a datagram may be lost
		return earB.heard("c the last") > 0
	})
	f.until("the right one came", func() bool { return earB.heard("c once") == 1 })
	if earB.heard("a forged") > 0 || earB.heard("c passed on") > 0 || earB.heard("c once") != 1 {
		t.Errorf("forged %d, passed on %d, once %d times", earB.heard("a forged"), earB.heard("c passed on"), earB.heard("c once"))
	}
	if earA.sees("x") || stranger.sees("a") {
		t.Error("a stranger was let in")
	}
	f.until("addresses are remembered", func() bool { return len(remembered(filepath.Join(f.dir, "peers"))) > 0 })
	a.AnnounceShutdown(time.Second)
	f.until("who leaves is gone", func() bool { return !earB.sees("a") })
	_ = b
}

// TestBadKeys: a key file that others may read, or with something else in it, is told by its line.
func TestBadKeys(t *testing.T) {
	dir := t.TempDir()
	for _, c := range []struct {
		text string
		mode os.FileMode
		want string
	}{{"MDEyMzQ1Njc4OWFiY2RlZg==\nshort\n", 0o600, ":2: expected 16, 24 or 32 bytes"}, {"MDEyMzQ1Njc4OWFiY2RlZg==\n", 0o644, "others may read it"}} {
		path := filepath.Join(dir, "key")
		_ = os.Remove(path)
		if err := os.WriteFile(path, []byte(c.text), c.mode); err != nil {
			t.Fatal(err)
		}
		if _, err := readKeys(path); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: %v, want %q", c.text, err, c.want)
		}
	}
}

// FuzzDecode: whatever comes is an error or a message, and never a panic or a length believed.
func FuzzDecode(f *testing.F) {
	good, _ := Encode(envelope{From: "a", Body: []byte("b")})
	f.Add(good)
	f.Add([]byte{0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0xc6, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(_ *testing.T, b []byte) {
		var e envelope
		_ = Decode(b, &e)
		var m meta
		_ = Decode(b, &m)
	})
}
