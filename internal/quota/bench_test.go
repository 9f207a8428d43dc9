package quota

import (
	"fmt"
	"testing"
	"time"
)

// flatBuckets is the implementation of the contracts before the tree, for comparison: a map with a token bucket per
// team.
type flatBuckets map[string]*flatBucket

type flatBucket struct {
	rate, burst, tokens float64
	at                  time.Duration
	open                int
}

func (f flatBuckets) admit(now time.Duration, team string) bool {
	bucket := f[team]
	bucket.tokens = min(bucket.burst, bucket.tokens+max(0, now-bucket.at).Seconds()*bucket.rate)
	bucket.at = now
	if bucket.tokens < 1 {
		return false
	}
	bucket.tokens--
	bucket.open++
	return true
}

const benchTenants = 100_000

// BenchmarkAdmit measures an admission and its release by the depth of the tree, with 100,000 tenants of which 10,000
// send requests.
func BenchmarkAdmit(b *testing.B) {
	names := make([]string, benchTenants)
	for i := range names {
		names[i] = fmt.Sprint("tenant-", i)
	}
	b.Run("flat", func(b *testing.B) {
		buckets := flatBuckets{}
		for _, name := range names {
			buckets[name] = &flatBucket{rate: 1000, burst: 1000, tokens: 1000}
		}
		b.ReportAllocs()
		now := start
		for i := range b.N {
			now += time.Microsecond
			if buckets.admit(now, names[i*7919%10_000]) {
				buckets[names[i*7919%10_000]].open--
			}
		}
	})
	for depth := 1; depth <= 4; depth++ {
		for _, borrowed := range []bool{false, true} {
			b.Run(fmt.Sprintf("depth %d, borrowed %v", depth, borrowed), func(b *testing.B) {
				guaranteed := 1000.0
				if borrowed {
					guaranteed = 0
				}
				limits := rates(Requests, guaranteed, 1e9)
				root := &Spec{Name: "installation", Rates: rates(Requests, 1e10, 1e10)}
				for _, name := range names {
					spec := &Spec{Name: name}
					root.Children = append(root.Children, spec)
					for _, below := range []string{"s", "c"}[:max(0, depth-2)] {
						spec.Rates = limits
						child := &Spec{Name: below}
						spec.Children = []*Spec{child}
						spec = child
					}
					if depth > 1 {
						spec.Rates = limits
					}
				}
				ledger := NewLedger(root)
				b.ReportAllocs()
				now, rejected := start, 0
				for i := range b.N {
					now += time.Microsecond
					grant, rejection := ledger.Admit(now, names[i*7919%10_000], "s", "c", Cost{})
					if rejection != nil {
						rejected++
						continue
					}
					grant.Release(now)
				}
				if rejected > 0 {
					b.Errorf("rejected requests: got %d of %d, want none", rejected, b.N)
				}
			})
		}
	}
}

// BenchmarkReject measures a rejection with its Retry-After, at depth 3.
func BenchmarkReject(b *testing.B) {
	spec := tenant("a", 1, 1, 1)
	spec.Children = []*Spec{tenant("s", 1, 1, 1)}
	ledger := NewLedger(installation(100, spec))
	ledger.Admit(start, "a", "s", "", Cost{})
	b.ReportAllocs()
	for range b.N {
		if _, rejection := ledger.Admit(start, "a", "s", "", Cost{}); rejection == nil {
			b.Fatal("request beyond the guaranteed rate: got admission, want rejection")
		}
	}
}
