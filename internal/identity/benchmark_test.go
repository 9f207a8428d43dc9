package identity

import (
	"crypto/sha256"
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkAuthenticate is what the gate costs a request.
func BenchmarkAuthenticate(b *testing.B) {
	m := newMaker(b)
	ed, es := m.key("ed", EdDSA), m.key("es", ES256)
	ask := Access{Class: "lookup"}
	b.Run("unsigned", func(b *testing.B) {
		g, c := newTestAuthenticator(b, ed), &Caller{Frontend: "rpc"}
		b.ReportAllocs()
		for range b.N {
			g.Authenticate(start+1, &Call{Caller: c, Access: ask})
		}
	})
	b.Run("cached", func(b *testing.B) {
		g, c := newTestAuthenticator(b, ed), &Caller{Frontend: "rpc"}
		token := m.token(ed, nil)
		call(g, start+1, &Call{Caller: c, Token: token, Access: ask})
		b.ReportAllocs()
		for range b.N {
			g.Authenticate(start+1, &Call{Caller: c, Token: token, Access: ask})
		}
	})
	b.Run("new, on the loop", func(b *testing.B) {
		g := newTestAuthenticator(b, ed)
		g.config.ChecksPerSecond, g.config.ChecksPerConnection = 1e12, 1e12
		tokens := make([]string, 1000)
		for i := range tokens {
			tokens[i] = m.token(ed, nil)
		}
		g.cache.maxTokens = 1
		b.ReportAllocs()
		b.ResetTimer()
		for i := range b.N {
			now := start + time.Duration(i)*time.Millisecond // a call's budget is back by the next one
			_, j := g.Authenticate(now, &Call{Caller: &Caller{Frontend: "rpc"}, Token: tokens[i%1000], Access: ask})
			g.SignatureChecked(now, j, verifiedClaims("x", "s", "ed"), Allowed)
		}
	})
	for _, k := range []Key{ed, es} {
		token := m.token(k, nil)
		b.Run("verify/"+string(k.Algorithm), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				if _, reason := Verify(token, &k); reason != Allowed {
					b.Fatal(reason)
				}
			}
		})
	}
	b.Run("rights/10000-tenants", func(b *testing.B) {
		var all []Tenant
		for i := range 10_000 {
			all = append(all, Tenant{
				Name:  fmt.Sprint("t", i),
				Rules: rules(b, "right charge lookup", "deny lookup group=7"),
			})
		}
		r, err := NewRights(all, "")
		if err != nil {
			b.Fatal(err)
		}
		b.ReportAllocs()
		b.ResetTimer()
		for range b.N {
			r.Authorize("t7777", ask)
		}
	})
	b.Run("revoked/100000", func(b *testing.B) {
		r := NewRevocations(100_000)
		for i := range 100_000 {
			_ = r.Add(RevokedToken, fmt.Sprint("token-", i), start+time.Hour)
		}
		b.ReportAllocs()
		b.ResetTimer()
		for range b.N {
			r.Has(start, RevokedToken, "token-77777")
		}
	})
}

// BenchmarkMemory is what 100,000 remembered tokens of as many subjects, as many idempotency keys, and as many
// revocations hold.
func BenchmarkMemory(b *testing.B) {
	m := newMaker(b)
	k := m.key("k", EdDSA)
	heap := func() uint64 {
		var s runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&s)
		return s.HeapAlloc
	}
	for range b.N {
		before := heap()
		g := newTestAuthenticator(b, k)
		for i := range 100_000 {
			c := verifiedClaims(fmt.Sprint("token-", i), fmt.Sprint("subject-", i), "k")
			g.cache.add(&verifiedToken{hash: sha256.Sum256([]byte(c.ID)), claims: c, key: g.keys.Get("k")})
			g.idempotencyKeys.Admit(start, KeyedCall{
				Key: fmt.Sprint("charge ", i), Subject: c.Subject, Tenant: "lanes", Window: 3 * time.Second,
			})
			_ = g.revoked.Add(RevokedToken, fmt.Sprint("gone-", i), start+time.Hour)
		}
		b.ReportMetric(float64(heap()-before)/(1<<20), "MB")
		runtime.KeepAlive(g)
	}
}
