package quota

import (
	"fmt"
	"testing"
	"time"
)

// flat is one token bucket a team in a map, as the contracts were before: the plain way to compare with.
type flat map[string]*flatBucket

type flatBucket struct {
	rate, burst, tokens float64
	at                  time.Duration
	open                int
}

func (f flat) admit(now time.Duration, team string) bool {
	k := f[team]
	k.tokens = min(k.burst, k.tokens+max(0, now-k.at).Seconds()*k.rate)
	if k.at = now; k.tokens < 1 {
		return false
	}
	k.tokens--
	k.open++
	return true
}

const many = 100_000

// BenchmarkAdmit is an admission and its end, among 100,000 tenants of which 10,000 are in use, by the depth of the tree.
func BenchmarkAdmit(b *testing.B) {
	names := make([]string, many)
	for i := range names {
		names[i] = fmt.Sprint("tenant-", i)
	}
	b.Run("flat", func(b *testing.B) {
		f := flat{}
		for _, n := range names {
			f[n] = &flatBucket{rate: 1000, burst: 1000, tokens: 1000}
		}
		b.ReportAllocs()
		now := start
		for i := range b.N {
			now += time.Microsecond
			if f.admit(now, names[i*7919%10_000]) {
				f[names[i*7919%10_000]].open--
			}
		}
	})
	for depth := 1; depth <= 4; depth++ {
		for _, lent := range []bool{false, true} {
			b.Run(fmt.Sprintf("depth %d, borrowed %v", depth, lent), func(b *testing.B) {
				g := 1000.0
				if lent {
					g = 0
				}
				l := rates(Requests, g, 1e9)
				root := &Spec{Name: "installation", Rates: rates(Requests, 1e10, 1e10)}
				for _, n := range names {
					t := &Spec{Name: n}
					if at := t; depth > 1 {
						for d := 2; d < depth; d++ {
							at.Rates = l
							at.Children = []*Spec{{Name: []string{"", "", "s", "c"}[d]}}
							at = at.Children[0]
						}
						at.Rates = l
					}
					root.Children = append(root.Children, t)
				}
				book := NewLedger(root)
				b.ReportAllocs()
				now, refused := start, 0
				for i := range b.N {
					now += time.Microsecond
					if grant, refusal := book.Admit(now, names[i*7919%10_000], "s", "c", Cost{}); refusal == nil {
						grant.Release(now)
					} else {
						refused++
					}
				}
				if refused > 0 {
					b.Errorf("%d of %d were refused", refused, b.N)
				}
			})
		}
	}
}

// BenchmarkRefuse is a refusal with its time, at depth 3.
func BenchmarkRefuse(b *testing.B) {
	s := tenant("a", 1, 1, 1)
	s.Children = []*Spec{tenant("s", 1, 1, 1)}
	book := NewLedger(installation(100, s))
	book.Admit(start, "a", "s", "", Cost{})
	b.ReportAllocs()
	for range b.N {
		if _, refusal := book.Admit(start, "a", "s", "", Cost{}); refusal == nil {
			b.Fatal("admitted")
		}
	}
}
