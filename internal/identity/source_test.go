package identity

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestSourcesMatchReferenceList compares random lookups with a list in order of use: an IPv4 address is one source, and
// so is an IPv6 /64 network; the number of sources is bounded, and the least recently used one is evicted.
func TestSourcesMatchReferenceList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxSources := rapid.IntRange(1, 8).Draw(t, "sources")
		s := NewSources(maxSources)
		var order []string // most recently used last
		sourceByName := map[string]*Source{}
		for range rapid.IntRange(1, 200).Draw(t, "lookups") {
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
				a[15] = rapid.Byte().Draw(t, "interface identifier")
				address = netip.AddrFrom16(a)
			}
			got := s.Of(address)
			for i, o := range order {
				if o == name {
					if got != sourceByName[name] {
						t.Fatalf("%v: got another source than before, want the same", address)
					}
					order = append(order[:i], order[i+1:]...)
					break
				}
			}
			order, sourceByName[name] = append(order, name), got
			if len(order) > maxSources {
				order = order[1:]
			}
			for _, o := range order {
				if o != name && sourceByName[o] == got {
					t.Fatalf("%v: got the source of host %s, want another", address, o)
				}
			}
			if s.Len() != len(order) {
				t.Fatalf("got %d sources, want %d", s.Len(), len(order))
			}
		}
	})
}

// TestFloodIsPaced checks that a flood of invalid tokens causes pacing of its connection, and of each new connection
// from the same source until one of its calls is admitted, but not of others, and that the pacing ends one second after
// the flood.
func TestFloodIsPaced(t *testing.T) {
	issuer := newTokenIssuer(t)
	ed := issuer.key("k1", EdDSA)
	a := newTestAuthenticator(t, ed)
	now := start
	sources := NewSources(10)
	here, there := netip.MustParseAddr("127.0.0.1"), netip.MustParseAddr("127.0.0.2")
	flood := &Caller{Frontend: "rpc", Source: sources.Of(here)}
	good := issuer.token(ed, nil)
	admitted := &Caller{Frontend: "rpc", Source: sources.Of(here)}
	if o := call(a, now, &Call{Caller: admitted, Token: good, Access: charge}); o.Reason != Allowed {
		t.Fatalf("valid token: got %v, want allowed", o.Reason)
	}
	jobs, busy := 0, 0
	for i := range 2000 {
		now += 100 * time.Microsecond
		o, j := a.Authenticate(now, &Call{Caller: flood, Token: invalidToken(good, i), Access: charge})
		if j != nil {
			jobs++
			claims, reason := Verify(j.Token, j.Key)
			a.SignatureChecked(now, j, claims, reason)
		} else if o.Reason == Busy {
			busy++
		}
	}
	if jobs > 2*newBucketTokens || busy < 1900 {
		t.Errorf("flood: got %d signature checks, %d busy calls, want at most 64, at least 1900", jobs, busy)
	}
	checksAfterReconnect := 0
	for i := range 400 {
		now += 500 * time.Microsecond
		c := &Caller{Frontend: "rpc", Source: sources.Of(here)}
		if _, j := a.Authenticate(now, &Call{
			Caller: c, Token: invalidToken(good, 500_000+i), Access: charge,
		}); j != nil {
			checksAfterReconnect++
			claims, reason := Verify(j.Token, j.Key)
			a.SignatureChecked(now, j, claims, reason)
		}
	}
	if checksAfterReconnect > 12 {
		t.Errorf("signatures checked over 400 new connections: got %d, want at most 12", checksAfterReconnect)
	}
	reconnected := &Caller{Frontend: "rpc", Source: sources.Of(here)}
	elsewhere := &Caller{Frontend: "rpc", Source: sources.Of(there)}
	for name, c := range map[string]struct {
		caller *Caller
		want   bool
	}{
		"flooding connection":                 {flood, true},
		"new connection from there":           {reconnected, true},
		"connection that was admitted before": {admitted, false},
		"connection from another source":      {elsewhere, false},
	} {
		if c.caller.Paced(now) != c.want {
			t.Errorf("%s: got paced %v, want %v", name, !c.want, c.want)
		}
	}
	if o := call(a, now, &Call{Caller: reconnected, Token: good, Access: charge}); o.Reason != Allowed ||
		reconnected.Paced(now) {
		t.Errorf("cached token on the new connection: got %v, paced %v; want allowed, not paced", o.Reason,
			reconnected.Paced(now))
	}
	if !flood.Paced(now - time.Millisecond) {
		t.Error("flood at the start of the round of its last call: got not paced, want paced")
	}
	if now += rejectionRetention + time.Millisecond; flood.Paced(now) {
		t.Error("flood after rejectionRetention: got paced, want not paced")
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
