package gaptable

import (
	"testing"
	"time"
)

// TestTablesResizeToRate: the bounds of the tables follow the rate of requests within some seconds, up and down, and
// are updated at most once a second.
func TestTablesResizeToRate(t *testing.T) {
	tables := New()
	now := 100 * time.Second
	tables.StartRate(now)
	if tables.ResizeToRate(now + 999*time.Millisecond) {
		t.Error("the rate was updated after 999 ms, want no update within the first second")
	}
	for _, test := range []struct {
		requestsPerSecond int
		want              [levels]int
	}{{1000, [levels]int{60000, 20000, 12000}}, {0, [levels]int{minRows, minRows, minRows}}} {
		for range 60 {
			for range test.requestsPerSecond {
				tables.CountRequest()
			}
			now += time.Second
			if !tables.ResizeToRate(now) {
				t.Fatal("the rate was not updated after one second")
			}
		}
		for i, want := range test.want {
			if got := tables.maxRows[i]; got < want*99/100 || got > want {
				t.Errorf("%d requests per second: bound of table %d is %d rows, want %d",
					test.requestsPerSecond, i, got, want)
			}
		}
	}
}
