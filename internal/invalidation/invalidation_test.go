package invalidation

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// purge is an entry of the reference model, a list of all purges.
type purge struct {
	object uint64
	group  int
	issued time.Duration
}

// newestByScan is the reference for Ledger.Newest: a linear scan of all purges.
func newestByScan(all []purge, liveSince time.Duration, object uint64, group int) (at time.Duration, ok bool) {
	for _, purged := range all {
		applies := purged.object == object
		if purged.object == 0 {
			applies = group == AnyGroup || purged.group == group
		}
		if applies && purged.issued >= liveSince && purged.issued > 0 {
			at, ok = max(at, purged.issued), true
		}
	}
	return at, ok
}

// TestLedgerAgainstLinearScan compares Newest with a linear scan for random purges and look-ups.
func TestLedgerAgainstLinearScan(t *testing.T) {
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
			want, wantOK := newestByScan(all, now-config.Propagation-config.Slack, object, group)
			if got != want || ok != wantOK {
				t.Fatalf("newest purge of object %d, group %d at %v: got %v %v, want %v %v",
					object, group, now, got, ok, want, wantOK)
			}
		}
		ledger.Expire(now + time.Minute)
		if ledger.Len() != 0 {
			t.Fatalf("purges left after a minute: got %d, want 0", ledger.Len())
		}
	})
}

// TestFullLedgerRequiresNewerCopies checks that no purged copy may be served if the ledger has no space for a purge:
// the purge must apply to all objects until it expires.
func TestFullLedgerRequiresNewerCopies(t *testing.T) {
	now := 1000 * time.Second
	ledger := New(Config{Propagation: 6 * time.Second, MaxPurges: 10})
	for object := uint64(1); object <= 11; object++ {
		ledger.Record(now, object, 0, now-time.Second+time.Duration(object)*ms)
	}
	if ledger.Len() != 10 {
		t.Errorf("purges of a full ledger: got %d, want the bound of 10", ledger.Len())
	}
	for _, object := range []uint64{1, 11, 99} {
		if at, ok := ledger.Newest(object, 0); !ok || at < now-time.Second+11*ms {
			t.Errorf("newest purge of object %d: got %v %v, want at least that without space", object, at, ok)
		}
	}
	ledger.Expire(now + 7*time.Second)
	if at, ok := ledger.Newest(11, 0); ok {
		t.Errorf("expired purge: got %v from Newest, want none", at)
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
		b.Run(fmt.Sprintf("scan/%d", count), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				newestByScan(all, now-8*time.Second, uint64(i), i&255)
			}
		})
	}
}
