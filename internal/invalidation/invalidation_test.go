package invalidation

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// purge is one purge of the plain model: a list that is walked.
type purge struct {
	object uint64
	group  int
	issued time.Duration
}

// newestByWalk walks all purges, as the broker did at each write.
func newestByWalk(all []purge, liveSince time.Duration, object uint64, group int) (at time.Duration, ok bool) {
	for _, purged := range all {
		concerns := purged.object == object
		if purged.object == 0 {
			concerns = group == AnyGroup || purged.group == group
		}
		if concerns && purged.issued >= liveSince && purged.issued > 0 {
			at, ok = max(at, purged.issued), true
		}
	}
	return at, ok
}

// TestLedgerAgainstAWalk compares random purges and look-ups with a walk over all.
func TestLedgerAgainstAWalk(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := Config{Propagation: 6 * time.Second, Slack: 2 * time.Second}
		ledger := New(config)
		var all []purge
		now := 1000 * time.Second
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * ms
			purged := purge{
				uint64(rapid.IntRange(0, 5).Draw(t, "object")), rapid.IntRange(0, 3).Draw(t, "group"),
				now - time.Duration(rapid.IntRange(0, 9000).Draw(t, "age"))*ms,
			}
			if rapid.Bool().Draw(t, "purge") {
				ledger.Record(now, purged.object, purged.group, purged.issued)
				all = append(all, purged)
			}
			ledger.Expire(now)
			object := uint64(rapid.IntRange(1, 5).Draw(t, "of object"))
			group := rapid.IntRange(AnyGroup, 3).Draw(t, "of group")
			got, ok := ledger.Newest(object, group)
			want, wanted := newestByWalk(all, now-config.Propagation-config.Slack, object, group)
			if got != want || ok != wanted {
				t.Fatalf("object %d of group %d at %v: %v %v, want %v %v", object, group, now, got, ok, want, wanted)
			}
		}
		ledger.Expire(now + time.Minute)
		if ledger.Len() != 0 {
			t.Fatalf("%d purges are left after a minute", ledger.Len())
		}
	})
}

// TestFullLedgerAsksForYounger: what there is no place for must not let an old copy through.
func TestFullLedgerAsksForYounger(t *testing.T) {
	now := 1000 * time.Second
	ledger := New(Config{Propagation: 6 * time.Second, MaxPurges: 10})
	for object := uint64(1); object <= 11; object++ {
		ledger.Record(now, object, 0, now-time.Second+time.Duration(object)*ms)
	}
	if ledger.Len() != 10 {
		t.Errorf("%d purges, want the bound of 10", ledger.Len())
	}
	for _, object := range []uint64{1, 11, 99} {
		if at, ok := ledger.Newest(object, 0); !ok || at < now-time.Second+11*ms {
			t.Errorf("object %d: %v %v, want no copy older than the purge that had no place", object, at, ok)
		}
	}
	ledger.Expire(now + 7*time.Second)
	if at, ok := ledger.Newest(11, 0); ok {
		t.Errorf("the purge is live after its time: %v", at)
	}
}

func BenchmarkNewest(b *testing.B) {
	now := 1000 * time.Second
	for _, count := range []int{0, 100, 10_000, 100_000} {
		ledger := New(Config{Propagation: 6 * time.Second})
		var all []purge
		for i := range count {
			purged := purge{object: uint64(i + 1), issued: now - time.Duration(i)*time.Microsecond}
			ledger.Record(now, purged.object, purged.group, purged.issued)
			all = append(all, purged)
		}
		b.Run(fmt.Sprintf("ledger/%d", count), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				ledger.Newest(uint64(i), i&255)
			}
		})
		b.Run(fmt.Sprintf("walk/%d", count), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				newestByWalk(all, now-8*time.Second, uint64(i), i&255)
			}
		})
	}
}
