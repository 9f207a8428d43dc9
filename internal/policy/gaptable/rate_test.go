package gaptable

import (
	"testing"
	"time"
)

// TestTablesFollowTheRate: the tables' bounds follow the rate of requests within some seconds, up and down again, and
// not more often than once a second.
func TestTablesFollowTheRate(t *testing.T) {
	tables := New()
	now := 100 * time.Second
	tables.StartRate(now)
	if tables.ResizeToRate(now + 999*time.Millisecond) {
		t.Error("the rate was taken within its first second")
	}
	for _, c := range []struct {
		requestsPerSecond int
		want              [levels]int
	}{{1000, [levels]int{60000, 20000, 12000}}, {0, [levels]int{minRows, minRows, minRows}}} {
		for range 60 {
			for range c.requestsPerSecond {
				tables.CountRequest()
			}
			now += time.Second
			if !tables.ResizeToRate(now) {
				t.Fatal("the rate was not taken after a second")
			}
		}
		for i, want := range c.want {
			if got := tables.limit[i]; got < want*99/100 || got > want {
				t.Errorf("%d requests a second: table %d holds %d rows, want %d", c.requestsPerSecond, i, got, want)
			}
		}
	}
}
