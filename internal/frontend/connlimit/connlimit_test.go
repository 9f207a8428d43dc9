package connlimit

import (
	"testing"
	"time"
)

const sec = time.Second

// TestOwed: who has not taken its answers is not idle: it is neither dismissed nor makes way, its time counts from when it has taken
// them, and it is bidden to leave only when it takes nothing.
func TestOwed(t *testing.T) {
	for _, c := range []struct {
		name string
		left func(at time.Duration) int // bytes of its answer that are not taken, by the time since it was given
		want time.Duration              // when it is bidden to leave, a tick more or less
	}{
		{"it takes all at once", func(time.Duration) int { return 0 }, 6 * sec},
		{"it takes all in the end", func(at time.Duration) int { return max(0, 100-int(at/(100*time.Millisecond))) }, 16 * sec},
		{"it takes nothing", func(time.Duration) int { return 100 }, 6 * sec},
		{"it takes a part", func(at time.Duration) int { return max(50, 100-int(at/(100*time.Millisecond))) }, 11 * sec},
	} {
		t.Run(c.name, func(t *testing.T) {
			now, start := 100*sec, 100*sec
			l := New(1, 6*sec)
			var g *Client
			gone := time.Duration(0)
			g = l.Admit(now, func() { gone = now - start; g.Remove() }, func() int { return c.left(now - start) })
			g.Received(now, true, false)
			g.Busy(now, true)
			g.Busy(now, false)
			for ; gone == 0 && now-start < 30*sec; now += 100 * time.Millisecond {
				if l.Tick(now); gone == 0 && c.left(now-start) > 0 {
					if l.CloseIdle(); gone != 0 || l.Admit(now, nil, nil) != nil {
						t.Fatalf("it has to go after %v, with %d bytes of its answer not taken", now-start, c.left(now-start))
					}
				}
			}
			if gone < c.want || gone > c.want+300*time.Millisecond {
				t.Errorf("it was bidden to leave after %v, want %v", gone, c.want)
			}
			if l.Len() != 0 || len(l.owed) != 0 {
				t.Errorf("%d guests and %d owed are left", l.Len(), len(l.owed))
			}
		})
	}
}

// TestDismiss: who is idle goes; who asks, is new, or has begun a message stays.
func TestDismiss(t *testing.T) {
	l := New(10, 6*sec)
	gone := map[string]bool{}
	for name, does := range map[string]func(g *Client){
		"new":  func(*Client) {},
		"idle": func(g *Client) { g.Received(0, true, false) },
		"half": func(g *Client) { g.Received(0, true, true) },
		"busy": func(g *Client) { g.Received(0, true, false); g.Busy(0, true) },
	} {
		var g *Client
		g = l.Admit(0, func() { gone[name] = true; g.Remove() }, func() int { return 0 })
		does(g)
	}
	if l.CloseIdle(); len(gone) != 1 || !gone["idle"] {
		t.Errorf("%v had to go, want the idle one", gone)
	}
}
