package invalidation

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// told is one purge of the plain model: a list that is walked.
type told struct {
	object uint64
	group  int
	issued time.Duration
}

// newestOf walks all purges, as the broker did at each write.
func newestOf(all []told, over time.Duration, object uint64, group int) (at time.Duration, ok bool) {
	for _, p := range all {
		fits := p.object != 0 && p.object == object || p.object == 0 && (group == AnyGroup || p.group == group)
		if fits && p.issued >= over && p.issued > 0 {
			at, ok = max(at, p.issued), true
		}
	}
	return at, ok
}

// TestLedgerAgainstAWalk compares random purges and questions with a walk over all.
func TestLedgerAgainstAWalk(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{Propagation: 6 * time.Second, Slack: 2 * time.Second}
		l := New(cfg)
		var all []told
		now := 1000 * time.Second
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * ms
			p := told{uint64(rapid.IntRange(0, 5).Draw(t, "object")), rapid.IntRange(0, 3).Draw(t, "group"),
				now - time.Duration(rapid.IntRange(0, 9000).Draw(t, "age"))*ms}
			if rapid.Bool().Draw(t, "purge") {
				l.Record(now, p.object, p.group, p.issued)
				all = append(all, p)
			}
			l.Expire(now)
			object, group := uint64(rapid.IntRange(1, 5).Draw(t, "asked")), rapid.IntRange(-1, 3).Draw(t, "of")
			got, ok := l.Newest(object, group)
			want, wanted := newestOf(all, now-cfg.Propagation-cfg.Slack, object, group)
			if got != want || ok != wanted {
				t.Fatalf("object %d of group %d at %v: %v %v, want %v %v", object, group, now, got, ok, want, wanted)
			}
		}
		l.Expire(now + time.Minute)
		if l.Len() != 0 || len(l.expiry) != 0 {
			t.Fatalf("%d purges and %d expiries are left after a minute", l.Len(), len(l.expiry))
		}
	})
}

// TestFullLedgerAsksForYounger: what there is no place for must not let an old copy through.
func TestFullLedgerAsksForYounger(t *testing.T) {
	now := 1000 * time.Second
	l := New(Config{Propagation: 6 * time.Second, MaxPurges: 10})
	for object := uint64(1); object <= 11; object++ {
		l.Record(now, object, 0, now-time.Second+time.Duration(object)*ms)
	}
	if l.Len() != 10 {
		t.Errorf("%d purges held, want the bound of 10", l.Len())
	}
	for _, object := range []uint64{1, 11, 99} {
		if at, ok := l.Newest(object, 0); !ok || at < now-time.Second+11*ms {
			t.Errorf("object %d: %v %v, want no copy older than the purge that had no place", object, at, ok)
		}
	}
	l.Expire(now + 7*time.Second)
	if at, ok := l.Newest(11, 0); ok {
		t.Errorf("after its time the purge still holds: %v", at)
	}
}

func BenchmarkNewest(b *testing.B) {
	now := 1000 * time.Second
	for _, n := range []int{0, 100, 10_000, 100_000} {
		l := New(Config{Propagation: 6 * time.Second})
		var all []told
		for i := range n {
			p := told{object: uint64(i + 1), issued: now - time.Duration(i)*time.Microsecond}
			l.Record(now, p.object, p.group, p.issued)
			all = append(all, p)
		}
		b.Run(fmt.Sprintf("ledger/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				l.Newest(uint64(i), i&255)
			}
		})
		b.Run(fmt.Sprintf("walk/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				newestOf(all, now-8*time.Second, uint64(i), i&255)
			}
		})
	}
}
