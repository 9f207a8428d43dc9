package drill

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"time"

	"sloequay/internal/emulator"
)

// maxCancelDelay is how long after its request a client that leaves does so at the latest.
const maxCancelDelay = 120 * time.Millisecond

// DrawSoak makes a plan by lot in which two or three troubles overlap at any time: processes that stop, end, are
// killed, start and read their files anew, endpoints that drain, die and are reset, a list service that fails,
// clients that leave.
func DrawSoak(seed uint64, lasts time.Duration) (*Plan, error) {
	rng := rand.New(rand.NewPCG(seed, 11))
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("# drawn for a soak by the seed %d", seed)
	line("doormans 8\nplazas 2\ncaches 3\ntrunks 2")
	line("rate %d/s\nobjects %d\ncharges %.2f\nleaves %.2f\nlasts %v", 10+rng.IntN(20), 50+rng.IntN(300),
		rng.Float64()*0.2, 0.1+rng.Float64()*0.3, lasts)
	line("list %s", []string{"bulletin", "catalogue"}[rng.IntN(2)])
	if rng.IntN(2) == 0 {
		line("at 0s clock doormans:0.4 %v", time.Duration(rng.IntN(7200)-3600)*time.Second)
	}
	line("at 0s start doormans")
	for at := 2 * time.Second; at < lasts-5*time.Second; {
		at += time.Duration(rng.IntN(700)) * time.Millisecond
		drawFault(rng, line, at)
	}
	for _, check := range []string{"answers", "repeats", "ledger", "drains 9s", "alive", "left 0.1s", "deadlines 0.15s",
		"monitors"} {
		line("hold %s", check)
	}
	plan, err := Parse(fmt.Sprintf("soak, seed %d", seed), []byte(b.String()))
	if err != nil {
		return nil, fmt.Errorf("%w in\n%s", err, b.String())
	}
	plan.Text = b.String()
	return plan, nil
}

// drawFault adds one trouble that begins at a time.
func drawFault(rng *rand.Rand, line func(format string, args ...any), at time.Duration) {
	lasting := time.Duration(200+rng.IntN(1800)) * time.Millisecond
	proxy := rng.IntN(8)
	cache := fmt.Sprintf("box:c%d-%d", 1+rng.IntN(2), 1+rng.IntN(3))
	switch rng.IntN(9) {
	case 0:
		line("at %v stop doorman:%d for %v", at, proxy, lasting)
	case 1:
		line("at %v kill doorman:%d\nat %v start doorman:%d", at, proxy, at+lasting/2, proxy)
	case 2:
		line("at %v term doorman:%d\nat %v start doorman:%d", at, proxy, at+lasting+2*time.Second, proxy)
	case 3:
		line("at %v hup doormans:0.5\nat %v hup doormans", at, at+50*time.Millisecond)
	case 4:
		line("at %v reset doormans boxes", at)
	case 5:
		line("at %v die %s for %v", at, cache, lasting)
	case 6:
		line("at %v drain %s for %v", at, cache, lasting)
	case 7:
		line("at %v list %s for %v", at, []string{"hang", "refuse"}[rng.IntN(2)], lasting)
	case 8:
		line("at %v refuse doormans %s for %v", at, cache, lasting)
	}
}

// cancelLater has a client give up a request after a time: it withdraws it, or closes the connection that it has to
// itself.
func (c *clients) cancelLater(k *clientConn, msg uint64, a *asking, after time.Duration, closes bool) {
	time.Sleep(after)
	k.mu.Lock()
	isOpen := k.open[msg] == a
	if isOpen {
		delete(k.open, msg)
		k.late[msg] = true
	}
	k.mu.Unlock()
	if !isOpen {
		return
	}
	if closes {
		_ = k.c.Conn.Close()
	} else {
		_ = k.c.Send(emulator.Cancellation(msg))
	}
	at := c.w.now()
	c.w.Record.add(func() { a.r.End, a.r.Left = "left", at })
}

// holdLeft wants no attempt that begins longer after its client has left than a time.
func (r *Record) holdLeft(limit time.Duration, f *finding) (left int) {
	at := map[string]time.Duration{}
	for _, request := range r.Requests {
		if request.Left > 0 {
			left++
			at[request.ID] = request.Left
		}
	}
	for _, attempt := range r.Attempts {
		if gone, ok := at[attempt.ID]; ok && attempt.At > gone+limit+slack {
			f.add("%s was sent to %s %v after its client had left", attempt.ID, attempt.Endpoint, attempt.At-gone)
		}
	}
	return left
}

// holdDeadlines wants no endpoint to be given more time than the client has left, but for a time.
func (r *Record) holdDeadlines(limit, excess time.Duration, f *finding) {
	sent := map[string]time.Duration{}
	for _, request := range r.Requests {
		sent[request.ID] = request.Sent
	}
	for _, attempt := range r.Attempts {
		at, ok := sent[attempt.ID]
		if left := at + limit - attempt.At; ok && attempt.Given > left+excess+slack {
			f.add("%s was given %v by %s with %v left", attempt.ID, attempt.Given, attempt.From, left)
		}
	}
}

// readViolations takes over what the proxies' own monitors have found, and what a panic has left.
func (w *Cluster) readViolations() {
	for _, d := range w.doormans {
		file, err := os.Open(filepath.Join(d.dir, "log"))
		if err != nil {
			continue
		}
		for lines := bufio.NewScanner(file); lines.Scan(); {
			text := lines.Text()
			if strings.Contains(text, "event=invariant-violated") || strings.HasPrefix(text, "panic:") {
				w.Record.Violations = append(w.Record.Violations, d.name+": "+text)
			}
		}
		_ = file.Close()
	}
}
