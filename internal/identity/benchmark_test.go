package identity

import (
	"crypto/sha256"
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkAuthenticate measures the cost of authenticating and authorizing a request.
func BenchmarkAuthenticate(b *testing.B) {
	issuer := newTokenIssuer(b)
	ed, es := issuer.key("ed", EdDSA), issuer.key("es", ES256)
	access := Access{Class: "lookup"}
	b.Run("unsigned", func(b *testing.B) {
		a, c := newTestAuthenticator(b, ed), &Caller{Frontend: "rpc"}
		b.ReportAllocs()
		for range b.N {
			a.Authenticate(start+1, &Call{Caller: c, Access: access})
		}
	})
	b.Run("cached", func(b *testing.B) {
		a, c := newTestAuthenticator(b, ed), &Caller{Frontend: "rpc"}
		token := issuer.token(ed, nil)
		call(a, start+1, &Call{Caller: c, Token: token, Access: access})
		b.ReportAllocs()
		for range b.N {
			a.Authenticate(start+1, &Call{Caller: c, Token: token, Access: access})
		}
	})
	b.Run("new, event loop part", func(b *testing.B) {
		a := newTestAuthenticator(b, ed)
		a.config.ChecksPerSecond, a.config.ChecksPerConnection = 1e12, 1e12
		tokens := make([]string, 1000)
		for i := range tokens {
			tokens[i] = issuer.token(ed, nil)
		}
		a.cache.maxTokens = 1
		b.ReportAllocs()
		b.ResetTimer()
		for i := range b.N {
			now := start + time.Duration(i)*time.Millisecond // refills the budget for the next call
			_, j := a.Authenticate(now, &Call{Caller: &Caller{Frontend: "rpc"}, Token: tokens[i%1000], Access: access})
			a.SignatureChecked(now, j, verifiedClaims("x", "s", "ed"), Allowed)
		}
	})
	for _, k := range []Key{ed, es} {
		token := issuer.token(k, nil)
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
			r.Authorize("t7777", access)
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

// BenchmarkMemory measures the heap size of 100,000 cached tokens with distinct subjects, 100,000 idempotency keys and
// 100,000 revocations.
func BenchmarkMemory(b *testing.B) {
	issuer := newTokenIssuer(b)
	k := issuer.key("k", EdDSA)
	heap := func() uint64 {
		var s runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&s)
		return s.HeapAlloc
	}
	for range b.N {
		before := heap()
		a := newTestAuthenticator(b, k)
		for i := range 100_000 {
			c := verifiedClaims(fmt.Sprint("token-", i), fmt.Sprint("subject-", i), "k")
			a.cache.add(&verifiedToken{hash: sha256.Sum256([]byte(c.ID)), claims: c, key: a.keys.Get("k")})
			a.idempotencyKeys.Admit(start, KeyedCall{
				Key: fmt.Sprint("charge ", i), Subject: c.Subject, Tenant: "lanes", Window: 3 * time.Second,
			})
			_ = a.revoked.Add(RevokedToken, fmt.Sprint("gone-", i), start+time.Hour)
		}
		b.ReportMetric(float64(heap()-before)/(1<<20), "MB")
		runtime.KeepAlive(a)
	}
}
