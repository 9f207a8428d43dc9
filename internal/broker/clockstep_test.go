package broker

import (
	"testing"
	"time"

	"sloequay/internal/membership"
)

// TestStampsSurviveClockSteps steps the Unix clock of this machine, while stamps by others go by the clock before or
// after the step. A purge must not count as older than it is, or older copies would be served. An endpoint must not
// count as older than it is, or it would be overloaded just after its start. Neither may lie in the future, or its
// restrictions would last as long as the step.
func TestStampsSurviveClockSteps(t *testing.T) {
	const now, offset, object = 1000 * time.Second, 400 * 24 * time.Hour, 0xaa
	const age = 300 * time.Millisecond
	for _, step := range []time.Duration{0, 5 * time.Second, -5 * time.Second, time.Hour, -time.Hour} {
		for stampedBy, stampOffset := range map[string]time.Duration{
			"the clock before the step": offset,
			"the clock after the step":  offset + step,
		} {
			b := newBroker(t)
			b.SetOffset(offset)
			b.Round(now, nil)
			b.SetOffset(offset + step)
			endpoint := testEndpoint("c1", "10.0.0.1:1", membership.Up)
			endpoint.StartedAt = now - age + stampOffset
			b.Round(now, []Event{
				Purge{Object: object, Issued: now - age + stampOffset},
				EndpointList{List: membership.List{Endpoints: []membership.Endpoint{endpoint}}},
			})
			issued, found := b.purges.Newest(object, 0)
			if !found || issued < now-age || issued > now {
				t.Errorf("step of %v, stamps by %s: purge issued %v ago: got age %v (found: %v), "+
					"want %v to 0 s", step, stampedBy, age, now-issued, found, age)
			}
			startedAt := b.EndpointByName("c1").StartedAt
			if startedAt < now-age || startedAt > now+maxFutureStart {
				t.Errorf("step of %v, stamps by %s: endpoint started %v ago: got age %v, want %v to %v",
					step, stampedBy, age, now-startedAt, age, -maxFutureStart)
			}
		}
	}
}

// TestPurgeFromWatchWithClockAhead covers a proxy that started after its clock was stepped an hour ahead, so that it
// knows no other offset. A purge from a watch that was up to date a second ago must not count as an hour old.
func TestPurgeFromWatchWithClockAhead(t *testing.T) {
	const now, offset, object = 1000 * time.Second, 400 * 24 * time.Hour, 0xaa
	b := newBroker(t)
	b.SetOffset(offset + time.Hour)
	b.Round(now, []Event{Purge{Object: object, Issued: now + offset}})
	if issued, found := b.purges.Newest(object, 0); !found || issued < now-time.Second || issued > now {
		t.Errorf("purge issued now: got age %v (found: %v), want 0 s to 1 s", now-issued, found)
	}
}

// TestPurgeFromConfigurationWithClockAhead covers a proxy that started with its clock an hour ahead. A purge in its
// configuration, issued just before the start, must not count as an hour old, or older copies would be served.
func TestPurgeFromConfigurationWithClockAhead(t *testing.T) {
	const now, offset, object = 1000 * time.Second, 400 * 24 * time.Hour, 0xaa
	const age = 300 * time.Millisecond
	b := newBroker(t)
	b.SetOffset(offset + time.Hour)
	b.Round(now, []Event{Purge{Object: object, Issued: now - age + offset}})
	if issued, found := b.purges.Newest(object, 0); !found || issued < now-age || issued > now {
		t.Errorf("purge issued %v ago: got age %v (found: %v), want 0 s to its true age", age, now-issued, found)
	}
}

// TestPurgeCountsFromReceipt guards against stale copies because the clock of this machine or of the issuer is wrong,
// for the first purge after the start as well as for later ones.
func TestPurgeCountsFromReceipt(t *testing.T) {
	const offset, object, group = 400 * 24 * time.Hour, 0xaa, 7
	for _, ahead := range []time.Duration{
		0, time.Second, -time.Second, 5 * time.Second, -5 * time.Second,
		time.Hour, -time.Hour, 24 * time.Hour, -24 * time.Hour,
	} {
		b := newBroker(t)
		b.SetOffset(offset + ahead)
		for now := 1000 * time.Second; now < 1100*time.Second; now += 10 * time.Second {
			b.Round(now, []Event{
				Purge{Object: object, Issued: now - 300*time.Millisecond + offset},
				Purge{Group: group, Issued: now - 300*time.Millisecond + offset},
			})
			for name, newest := range map[string]func() (time.Duration, bool){
				"an object": func() (time.Duration, bool) { return b.purges.Newest(object, group+1) },
				"a group":   func() (time.Duration, bool) { return b.purges.Newest(object+1, group) },
			} {
				if issued, found := newest(); !found || issued != now {
					t.Errorf("clock ahead by %v, purge of %s at %v: got age %v (found: %v), want 0 s",
						ahead, name, now, now-issued, found)
				}
			}
		}
	}
}

// TestImplausibleStampIsLogged checks that a wrong clock is logged, at most once a minute.
func TestImplausibleStampIsLogged(t *testing.T) {
	const offset = 400 * 24 * time.Hour
	for _, c := range []struct {
		ahead time.Duration
		want  int
	}{{0, 0}, {time.Second, 0}, {time.Hour, 2}, {-time.Hour, 2}} {
		b := newBroker(t)
		b.SetOffset(offset + c.ahead)
		logged := 0
		for now := 1000 * time.Second; now < 1100*time.Second; now += 10 * time.Second {
			for _, effect := range b.Round(now, []Event{Purge{Object: 1, Issued: now + offset}}) {
				if entry, isLogEntry := effect.(LogEntry); isLogEntry && entry.Event == "purge-stamp-implausible" {
					logged++
				}
			}
		}
		if logged != c.want {
			t.Errorf("clock ahead by %v: got %d log entries in 100 s, want %d", c.ahead, logged, c.want)
		}
	}
}
