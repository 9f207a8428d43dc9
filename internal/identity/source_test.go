package identity

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestSources: an address is one source, and so is an IPv6 network of 64 bits; the number held is bounded, and the
// source that was met longest ago makes way. The plain model is a list in the order of meeting.
func TestSources(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxSources := rapid.IntRange(1, 8).Draw(t, "sources")
		s := NewSources(maxSources)
		var order []string // the newest last
		of := map[string]*Source{}
		for range rapid.IntRange(1, 200).Draw(t, "meetings") {
			n := rapid.IntRange(0, 11).Draw(t, "host")
			name, address := fmt.Sprint(n), netip.Addr{}
			switch {
			case n < 6:
				address = netip.AddrFrom4([4]byte{127, 0, 0, byte(n)})
				if rapid.Bool().Draw(t, "mapped") {
					address = netip.AddrFrom16(address.As16())
				}
			case n < 11:
				a := [16]byte{0x20, 1, 7: byte(n)}
				a[15] = rapid.Byte().Draw(t, "the host's own part")
				address = netip.AddrFrom16(a)
			}
			got := s.Of(address)
			for i, o := range order {
				if o == name {
					if got != of[name] {
						t.Fatalf("%v is another source than before", address)
					}
					order = append(order[:i], order[i+1:]...)
					break
				}
			}
			order, of[name] = append(order, name), got
			if len(order) > maxSources {
				order = order[1:]
			}
			for _, o := range order {
				if o != name && of[o] == got {
					t.Fatalf("%v is the same source as %s", address, o)
				}
			}
			if s.Len() != len(order) {
				t.Fatalf("%d sources held, want %d", s.Len(), len(order))
			}
		}
	})
}

// TestPaced: a flood of bad tokens has its connection paced, and a new connection from there until something of it is
// admitted; not others; and a second after it ends all is as before.
func TestPaced(t *testing.T) {
	m := newMaker(t)
	ed := m.key("k1", EdDSA)
	g := newTestAuthenticator(t, ed)
	now := start
	sources := NewSources(10)
	here, there := netip.MustParseAddr("127.0.0.1"), netip.MustParseAddr("127.0.0.2")
	flood := &Caller{Frontend: "rpc", Source: sources.Of(here)}
	good := m.token(ed, nil)
	proven := &Caller{Frontend: "rpc", Source: sources.Of(here)}
	if o := call(g, now, &Call{Caller: proven, Token: good, Access: charge}); o.Reason != Allowed {
		t.Fatalf("a good token: %v", o.Reason)
	}
	jobs, busy := 0, 0
	for i := range 2000 {
		now += 100 * time.Microsecond
		o, j := g.Authenticate(now, &Call{Caller: flood, Token: badToken(good, i), Access: charge})
		if j != nil {
			jobs++
			claims, reason := Verify(j.Token, j.Key)
			g.SignatureChecked(now, j, claims, reason)
		} else if o.Reason == Busy {
			busy++
		}
	}
	if jobs > 2*newBucketTokens || busy < 1900 {
		t.Errorf("%d signatures of the flood were checked, %d held off", jobs, busy)
	}
	bought := 0
	for i := range 400 {
		now += 500 * time.Microsecond
		c := &Caller{Frontend: "rpc", Source: sources.Of(here)}
		if _, j := g.Authenticate(now, &Call{Caller: c, Token: badToken(good, 500_000+i), Access: charge}); j != nil {
			bought++
			claims, reason := Verify(j.Token, j.Key)
			g.SignatureChecked(now, j, claims, reason)
		}
	}
	if bought > 12 {
		t.Errorf("connecting anew 400 times bought %d signatures", bought)
	}
	again := &Caller{Frontend: "rpc", Source: sources.Of(here)}
	elsewhere := &Caller{Frontend: "rpc", Source: sources.Of(there)}
	for name, c := range map[string]struct {
		caller *Caller
		want   bool
	}{
		"the flood":                    {flood, true},
		"a new connection from there":  {again, true},
		"one that was admitted before": {proven, false},
		"another source":               {elsewhere, false},
	} {
		if c.caller.Paced(now) != c.want {
			t.Errorf("%s: paced %v, want %v", name, !c.want, c.want)
		}
	}
	if o := call(g, now, &Call{Caller: again, Token: good, Access: charge}); o.Reason != Allowed || again.Paced(now) {
		t.Errorf("a remembered token on the new connection: %v, still paced %v", o.Reason, again.Paced(now))
	}
	if !flood.Paced(now - time.Millisecond) {
		t.Error("within a round that began before its last call the flood is not paced")
	}
	if now += rejectionMemory + time.Millisecond; flood.Paced(now) {
		t.Error("the flood is paced for longer than it is remembered")
	}
}

func BenchmarkSources(b *testing.B) {
	for _, hosts := range []int{1, 4096, 100_000} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			b.ReportAllocs()
			s := NewSources(4096)
			for i := range b.N {
				h := i * 2654435761 % hosts
				s.Of(netip.AddrFrom4([4]byte{127, byte(h >> 16), byte(h >> 8), byte(h)}))
			}
		})
	}
}
